//! A version of the config takes a key away and gives its tenant others, so that it has more than 64.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::runner::{Arrivals, Runner};
use crate::site::{
    Gateway, REVOKE_MS, Record, free_port, own_ip, run_client, unix_ms, write_config_version,
};
use crate::store::Store;

/// Keys of the tenant before the change, one of which is taken away.
const KEYS: usize = 64;
const TAKEN: usize = 7;
/// Keys that the change adds; with one fewer the tenant has as many as before.
const ADDED: usize = 2;
/// Time that a runner takes for a call.
const WORK: Duration = Duration::from_millis(30);
/// Time with the first version, and time after the bound.
const BEFORE: Duration = Duration::from_millis(4_000);
const AFTER: Duration = Duration::from_millis(5_000);

fn key(nth: usize) -> String {
    format!("key{nth:03}banfqasnmgkcuy")
}

fn tenants(keys: impl Iterator<Item = usize>) -> String {
    let keys: Vec<String> = keys.map(|nth| format!("\"{}\"", key(nth))).collect();
    format!(
        ",\"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[{}],\"priority\":1,\
         \"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]",
        keys.join(",")
    )
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, Box<dyn std::error::Error>> {
    let ip = own_ip(3);
    let store_at = free_port(ip)?;
    let store = Store::start(store_at)?;
    write_config_version(&store, 1, 16_384, &tenants(0..KEYS));
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
    record.line(&format!("the gateway is ready; version 1 is in force, with {KEYS} keys"));
    let bound = Duration::from_millis(REVOKE_MS);
    let until = Instant::now() + BEFORE + bound + AFTER;
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let client = |name: &str, nth: usize| {
        let (callers, attempts) = (gateway.callers, attempts.clone());
        let pause = Duration::from_millis(100);
        run_client(name.to_owned(), Some(key(nth)), callers, pause, until, attempts)
    };
    let added = if has_trouble { ADDED } else { ADDED - 1 };
    let clients = [client("taken", TAKEN), client("kept", 1), client("new", KEYS)];
    thread::sleep(BEFORE);
    let keys = (0..KEYS + added).filter(|nth| *nth != TAKEN);
    let acked = write_config_version(&store, 2, 16_384, &tenants(keys));
    let count = KEYS + added - 1;
    let text = format!("the store acknowledges version 2: a key is taken away, {count} are left");
    record.line_at(acked, &text);
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));
    if gateway.has_exited() {
        return Err("the gateway has exited".into());
    }
    let runs = arrivals.runs();
    let attempts = attempts.lock().unwrap();
    let late: Vec<_> = attempts
        .iter()
        .filter(|it| it.id.starts_with("taken-") && it.sent > acked + bound)
        .filter(|it| runs.contains_key(&it.id))
        .collect();
    for it in &late {
        let after = it.sent.duration_since(acked).as_millis();
        let text = format!("{} is sent {after} ms after the ack, runs, gets {}", it.id, it.status);
        record.line_at(it.sent, &text);
    }
    for line in gateway.log_lines("store: object cannot be read").iter().take(3) {
        record.line(&format!("log of the gateway: {line}"));
    }
    for name in ["taken", "kept", "new"] {
        let of_client = |it: &&crate::site::Attempt| it.id.starts_with(&format!("{name}-"));
        let later = attempts.iter().filter(of_client).filter(|it| it.sent > acked + bound);
        let later: Vec<u16> = later.map(|it| it.status).collect();
        let served = later.iter().filter(|status| **status == 200).count();
        let denied = later.iter().filter(|status| **status == 401).count();
        record.line(&format!(
            "key {name}: {} requests sent later than {REVOKE_MS} ms after the ack, {served} \
             answered with 200, {denied} with 401",
            later.len()
        ));
    }
    let before = attempts.iter().filter(|it| it.id.starts_with("taken-") && it.sent < acked);
    if before.filter(|it| it.status == 200).count() == 0 {
        return Err("the key was not accepted before it was taken away".into());
    }
    Ok(if late.is_empty() { Outcome::Held } else { Outcome::Broken })
}
