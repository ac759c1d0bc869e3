//! Simulates gateways that share the quota of one client account by reports, which arrive with a
//! delay.
//!
//! Callers choose gateways at random. The account is entitled to what a single token bucket with
//! immediate knowledge of all requests would admit. What the gateways refuse of that is lost to it.

use std::collections::VecDeque;
use std::ops::Range;
use std::rc::Rc;

use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter, UsageReport};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::QuotaPattern;

/// The account's quota and demand, and the gateways that share it.
#[derive(Clone, Copy, Debug)]
pub struct QuotaLoad {
    /// Number of gateways.
    pub gateways: usize,
    /// The account's quota.
    pub quota: Quota,
    /// Usual demand, relative to the quota.
    pub usual: f64,
    /// Factor on the usual demand while the account is hot.
    pub hot: f64,
    /// Mean cost of a request, in units of the quota.
    pub cost: f64,
    /// Simulated duration, in seconds.
    pub seconds: u64,
    /// How strictly the quota is enforced.
    pub cfg: QuotaConfig,
}

impl QuotaLoad {
    /// An account of medium size in a fleet of `gateways` gateways.
    pub fn new(gateways: usize) -> QuotaLoad {
        let cfg = QuotaConfig { slack: 120_000.0, ..QuotaConfig::default() };
        let quota = Quota { per_second: 60_000.0, burst: 60_000.0 };
        QuotaLoad { gateways, quota, usual: 0.55, hot: 7.5, cost: 1_600.0, seconds: 30, cfg }
    }
}

/// Quota units requested, admitted and lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaOutcome {
    /// Requested units.
    pub requested: f64,
    /// Units that a single token bucket would have admitted.
    pub entitled: f64,
    /// Admitted units.
    pub admitted: f64,
    /// Entitled units in excess of the admitted ones, summed per window.
    pub lost: f64,
    /// Entitled units of requests that a gateway refused, whatever was admitted instead.
    pub refused: f64,
    /// Largest use in any window, relative to the allentitled use.
    pub worst_window: f64,
    /// Rate of non-empty reports from one gateway to another, per second.
    pub reports_per_second: f64,
}

impl QuotaOutcome {
    /// Share of the entitled units whose requests were refused. Meaningful below the quota: a hot
    /// account gets other requests admitted instead.
    pub fn refused_share(&self) -> f64 {
        self.refused / self.entitled.max(1.0)
    }

    /// Share of the entitled units that was lost.
    pub fn lost_share(&self) -> f64 {
        self.lost / self.entitled.max(1.0)
    }
}

/// Start of the fault in simulations with a single one.
const FAULT_START: Millis = Millis(10_000);

/// Duration of a fault, and of a hot account after the start of the last fault, in ms.
const FAULT_DURATION_MS: u64 = 10_000;

/// Times at which all gateways are killed, in ms after the start of that fault.
const KILL_TIMES_MS: [u64; 3] = [2_000, 4_500, 7_000];

/// A pattern and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaFault {
    /// The pattern of demand or the fault.
    pub pattern: QuotaPattern,
    /// Its start; it lasts 10 s.
    pub at: Millis,
}

impl QuotaFault {
    fn span(self) -> Range<u64> {
        self.at.0..self.at.0 + FAULT_DURATION_MS
    }
}

/// Time until a killed gateway is running again, in ms.
const RESTART_MS: u64 = 1_000;

/// Time in which a rolling restart restarts every gateway once, in ms.
const ROLLING_RESTART_MS: u64 = 10_000;

/// Minimum interval between two reports of a gateway, in ms.
const MIN_REPORT_INTERVAL_MS: u64 = 8;
/// Maximum interval between two reports of a gateway, in ms.
const MAX_REPORT_INTERVAL_MS: u64 = 700;
/// Interval between full reports, in ms.
const FULL_REPORT_INTERVAL_MS: u64 = 1_000;

/// Maximum delay of a report, in ms.
const MAX_REPORT_DELAY_MS: u64 = 15;

struct Gateway {
    limiter: QuotaLimiter,
    incarnation: u64,
    /// The gateway does not run before this time.
    running_from: u64,
    reported_at: u64,
    full_report_at: u64,
    /// Whether a report is due before the maximum interval ends.
    is_report_due: bool,
}

/// A report in flight.
struct InFlightReport {
    from: usize,
    to: usize,
    incarnation: u64,
    is_full: bool,
    usage: Rc<UsageReport>,
}

struct QuotaSimulation {
    load: QuotaLoad,
    faults: Vec<QuotaFault>,
    account: ClientAccountName,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    /// Reports in flight, by the ms of their arrival.
    in_flight: VecDeque<Vec<InFlightReport>>,
    /// Content of the single token bucket that determines the entitlement.
    ideal_bucket: f64,
    /// Entitled units, by ms.
    entitled: Vec<f64>,
    /// Admitted units, by ms.
    admitted: Vec<f64>,
    reports: u64,
    outcome: QuotaOutcome,
}

/// Simulates a single pattern.
///
/// ```
/// use bulrushusher_model::{QuotaLoad, QuotaPattern, simulate_quotas};
/// let outcome = simulate_quotas(&QuotaLoad::new(5), QuotaPattern::Usual, 1);
/// assert!(outcome.lost_share() < 0.01 && outcome.worst_window < 1.0, "{outcome:?}");
/// ```
pub fn simulate_quotas(load: &QuotaLoad, pattern: QuotaPattern, seed: u64) -> QuotaOutcome {
    simulate_quota_faults(load, &[QuotaFault { pattern, at: FAULT_START }], seed)
}

/// Simulates several patterns, which may overlap.
pub fn simulate_quota_faults(load: &QuotaLoad, faults: &[QuotaFault], seed: u64) -> QuotaOutcome {
    let mut simulation = QuotaSimulation::new(*load, faults.to_vec(), seed);
    for now in 0..load.seconds * 1_000 {
        simulation.step(now);
    }
    simulation.finish()
}

impl QuotaSimulation {
    fn new(load: QuotaLoad, faults: Vec<QuotaFault>, seed: u64) -> QuotaSimulation {
        let account: ClientAccountName = "studio-7".try_into().expect("the name is valid");
        let gateways = (0..load.gateways).map(|_| gateway(&load, load.quota, &account, 0));
        QuotaSimulation {
            gateways: gateways.collect(),
            load,
            faults,
            account,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: (0..=MAX_REPORT_DELAY_MS).map(|_| Vec::new()).collect(),
            ideal_bucket: load.quota.burst,
            entitled: Vec::new(),
            admitted: Vec::new(),
            reports: 0,
            outcome: QuotaOutcome::default(),
        }
    }

    fn quota(&self, now: u64) -> Quota {
        let is_lowered = |it: &QuotaFault| it.pattern == QuotaPattern::LoweredQuota;
        let is_low = self.faults.iter().any(|it| is_lowered(it) && now >= it.at.0);
        let factor = if is_low { 0.25 } else { 1.0 };
        Quota { per_second: self.load.quota.per_second * factor, ..self.load.quota }
    }

    fn step(&mut self, now: u64) {
        self.apply_faults(now);
        self.deliver_reports(now);
        let quota = self.quota(now);
        self.ideal_bucket = (self.ideal_bucket + quota.per_second / 1_000.0).min(quota.burst);
        let (mut entitled, mut admitted) = (0.0, 0.0);
        for _ in 0..self.arrivals(now) {
            let cost = (self.load.cost * (0.2 + 1.6 * self.rng.random::<f64>())) as u64;
            let nth = self.rng.random_range(0..self.gateways.len());
            self.outcome.requested += cost as f64;
            if self.gateways[nth].running_from > now {
                continue;
            }
            let is_entitled = self.ideal_bucket >= cost as f64;
            if is_entitled {
                self.ideal_bucket -= cost as f64;
                entitled += cost as f64;
            }
            let gateway = &mut self.gateways[nth];
            if gateway.limiter.admit(&self.account, cost, Millis(now)).is_ok() {
                admitted += cost as f64;
                gateway.is_report_due |= gateway.limiter.is_report_due(&self.account);
            } else if is_entitled {
                self.outcome.refused += cost as f64;
            }
        }
        self.entitled.push(entitled);
        self.admitted.push(admitted);
        for nth in 0..self.gateways.len() {
            self.send_report(nth, now);
        }
    }

    /// Number of requests that arrive in this ms.
    fn arrivals(&mut self, now: u64) -> usize {
        let hot = self.faults.iter().filter(|it| it.pattern.is_hot());
        let from = hot.clone().map(|it| it.span().start).min();
        let until = hot.map(|it| it.span().end).max();
        let is_hot = from.is_some_and(|from| now >= from) && until.is_some_and(|end| now < end);
        let factor = if is_hot { self.load.hot } else { 1.0 };
        let per_ms =
            self.load.quota.per_second * self.load.usual * factor / self.load.cost / 1_000.0;
        let whole = per_ms.floor();
        whole as usize + usize::from(self.rng.random::<f64>() < per_ms - whole)
    }

    fn apply_faults(&mut self, now: u64) {
        for fault in self.faults.clone() {
            self.apply_fault(fault, now);
        }
    }

    fn apply_fault(&mut self, fault: QuotaFault, now: u64) {
        let Some(since) = now.checked_sub(fault.at.0) else { return };
        let count = self.gateways.len() as u64;
        match fault.pattern {
            QuotaPattern::TotalRestart if KILL_TIMES_MS.contains(&since) => {
                (0..self.gateways.len()).for_each(|nth| self.restart(nth, now));
            }
            QuotaPattern::UsualTotalRestart if since == KILL_TIMES_MS[0] => {
                (0..self.gateways.len()).for_each(|nth| self.restart(nth, now));
            }
            QuotaPattern::RollingRestart | QuotaPattern::UsualRollingRestart
                if fault.span().contains(&now) =>
            {
                let since = since.saturating_sub(500);
                if since.is_multiple_of(ROLLING_RESTART_MS / count) {
                    self.restart((since / (ROLLING_RESTART_MS / count) % count) as usize, now);
                }
            }
            QuotaPattern::LoweredQuota if since == 0 => {
                let quota = self.quota(now);
                for gateway in &mut self.gateways {
                    gateway.limiter.set_quotas([(&self.account, Some(quota))], Millis(now));
                }
            }
            _ => {}
        }
    }

    fn restart(&mut self, nth: usize, now: u64) {
        let running_from = now + RESTART_MS;
        self.gateways[nth] = gateway(&self.load, self.quota(now), &self.account, running_from);
    }

    /// Whether reports of one gateway reach the other.
    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        let half = self.gateways.len() / 2;
        let tenth = self.gateways.len().div_ceil(10);
        let mut active = self.faults.iter().filter(|it| it.span().contains(&now));
        active.all(|it| match it.pattern {
            QuotaPattern::Partition => (from < half) == (to < half),
            QuotaPattern::TenthIsolated => from >= tenth && to >= tenth,
            _ => true,
        })
    }

    /// Share of lost reports between gateways.
    fn report_loss(&self) -> f64 {
        self.faults.iter().map(|it| it.pattern.report_loss()).fold(0.0, f64::max)
    }

    fn send_report(&mut self, nth: usize, now: u64) {
        let gateway = &mut self.gateways[nth];
        let elapsed = now - gateway.reported_at.min(now);
        let is_due = gateway.is_report_due && elapsed >= MIN_REPORT_INTERVAL_MS
            || elapsed >= MAX_REPORT_INTERVAL_MS;
        if gateway.running_from > now || !is_due && gateway.reported_at != gateway.running_from {
            return;
        }
        let is_full = now - gateway.full_report_at.min(now) >= FULL_REPORT_INTERVAL_MS;
        let usage = Rc::new(gateway.limiter.next_report(is_full, Millis(now)));
        (gateway.reported_at, gateway.is_report_due) = (now.max(gateway.running_from + 1), false);
        if is_full {
            gateway.full_report_at = now;
        }
        let incarnation = gateway.incarnation;
        self.reports += u64::from(!usage.accounts.is_empty());
        for to in 0..self.gateways.len() {
            let is_lost = self.rng.random::<f64>() < self.report_loss();
            if to == nth || is_lost || !self.reaches(nth, to, now) {
                continue;
            }
            let delay = self.rng.random_range(1..=MAX_REPORT_DELAY_MS) as usize;
            let report =
                InFlightReport { from: nth, to, incarnation, is_full, usage: usage.clone() };
            self.in_flight[delay - 1].push(report);
        }
    }

    fn deliver_reports(&mut self, now: u64) {
        let arrived = self.in_flight.pop_front().unwrap_or_default();
        self.in_flight.push_back(Vec::new());
        for report in arrived {
            let InFlightReport { from, to, incarnation, is_full, usage } = report;
            let gateway = &mut self.gateways[to];
            if gateway.running_from <= now {
                gateway.limiter.merge_report(
                    &format!("gateway-{from}"),
                    incarnation,
                    &usage,
                    is_full,
                    Millis(now),
                );
            }
        }
    }

    fn finish(self) -> QuotaOutcome {
        let mut outcome = self.outcome;
        outcome.entitled = self.entitled.iter().sum();
        outcome.admitted = self.admitted.iter().sum();
        let window = self.load.cfg.window.0 as usize;
        for (entitled, admitted) in self.entitled.chunks(window).zip(self.admitted.chunks(window)) {
            let missing = entitled.iter().sum::<f64>() - admitted.iter().sum::<f64>();
            outcome.lost += missing.max(0.0);
        }
        let mut sum = 0.0;
        for now in 0..self.admitted.len() {
            sum += self.admitted[now];
            if now >= window {
                sum -= self.admitted[now - window];
            }
            let quota = self.allentitled_at(now, window);
            let in_window = quota.per_second / 1_000.0 * window as f64 + quota.burst;
            let cfg = self.load.cfg;
            let allentitled = in_window * (1.0 + cfg.overage) + cfg.slack;
            outcome.worst_window = outcome.worst_window.max(sum / allentitled);
        }
        let gateway_seconds = self.gateways.len() as f64 * self.load.seconds as f64;
        outcome.reports_per_second = self.reports as f64 / gateway_seconds;
        outcome
    }

    /// The quota that applies to the window that ends at `now`. A lowered quota applies to the
    /// windows that start after the change.
    fn allentitled_at(&self, now: usize, window: usize) -> Quota {
        self.quota(now.saturating_sub(window) as u64)
    }
}

fn gateway(
    load: &QuotaLoad,
    quota: Quota,
    account: &ClientAccountName,
    running_from: u64,
) -> Gateway {
    let mut limiter = QuotaLimiter::new(load.cfg, Millis(running_from));
    limiter.set_quotas([(account, Some(quota))], Millis(running_from));
    limiter.set_announced_peers(load.gateways - 1, Millis(running_from));
    Gateway {
        limiter,
        incarnation: running_from,
        running_from,
        reported_at: running_from,
        full_report_at: 0,
        is_report_due: true,
    }
}
