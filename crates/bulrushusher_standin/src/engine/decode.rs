//! Decode with continuous batching: each step generates one token of every active sequence.
//! Streams can be resumed.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::{HttpClient, json_line};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::state::{EngineState, Sequence};
use super::{DecodeEvent, DecodeRequest, ExportRequest, ExportResponse};
use crate::prompt;

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);
const IMPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a decode was rejected before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DecodeRejection {
    NoFreeSlot,
    KvNotHeld,
    DuplicateRun,
}

/// Acquires a slot, imports the KV cache and starts the sequence.
pub(super) async fn start(
    engine: &Arc<EngineState>,
    client: &HttpClient,
    req: &DecodeRequest,
) -> Result<(), DecodeRejection> {
    let mut slot = acquire_slot(engine, req)?;
    let fetch = ExportRequest { kv: req.kv.kv };
    let import: Result<ExportResponse, _> =
        client.post(req.kv.engine, "/export", &fetch, IMPORT_TIMEOUT).await;
    let Ok(kv) = import else { return Err(DecodeRejection::KvNotHeld) };
    let mut tables = engine.tables.lock();
    tables.keys.entry(req.key.clone()).or_default().runs += 1;
    let sequence = Sequence {
        mark: kv.mark,
        max_tokens: req.max_tokens,
        produced: 0,
        cancelled: false,
        progress: Arc::default(),
    };
    tables.sequences.insert(req.run.clone(), sequence);
    tables.active.insert(req.run.clone());
    slot.owned = false;
    if tables.faults.crashes_on.is_some_and(|mark| tables.sequences[&req.run].mark == mark) {
        tables.crash();
    }
    drop(tables);
    engine.sequence_started.notify_one();
    Ok(())
}

fn acquire_slot<'a>(
    engine: &'a EngineState,
    req: &DecodeRequest,
) -> Result<SlotGuard<'a>, DecodeRejection> {
    let mut tables = engine.tables.lock();
    if tables.sequences.contains_key(&req.run) {
        return Err(DecodeRejection::DuplicateRun);
    }
    if tables.slots_used >= engine.cfg.slots {
        return Err(DecodeRejection::NoFreeSlot);
    }
    tables.slots_used += 1;
    drop(tables);
    Ok(SlotGuard { engine, owned: true })
}

/// An acquired slot; released on drop unless a sequence has taken ownership of it.
struct SlotGuard<'a> {
    engine: &'a EngineState,
    owned: bool,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        if self.owned {
            self.engine.tables.lock().slots_used -= 1;
        }
    }
}

/// Streams the tokens of `run` from index `from` as they are generated.
pub(super) async fn follow(
    engine: Arc<EngineState>,
    run: String,
    from: usize,
    tx: mpsc::Sender<Bytes>,
) {
    let mut next = from;
    loop {
        let Some(progress) = progress_of(&engine, &run) else { return };
        // Created before the state is read, so that no step in between is missed.
        let notified = progress.notified();
        let events = match engine.tables.lock().sequences.get(&run) {
            Some(sequence) => events_from(sequence, next),
            None => return,
        };
        if events.is_empty() {
            tokio::select! {
                () = notified => {}
                () = tx.closed() => return,
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                    tx.send(json_line(&DecodeEvent::Beat)).await.ok();
                }
            }
            continue;
        }
        for event in events {
            if matches!(event, DecodeEvent::Token { .. }) {
                next += 1;
            }
            let is_last = matches!(event, DecodeEvent::End { .. } | DecodeEvent::Cancelled);
            if tx.send(json_line(&event)).await.is_err() || is_last {
                return;
            }
        }
    }
}

fn progress_of(engine: &EngineState, run: &str) -> Option<Arc<Notify>> {
    let tables = engine.tables.lock();
    tables.sequences.get(run).map(|sequence| Arc::clone(&sequence.progress))
}

fn events_from(sequence: &Sequence, from: usize) -> Vec<DecodeEvent> {
    let token = |n| DecodeEvent::Token { n, text: prompt::token(&sequence.mark, n) };
    let mut events: Vec<DecodeEvent> = (from..sequence.produced).map(token).collect();
    if sequence.cancelled {
        events.push(DecodeEvent::Cancelled);
    } else if sequence.is_finished() {
        events.push(DecodeEvent::End { tokens: sequence.produced });
    }
    events
}

/// Cancels an active run and frees its slot; returns false if the run isn't active.
pub(super) fn cancel(engine: &EngineState, run: &str) -> bool {
    let mut tables = engine.tables.lock();
    if !tables.active.contains(run) {
        return false;
    }
    if let Some(sequence) = tables.sequences.get_mut(run) {
        sequence.cancelled = true;
        sequence.progress.notify_waiters();
    }
    tables.finish_sequence(run);
    true
}

/// Runs decode steps until the task is aborted.
pub(super) async fn step_loop(engine: Arc<EngineState>) {
    loop {
        let batch = engine.tables.lock().active.len();
        if batch == 0 {
            engine.sequence_started.notified().await;
            continue;
        }
        tokio::time::sleep(Duration::from_micros(engine.cfg.step_us(batch))).await;
        step(&engine);
    }
}

fn step(engine: &EngineState) {
    let mut tables = engine.tables.lock();
    if tables.faults.frozen {
        return;
    }
    let runs: Vec<String> = tables.active.iter().cloned().collect();
    for run in runs {
        let Some(sequence) = tables.sequences.get_mut(&run) else { continue };
        sequence.produced += 1;
        sequence.progress.notify_waiters();
        if sequence.is_finished() {
            tables.finish_sequence(&run);
        }
    }
}
