//! A runner that has run a call answers with a status that promises the opposite, and without the header
//! that states it.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::runner::{Arrivals, Runner};
use crate::site::{Gateway, Record, free_port, own_ip, run_client, unix_ms, write_config};
use crate::store::Store;

/// Time that a runner takes for a call.
const WORK: Duration = Duration::from_millis(60);
const LENGTH: Duration = Duration::from_millis(8_000);

/// Two of five requests fail, the dose of the pages.
fn fails_in_part(nth: usize) -> u16 {
    if nth % 5 < 2 { 503 } else { 200 }
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, Box<dyn std::error::Error>> {
    let ip = own_ip(2);
    let store_at = free_port(ip)?;
    let store = Store::start(store_at)?;
    write_config(&store);
    let arrivals = Arrivals::default();
    let ok = |_| 200;
    let sick = if has_trouble { fails_in_part } else { ok };
    let a = Runner::start("i-a", free_port(ip)?, unix_ms(), WORK, sick, &arrivals)?;
    let b = Runner::start("i-b", free_port(ip)?, unix_ms(), WORK, ok, &arrivals)?;
    for runner in [&a, &b] {
        store.put("servers", runner.id, &runner.entry("board-app", "ready"));
    }
    let mut gateway = Gateway::start(ip, store_at)?;
    if !gateway.wait_until_ready() {
        return Err(format!("the gateway is not ready: {}", gateway.log_end()).into());
    }
    record.line("the gateway is ready");
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + LENGTH;
    let client = |nth: usize| {
        let (callers, attempts) = (gateway.callers, attempts.clone());
        run_client(format!("c{nth}"), None, callers, Duration::from_millis(100), until, attempts)
    };
    let clients: Vec<_> = (0..4).map(client).collect();
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));
    thread::sleep(WORK);
    if gateway.has_exited() {
        return Err("the gateway has exited".into());
    }
    let runs = arrivals.runs();
    let attempts = attempts.lock().unwrap();
    let promises = [408, 421, 429, 503];
    let false_promises: Vec<_> = attempts
        .iter()
        .filter(|it| promises.contains(&it.status) && runs.contains_key(&it.id))
        .collect();
    for it in &false_promises {
        record.line_at(it.ended, &format!("{} has run and is answered {}", it.id, it.status));
    }
    record.line(&format!(
        "{} attempts, {} answered with 200, {} that have run and are answered 408, 421, 429 or 503",
        attempts.len(),
        attempts.iter().filter(|it| it.status == 200).count(),
        false_promises.len(),
    ));
    if attempts.is_empty() {
        return Err("no request was answered".into());
    }
    Ok(if false_promises.is_empty() { Outcome::Held } else { Outcome::Broken })
}
