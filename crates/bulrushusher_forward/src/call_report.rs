//! Reports between gateways on their plain calls.

use std::collections::HashMap;

use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Plain calls of one gateway at one runner.
///
/// All but `in_flight` are totals since the start of the gateway, so that a lost report loses no
/// calls and a repeated one adds none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCalls {
    /// The runner.
    pub runner: RunnerId,
    /// Calls that were sent and have not ended.
    pub in_flight: u32,
    /// Calls that were sent.
    pub started: u64,
    /// Calls that the runner has answered.
    pub answered: u64,
    /// Sum of the service times of these answers in ms, without the time in the runner's queue.
    pub service_ms: u64,
}

/// Plain calls of one gateway, by runner.
///
/// ```
/// use bulrushusher_forward::{CallPool, CallPoolConfig, CallPoolReport};
/// let mut pool = CallPool::new(CallPoolConfig::default());
/// assert_eq!(pool.report(), CallPoolReport::default());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPoolReport {
    /// Calls that wait at this gateway for the pool to have room.
    pub waiting: u32,
    /// The runners that this gateway has sent calls to.
    pub runners: Vec<RunnerCalls>,
    /// True if this gateway sees that sharing is needed; its peers then share their calls too.
    pub is_needed: bool,
}

impl CallPoolReport {
    /// Tag of this report, by which updates refer to it.
    pub(crate) fn tag(&self) -> BaseTag {
        let mut hash = Xxh3::new();
        for calls in &self.runners {
            let id = calls.runner.as_str().as_bytes();
            hash.update(&(id.len() as u64).to_le_bytes());
            hash.update(id);
            let totals = [calls.in_flight.into(), calls.started, calls.answered, calls.service_ms];
            totals.iter().for_each(|total: &u64| hash.update(&total.to_le_bytes()));
        }
        let [first, second, third, ..] = hash.digest().to_le_bytes();
        BaseTag([first, second, third])
    }
}

/// Identifies the report that an update builds on, by a part of the hash of its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BaseTag([u8; 3]);

/// Calls at one runner since the report that an update builds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CallsSince {
    /// Calls in flight now.
    in_flight: u32,
    started: u32,
    answered: u32,
    service_ms: u32,
}

impl CallsSince {
    /// `None` if a total has decreased, as it does when a runner restarts.
    fn between(base: &RunnerCalls, now: &RunnerCalls) -> Option<CallsSince> {
        let since = |base: u64, now: u64| u32::try_from(now.checked_sub(base)?).ok();
        Some(CallsSince {
            in_flight: now.in_flight,
            started: since(base.started, now.started)?,
            answered: since(base.answered, now.answered)?,
            service_ms: since(base.service_ms, now.service_ms)?,
        })
    }

    fn add_to(self, base: &RunnerCalls) -> RunnerCalls {
        RunnerCalls {
            runner: base.runner.clone(),
            in_flight: self.in_flight,
            started: base.started.saturating_add(self.started.into()),
            answered: base.answered.saturating_add(self.answered.into()),
            service_ms: base.service_ms.saturating_add(self.service_ms.into()),
        }
    }
}

/// Number of runners of the base that an update can refer to by their position.
const MAX_POSITIONS: usize = 128;

/// What has changed since the gateway's last full report of its plain calls, the base.
///
/// Each update contains all changes since the base, so that a lost update leaves nothing to repair.
/// It is a quarter of the size of a report: a gateway sends several per second to each peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPoolUpdate {
    base: BaseTag,
    /// Number of the update since the base; a lower one that arrives later is dropped.
    number: u32,
    waiting: u32,
    /// Bit `n` is set if the calls at the base's runner `n` have changed.
    changed: u128,
    /// The calls at these runners, in order.
    since: Vec<CallsSince>,
    /// Runners that are not in the base or have restarted since, in full.
    others: Vec<RunnerCalls>,
}

impl CallPoolUpdate {
    /// The update from `base` to `now`.
    pub(crate) fn between(
        base: &CallPoolReport,
        now: CallPoolReport,
        number: u32,
    ) -> CallPoolUpdate {
        let (mut changed, mut since) = (0, Vec::new());
        let mut left: HashMap<RunnerId, RunnerCalls> =
            now.runners.into_iter().map(|calls| (calls.runner.clone(), calls)).collect();
        for (nth, before) in base.runners.iter().enumerate().take(MAX_POSITIONS) {
            // A runner that was forgotten has no calls any more.
            let gone = RunnerCalls { in_flight: 0, ..before.clone() };
            let after = left.remove(&before.runner).unwrap_or(gone);
            match CallsSince::between(before, &after) {
                Some(_) if after == *before => {}
                Some(calls) => {
                    changed |= 1 << nth;
                    since.push(calls);
                }
                None => {
                    left.insert(after.runner.clone(), after);
                }
            }
        }
        let others = left.into_values().collect();
        CallPoolUpdate { base: base.tag(), number, waiting: now.waiting, changed, since, others }
    }

    /// Tag of the base.
    pub(crate) fn base(&self) -> BaseTag {
        self.base
    }

    /// Number of the update since the base.
    pub(crate) fn number(&self) -> u32 {
        self.number
    }

    /// The report that results from applying the update to its base.
    pub(crate) fn apply_to(&self, base: &CallPoolReport) -> CallPoolReport {
        let mut since = self.since.iter();
        let others = |calls: &&RunnerCalls| !self.others.iter().any(|it| it.runner == calls.runner);
        let of_base = base.runners.iter().enumerate().map(|(nth, before)| {
            let is_changed = nth < MAX_POSITIONS && self.changed >> nth & 1 == 1;
            let calls = if is_changed { since.next() } else { None };
            calls.map_or_else(|| before.clone(), |calls| calls.add_to(before))
        });
        let mut runners: Vec<RunnerCalls> = of_base.collect();
        runners.retain(|calls| others(&calls));
        runners.extend(self.others.iter().cloned());
        CallPoolReport { waiting: self.waiting, runners, is_needed: base.is_needed }
    }
}
