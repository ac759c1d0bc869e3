//! A runner starts again under its id after the clock of its machine was set back, and drains later.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::runner::{Arrivals, Runner};
use crate::site::{
    CONTACT_MS, DRAIN_MS, Gateway, Record, free_port, own_ip, run_client, unix_ms, write_config,
};
use crate::store::Store;

/// How far the clock of the runner's machine is ahead at first: the dose of the sites.
const AHEAD_MS: u64 = 2_400;
/// Time from the first start to the crash, and from there to the next start.
const UP: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(700);
/// Time that a runner takes for a call.
const WORK: Duration = Duration::from_millis(60);
/// Clients, and the pause of each after an answer.
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(20);
/// Late arrivals that are listed one by one.
const MOST_LISTED: usize = 40;
/// Time without any disruption before the runner drains, several times `contact_ms`.
const CALM: Duration = Duration::from_millis(4 * CONTACT_MS);
/// For how long the draining runner serves beyond `drain_ms`.
const LONGER: Duration = Duration::from_millis(4_000);
/// Arrivals beyond the bound from which on the rule counts as broken; more than could be in flight.
const MOST_LATE: usize = 10;

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, Box<dyn std::error::Error>> {
    let ip = own_ip(1);
    let store_at = free_port(ip)?;
    let store = Store::start(store_at)?;
    write_config(&store);
    let arrivals = Arrivals::default();
    let at_a = free_port(ip)?;
    let started = Instant::now();
    let ahead = if has_trouble { AHEAD_MS } else { 0 };
    let ok = |_| 200;
    let mut a = Runner::start("i-a", at_a, unix_ms() + ahead, WORK, ok, &arrivals)?;
    let b = Runner::start("i-b", free_port(ip)?, unix_ms() - 60_000, WORK, ok, &arrivals)?;
    for runner in [&a, &b] {
        store.put("servers", runner.id, &runner.entry("board-app", "ready"));
        record.line(&format!("{} registers as ready, born {}", runner.id, runner.born));
    }
    let mut gateway = Gateway::start(ip, store_at)?;
    if !gateway.wait_until_ready() {
        return Err(format!("the gateway is not ready: {}", gateway.log_end()).into());
    }
    record.line("the gateway is ready");
    if has_trouble {
        thread::sleep(UP.saturating_sub(started.elapsed()));
        a.end();
        record.line("i-a crashes; the clock of its machine is right again");
        thread::sleep(DOWN);
        a = Runner::start("i-a", at_a, unix_ms(), WORK, ok, &arrivals)?;
        store.put("servers", a.id, &a.entry("board-app", "ready"));
        record.line(&format!("i-a starts again and registers as ready, born {}", a.born));
    }
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + CALM + Duration::from_millis(DRAIN_MS) + LONGER + WORK * 20;
    let client = |nth: usize| {
        let (callers, attempts) = (gateway.callers, attempts.clone());
        run_client(format!("c{nth}"), None, callers, PAUSE, until, attempts)
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    thread::sleep(CALM);
    let acked = store.put("servers", a.id, &a.entry("board-app", "draining"));
    record.line_at(acked, "the store acknowledges that i-a is draining");
    thread::sleep(Duration::from_millis(DRAIN_MS) + LONGER);
    a.end();
    let exited = Instant::now();
    store.remove("servers", a.id);
    record.line("i-a exits, and its entry is removed");
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));
    if gateway.has_exited() {
        return Err("the gateway has exited".into());
    }
    let bound = acked + Duration::from_millis(DRAIN_MS);
    let all = arrivals.all();
    let late: Vec<_> = all.iter().filter(|it| it.runner == "i-a" && it.at > bound).collect();
    let before = all.iter().filter(|it| it.runner == "i-a" && it.at < acked).count();
    for it in late.iter().take(MOST_LISTED) {
        let after = it.at.duration_since(acked).as_millis();
        let text = format!("i-a gets {} {after} ms after the ack, answers {}", it.id, it.status);
        record.line_at(it.at, &text);
    }
    let attempts = attempts.lock().unwrap();
    for it in attempts.iter().filter(|it| it.status != 200) {
        let took = it.ended.duration_since(it.sent).as_millis();
        record.line_at(it.sent, &format!("{} is answered {} after {took} ms", it.id, it.status));
    }
    for line in gateway.log_lines("id=i-a").iter().filter(|it| it.contains("runners:")).take(12) {
        record.line(&format!("log of the gateway: {line}"));
    }
    let cut = attempts.iter().filter(|it| it.status != 200 && it.sent < exited && it.ended > exited);
    record.line(&format!(
        "{} attempts, {} not answered with 200, of these {} in flight at the exit; i-a got {before} \
         requests before the ack and {} later than {DRAIN_MS} ms after it",
        attempts.len(),
        attempts.iter().filter(|it| it.status != 200).count(),
        cut.count(),
        late.len(),
    ));
    if attempts.is_empty() || before == 0 {
        return Err("i-a got no requests before it drained".into());
    }
    Ok(if late.len() > MOST_LATE { Outcome::Broken } else { Outcome::Held })
}
