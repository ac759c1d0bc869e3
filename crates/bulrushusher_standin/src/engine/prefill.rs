//! Prefill: one prompt at a time, most urgent first, results held for a short time.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::json_line;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use super::state::{EngineState, Fate, KvResult};
use super::{ExportOrder, Exported, PrefillEvent, PrefillOrder};
use crate::prompt;

const BEAT: Duration = Duration::from_millis(200);
const STALL_CHECK: Duration = Duration::from_millis(10);

/// Runs one prefill and tells its stream. A closed stream cancels it.
pub(super) async fn run(engine: Arc<EngineState>, order: PrefillOrder, tx: mpsc::Sender<Bytes>) {
    let work = run_until_fate(&engine, &order, &tx);
    tokio::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return,
            () = tx.closed() => return,
            () = tokio::time::sleep(BEAT) => {
                tx.try_send(json_line(&PrefillEvent::Beat)).ok();
            }
        }
    }
}

async fn run_until_fate(engine: &EngineState, order: &PrefillOrder, tx: &mpsc::Sender<Bytes>) {
    let turn = Turn::take(engine, order.priority).await;
    engine.tables.lock().keys.entry(order.key.clone()).or_default().prefills += 1;
    let blocks = prompt::blocks(&order.prompt);
    let tokens = prompt::tokens(&order.prompt);
    let cached_blocks = engine.tables.lock().cache.cached_prefix(&blocks);
    let cached = cached_blocks * prompt::BLOCK_TOKENS;
    let computed = tokens - cached;
    let mut unused = UnusedWork { engine, computed: Some(computed) };
    tokio::time::sleep(engine.cfg.prefill_time(computed).duration()).await;
    unused.computed = None;
    drop(turn);
    let (held, mut fate) = hold(engine, order, &blocks, computed);
    let bytes = tokens as u64 * engine.cfg.kv_bytes_per_token;
    let done = PrefillEvent::Done { kv: held.id, tokens, cached, bytes };
    tx.send(json_line(&done)).await.ok();
    let end = match fate.wait_for(|fate| *fate != Fate::Held).await {
        Ok(fate) if *fate == Fate::Exported => PrefillEvent::Exported,
        Ok(_) | Err(_) => PrefillEvent::Evicted,
    };
    tx.send(json_line(&end)).await.ok();
}

fn hold<'a>(
    engine: &'a EngineState,
    order: &PrefillOrder,
    blocks: &[u64],
    computed: usize,
) -> (HeldKv<'a>, watch::Receiver<Fate>) {
    let now = engine.clock.now();
    let (fate, seen) = watch::channel(Fate::Held);
    let mut tables = engine.tables.lock();
    tables.prefilled_tokens += computed as u64;
    tables.cache.store(blocks, now);
    let id = tables.next_kv;
    tables.next_kv += 1;
    let result = KvResult {
        mark: prompt::mark(&order.prompt).to_owned(),
        tokens: prompt::tokens(&order.prompt),
        computed,
        evict_at: now.plus(engine.cfg.kv_life),
        fate,
    };
    tables.kv.insert(id, result);
    (HeldKv { engine, id }, seen)
}

/// Exports a result over the rate-limited link; `None` when it is gone or goes meanwhile.
pub(super) async fn export(engine: Arc<EngineState>, order: ExportOrder) -> Option<Exported> {
    let done_at = {
        let mut tables = engine.tables.lock();
        let tokens = tables.kv.get(&order.kv)?.tokens;
        let start = tables.link_free_at.max(engine.clock.now());
        tables.link_free_at = start.plus(engine.cfg.transfer_time(tokens));
        tables.link_free_at
    };
    tokio::time::sleep(done_at.since(engine.clock.now()).duration()).await;
    while engine.tables.lock().faults.stalled_link {
        tokio::time::sleep(STALL_CHECK).await;
    }
    let kv = engine.tables.lock().kv.remove(&order.kv)?;
    kv.fate.send(Fate::Exported).ok();
    Some(Exported { mark: kv.mark, tokens: kv.tokens })
}

/// Counts a prefill that was cancelled half-way as wasted.
struct UnusedWork<'a> {
    engine: &'a EngineState,
    computed: Option<usize>,
}

impl Drop for UnusedWork<'_> {
    fn drop(&mut self) {
        if let Some(computed) = self.computed {
            let mut tables = self.engine.tables.lock();
            tables.prefilled_tokens += computed as u64;
            tables.wasted_tokens += computed as u64;
        }
    }
}

/// Frees the result when its stream is closed before it was used.
struct HeldKv<'a> {
    engine: &'a EngineState,
    id: u64,
}

impl Drop for HeldKv<'_> {
    fn drop(&mut self) {
        self.engine.tables.lock().discard_kv(self.id);
    }
}

/// The right to compute; one at a time, lowest priority number first.
struct Turn<'a> {
    engine: &'a EngineState,
    ticket: Option<(u64, u64)>,
}

impl<'a> Turn<'a> {
    async fn take(engine: &'a EngineState, priority: u64) -> Turn<'a> {
        let ticket = {
            let mut tables = engine.tables.lock();
            tables.next_turn += 1;
            let ticket = (priority, tables.next_turn);
            tables.prefills_waiting.insert(ticket);
            ticket
        };
        let mut turn = Turn { engine, ticket: Some(ticket) };
        loop {
            let changed = engine.turn.notified();
            if turn.try_take() {
                return turn;
            }
            changed.await;
        }
    }

    fn try_take(&mut self) -> bool {
        let mut tables = self.engine.tables.lock();
        let is_first = tables.prefills_waiting.first() == self.ticket.as_ref();
        if tables.prefill_running || !is_first {
            return false;
        }
        tables.prefills_waiting.pop_first();
        tables.prefill_running = true;
        self.ticket = None;
        true
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut tables = self.engine.tables.lock();
        match self.ticket.take() {
            Some(ticket) => drop(tables.prefills_waiting.remove(&ticket)),
            None => tables.prefill_running = false,
        }
        drop(tables);
        self.engine.turn.notify_waiters();
    }
}
