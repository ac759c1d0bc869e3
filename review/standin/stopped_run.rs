//! A run is stopped to be moved, and the connection on which that was asked goes silent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::End;
use crate::platform::{ClientRequest, Gateway, has_trouble, open_record, start_store, wait_until};
use crate::runner::{Behavior, Runner, STRIDE};
use crate::{BROKEN, CANNOT_RUN, HELD};

const PATH: &str = "/brief-rationale/2f";

/// A decode runner's memory in tokens: two runs exceed it.
const MEMORY: u64 = 4_200;

/// Tokens of the streams that may move, and of those before them.
const LONG: u64 = 1_200;
const SHORT: u64 = 50;

fn behavior() -> Behavior {
    Behavior { pause: Duration::from_millis(40), ..Behavior::default() }
}

pub fn run() -> i32 {
    let record = open_record();
    let store = start_store(MEMORY, STRIDE);
    let prefill = Runner::start("i-p0", Some("prefill"), behavior(), &record);
    let first = Runner::start("i-d0", Some("decode"), behavior(), &record);
    let second = Runner::start("i-d1", Some("decode"), behavior(), &record);
    first.behavior.unframed.lock().unwrap().insert("r2".to_owned());
    second.behavior.unframed.lock().unwrap().insert("r2".to_owned());
    first.behavior.silent_at_stop.store(has_trouble(), Ordering::Relaxed);
    for runner in [&prefill, &first] {
        store.put("servers", &runner.id, runner.entry());
    }
    let gateway = Arc::new(Gateway::start(store.address));
    if !gateway.wait_until_ready() {
        record.line("the gateway is not ready");
        return CANNOT_RUN;
    }
    let send = |id: String, tokens: u64| {
        let (gateway, record) = (gateway.clone(), record.clone());
        thread::spawn(move || {
            let req =
                ClientRequest { path: PATH, id: &id, deadline_ms: 14_000, tokens: Some(tokens) };
            gateway.send(&req, &record)
        })
    };
    // The retry budget, from which a move is paid, is whole after its window.
    for n in 0..40 {
        let res = send(format!("w{n}"), SHORT).join().expect("the client");
        if (res.status, res.end) != (200, End::Complete) {
            record.line("a stream before the case was not served");
            return CANNOT_RUN;
        }
    }
    let stays = send("r1".to_owned(), LONG);
    thread::sleep(Duration::from_millis(150));
    let moves = send("r2".to_owned(), LONG);
    if !wait_until(Duration::from_secs(5), || first.running() == 2) {
        record.line("the two streams don't run together");
        return CANNOT_RUN;
    }
    record.line("operator: an empty runner is added, i-d1");
    store.put("servers", &second.id, second.entry());
    let whole: Vec<u64> = (1..=LONG / STRIDE).collect();
    let replies =
        [("r1", stays), ("r2", moves)].map(|(id, it)| (id, it.join().expect("the client")));
    gateway.record_log_of("r2", &record);
    let mut is_broken = false;
    for (id, res) in &replies {
        let events = res.event_ids();
        if res.end == End::Complete && events != whole {
            is_broken = true;
            record.line(&format!(
                "ORDER is broken: {id} ends as complete after event {:?}, and its last is {}",
                events.last(),
                whole.len()
            ));
        }
    }
    if !first.stopped().contains(&"r2".to_owned()) {
        record.line("the stream r2 was not stopped for a move");
        return CANNOT_RUN;
    }
    if is_broken { BROKEN } else { HELD }
}
