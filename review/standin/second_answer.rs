//! A runner answers a refused hold twice; the second answer comes late, where the answer to a run is
//! expected.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::{End, Response};
use crate::platform::{ClientRequest, Gateway, has_trouble, open_record, start_store};
use crate::runner::{Behavior, Runner, STRIDE};
use crate::{BROKEN, CANNOT_RUN, HELD};

const PATH: &str = "/brief-rationale/2f";
const MEMORY: u64 = 97_920;

/// Rounds of three streams that arrive together.
const ROUNDS: usize = 20;

/// The round in which the runner of that number answers a refusal twice: one of its some 110 answers.
const REPEATING_ROUNDS: [usize; 2] = [8, 15];

/// The status by which a client knows that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn behavior() -> Behavior {
    let behavior = Behavior { pause: Duration::from_millis(10), ..Behavior::default() };
    behavior.places.store(1, Ordering::Relaxed);
    behavior
}

pub fn run() -> i32 {
    let record = open_record();
    let store = start_store(MEMORY, STRIDE);
    let prefill = Runner::start("i-p0", Some("prefill"), Behavior::default(), &record);
    let decodes = ["i-d0", "i-d1"].map(|id| Runner::start(id, Some("decode"), behavior(), &record));
    // A refused hold is a 503 of a full runner; the pages don't say whether it bears the mark of one.
    decodes[1].behavior.marks_refusals.store(true, Ordering::Relaxed);
    for runner in std::iter::once(&prefill).chain(&decodes) {
        store.put("servers", &runner.id, runner.entry());
    }
    let gateway = Arc::new(Gateway::start(store.address));
    if !gateway.wait_until_ready() {
        record.line("the gateway is not ready");
        return CANNOT_RUN;
    }
    let mut replies: Vec<(String, Response)> = Vec::new();
    for round in 0..ROUNDS {
        let repeating = REPEATING_ROUNDS.iter().position(|it| *it == round);
        if let Some(nth) = repeating.filter(|_| has_trouble()) {
            decodes[nth].behavior.repeats_refusal.store(true, Ordering::Relaxed);
        }
        let sending: Vec<_> = (0..3)
            .map(|nth| {
                let (gateway, record) = (gateway.clone(), record.clone());
                let id = format!("r{round}-{nth}");
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(4 * nth));
                    let req = ClientRequest {
                        path: PATH,
                        id: &id,
                        deadline_ms: 14_000,
                        tokens: Some(100),
                    };
                    let first = gateway.send(&req, &record);
                    let mut sent = vec![(id.clone(), first)];
                    if PROMISES.contains(&sent[0].1.status) {
                        // A client retries once after a promise, with an id of its own.
                        let again = format!("{id}-again");
                        let res = gateway.send(&ClientRequest { id: &again, ..req }, &record);
                        sent.push((again, res));
                    }
                    sent
                })
            })
            .collect();
        replies.extend(sending.into_iter().flat_map(|it| it.join().expect("the client")));
    }
    thread::sleep(Duration::from_millis(500));
    let executed: Vec<String> = decodes.iter().flat_map(|it| it.executed()).collect();
    let mut is_broken = false;
    for (id, res) in &replies {
        let runs = executed.iter().filter(|it| *it == id).count();
        if PROMISES.contains(&res.status) && runs > 0 {
            is_broken = true;
            gateway.record_log_of(id, &record);
            record.line(&format!("REFUSED is broken: {id} is answered {} and has run", res.status));
        }
        if runs > 1 {
            is_broken = true;
            gateway.record_log_of(id, &record);
            record.line(&format!("TWICE is broken: {id} has run {runs} times"));
        }
    }
    let whole = replies.iter().filter(|(_, res)| (res.status, res.end) == (200, End::Complete));
    record.line(&format!("{} of {} streams were served whole", whole.count(), replies.len()));
    if is_broken { BROKEN } else { HELD }
}
