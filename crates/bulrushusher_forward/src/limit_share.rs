//! This gateway's share of a runner's rate limit.
//!
//! A limit applies to all gateways together, and they do not coordinate before they send. One saved
//! request at each of about a hundred gateways would exceed a small limit many times over. A small
//! limit is therefore shared by few gateways: those that get far more requests than the others, then
//! the first ones in rendezvous order for the runner. Each has a share by what it gets, as all have
//! reported it, so that the shares add up to the limit.

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::RateLimit;
use crate::rendezvous::ranking;

/// Number of gateways that share a limit, in addition to one per request per second.
const EXTRA_SHARERS: f64 = 2.0;

/// Burst that a gateway may save up, in seconds of its share.
const BURST_S: f64 = 1.0;

/// Minimum burst of every sharing gateway, in requests.
const MIN_BURST: f64 = 1.0;

/// Requests of a gateway, in multiples of the mean and of its square root, the usual variation, above
/// which it has a share of small limits too.
const BUSY_FACTOR: f64 = 3.0;

/// Requests per second that are needed for that besides.
const MIN_BUSY: f64 = 4.0;

/// Weight of a gateway without requests, as a part of the mean: it may get some at any moment.
const IDLE_WEIGHT: f64 = 0.2;

/// Weight that makes shares equal while no gateway gets requests.
const MIN_WEIGHT: f64 = 0.01;

/// Maximum debt, in seconds of the share. Requests that cannot be withheld are charged, but must
/// not block the gateway's share for long.
const MAX_DEBT_S: f64 = 4.0;

/// A gateway that may share rate limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sharer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Requests per second that it gets, by its last report.
    pub demand: u32,
}

/// Gateways that may share the runners' rate limits, as seen by one of them.
#[derive(Clone, Debug)]
pub(crate) struct Sharers<'a> {
    /// This gateway.
    own: Sharer<'a>,
    /// Other gateways with recent reports.
    reporting: Vec<Sharer<'a>>,
    /// All gateways that may be alive, including this one; those without recent reports may use the
    /// limits too.
    all: usize,
    /// Requests per second above which a gateway is busy.
    busy_above: f64,
}

/// The place of a gateway in the order in which they share a runner's limit.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    /// Busy gateways come first, then those with the highest rank.
    order: (bool, u64),
    demand: f64,
}

impl<'a> Sharers<'a> {
    /// The gateways with recent reports, among `all`.
    pub(crate) fn new(own: Sharer<'a>, reporting: Vec<Sharer<'a>>, all: usize) -> Sharers<'a> {
        let demands = std::iter::once(&own).chain(&reporting).map(|it| f64::from(it.demand));
        let mean = demands.sum::<f64>() / (reporting.len() + 1) as f64;
        // While demand varies as usual, the order must not: a gateway that leaves it loses its burst.
        let busy_above = (mean + mean.sqrt()) * BUSY_FACTOR + MIN_BUSY;
        Sharers { own, reporting, all, busy_above }
    }

    /// Part of what `count` gateways share that this one has; `None` if it is not among them.
    fn own_part(&self, count: usize, runner: &RunnerId) -> Option<f64> {
        let rank = ranking(runner.as_str());
        let ranked = |it: &Sharer<'_>| {
            let demand = f64::from(it.demand);
            Ranked { order: (demand > self.busy_above, rank(it.name)), demand }
        };
        let own = ranked(&self.own);
        let mut others: Vec<Ranked> = self.reporting.iter().map(ranked).collect();
        if others.iter().filter(|it| it.order > own.order).count() >= count {
            return None;
        }
        let first_others = (count - 1).min(others.len());
        if first_others < others.len() {
            others.select_nth_unstable_by_key(first_others, |it| std::cmp::Reverse(it.order));
        }
        let first = || std::iter::once(&own).chain(&others[..first_others]);
        let mean = first().map(|it| it.demand).sum::<f64>() / count as f64;
        let weight = |it: &Ranked| it.demand + mean * IDLE_WEIGHT + MIN_WEIGHT;
        Some(weight(&own) / first().map(weight).sum::<f64>())
    }
}

/// One gateway's share of a runner's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitShare {
    per_second: f64,
    burst: f64,
}

impl LimitShare {
    /// No share: nothing may be sent.
    pub(crate) fn none() -> LimitShare {
        LimitShare { per_second: 0.0, burst: 0.0 }
    }

    /// The share of the gateway `sharers.own`.
    pub(crate) fn of(limit: RateLimit, runner: &RunnerId, sharers: &Sharers<'_>) -> LimitShare {
        let limit = limit.per_second();
        let reporting = sharers.reporting.len() + 1;
        let sharer_count = ((limit + EXTRA_SHARERS) as usize).clamp(1, reporting);
        let Some(part) = sharers.own_part(sharer_count, runner) else { return LimitShare::none() };
        let reporting_share = reporting as f64 / sharers.all.max(reporting) as f64;
        let per_second = limit * reporting_share * part;
        LimitShare { per_second, burst: MIN_BURST.max(per_second * BURST_S) }
    }
}

/// Token bucket for this gateway's share of a runner's limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitBucket {
    pub limit: RateLimit,
    /// Time of the last known signal of the limit.
    pub signalled_at: Millis,
    share: LimitShare,
    /// Requests that may be sent now; negative after requests that could not be withheld.
    tokens: f64,
    refilled_at: Millis,
    /// When the last probe of the limit was sent.
    pub probed_at: Option<Millis>,
}

impl LimitBucket {
    /// Starts empty, because all gateways learn of a new limit at about the same time.
    pub(crate) fn new(
        limit: RateLimit,
        share: LimitShare,
        signalled_at: Millis,
        now: Millis,
    ) -> LimitBucket {
        LimitBucket { limit, signalled_at, share, tokens: 0.0, refilled_at: now, probed_at: None }
    }

    /// Requests that may be sent at `now`.
    fn tokens_at(&self, now: Millis) -> f64 {
        let refill = self.share.per_second * now.since(self.refilled_at).0 as f64 / 1_000.0;
        (self.tokens + refill).min(self.share.burst)
    }

    /// Replaces the share from `now` on.
    pub(crate) fn set_share(&mut self, share: LimitShare, now: Millis) {
        self.tokens = self.tokens_at(now).min(share.burst);
        self.refilled_at = now;
        self.share = share;
    }

    /// True if one more request may be sent.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Charges requests, also beyond the share.
    pub(crate) fn charge(&mut self, requests: f64, now: Millis) {
        let max_debt = self.share.per_second * MAX_DEBT_S + self.share.burst;
        self.tokens = (self.tokens_at(now) - requests).clamp(-max_debt, self.share.burst);
        self.refilled_at = now;
    }

    /// Time until one more request may be sent; `None` if this gateway has no share.
    pub(crate) fn time_until_open(&self, now: Millis) -> Option<Millis> {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        let per_ms = self.share.per_second / 1_000.0;
        (per_ms > 0.0).then(|| Millis((missing / per_ms).ceil() as u64))
    }
}
