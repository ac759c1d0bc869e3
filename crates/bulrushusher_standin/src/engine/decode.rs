//! Decode: continuous batching, one token a step for every sequence; streams can be resumed.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::{HttpClient, json_line};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::state::{EngineState, Sequence};
use super::{DecodeEvent, DecodeOrder, ExportOrder, Exported};
use crate::prompt;

const BEAT: Duration = Duration::from_millis(200);
const IMPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a decode was refused. Nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refused {
    Full,
    KvGone,
    SameRun,
}

/// Takes a place, imports the KV cache and starts the sequence.
pub(super) async fn begin(
    engine: &Arc<EngineState>,
    client: &HttpClient,
    order: &DecodeOrder,
) -> Result<(), Refused> {
    let mut place = take_place(engine, order)?;
    let fetch = ExportOrder { kv: order.kv.kv };
    let import: Result<Exported, _> =
        client.post(order.kv.engine, "/export", &fetch, IMPORT_TIMEOUT).await;
    let Ok(kv) = import else { return Err(Refused::KvGone) };
    let mut tables = engine.tables.lock();
    tables.keys.entry(order.key.clone()).or_default().runs += 1;
    let sequence = Sequence {
        mark: kv.mark,
        max_tokens: order.max_tokens,
        produced: 0,
        cancelled: false,
        progress: Arc::default(),
    };
    tables.sequences.insert(order.run.clone(), sequence);
    tables.active.insert(order.run.clone());
    place.taken = false;
    if tables.faults.crashes_on.is_some_and(|mark| tables.sequences[&order.run].mark == mark) {
        tables.crash();
    }
    drop(tables);
    engine.work.notify_one();
    Ok(())
}

fn take_place<'a>(engine: &'a EngineState, order: &DecodeOrder) -> Result<Place<'a>, Refused> {
    let mut tables = engine.tables.lock();
    if tables.sequences.contains_key(&order.run) {
        return Err(Refused::SameRun);
    }
    if tables.places_taken >= engine.cfg.places {
        return Err(Refused::Full);
    }
    tables.places_taken += 1;
    drop(tables);
    Ok(Place { engine, taken: true })
}

/// Gives the place back unless a sequence took it over.
struct Place<'a> {
    engine: &'a EngineState,
    taken: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.taken {
            self.engine.tables.lock().places_taken -= 1;
        }
    }
}

/// Sends the tokens of `run` from `from` on as they come.
pub(super) async fn follow(
    engine: Arc<EngineState>,
    run: String,
    from: usize,
    tx: mpsc::Sender<Bytes>,
) {
    let mut next = from;
    loop {
        let Some(progress) = progress_of(&engine, &run) else { return };
        // Made before the look at the table, so that no step in between is missed.
        let waiting = progress.notified();
        let events = match engine.tables.lock().sequences.get(&run) {
            Some(sequence) => events_from(sequence, next),
            None => return,
        };
        if events.is_empty() {
            tokio::select! {
                () = waiting => {}
                () = tx.closed() => return,
                () = tokio::time::sleep(BEAT) => {
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
    } else if sequence.is_over() {
        events.push(DecodeEvent::End { tokens: sequence.produced });
    }
    events
}

/// Frees the memory of a run; false when it holds none.
pub(super) fn cancel(engine: &EngineState, run: &str) -> bool {
    let mut tables = engine.tables.lock();
    if !tables.active.contains(run) {
        return false;
    }
    if let Some(sequence) = tables.sequences.get_mut(run) {
        sequence.cancelled = true;
        sequence.progress.notify_waiters();
    }
    tables.retire(run);
    true
}

/// Steps the batch for as long as the engine lives.
pub(super) async fn step_loop(engine: Arc<EngineState>) {
    loop {
        let batch = engine.tables.lock().active.len();
        if batch == 0 {
            engine.work.notified().await;
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
        if sequence.is_over() {
            tables.retire(&run);
        }
    }
}
