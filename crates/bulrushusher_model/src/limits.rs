//! Simulates gateways that share the rate limit of a runner, which they learn from its responses
//! and from each other's reports.
//!
//! Demand always exceeds the limit. Exceeding the limit would overload the runner, and staying
//! below it would make callers wait although the runner has capacity.

use std::rc::Rc;

use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter, Sharing, UsageReport};
use bulrushusher_forward::{
    BackPressure, BackPressureConfig, DemandMeter, LimitReport, RateLimit, Runner, RunnerSignals,
    StartTimes,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How gateways share a limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitSharing {
    /// Each gateway gets an equal share and may accumulate one request.
    #[display("even parts")]
    Even,
    /// All gateways use one shared token bucket and report their use to each other.
    #[display("one bucket, told")]
    SharedBucket,
    /// A few gateways, chosen by rendezvous hashing, get a share each. The real gateways do this.
    #[display("few sharers")]
    FewGateways,
}

impl LimitSharing {
    /// All ways of sharing.
    pub const ALL: [LimitSharing; 3] =
        [LimitSharing::Even, LimitSharing::SharedBucket, LimitSharing::FewGateways];
}

/// The fault or change during a simulation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitPattern {
    /// No change.
    #[display("steady")]
    Steady,
    /// The runner halves its limit.
    #[display("halved limit")]
    Halved,
    /// All gateways are killed at the same time and restart a second later.
    #[display("total restart")]
    TotalRestart,
    /// A network partition into two halves for some seconds.
    #[display("two halves")]
    Partition,
    /// One in ten reports between gateways is lost.
    #[display("lost words")]
    LostReports,
    /// A new gateway starts.
    #[display("a gateway joins")]
    GatewayJoins,
}

impl LimitPattern {
    /// All patterns.
    pub const ALL: [LimitPattern; 6] = [
        LimitPattern::Steady,
        LimitPattern::Halved,
        LimitPattern::TotalRestart,
        LimitPattern::Partition,
        LimitPattern::LostReports,
        LimitPattern::GatewayJoins,
    ];

    /// Share of lost reports between gateways.
    fn report_loss(self) -> f64 {
        match self {
            LimitPattern::LostReports => 0.1,
            _ => 0.001,
        }
    }
}

/// Requests that the runner received.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitOutcome {
    /// Largest number in any 4 s, relative to the allowed number.
    pub worst_span: f64,
    /// Number of requests relative to the limit.
    pub used: f64,
}

/// Duration of a simulation, in ms.
const DURATION_MS: u64 = 30_000;

/// Period of the fault, in ms.
const FAULT_MS: std::ops::Range<u64> = 12_000..20_000;

/// Time until a killed gateway is running again, in ms.
const RESTART_MS: u64 = 1_000;

/// Mean rate of callers per gateway. The busiest gateway has three times as many as the others.
const CALLERS_PER_SECOND: f64 = 8.0;

/// Time from a request to its response, in ms.
const RESPONSE_MS: u64 = 40;

/// Length of the spans in which requests are compared to the limit, in ms.
const SPAN_MS: usize = 4_000;
/// Time from the start that is not evaluated, in which gateways learn the limit, in ms.
const WARM_UP_MS: usize = 3_000;

/// Requests of a gateway count from this time after its first response, in ms.
const COUNTED_AFTER_MS: u64 = 500;

/// Maximum interval between two reports of a gateway, in ms.
const REPORT_INTERVAL_MS: u64 = 700;
/// Maximum delay of a report, in ms.
const MAX_REPORT_DELAY_MS: u64 = 15;

/// Quota units per request, for the ways of sharing that use a quota.
const REQUEST_UNITS: u64 = 1_000;

/// Number of requests that a limit allows in a span.
fn allowed_in_span(per_second: f64) -> f64 {
    1.5 * per_second * (SPAN_MS as f64 / 1_000.0) + 5.0
}

/// The rate limiter of a gateway.
enum Limiter {
    BackPressure(Box<BackPressure>),
    Bucket(Box<QuotaLimiter>),
}

/// A report from one gateway to the others.
#[derive(Clone)]
enum Report {
    Limits { demand: u32, limits: Rc<Vec<LimitReport>> },
    Usage(Rc<UsageReport>),
}

struct Gateway {
    limiter: Limiter,
    demand: DemandMeter,
    incarnation: u64,
    /// The gateway does not run before this time.
    running_from: u64,
    reported_at: u64,
    /// Whether a report is due before the interval ends.
    is_report_due: bool,
    /// Time of the first response, which contains the limit.
    limit_known_at: Option<u64>,
}

/// A report in flight.
struct InFlightReport {
    from: usize,
    to: usize,
    incarnation: u64,
    report: Report,
}

struct LimitSimulation {
    limit: f64,
    sharing: LimitSharing,
    pattern: LimitPattern,
    rng: ChaCha8Rng,
    runner: Runner,
    account: ClientAccountName,
    gateways: Vec<Gateway>,
    /// Reports in flight, by the ms of their arrival.
    in_flight: Vec<Vec<InFlightReport>>,
    /// Gateways that receive a response, by ms.
    responses: Vec<Vec<usize>>,
    /// Requests that the runner received, by ms.
    received: Vec<u32>,
    /// Those that are compared to the limit, by ms.
    counted: Vec<u32>,
}

/// Simulates a pattern with `gateways` gateways and a runner with a limit of `limit` requests per
/// second.
///
/// ```
/// use bulrushusher_model::{LimitPattern, LimitSharing, simulate_limit};
/// let outcome = simulate_limit(5, 2.0, LimitSharing::FewGateways, LimitPattern::Steady, 1);
/// assert!(outcome.worst_span <= 1.0 && outcome.used > 0.8, "{outcome:?}");
/// ```
pub fn simulate_limit(
    gateways: usize,
    limit: f64,
    sharing: LimitSharing,
    pattern: LimitPattern,
    seed: u64,
) -> LimitOutcome {
    let mut simulation = LimitSimulation::new(gateways, limit, sharing, pattern, seed);
    for now in 0..DURATION_MS {
        simulation.step(now);
    }
    simulation.finish()
}

impl LimitSimulation {
    fn new(
        count: usize,
        limit: f64,
        sharing: LimitSharing,
        pattern: LimitPattern,
        seed: u64,
    ) -> LimitSimulation {
        let mut simulation = LimitSimulation {
            limit,
            sharing,
            pattern,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runner: runner(),
            account: "i-1".try_into().expect("the name is valid"),
            gateways: Vec::new(),
            in_flight: (0..DURATION_MS + MAX_REPORT_DELAY_MS + 1).map(|_| Vec::new()).collect(),
            responses: (0..DURATION_MS + RESPONSE_MS + 1).map(|_| Vec::new()).collect(),
            received: Vec::new(),
            counted: Vec::new(),
        };
        simulation.gateways = (0..count).map(|nth| simulation.gateway(nth, 0)).collect();
        if pattern == LimitPattern::GatewayJoins {
            let joiner = simulation.gateways.len() - 1;
            simulation.gateways[joiner].running_from = FAULT_MS.start;
        }
        simulation
    }

    fn gateway(&self, nth: usize, running_from: u64) -> Gateway {
        let now = Millis(running_from);
        let bucket = |sharing| {
            // The allowance of a span above the limit covers use that gateways have not yet
            // reported to each other.
            let slack = 5.0 * REQUEST_UNITS as f64;
            let window = Millis(SPAN_MS as u64);
            let cfg =
                QuotaConfig { sharing, window, overage: 0.5, slack, ..QuotaConfig::default() };
            let mut limiter = QuotaLimiter::new(cfg, now);
            limiter.set_quotas([(&self.account, Some(self.quota()))], now);
            Limiter::Bucket(Box::new(limiter))
        };
        let limiter = match self.sharing {
            LimitSharing::FewGateways => {
                let name = format!("gateway-{nth}").into();
                let cfg = BackPressureConfig::default();
                Limiter::BackPressure(Box::new(BackPressure::new(cfg, name)))
            }
            LimitSharing::SharedBucket => bucket(Sharing::Told),
            LimitSharing::Even => bucket(Sharing::Even),
        };
        Gateway {
            limiter,
            demand: DemandMeter::default(),
            incarnation: running_from,
            running_from,
            reported_at: running_from,
            is_report_due: true,
            limit_known_at: None,
        }
    }

    fn quota(&self) -> Quota {
        Quota { per_second: self.limit * REQUEST_UNITS as f64, burst: 0.0 }
    }

    fn step(&mut self, now: u64) {
        self.apply_fault(now);
        self.deliver_reports(now);
        self.deliver_responses(now);
        self.received.push(0);
        self.counted.push(0);
        for nth in 0..self.gateways.len() {
            if self.gateways[nth].running_from > now {
                continue;
            }
            let times = if nth == 0 { 3.0 } else { 1.0 };
            if self.rng.random::<f64>() < CALLERS_PER_SECOND * times / 1_000.0 {
                self.request(nth, now);
            }
            self.send_report(nth, now);
        }
    }

    fn apply_fault(&mut self, now: u64) {
        if now != FAULT_MS.start {
            return;
        }
        match self.pattern {
            LimitPattern::Halved => self.limit /= 2.0,
            LimitPattern::TotalRestart => {
                let count = self.gateways.len();
                self.gateways = (0..count).map(|nth| self.gateway(nth, now + RESTART_MS)).collect();
                for gateway in &mut self.gateways {
                    if let Limiter::BackPressure(pressure) = &mut gateway.limiter {
                        pressure.set_announced(count - 1);
                    }
                }
            }
            _ => {}
        }
    }

    /// A request of a caller, which is sent to the runner if the gateway's limiter admits it.
    fn request(&mut self, nth: usize, now: u64) {
        let draw = self.rng.random::<f64>();
        let at = Millis(now);
        let gateway = &mut self.gateways[nth];
        gateway.demand.record(at);
        let is_admitted = match &mut gateway.limiter {
            Limiter::BackPressure(pressure) => {
                pressure.refresh(at);
                pressure.is_open(&self.runner, draw, at)
                    && pressure.acquire(&self.runner, 1, at).is_ok()
            }
            // The limit is unknown before the first response.
            Limiter::Bucket(_) if gateway.limit_known_at.is_none() => true,
            Limiter::Bucket(limiter) => limiter.admit(&self.account, REQUEST_UNITS, at).is_ok(),
        };
        if !is_admitted {
            return;
        }
        if let Limiter::Bucket(limiter) = &gateway.limiter {
            gateway.is_report_due |= limiter.is_report_due(&self.account);
        }
        let counts =
            gateway.limit_known_at.is_some_and(|known_at| now >= known_at + COUNTED_AFTER_MS);
        self.received[now as usize] += 1;
        self.counted[now as usize] += u32::from(counts);
        self.responses[(now + RESPONSE_MS) as usize].push(nth);
    }

    fn deliver_responses(&mut self, now: u64) {
        let limit =
            RateLimit::try_from(self.limit.to_string().as_str()).expect("the limit is valid");
        let signals = RunnerSignals { rate_limit: Some(limit), ..RunnerSignals::default() };
        let quota = self.quota();
        for nth in std::mem::take(&mut self.responses[now as usize]) {
            let gateway = &mut self.gateways[nth];
            if gateway.running_from > now {
                continue;
            }
            gateway.limit_known_at.get_or_insert(now);
            match &mut gateway.limiter {
                Limiter::BackPressure(pressure) => {
                    let before = pressure.record_signals(&self.runner, signals, Millis(now));
                    gateway.is_report_due |= before != signals;
                }
                Limiter::Bucket(limiter) => {
                    limiter.set_quotas([(&self.account, Some(quota))], Millis(now));
                }
            }
        }
    }

    fn send_report(&mut self, nth: usize, now: u64) {
        let gateway = &mut self.gateways[nth];
        if !gateway.is_report_due && now - gateway.reported_at < REPORT_INTERVAL_MS {
            return;
        }
        (gateway.reported_at, gateway.is_report_due) = (now, false);
        let report = match &mut gateway.limiter {
            Limiter::BackPressure(pressure) => {
                let demand = gateway.demand.per_second(Millis(now));
                pressure.set_own_demand(demand);
                Report::Limits { demand, limits: Rc::new(pressure.reports(Millis(now))) }
            }
            Limiter::Bucket(limiter) => {
                Report::Usage(Rc::new(limiter.next_report(true, Millis(now))))
            }
        };
        let incarnation = gateway.incarnation;
        for to in 0..self.gateways.len() {
            let is_lost = self.rng.random::<f64>() < self.pattern.report_loss();
            if to != nth && !is_lost && self.reaches(nth, to, now) {
                let delay = self.rng.random_range(1..=MAX_REPORT_DELAY_MS);
                let sent = InFlightReport { from: nth, to, incarnation, report: report.clone() };
                self.in_flight[(now + delay) as usize].push(sent);
            }
        }
    }

    /// Whether reports of one gateway reach the other.
    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        let half = self.gateways.len() / 2;
        let is_partitioned = self.pattern == LimitPattern::Partition && FAULT_MS.contains(&now);
        !is_partitioned || (from < half) == (to < half)
    }

    fn deliver_reports(&mut self, now: u64) {
        for InFlightReport { from, to, incarnation, report } in
            std::mem::take(&mut self.in_flight[now as usize])
        {
            let gateway = &mut self.gateways[to];
            if gateway.running_from > now {
                continue;
            }
            let name = format!("gateway-{from}");
            match (&mut gateway.limiter, report) {
                (Limiter::BackPressure(pressure), Report::Limits { demand, limits }) => {
                    pressure.record_gateway(&name, demand, Millis(now));
                    pressure.merge_reports(&limits, &StartTimes::default(), Millis(now));
                }
                (Limiter::Bucket(limiter), Report::Usage(usage)) => {
                    limiter.merge_report(&name, incarnation, &usage, true, Millis(now));
                }
                _ => {}
            }
        }
    }

    fn finish(self) -> LimitOutcome {
        let limit_at = |now: usize| match (self.pattern, now as u64 >= FAULT_MS.start) {
            (LimitPattern::Halved, false) => self.limit * 2.0,
            _ => self.limit,
        };
        let mut outcome = LimitOutcome::default();
        let mut sum = 0;
        for now in WARM_UP_MS..self.counted.len() {
            sum += self.counted[now];
            if now >= WARM_UP_MS + SPAN_MS {
                sum -= self.counted[now - SPAN_MS];
            }
            // A lowered limit applies to the spans that start after the change.
            let allowed = allowed_in_span(limit_at(now.saturating_sub(SPAN_MS)));
            outcome.worst_span = outcome.worst_span.max(f64::from(sum) / allowed);
        }
        let received: u32 = self.received[WARM_UP_MS..].iter().sum();
        let callers = CALLERS_PER_SECOND * (self.gateways.len() + 2) as f64;
        let expected: f64 =
            (WARM_UP_MS..self.received.len()).map(|now| limit_at(now).min(callers) / 1_000.0).sum();
        outcome.used = f64::from(received) / expected.max(1.0);
        outcome
    }
}

fn runner() -> Runner {
    Runner {
        id: "i-1".try_into().expect("the id is valid"),
        born: None,
        service: "board-app".try_into().expect("the name is valid"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "dc-1".try_into().expect("the name is valid"),
        slots: 6,
        stage: None,
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}
