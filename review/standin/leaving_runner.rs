//! A runner leaves as planned and exits while it still runs a stream that has no length.

use std::io::stdin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{End, Response};
use crate::platform::{ClientRequest, Gateway, has_trouble, open_record, start_store, wait_until};
use crate::process::RunnerProcess;
use crate::record::Record;
use crate::runner::{Behavior, Runner, STRIDE, entry_of};
use crate::{BROKEN, CANNOT_RUN, HELD};

const PATH: &str = "/brief-rationale/2f";
const MEMORY: u64 = 97_920;

/// The stream that has no length, and the tokens of it and of the others.
const UNFRAMED: &str = "r1";
const LONG: u64 = 1_500;
const SHORT: u64 = 50;

/// Time from the moment at which a runner begins to leave to its next status report, which says so.
const NEXT_REPORT: Duration = Duration::from_millis(800);

/// Time for which a runner goes on serving after the store has accepted that report: `drain_ms` of the
/// site and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_300);

/// A decode runner in a process of its own. It leaves and exits at its parent's command.
pub fn serve_runs(id: &str) -> i32 {
    let behavior = Behavior { pause: Duration::from_millis(40), ..Behavior::default() };
    behavior.unframed.lock().unwrap().insert(UNFRAMED.to_owned());
    let record = Arc::new(Record::of_child());
    let runner = Runner::start(id, Some("decode"), behavior, &record);
    record.line(&runner.address.to_string());
    for line in stdin().lines().map_while(Result::ok) {
        match line.as_str() {
            "leave" => runner.behavior.is_leaving.store(true, Ordering::Relaxed),
            _ => return 0,
        }
    }
    0
}

pub fn run() -> i32 {
    let record = open_record();
    let store = start_store(MEMORY, STRIDE);
    let prefill = Runner::start("i-p0", Some("prefill"), Behavior::default(), &record);
    store.put("servers", &prefill.id, prefill.entry());
    let ids = ["i-d0", "i-d1", "i-d2"];
    let mut decodes = ids.map(|id| RunnerProcess::start(id, &["decode-runner", id], &record));
    for runner in &decodes {
        store.put("servers", &runner.id, entry_of(runner.address, Some("decode"), "ready"));
    }
    let gateway = Arc::new(Gateway::start(store.address));
    if !gateway.wait_until_ready() {
        record.line("the gateway is not ready");
        return CANNOT_RUN;
    }
    // Other clients' streams, one after the other at each of eight clients.
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..8)
        .map(|client| {
            let (gateway, record, is_over) = (gateway.clone(), record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut nth = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("w{client}-{nth}");
                    let req = ClientRequest {
                        path: PATH,
                        id: &id,
                        deadline_ms: 14_000,
                        tokens: Some(SHORT),
                    };
                    gateway.send(&req, &record);
                    nth += 1;
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let (at, sent) = (gateway.clone(), record.clone());
    let long = thread::spawn(move || {
        let req =
            ClientRequest { path: PATH, id: UNFRAMED, deadline_ms: 14_000, tokens: Some(LONG) };
        at.send(&req, &sent)
    });
    let begins = format!(": {UNFRAMED} runs");
    if !wait_until(Duration::from_secs(5), || decodes.iter().any(|it| it.has_printed(&begins))) {
        record.line("the long stream doesn't run");
        return CANNOT_RUN;
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        let leaving = decodes.iter_mut().find(|it| it.has_printed(&begins)).expect("it runs there");
        record.line(&format!("runner {} leaves; its answers say so from now on", leaving.id));
        leaving.command("leave");
        thread::sleep(NEXT_REPORT);
        let entry = entry_of(leaving.address, Some("decode"), "draining");
        store.put("servers", &leaving.id, entry);
        record.line(&format!("store: the entry of {} says draining", leaving.id));
        thread::sleep(SERVES_ON);
        leaving.command("exit");
        leaving.wait_for_exit();
        record.line(&format!("runner {} has exited", leaving.id));
        store.remove_object("servers", &leaving.id);
    }
    let res: Response = long.join().expect("the client");
    is_over.store(true, Ordering::Relaxed);
    others.into_iter().for_each(|it| it.join().expect("the client"));
    gateway.record_log_of(UNFRAMED, &record);
    let whole: Vec<u64> = (1..=LONG / STRIDE).collect();
    let events = res.event_ids();
    if res.end != End::Complete || events == whole {
        return HELD;
    }
    record.line(&format!(
        "ORDER is broken: {UNFRAMED} ends as complete after event {:?}, and its last is {}",
        events.last(),
        whole.len()
    ));
    BROKEN
}
