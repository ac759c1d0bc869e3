//! Prefill: one prompt at a time in priority order; results are held for a limited time.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::json_line;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use super::state::{EngineState, KvState, PrefillResult};
use super::{ExportRequest, ExportResponse, PrefillEvent, PrefillRequest};
use crate::prompt;

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs one prefill and streams its events. Closing the stream cancels it.
pub(super) async fn run(engine: Arc<EngineState>, req: PrefillRequest, tx: mpsc::Sender<Bytes>) {
    let work = run_to_completion(&engine, &req, &tx);
    tokio::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return,
            () = tx.closed() => return,
            () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                tx.try_send(json_line(&PrefillEvent::Beat)).ok();
            }
        }
    }
}

async fn run_to_completion(engine: &EngineState, req: &PrefillRequest, tx: &mpsc::Sender<Bytes>) {
    let permit = ComputePermit::acquire(engine, req.priority).await;
    engine.tables.lock().keys.entry(req.key.clone()).or_default().prefills += 1;
    let blocks = prompt::blocks(&req.prompt);
    let tokens = prompt::tokens(&req.prompt);
    let cached_blocks = engine.tables.lock().cache.cached_prefix(&blocks);
    let cached = cached_blocks * prompt::BLOCK_TOKENS;
    let computed = tokens - cached;
    let mut waste = WasteGuard { engine, computed: Some(computed) };
    tokio::time::sleep(engine.cfg.prefill_time(computed).duration()).await;
    waste.computed = None;
    drop(permit);
    let (held, mut state) = store_result(engine, req, &blocks, computed);
    let bytes = tokens as u64 * engine.cfg.kv_bytes_per_token;
    let done = PrefillEvent::Done { kv: held.id, tokens, cached, bytes };
    tx.send(json_line(&done)).await.ok();
    let end = match state.wait_for(|state| *state != KvState::Held).await {
        Ok(state) if *state == KvState::Exported => PrefillEvent::Exported,
        Ok(_) | Err(_) => PrefillEvent::Evicted,
    };
    tx.send(json_line(&end)).await.ok();
}

fn store_result<'a>(
    engine: &'a EngineState,
    req: &PrefillRequest,
    blocks: &[u64],
    computed: usize,
) -> (KvGuard<'a>, watch::Receiver<KvState>) {
    let now = engine.clock.now();
    let (state, state_rx) = watch::channel(KvState::Held);
    let mut tables = engine.tables.lock();
    tables.prefilled_tokens += computed as u64;
    tables.cache.store(blocks, now);
    let id = tables.next_kv;
    tables.next_kv += 1;
    let result = PrefillResult {
        mark: prompt::mark(&req.prompt).to_owned(),
        tokens: prompt::tokens(&req.prompt),
        computed,
        evict_at: now.plus(engine.cfg.kv_ttl),
        state,
    };
    tables.kv.insert(id, result);
    (KvGuard { engine, id }, state_rx)
}

/// Exports a result over the rate-limited link; `None` if it isn't held until the transfer ends.
pub(super) async fn export(engine: Arc<EngineState>, req: ExportRequest) -> Option<ExportResponse> {
    let done_at = {
        let mut tables = engine.tables.lock();
        let tokens = tables.kv.get(&req.kv)?.tokens;
        let start = tables.link_free_at.max(engine.clock.now());
        tables.link_free_at = start.plus(engine.cfg.transfer_time(tokens));
        tables.link_free_at
    };
    tokio::time::sleep(done_at.since(engine.clock.now()).duration()).await;
    while engine.tables.lock().faults.stalled_link {
        tokio::time::sleep(STALL_POLL_INTERVAL).await;
    }
    let kv = engine.tables.lock().kv.remove(&req.kv)?;
    kv.state.send(KvState::Exported).ok();
    Some(ExportResponse { mark: kv.mark, tokens: kv.tokens })
}

/// Counts the tokens as wasted if the prefill is cancelled while it is computed.
struct WasteGuard<'a> {
    engine: &'a EngineState,
    computed: Option<usize>,
}

impl Drop for WasteGuard<'_> {
    fn drop(&mut self) {
        if let Some(computed) = self.computed {
            let mut tables = self.engine.tables.lock();
            tables.prefilled_tokens += computed as u64;
            tables.wasted_tokens += computed as u64;
        }
    }
}

/// Evicts the result on drop, when its stream is closed before the export.
struct KvGuard<'a> {
    engine: &'a EngineState,
    id: u64,
}

impl Drop for KvGuard<'_> {
    fn drop(&mut self) {
        self.engine.tables.lock().discard_kv(self.id);
    }
}

/// Permit to compute a prefill, granted to one request at a time in order of priority.
struct ComputePermit<'a> {
    engine: &'a EngineState,
    ticket: Option<(u64, u64)>,
}

impl<'a> ComputePermit<'a> {
    async fn acquire(engine: &'a EngineState, priority: u64) -> ComputePermit<'a> {
        let ticket = {
            let mut tables = engine.tables.lock();
            tables.next_ticket += 1;
            let ticket = (priority, tables.next_ticket);
            tables.queued_prefills.insert(ticket);
            ticket
        };
        let mut permit = ComputePermit { engine, ticket: Some(ticket) };
        loop {
            let changed = engine.prefill_queue_changed.notified();
            if permit.try_acquire() {
                return permit;
            }
            changed.await;
        }
    }

    fn try_acquire(&mut self) -> bool {
        let mut tables = self.engine.tables.lock();
        let is_first = tables.queued_prefills.first() == self.ticket.as_ref();
        if tables.prefill_running || !is_first {
            return false;
        }
        tables.queued_prefills.pop_first();
        tables.prefill_running = true;
        self.ticket = None;
        true
    }
}

impl Drop for ComputePermit<'_> {
    fn drop(&mut self) {
        let mut tables = self.engine.tables.lock();
        match self.ticket.take() {
            Some(ticket) => drop(tables.queued_prefills.remove(&ticket)),
            None => tables.prefill_running = false,
        }
        drop(tables);
        self.engine.prefill_queue_changed.notify_waiters();
    }
}
