//! One gateway's share of a runner's rate limit.
//!
//! A limit holds over all gateways, which do not ask each other before they send. With one saved request at
//! each of some hundred gateways a small limit would be passed many times over, so that few gateways share
//! a small one: those that come first in rendezvous order for that runner.

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::RateLimit;
use crate::rendezvous::is_among_first;

/// Gateways that share a limit beyond one for each request a second.
const SHARERS_BEYOND: f64 = 2.0;

/// Length of time whose requests a gateway may save up, in s.
const SAVED_S: f64 = 1.0;

/// Requests that every sharer may save up.
const LEAST_SAVED: f64 = 1.0;

/// Debt that is paid off at most, in s of the share: what cannot be withheld counts, and must not keep
/// a gateway from its share for long.
const MOST_OWED_S: f64 = 4.0;

/// The gateways that may share limits, as one of them sees them.
#[derive(Clone, Debug)]
pub(crate) struct Sharers<'a> {
    /// This gateway.
    pub own: &'a str,
    /// The others that are heard.
    pub heard: &'a [&'a str],
    /// All that may live, this one included; those that are not heard may use the limit too.
    pub all: usize,
}

/// One gateway's part of a limit, in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Share {
    per_second: f64,
    most_saved: f64,
}

impl Share {
    /// No part: nothing may be sent.
    pub(crate) fn none() -> Share {
        Share { per_second: 0.0, most_saved: 0.0 }
    }

    /// The part of the gateway that looks.
    pub(crate) fn of(limit: RateLimit, runner: &RunnerId, sharers: &Sharers<'_>) -> Share {
        let limit = limit.per_second();
        let heard = sharers.heard.len() + 1;
        let most = ((limit + SHARERS_BEYOND) as usize).clamp(1, heard);
        if !is_among_first(most, runner.as_str(), sharers.own, sharers.heard.iter().copied()) {
            return Share::none();
        }
        let heard_part = heard as f64 / sharers.all.max(heard) as f64;
        let per_second = limit * heard_part / most as f64;
        Share { per_second, most_saved: LEAST_SAVED.max(per_second * SAVED_S) }
    }
}

/// A limit that a runner names, and what this gateway may still send of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitUse {
    pub limit: RateLimit,
    /// When the runner named it last, as far as is known.
    pub named_at: Millis,
    share: Share,
    /// Requests that may be sent now; below zero after some that could not be withheld.
    level: f64,
    filled: Millis,
    /// When a request was sent last to find out whether the limit still holds.
    pub tried_at: Option<Millis>,
}

impl LimitUse {
    /// A limit that is new here. Nothing is saved up yet: all gateways hear of it at about the same time.
    pub(crate) fn new(limit: RateLimit, share: Share, named_at: Millis, now: Millis) -> LimitUse {
        LimitUse { limit, named_at, share, level: 0.0, filled: now, tried_at: None }
    }

    /// Requests that may be sent at that time.
    fn level_at(&self, now: Millis) -> f64 {
        let came_in = self.share.per_second * now.since(self.filled).0 as f64 / 1_000.0;
        (self.level + came_in).min(self.share.most_saved)
    }

    /// Takes another share from now on.
    pub(crate) fn set_share(&mut self, share: Share, now: Millis) {
        self.level = self.level_at(now).min(share.most_saved);
        self.filled = now;
        self.share = share;
    }

    /// True when one more request may be sent.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        self.level_at(now) >= 1.0
    }

    /// Counts requests, also beyond the share.
    pub(crate) fn count(&mut self, requests: f64, now: Millis) {
        let most_owed = self.share.per_second * MOST_OWED_S + self.share.most_saved;
        self.level = (self.level_at(now) - requests).clamp(-most_owed, self.share.most_saved);
        self.filled = now;
    }

    /// Time until one more request may be sent; `None` when others have the whole limit.
    pub(crate) fn opens_in(&self, now: Millis) -> Option<Millis> {
        let missing = (1.0 - self.level_at(now)).max(0.0);
        let per_ms = self.share.per_second / 1_000.0;
        (per_ms > 0.0).then(|| Millis((missing / per_ms).ceil() as u64))
    }
}
