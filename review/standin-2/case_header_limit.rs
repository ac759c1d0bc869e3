//! A version of the config raises the limit of request heads while clients keep connections open.

use std::net::TcpStream;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::{exchange, request};
use crate::runner::{Arrivals, Runner};
use crate::site::{
    Attempt, CONTACT_MS, Gateway, Record, free_port, own_ip, unix_ms, write_config_version,
};
use crate::store::Store;

/// Largest heads before and after the change, in bytes.
const SMALL: usize = 8_192;
const LARGE: usize = 32_768;
/// Bytes of the large head that a client sends.
const HEAD: usize = 16_384;
const CLIENTS: usize = 40;
/// Requests of each client on its connection before the change, and after its large head.
const ROUNDS: usize = 10;
const PAUSE: Duration = Duration::from_millis(200);
/// Time from the ack to the large heads, beyond `config_apply_ms` and `contact_ms`.
const WAIT: Duration = Duration::from_millis(2 * CONTACT_MS);
const WORK: Duration = Duration::from_millis(10);

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, Box<dyn std::error::Error>> {
    let ip = own_ip(4);
    let store_at = free_port(ip)?;
    let store = Store::start(store_at)?;
    write_config_version(&store, 1, if has_trouble { SMALL } else { LARGE }, "");
    let arrivals = Arrivals::default();
    let ok = |_| 200;
    let a = Runner::start("i-a", free_port(ip)?, unix_ms(), WORK, ok, &arrivals)?;
    let b = Runner::start("i-b", free_port(ip)?, unix_ms(), WORK, ok, &arrivals)?;
    for runner in [&a, &b] {
        store.put("servers", runner.id, &runner.entry("board-app", "ready"));
    }
    let mut gateway = Gateway::start(ip, store_at)?;
    if !gateway.wait_until_ready() {
        return Err(format!("the gateway is not ready: {}", gateway.log_end()).into());
    }
    record.line("the gateway is ready");
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let step = Arc::new(Barrier::new(CLIENTS + 1));
    let client = |nth: usize| {
        let (callers, attempts, step) = (gateway.callers, attempts.clone(), step.clone());
        thread::spawn(move || {
            let mut kept = None;
            for round in 0..ROUNDS {
                attempt(&mut kept, callers, format!("c{nth}-small{round}"), 100, &attempts);
                thread::sleep(PAUSE);
            }
            step.wait();
            step.wait();
            attempt(&mut kept, callers, format!("c{nth}-large"), HEAD, &attempts);
            for round in 0..ROUNDS {
                thread::sleep(PAUSE);
                attempt(&mut kept, callers, format!("c{nth}-after{round}"), HEAD, &attempts);
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    step.wait();
    let acked = write_config_version(&store, 2, LARGE, "");
    record.line_at(acked, "the store acknowledges version 2, which allows heads of 32,768 bytes");
    thread::sleep(WAIT);
    record.line("each client sends a head of 16,384 bytes on its kept connection");
    step.wait();
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));
    if gateway.has_exited() {
        return Err("the gateway has exited".into());
    }
    let attempts = attempts.lock().unwrap();
    let denied: Vec<_> = attempts.iter().filter(|it| (300..500).contains(&it.status)).collect();
    for it in &denied {
        let after = it.sent.saturating_duration_since(acked).as_millis();
        let text = format!("{} is sent {after} ms after the ack, gets {}", it.id, it.status);
        record.line_at(it.sent, &text);
    }
    let most = 5 + attempts.len() / 500;
    let sealed = attempts.iter().filter(|it| it.status == 200).count();
    record.line(&format!(
        "{} requests, {sealed} answered with 200, {} with a 4xx of the gateway's own; the rule allows \
         {most}",
        attempts.len(),
        denied.len(),
    ));
    if sealed == 0 {
        return Err("no request was answered".into());
    }
    Ok(if denied.len() > most { Outcome::Broken } else { Outcome::Held })
}

/// Sends one request with a head of about `head` bytes on the kept connection, or on a new one.
fn attempt(
    kept: &mut Option<TcpStream>,
    callers: std::net::SocketAddr,
    id: String,
    head: usize,
    attempts: &Mutex<Vec<Attempt>>,
) {
    let filler = "x".repeat(head);
    let headers = [
        ("Host", "boards.example"),
        ("Bulrushusher-Request-Id", id.as_str()),
        ("Bulrushusher-Deadline-Ms", "3000"),
        ("Cookie", filler.as_str()),
    ];
    let req = request("POST", "/card/x", &headers, b"the client's body");
    let sent = Instant::now();
    let mut stream = kept.take().or_else(|| TcpStream::connect(callers).ok());
    let timeout = Duration::from_millis(3_000);
    let answer = stream.as_mut().and_then(|it| exchange(it, &req, timeout));
    let status = answer.as_ref().map_or(0, |it| it.status());
    let closes = answer.is_none_or(|it| it.header("connection").contains("close"));
    *kept = stream.filter(|_| !closes);
    attempts.lock().unwrap().push(Attempt { id, sent, ended: Instant::now(), status });
}
