//! Guards of decode memory held for a generation, and of KV caches not yet fetched by a decode
//! runner.
//!
//! Both release what they hold when they are dropped unused, however the request ended.

use std::sync::Arc;

use bulrushusher_forward::{RunNumber, RunReport, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::{CacheHandle, HoldId};
use tokio::runtime::Handle;

use crate::dialect::{ControlRequest, Dialect, KvCache};
use crate::runners::exchange::{CONTROL_TIMEOUT, Exchanger};
use crate::runners::permit::Permit;
use crate::shared::SharedState;

/// A hold on memory at a decode runner. The run counts towards the runner's forecast until dropped.
#[derive(Debug)]
pub(crate) struct MemoryHold<D: Dialect> {
    pub runner: Runner,
    /// Id of the hold at the runner; `None` when the runner has no holds, or after the run used it.
    pub id: Option<HoldId>,
    run: RunNumber,
    prefills_itself: bool,
    /// True until the run is sent: the permit that was acquired for it is unused.
    has_run_permit: bool,
    created_at: Millis,
    expires: Millis,
    shared: Arc<SharedState>,
    exchanger: Exchanger<D>,
    dialect: D,
}

/// The run for which memory is held, and the hold's time to live.
#[derive(Clone, Debug)]
pub(crate) struct HoldTerms {
    pub report: RunReport,
    pub ttl: Millis,
}

/// The run must reach the runner this long before the hold expires.
const EXPIRY_MARGIN: Millis = Millis(50);

impl<D: Dialect> MemoryHold<D> {
    pub(crate) fn new(
        runner: Runner,
        id: Option<HoldId>,
        terms: HoldTerms,
        shared: &Arc<SharedState>,
        exchanger: &Exchanger<D>,
        dialect: &D,
    ) -> MemoryHold<D> {
        let HoldTerms { report, ttl } = terms;
        let run = shared.add_run(report);
        let created_at = shared.now();
        MemoryHold {
            runner,
            id,
            run,
            prefills_itself: false,
            has_run_permit: true,
            created_at,
            expires: created_at.plus(ttl).since(EXPIRY_MARGIN),
            shared: shared.clone(),
            exchanger: exchanger.clone(),
            dialect: dialect.clone(),
        }
    }

    /// When the memory was held, which is when its runner was chosen.
    pub(crate) fn created_at(&self) -> Millis {
        self.created_at
    }

    /// Time remaining until the run must have reached the runner.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        self.expires.since(now)
    }

    /// True while the run may be sent: the hold has not expired, and the runner accepts new work.
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        let is_held = self.id.is_none() || now < self.expires;
        is_held && self.shared.accepts_work(&self.runner)
    }

    /// Records that the run now owns the memory, so that the hold is not released on drop.
    pub(crate) fn mark_used(&mut self) {
        self.id = None;
        self.progress(0);
    }

    /// Records that the run was sent, whatever its response.
    pub(crate) fn mark_sent(&mut self) {
        self.has_run_permit = false;
    }

    /// Records that the decode runner prefills the prompt itself.
    pub(crate) fn set_prefills_itself(&mut self) {
        self.prefills_itself = true;
        self.shared.mark_run_prefills_itself(self.run);
    }

    /// True when the decode runner prefills the prompt itself.
    pub(crate) fn prefills_itself(&self) -> bool {
        self.prefills_itself
    }

    /// Number of the run that the memory is for.
    pub(crate) fn run(&self) -> RunNumber {
        self.run
    }

    /// Records that the run generates nothing at present.
    pub(crate) fn stall(&self) {
        self.shared.record_run_stall(self.run);
    }

    /// Records the number of tokens that the run has generated.
    pub(crate) fn progress(&self, generated: u64) {
        self.shared.record_run_progress(self.run, generated);
    }
}

impl<D: Dialect> Drop for MemoryHold<D> {
    fn drop(&mut self) {
        self.shared.end_run(self.run);
        // A restarted runner no longer has the hold, and may have given its id to another one.
        if let Some(id) = self.id.take().filter(|_| !self.shared.is_superseded(&self.runner)) {
            let request = self.dialect.release_hold(&self.runner.id, &id);
            // A permit was acquired for the run; if that is not sent, this request is charged
            // instead.
            if self.has_run_permit {
                self.shared.release_permits(&self.runner, 1);
            }
            spawn_release(&self.exchanger, &self.runner, request, "hold");
        }
    }
}

/// A KV cache at the runner that prefilled the prompt; it is freed on drop unless it was consumed.
#[derive(Debug)]
pub(crate) struct KvCacheGuard<D: Dialect> {
    pub cache: KvCache,
    runner: Runner,
    consumed: bool,
    shared: Arc<SharedState>,
    exchanger: Exchanger<D>,
    dialect: D,
}

impl<D: Dialect> KvCacheGuard<D> {
    pub(crate) fn new(
        runner: Runner,
        handle: CacheHandle,
        shared: &Arc<SharedState>,
        exchanger: &Exchanger<D>,
        dialect: &D,
    ) -> KvCacheGuard<D> {
        let data_centre = runner.data_centre.clone();
        let cache = KvCache {
            address: runner.address,
            data_centre,
            version: runner.version.clone(),
            handle,
        };
        let (exchanger, dialect) = (exchanger.clone(), dialect.clone());
        KvCacheGuard { cache, runner, consumed: false, shared: shared.clone(), exchanger, dialect }
    }

    /// The runner that has the cache.
    pub(crate) fn runner(&self) -> &Runner {
        &self.runner
    }

    /// True when the runner has restarted since, which loses the cache.
    pub(crate) fn is_lost(&self) -> bool {
        self.shared.is_superseded(&self.runner)
    }

    /// Records that a decode runner has fetched the cache, so that it is not freed on drop.
    pub(crate) fn mark_consumed(&mut self) {
        self.consumed = true;
    }
}

impl<D: Dialect> Drop for KvCacheGuard<D> {
    fn drop(&mut self) {
        if !self.consumed && !self.is_lost() {
            let request = self.dialect.free_kv(&self.runner.id, &self.cache.handle);
            spawn_release(&self.exchanger, &self.runner, request, "kv cache");
        }
    }
}

/// Sends a release in a task of its own. Without it the hold or cache lapses at the runner by
/// itself.
fn spawn_release<D: Dialect>(
    exchanger: &Exchanger<D>,
    runner: &Runner,
    request: ControlRequest,
    what: &'static str,
) {
    let Ok(runtime) = Handle::try_current() else { return };
    let (exchanger, runner) = (exchanger.clone(), runner.clone());
    let release = exchanger.begin_release();
    runtime.spawn(async move {
        let _release = release;
        let freed =
            exchanger.control_request(&runner, request, Permit::Cleanup, CONTROL_TIMEOUT).await;
        let id = &runner.id;
        match freed {
            Ok((head, _)) => log::debug!("free: {what} runner={id} status={}", head.status),
            Err(e) => log::info!("free: {what} lapses by itself runner={id} cause=\"{e}\""),
        }
    });
}
