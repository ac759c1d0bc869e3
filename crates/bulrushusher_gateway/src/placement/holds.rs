//! Decode memory that is held for a generation, and KV caches that wait to be taken.
//!
//! Both are given back when they are dropped unused, whatever ended the request.

use std::sync::Arc;

use bulrushusher_forward::{RunNumber, RunReport, Runner};
use bulrushusher_time::Millis;
use tokio::runtime::Handle;

use crate::dialect::{Dialect, KvCache, SideCall};
use crate::knowledge::Knowledge;
use crate::runners::exchange::{Exchanger, SIDE_CALL_TIMEOUT};
use crate::runners::permit::Permit;

/// Memory held at a decode runner. It counts there until dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory<D: Dialect> {
    pub runner: Runner,
    /// Name of the lease; `None` when the runner gives none, or when it was used.
    pub lease: Option<Arc<str>>,
    run: RunNumber,
    reads: bool,
    until: Millis,
    knowledge: Arc<Knowledge>,
    exchanger: Exchanger<D>,
    dialect: D,
}

/// For which run memory is held, and for how long.
#[derive(Clone, Debug)]
pub(crate) struct HoldTerms {
    pub note: RunReport,
    pub ttl: Millis,
}

/// The run must reach the runner this long before the lease is over.
const LEASE_MARGIN: Millis = Millis(50);

impl<D: Dialect> HeldMemory<D> {
    pub(crate) fn new(
        runner: Runner,
        lease: Option<Arc<str>>,
        terms: HoldTerms,
        knowledge: &Arc<Knowledge>,
        exchanger: &Exchanger<D>,
        dialect: &D,
    ) -> HeldMemory<D> {
        let HoldTerms { note, ttl } = terms;
        let run = knowledge.add_run(note);
        HeldMemory {
            runner,
            lease,
            run,
            reads: false,
            until: knowledge.now().plus(ttl).since(LEASE_MARGIN),
            knowledge: knowledge.clone(),
            exchanger: exchanger.clone(),
            dialect: dialect.clone(),
        }
    }

    /// Time left until the run must have reached the runner.
    pub(crate) fn time_left(&self, now: Millis) -> Millis {
        self.until.since(now)
    }

    /// True while the run may be sent: the lease holds, and the runner still takes new work.
    pub(crate) fn is_good(&self, now: Millis) -> bool {
        let leased = self.lease.is_none() || now < self.until;
        leased && self.knowledge.accepts_work(&self.runner)
    }

    /// The run has the memory now.
    pub(crate) fn mark_used(&mut self) {
        self.lease = None;
        self.progress(0);
    }

    /// The runner reads the prompt itself.
    pub(crate) fn reads_itself(&mut self) {
        self.reads = true;
        self.knowledge.mark_run_prefills_itself(self.run);
    }

    /// True when the runner has read the prompt itself.
    pub(crate) fn has_read_itself(&self) -> bool {
        self.reads
    }

    /// The run that the memory is for.
    pub(crate) fn run(&self) -> RunNumber {
        self.run
    }

    /// The run makes nothing at present.
    pub(crate) fn stall(&self) {
        self.knowledge.record_run_stall(self.run);
    }

    /// The run has made that many tokens.
    pub(crate) fn progress(&self, made: u64) {
        self.knowledge.record_run_progress(self.run, made);
    }
}

impl<D: Dialect> Drop for HeldMemory<D> {
    fn drop(&mut self) {
        self.knowledge.end_run(self.run);
        // A later start holds nothing of this, and may use the name for somebody else's.
        if let Some(lease) =
            self.lease.take().filter(|_| !self.knowledge.is_superseded(&self.runner))
        {
            let call = self.dialect.drop_hold(&self.runner.id, &lease);
            // The run that does not come was counted, and this call comes in its place.
            self.knowledge.release_permits(&self.runner, 1);
            spawn_call(&self.exchanger, &self.runner, call, "hold");
        }
    }
}

/// A KV cache at the runner that read the prompt.
#[derive(Debug)]
pub(crate) struct KeptKv<D: Dialect> {
    pub cache: KvCache,
    runner: Runner,
    taken: bool,
    knowledge: Arc<Knowledge>,
    exchanger: Exchanger<D>,
    dialect: D,
}

impl<D: Dialect> KeptKv<D> {
    pub(crate) fn new(
        runner: Runner,
        handle: Arc<str>,
        knowledge: &Arc<Knowledge>,
        exchanger: &Exchanger<D>,
        dialect: &D,
    ) -> KeptKv<D> {
        let cache = KvCache { at: runner.address, handle };
        let (exchanger, dialect) = (exchanger.clone(), dialect.clone());
        KeptKv { cache, runner, taken: false, knowledge: knowledge.clone(), exchanger, dialect }
    }

    /// Where it is kept.
    pub(crate) fn runner(&self) -> &Runner {
        &self.runner
    }

    /// True when its runner has started again since: nothing is kept there any more.
    pub(crate) fn is_lost(&self) -> bool {
        self.knowledge.is_superseded(&self.runner)
    }

    /// A decode runner has it now.
    pub(crate) fn mark_taken(&mut self) {
        self.taken = true;
    }
}

impl<D: Dialect> Drop for KeptKv<D> {
    fn drop(&mut self) {
        if !self.taken && !self.is_lost() {
            let call = self.dialect.free_kv(&self.runner.id, &self.cache.handle);
            spawn_call(&self.exchanger, &self.runner, call, "kv cache");
        }
    }
}

/// Gives something back in a task of its own; what cannot be given back lapses at the runner.
fn spawn_call<D: Dialect>(
    exchanger: &Exchanger<D>,
    runner: &Runner,
    call: SideCall,
    what: &'static str,
) {
    let Ok(runtime) = Handle::try_current() else { return };
    let (exchanger, runner) = (exchanger.clone(), runner.clone());
    runtime.spawn(async move {
        let freed = exchanger.side_call(&runner, call, Permit::Release, SIDE_CALL_TIMEOUT).await;
        let id = &runner.id;
        match freed {
            Ok((head, _)) => log::debug!("free: {what} runner={id} status={}", head.status),
            Err(e) => log::info!("free: {what} lapses by itself runner={id} cause=\"{e}\""),
        }
    });
}
