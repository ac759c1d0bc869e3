//! Plain calls of all gateways at the runners that they share: the choice of the runner, and what
//! waits or is refused while the pool is full.
//!
//! Each gateway decides for its own calls, from its own state and the reports of its peers. A call
//! that can be on time is sent at once. One that would be late waits at its gateway and is sent
//! when the runners' queues are short, so that it delays no call that can still be on time. Calls
//! are refused only if they cannot be answered before their deadline.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RunnerId};

use crate::call_peers::{PeerCalls, PeersCalls};
use crate::call_stats::{RunnerStats, project_in_flight};
use crate::water_filling::{RunnerLevel, pick_by_share};
use crate::{
    CallPoolReport, CallPoolUpdate, DeltaOutcome, PlaceView, Runner, RunnerCalls, RunnerLoads,
};

/// Parameters of a [`CallPool`].
#[derive(Clone, Copy, Debug)]
pub struct CallPoolConfig {
    /// Number of slots for each gateway below which gateways share their calls.
    pub max_slots_per_gateway: f64,
    /// Maximum number of gateways that share their calls.
    pub max_gateways: usize,
    /// Time between reports of a busy pool, for each gateway.
    pub interval_per_gateway: Millis,
    /// Minimum time between reports of a busy pool.
    pub min_interval: Millis,
    /// Maximum time between reports of a busy pool.
    pub max_interval: Millis,
    /// Share of its slots above which a pool is busy.
    pub busy_share: f64,
    /// Own calls since the last report after which one is due in any case.
    pub calls_per_report: u64,
    /// Time between the writing of a report and its arrival.
    pub report_delay: Millis,
    /// Report intervals after which the calls of a silent peer no longer count.
    pub forget_after_intervals: u64,
    /// Minimum time after which the calls of a silent peer no longer count.
    pub min_forget_after: Millis,
    /// Time constant of the learned service times and call rates.
    pub memory: Millis,
    /// Weight of the pool's mean service time in that of a runner, in answers.
    pub prior_answers: f64,
    /// Expected response time up to which all first attempts are sent, as a share of the time left
    /// to the target.
    pub all_sent_below: f64,
    /// Expected response time from which all first attempts wait, as the same share. In between, a
    /// part of them waits.
    pub none_sent_above: f64,
    /// Expected response time up to which late calls are sent, as a share of the target.
    pub late_share: f64,
    /// The same for a late call that has no time left.
    pub last_share: f64,
    /// Power of the used share of a late call's time by which it moves from one to the other.
    pub urgency_power: i32,
    /// Time between two decisions on a waiting call.
    pub poll_interval: Millis,
    /// Waiting calls over all gateways from which further ones are refused, as a share of the calls
    /// that the pool answers in the time left.
    pub max_waiting_share: f64,
    /// Minimum Retry-After.
    pub min_retry_after: Millis,
    /// Maximum Retry-After, as a share of the caller's time left.
    pub max_retry_share: f64,
    /// Random addition to Retry-After, as a share of it.
    pub retry_spread: f64,
}

impl Default for CallPoolConfig {
    /// With fewer than 0.75 slots, a gateway has less than one call in flight on average and cannot
    /// tell the load from its own calls. Reports of more than 100 gateways would be too old or
    /// exceed the network budget. A service time is learned within 300 ms, as a slow phase takes
    /// about 600 ms. A report arrives after the delay of a wide-area link. First attempts wait
    /// increasingly from 0.7 of the target on: reports are some service times old, and a sharp limit
    /// makes all gateways send and hold back together, which leaves slots unused. Late calls are
    /// sent up to 0.6 of the target, and beyond the whole target shortly before their deadline: that
    /// uses the runners' own queues as a last resort. More waiting calls than half of those that the
    /// pool can answer in time would mostly wait in vain, as further first attempts arrive. Callers
    /// honour a Retry-After of up to a third of their time left.
    fn default() -> CallPoolConfig {
        CallPoolConfig {
            max_slots_per_gateway: 0.75,
            max_gateways: 100,
            interval_per_gateway: Millis(5),
            min_interval: Millis(50),
            max_interval: Millis(500),
            busy_share: 0.5,
            calls_per_report: 8,
            report_delay: Millis(20),
            forget_after_intervals: 3,
            min_forget_after: Millis(400),
            memory: Millis(300),
            prior_answers: 2.0,
            all_sent_below: 0.7,
            none_sent_above: 2.0,
            late_share: 0.6,
            last_share: 1.3,
            urgency_power: 4,
            poll_interval: Millis(40),
            max_waiting_share: 0.5,
            min_retry_after: Millis(100),
            max_retry_share: 0.33,
            retry_spread: 0.5,
        }
    }
}

/// A call that needs a runner.
#[derive(Clone, Copy, Debug)]
pub struct CallToPlace<'a> {
    /// Data centre of this gateway; its runners win ties.
    pub data_centre: &'a DataCentreName,
    /// Results of this gateway's calls; runners that fail most of them are avoided.
    pub loads: &'a RunnerLoads,
    /// How far away the runners are.
    pub places: PlaceView<'a>,
    /// Response-time target of the route; zero if it has none.
    pub target: Millis,
    /// Time left to the target, counted from the caller's first attempt.
    pub left_to_target: Millis,
    /// Time left to the caller's deadline.
    pub left: Millis,
    /// Time for which the call has waited for the pool to have room.
    pub waited: Millis,
    /// A random number in `0.0..1.0` for the choice of the runner and the spread of Retry-After.
    pub draw: f64,
    /// A random number in `0.0..1.0` for the admission.
    pub admission_draw: f64,
}

/// Decision on the first attempt of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Send it to this runner.
    Send(RunnerId),
    /// Keep it at the gateway and decide again after [`CallPoolConfig::poll_interval`].
    Wait,
    /// Refuse it as not run.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Millis,
        /// The load that the decision is based on.
        load: CallPoolLoad,
    },
    /// There is no runner to choose from.
    NoRunner,
}

/// Estimated load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallPoolLoad {
    /// Expected response time at the best runner, in ms.
    pub expected_ms: f64,
    /// Calls in flight, over all gateways.
    pub in_flight: f64,
    /// Calls that wait, over all gateways.
    pub waiting: u64,
    /// Slots of all runners.
    pub slots: u64,
    /// Mean service time in ms; 0 before any answer is known.
    pub service_ms: f64,
    /// Peers whose calls are known.
    pub peers: usize,
}

impl CallPoolLoad {
    /// True if the load is known well enough to hold back calls.
    fn is_known(&self) -> bool {
        self.peers > 0 && self.service_ms > 0.0
    }

    /// Calls that the pool answers within `time`.
    fn answered_in(&self, time: Millis) -> f64 {
        self.slots as f64 / self.service_ms * time.0 as f64
    }
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTicket {
    epoch: u64,
    slots: u32,
    /// Estimated calls in flight at the runner when it was sent.
    in_flight: f64,
}

#[derive(Clone, Debug, Default)]
struct OwnCalls {
    epoch: u64,
    in_flight: u32,
    started: u64,
    answered: u64,
    service_ms: f64,
}

/// Plain calls of this gateway and its peers, by runner.
///
/// ```
/// use bulrushusher_forward::{CallPool, CallPoolConfig};
/// use bulrushusher_time::Millis;
/// let pool = CallPool::new(CallPoolConfig::default());
/// assert!(pool.is_scarce(18, 31), "31 gateways share 18 slots");
/// assert!(!pool.is_scarce(18, 3));
/// assert!(!pool.is_scarce(18, 101), "reports would be too many");
/// assert_eq!(pool.report_interval(31), Millis(155));
/// ```
#[derive(Clone, Debug)]
pub struct CallPool {
    cfg: CallPoolConfig,
    last_epoch: u64,
    own: BTreeMap<RunnerId, OwnCalls>,
    peers: PeersCalls,
    stats: BTreeMap<RunnerId, RunnerStats>,
    started_since_report: u64,
    waiting: u32,
    /// The last full report, and the number of its updates so far.
    base: Option<CallPoolReport>,
    updates: u32,
}

impl CallPool {
    /// Creates an empty pool.
    pub fn new(cfg: CallPoolConfig) -> CallPool {
        CallPool {
            cfg,
            last_epoch: 0,
            own: BTreeMap::new(),
            peers: PeersCalls::default(),
            stats: BTreeMap::new(),
            started_since_report: 0,
            waiting: 0,
            base: None,
            updates: 0,
        }
    }

    /// True where so many gateways share so few slots that none of them knows the load from its
    /// own calls. `gateways` includes this one.
    pub fn is_scarce(&self, slots: u64, gateways: usize) -> bool {
        self.may_share(gateways)
            && (slots as f64) < self.cfg.max_slots_per_gateway * gateways as f64
    }

    /// True if so few gateways may share their calls. `gateways` includes this one.
    pub fn may_share(&self, gateways: usize) -> bool {
        gateways <= self.cfg.max_gateways
    }

    /// Time between reports of a busy pool.
    pub fn report_interval(&self, gateways: usize) -> Millis {
        let interval = Millis(self.cfg.interval_per_gateway.0 * gateways as u64);
        interval.clamp(self.cfg.min_interval, self.cfg.max_interval)
    }

    /// Time between two decisions on a waiting call.
    pub fn poll_interval(&self) -> Millis {
        self.cfg.poll_interval
    }

    /// Time without a report after which the calls of a peer no longer count.
    fn peer_lifetime(&self) -> Millis {
        let interval = self.report_interval(self.peers.known() + 1);
        Millis(interval.0 * self.cfg.forget_after_intervals).max(self.cfg.min_forget_after)
    }

    /// Records that a call is sent to the runner.
    pub fn begin(&mut self, runner: &Runner, now: Millis) -> CallTicket {
        let in_flight = self.in_flight(&runner.id, runner.slots, now) + 1.0;
        self.last_epoch += 1;
        let unknown = OwnCalls { epoch: self.last_epoch, ..OwnCalls::default() };
        let own = self.own.entry(runner.id.clone()).or_insert(unknown);
        own.in_flight += 1;
        own.started += 1;
        let epoch = own.epoch;
        self.started_since_report += 1;
        self.stats_mut(&runner.id).record_starts(1, now);
        CallTicket { epoch, slots: runner.slots, in_flight }
    }

    /// Records the end of a call; `response` is the response time of an answer without the round
    /// trip to another region. The end of a call
    /// from before the runner was forgotten is ignored.
    pub fn end(
        &mut self,
        runner: &RunnerId,
        ticket: CallTicket,
        response: Option<Millis>,
        now: Millis,
    ) {
        // Reports that arrived meanwhile tell more about the queue that the call met.
        let in_flight = f64::midpoint(ticket.in_flight, self.in_flight(runner, ticket.slots, now));
        let Some(own) = self.own.get_mut(runner).filter(|own| own.epoch == ticket.epoch) else {
            return;
        };
        own.in_flight = own.in_flight.saturating_sub(1);
        if let Some(response) = response {
            let turns = (in_flight / slots(ticket.slots)).max(1.0);
            let service_ms = response.0.max(1) as f64 / turns;
            own.answered += 1;
            own.service_ms += service_ms;
            self.stats_mut(runner).record_answers(1, service_ms, now);
        }
    }

    /// Records that a call begins to wait.
    pub fn begin_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Records that a call no longer waits.
    pub fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    fn stats_mut(&mut self, runner: &RunnerId) -> &mut RunnerStats {
        let memory = self.cfg.memory;
        self.stats.entry(runner.clone()).or_insert_with(|| RunnerStats::new(memory))
    }

    /// Forgets a runner that is gone or has restarted.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.own.remove(runner);
        self.stats.remove(runner);
        self.peers.forget(runner);
    }

    /// This gateway's calls, for a full report to the peers. Later updates build on it.
    pub fn report(&mut self) -> CallPoolReport {
        self.started_since_report = 0;
        self.updates = 0;
        let report = self.current();
        self.base = Some(report.clone());
        report
    }

    /// The last full report, for a peer that has missed it.
    pub fn last_report(&self) -> Option<&CallPoolReport> {
        self.base.as_ref()
    }

    /// What has changed since the last full report; `None` before the first one.
    ///
    /// ```
    /// use bulrushusher_forward::{CallPool, CallPoolConfig, DeltaOutcome};
    /// use bulrushusher_time::Millis;
    /// let mut pool = CallPool::new(CallPoolConfig::default());
    /// assert_eq!(pool.update(), None);
    /// let base = pool.report();
    /// let update = pool.update().unwrap();
    /// let mut peer = CallPool::new(CallPoolConfig::default());
    /// assert_eq!(peer.merge_update("g1", &update, Millis(1)), DeltaOutcome::Gap);
    /// peer.merge("g1", 1, base, Millis(2));
    /// assert_eq!(peer.merge_update("g1", &update, Millis(3)), DeltaOutcome::Applied);
    /// ```
    pub fn update(&mut self) -> Option<CallPoolUpdate> {
        let base = self.base.as_ref()?;
        self.updates += 1;
        let update = CallPoolUpdate::between(base, self.current(), self.updates);
        self.started_since_report = 0;
        Some(update)
    }

    fn current(&self) -> CallPoolReport {
        let calls = self.own.iter().map(|(runner, own)| RunnerCalls {
            runner: runner.clone(),
            in_flight: own.in_flight,
            started: own.started,
            answered: own.answered,
            service_ms: own.service_ms as u64,
        });
        CallPoolReport { waiting: self.waiting, runners: calls.collect(), is_needed: false }
    }

    /// True if a report is due before the usual time: the pool is busy, or this gateway has sent
    /// some calls since its last report.
    pub fn is_report_due(&self, pool: &[&Runner], now: Millis) -> bool {
        self.started_since_report >= self.cfg.calls_per_report || self.is_busy(pool, now)
    }

    /// True if more than half of the pool's slots are in use.
    pub fn is_busy(&self, pool: &[&Runner], now: Millis) -> bool {
        let in_flight = |r: &&Runner| self.in_flight(&r.id, r.slots, now);
        let slots = slots_of(pool.iter().copied());
        pool.iter().map(in_flight).sum::<f64>() > self.cfg.busy_share * slots as f64
    }

    /// Merges the full report of a peer. `incarnation` is the peer's start; the totals of its first
    /// report are a baseline.
    pub fn merge(&mut self, peer: &str, incarnation: u64, report: CallPoolReport, now: Millis) {
        let calls = PeerCalls::new(incarnation, report, now);
        if !self.peers.is_outdated(peer, &calls) {
            self.replace_peer(peer, calls, now);
        }
    }

    /// Merges an update of a peer. After [`DeltaOutcome::Gap`] nothing of it was applied, and the
    /// full report that it builds on is needed.
    pub fn merge_update(
        &mut self,
        peer: &str,
        update: &CallPoolUpdate,
        now: Millis,
    ) -> DeltaOutcome {
        match self.peers.get(peer).map(|known| known.update(update, now)) {
            None => DeltaOutcome::Gap,
            Some(Err(outcome)) => outcome,
            Some(Ok(calls)) => {
                self.replace_peer(peer, calls, now);
                DeltaOutcome::Applied
            }
        }
    }

    fn replace_peer(&mut self, peer: &str, calls: PeerCalls, now: Millis) {
        let incarnation = calls.incarnation;
        let before = self.peers.replace(peer, calls.clone());
        if let Some(before) = before.filter(|before| before.incarnation == incarnation) {
            for (old, new) in calls.since(&before) {
                self.record_difference(old, new, now);
            }
        }
        self.remove_silent_peers(now);
    }

    /// Removes the calls of silent peers, before a decision: no merge may follow for 700 ms.
    pub fn remove_silent_peers(&mut self, now: Millis) {
        let lifetime = self.peer_lifetime();
        self.peers.remove_silent(lifetime, now);
    }

    fn record_difference(&mut self, old: &RunnerCalls, new: &RunnerCalls, now: Millis) {
        let stats = self.stats_mut(&new.runner);
        stats.record_starts(new.started.saturating_sub(old.started), now);
        let service_ms = new.service_ms.saturating_sub(old.service_ms) as f64;
        stats.record_answers(new.answered.saturating_sub(old.answered), service_ms, now);
    }

    /// Estimated calls in flight at a runner, over all gateways.
    fn in_flight(&self, runner: &RunnerId, runner_slots: u32, now: Millis) -> f64 {
        let own = f64::from(self.own.get(runner).map_or(0, |own| own.in_flight));
        if self.peers.count(self.peer_lifetime(), now) == 0 {
            return own;
        }
        let in_flight = own + self.peers.in_flight(runner) as f64;
        let Some(stats) = self.stats.get(runner) else { return in_flight };
        let age = self.peers.mean_age_ms(now) + self.cfg.report_delay.0 as f64;
        project_in_flight(in_flight, stats, slots(runner_slots), age, now)
    }

    /// Chooses the runner of a call that is sent in any case.
    pub fn choose(&self, pool: &[&Runner], call: CallToPlace<'_>, now: Millis) -> Option<RunnerId> {
        let levels = self.levels(pool, Some(&call), now);
        let interval = self.report_interval(self.peers.known() + 1).0 as f64;
        let rate = |runner: &&Runner| self.stats.get(&runner.id).map_or(0.0, |it| it.rate(now));
        let until_report = pool.iter().map(rate).sum::<f64>() * interval;
        let at = pick_by_share(&levels, until_report, call.draw)?;
        pool.get(at).map(|runner| runner.id.clone())
    }

    /// Decides on the first attempt of a call.
    pub fn admit(&self, pool: &[&Runner], call: CallToPlace<'_>, now: Millis) -> Admission {
        let load = self.load(pool, now);
        if !load.is_known() || call.target == Millis(0) || self.may_be_sent(&load, &call) {
            return self.choose(pool, call, now).map_or(Admission::NoRunner, Admission::Send);
        }
        let may_join = call.waited > Millis(0)
            || (load.waiting as f64) < load.answered_in(call.left) * self.cfg.max_waiting_share;
        let has_time = load.expected_ms + load.service_ms < call.left.0 as f64;
        match may_join && has_time {
            true => Admission::Wait,
            false => Admission::Refuse { retry_after: self.retry_after(&load, &call), load },
        }
    }

    fn may_be_sent(&self, load: &CallPoolLoad, call: &CallToPlace<'_>) -> bool {
        let is_late = call.waited > Millis(0) || call.left_to_target < call.target.share(0.5);
        if is_late {
            return call.admission_draw < self.late_send_probability(load, call);
        }
        let CallPoolConfig { all_sent_below: low, none_sent_above: high, .. } = self.cfg;
        let share = load.expected_ms / call.left_to_target.0 as f64;
        call.admission_draw >= (share - low) / (high - low)
    }

    /// Share of the waiting calls, over all gateways, for which the pool has room at this decision.
    /// All of them may take the room that the reports show until the next reports arrive.
    fn late_send_probability(&self, load: &CallPoolLoad, call: &CallToPlace<'_>) -> f64 {
        let waited = call.waited.0 as f64;
        let used = waited / (waited + call.left.0 as f64).max(1.0);
        let CallPoolConfig { late_share, last_share, urgency_power, .. } = self.cfg;
        let share = late_share + (last_share - late_share) * used.powi(urgency_power);
        let room = load.answered_in(call.target) * share - load.in_flight;
        let interval = self.report_interval(self.peers.known() + 1).0 as f64;
        let decisions = interval / self.cfg.poll_interval.0.max(1) as f64;
        room / (load.waiting.max(1) as f64 * decisions)
    }

    /// Time in which the waiting calls beyond the limit are answered, within the configured bounds.
    fn retry_after(&self, load: &CallPoolLoad, call: &CallToPlace<'_>) -> Millis {
        let limit = load.answered_in(call.left) * self.cfg.max_waiting_share;
        let excess = (load.waiting as f64 - limit).max(0.0);
        let wait = excess * load.service_ms / load.slots.max(1) as f64;
        let spread = 1.0 + self.cfg.retry_spread * call.draw;
        let wait = Millis((wait.max(self.cfg.min_retry_after.0 as f64) * spread) as u64);
        wait.min(call.left.share(self.cfg.max_retry_share))
    }

    /// Estimated load of the pool.
    pub fn load(&self, pool: &[&Runner], now: Millis) -> CallPoolLoad {
        let levels = self.levels(pool, None, now);
        let best = levels.iter().map(RunnerLevel::expected_ms).min_by(f64::total_cmp);
        let peers = self.peers.count(self.peer_lifetime(), now);
        CallPoolLoad {
            expected_ms: best.unwrap_or(0.0),
            in_flight: levels.iter().map(|level| level.in_flight).sum(),
            waiting: u64::from(self.waiting) + if peers > 0 { self.peers.waiting() } else { 0 },
            slots: slots_of(pool.iter().copied()),
            service_ms: self.mean_service_ms(pool, now).unwrap_or(0.0),
            peers,
        }
    }

    /// Loads of the runners, with the preferences of a call.
    fn levels(
        &self,
        pool: &[&Runner],
        call: Option<&CallToPlace<'_>>,
        now: Millis,
    ) -> Vec<RunnerLevel> {
        let mean_ms = self.mean_service_ms(pool, now).unwrap_or(1.0).max(1.0);
        let level = |runner: &&Runner| {
            let service_ms = self.service_ms(&runner.id, mean_ms, now);
            RunnerLevel {
                in_flight: self.in_flight(&runner.id, runner.slots, now),
                slots: slots(runner.slots),
                service_ms,
                cost_factor: call.map_or(1.0, |call| call.cost_factor(runner, service_ms)),
            }
        };
        pool.iter().map(level).collect()
    }

    /// Service time of a runner. Without recent answers it approaches the mean of the pool, so that
    /// a runner that was slow is tried again.
    fn service_ms(&self, runner: &RunnerId, mean_ms: f64, now: Millis) -> f64 {
        let (answers, sum) = self.stats.get(runner).map_or((0.0, 0.0), |it| it.answers(now));
        let prior = self.cfg.prior_answers;
        (sum + prior * mean_ms) / (answers + prior)
    }

    fn mean_service_ms(&self, pool: &[&Runner], now: Millis) -> Option<f64> {
        let of = |r: &&Runner| self.stats.get(&r.id).map_or((0.0, 0.0), |it| it.answers(now));
        let (answers, sum) =
            pool.iter().map(of).fold((0.0, 0.0), |(n, sum), (m, ms)| (n + m, sum + ms));
        (answers > 0.0).then(|| sum / answers)
    }
}

/// Slots of some runners together.
pub fn slots_of<'a>(runners: impl Iterator<Item = &'a Runner>) -> u64 {
    runners.map(|runner| u64::from(runner.slots)).sum()
}

fn slots(slots: u32) -> f64 {
    f64::from(slots.max(1))
}

/// Cost factor of runners in the gateway's data centre; they win ties.
const LOCAL_COST_FACTOR: f64 = 0.95;

impl CallToPlace<'_> {
    /// Factor of the cost of a runner with this service time. Service times are without the
    /// distance, so that the gateways of all regions learn the same ones.
    fn cost_factor(&self, runner: &Runner, service_ms: f64) -> f64 {
        let is_local = runner.data_centre == *self.data_centre;
        let locality = if is_local { LOCAL_COST_FACTOR } else { 1.0 };
        let distance = 1.0 + self.places.extra_ms(&runner.data_centre) / service_ms.max(1.0);
        locality * distance * self.loads.failure_factor(&runner.id)
    }
}
