//! What runners asked of those that send to them, and what may be sent to them by it.
//!
//! Back-pressure binds, unlike what is guessed of a runner's load: where this gateway backs off from all runners
//! of a service, or their rate limits are used up, callers are refused. A signal counts for the start of the
//! runner that sent it.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::limit_share::{LimitUse, Share, Sharers};
use crate::{RateLimit, Runner, RunnerSignals, StartTime};

/// How long signals count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackPressureConfig {
    /// Silence after which another gateway has no share of limits any more.
    pub gone_after: Millis,
    /// How long a limit lasts after the last answer that named it: answers overtake each other.
    pub limit_lingers: Millis,
    /// Age of the last signal of a limit after which a request may find out whether it still holds.
    pub limit_stale: Millis,
    /// How long such a request, and the first one after a backoff, keeps others back.
    pub trial: Millis,
    /// How long gateways tell each other that a limit is over.
    pub end_told: Millis,
    /// Longest backoff that is granted at once.
    pub longest_backoff: Millis,
    /// How long what a runner asked for is remembered after it was due, or was heard last.
    pub remembered: Millis,
}

impl Default for BackPressureConfig {
    /// A gateway that is started again is back within ten seconds, and has its share still. Reports come
    /// every 0.7 s, and one may be lost. After ten minutes a runner may as well say it again.
    fn default() -> BackPressureConfig {
        BackPressureConfig {
            gone_after: Millis(10_000),
            limit_lingers: Millis(1_000),
            limit_stale: Millis(5_000),
            trial: Millis(1_000),
            end_told: Millis(3_000),
            longest_backoff: Millis(600_000),
            remembered: Millis(60_000),
        }
    }
}

/// Why nothing may be sent to a runner now.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Pressure {
    /// It has told this gateway when to come back.
    #[display("the time in the runner's Retry-After is not over")]
    RetryAfter,
    /// It has said that it leaves.
    #[display("the runner leaves")]
    Leaving,
    /// This gateway's share of its rate limit is used up.
    #[display("the runner's rate limit is reached")]
    RateLimit,
}

/// What runners asked for, for one choice among them.
#[derive(Clone, Copy, Debug)]
pub struct PressureView<'a> {
    /// What is known.
    pub pressure: &'a BackPressure,
    /// A random draw in `0.0..1.0`, see [`BackPressure::is_open`].
    pub draw: f64,
}

impl PressureView<'_> {
    /// True when a request may be sent to the runner.
    pub fn is_open(&self, runner: &Runner, now: Millis) -> bool {
        self.pressure.is_open(runner, self.draw, now)
    }
}

/// How many runners asked for something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PressureCounts {
    /// Runners that name a rate limit.
    pub limited: usize,
    /// Runners that this gateway backs off from.
    pub backing_off: usize,
}

/// What a gateway tells of a runner's rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The runner.
    pub runner: RunnerId,
    /// The start that named it.
    pub born: Option<StartTime>,
    /// The limit; `None` when it is over.
    pub limit: Option<RateLimit>,
    /// Time since the runner said so.
    pub age: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    /// When the first request after it was sent.
    tried_at: Option<Millis>,
}

/// What one start of a runner asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    born: Option<StartTime>,
    last: RunnerSignals,
    backoff: Option<Backoff>,
    limit: Option<LimitUse>,
    /// When its limit was over.
    limit_ended: Option<Millis>,
}

/// What all runners asked for, as one gateway knows it.
///
/// ```
/// use bulrushusher_forward::{
///     BackPressure, BackPressureConfig, Pressure, RateLimit, Runner, RunnerSignals,
/// };
/// use bulrushusher_time::Millis;
/// let runner = Runner {
///     id: "i-1".try_into().unwrap(),
///     born: None,
///     service: "board-app".try_into().unwrap(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     data_centre: "ba-ruzinov".try_into().unwrap(),
///     slots: 6,
///     stage: None,
///     leaving: false,
/// };
/// let mut pressure = BackPressure::new(BackPressureConfig::default(), "entry-1".into());
/// let signals = RunnerSignals { retry_after: Some(Millis(3_000)), ..RunnerSignals::default() };
/// pressure.hear(&runner, signals, Millis(0));
/// assert_eq!(pressure.take(&runner, 1, Millis(2_999)), Err(Pressure::RetryAfter));
/// assert!(pressure.take(&runner, 1, Millis(3_000)).is_ok(), "one finds out whether it is over");
/// assert_eq!(pressure.take(&runner, 1, Millis(3_001)), Err(Pressure::RetryAfter));
/// pressure.hear(&runner, RunnerSignals::default(), Millis(3_010));
///
/// let limit = RateLimit::try_from("2").unwrap();
/// let signals = RunnerSignals { rate_limit: Some(limit), ..RunnerSignals::default() };
/// pressure.hear(&runner, signals, Millis(4_000));
/// assert_eq!(pressure.take(&runner, 1, Millis(4_499)), Err(Pressure::RateLimit));
/// assert!(pressure.take(&runner, 1, Millis(4_500)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct BackPressure {
    cfg: BackPressureConfig,
    own: Arc<str>,
    /// The other gateways, and when they were heard last.
    gateways: HashMap<Arc<str>, Millis>,
    /// Other gateways that are announced.
    announced: usize,
    runners: HashMap<RunnerId, Asked>,
    shares_at: Option<Millis>,
}

/// How long shares are kept before they are worked out anew.
const SHARES_KEPT: Millis = Millis(200);

impl BackPressure {
    /// No runner has asked for anything yet.
    pub fn new(cfg: BackPressureConfig, own: Arc<str>) -> BackPressure {
        BackPressure {
            cfg,
            own,
            gateways: HashMap::new(),
            announced: 0,
            runners: HashMap::new(),
            shares_at: None,
        }
    }

    /// Another gateway was heard.
    pub fn note_gateway(&mut self, name: &str, now: Millis) {
        match self.gateways.get_mut(name) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.forget_gone(now);
                self.gateways.insert(name.into(), now);
                self.shares_at = None;
            }
        }
    }

    fn forget_gone(&mut self, now: Millis) {
        let gone_after = self.cfg.gone_after;
        self.gateways.retain(|_, heard_at| now.since(*heard_at) < gone_after);
    }

    /// So many other gateways are announced.
    pub fn note_announced(&mut self, others: usize) {
        self.announced = others;
    }

    /// Takes in what an answer of a runner asks for; returns what its answer before asked for.
    pub fn hear(&mut self, runner: &Runner, signals: RunnerSignals, now: Millis) -> RunnerSignals {
        let asks_nothing = signals == RunnerSignals::default();
        if asks_nothing && !self.runners.contains_key(&runner.id) {
            return signals;
        }
        let cfg = self.cfg;
        let Some(asked) = self.of_start(&runner.id, runner.born) else { return signals };
        let before = std::mem::replace(&mut asked.last, signals);
        asked.hear_retry_after(signals.retry_after, &cfg, now);
        self.hear_limit(&runner.id, signals.rate_limit, now, now);
        before
    }

    /// Takes in what another gateway tells of limits.
    pub fn hear_reports(&mut self, reports: &[LimitReport], now: Millis) {
        for report in reports {
            if self.of_start(&report.runner, report.born).is_some() {
                self.hear_limit(&report.runner, report.limit, now.since(report.age), now);
            }
        }
    }

    /// What the other gateways are told of limits.
    pub fn reports(&self, now: Millis) -> Vec<LimitReport> {
        let report = |(runner, asked): (&RunnerId, &Asked)| {
            let ended = asked.limit_ended.filter(|at| now.since(*at) < self.cfg.end_told);
            let (limit, at) = match (asked.limit, ended) {
                (Some(named), _) => (Some(named.limit), named.named_at),
                (None, Some(at)) => (None, at),
                (None, None) => return None,
            };
            Some(LimitReport {
                runner: runner.clone(),
                born: asked.born,
                limit,
                age: now.since(at),
            })
        };
        let mut reports: Vec<LimitReport> = self.runners.iter().filter_map(report).collect();
        reports.sort_unstable_by(|a, b| a.runner.cmp(&b.runner));
        reports
    }

    /// True when a request may be sent to the runner. `draw` is random in `0.0..1.0`: it chooses among the
    /// gateways which finds out whether a limit still holds that nobody has heard of for some time.
    pub fn is_open(&self, runner: &Runner, draw: f64, now: Millis) -> bool {
        let Some(asked) = self.asked(runner) else { return true };
        let backs_off = asked.backoff.is_some_and(|backoff| backoff.holds(&self.cfg, now));
        let is_mine = draw * ((self.gateways.len() + 1) as f64) < 1.0;
        let has_room = asked
            .limit
            .is_none_or(|limit| limit.is_open(now) || is_mine && may_try(&limit, &self.cfg, now));
        !backs_off && has_room
    }

    /// Counts `requests` that are about to be sent to the runner.
    ///
    /// # Errors
    /// What the runner asked for when they may not be sent; nothing is counted then.
    pub fn take(&mut self, runner: &Runner, requests: u32, now: Millis) -> Result<(), Pressure> {
        let cfg = self.cfg;
        let Some(asked) = self.asked_mut(runner) else { return Ok(()) };
        if asked.backoff.is_some_and(|backoff| backoff.holds(&cfg, now)) {
            return Err(Pressure::RetryAfter);
        }
        if let Some(limit) = &mut asked.limit {
            if !limit.is_open(now) {
                if !may_try(limit, &cfg, now) {
                    return Err(Pressure::RateLimit);
                }
                limit.tried_at = Some(now);
            }
            limit.count(f64::from(requests), now);
        }
        if let Some(backoff) = &mut asked.backoff {
            backoff.tried_at = Some(now);
        }
        Ok(())
    }

    /// Whether the runner wants nothing from this gateway, whatever was counted for it before.
    ///
    /// # Errors
    /// [`Pressure::RetryAfter`] when it does not.
    pub fn check_backoff(&self, runner: &Runner, now: Millis) -> Result<(), Pressure> {
        let backoff = self.asked(runner).and_then(|asked| asked.backoff);
        match backoff.is_some_and(|backoff| now < backoff.until) {
            true => Err(Pressure::RetryAfter),
            false => Ok(()),
        }
    }

    /// Counts requests that are sent whatever the runner asked for.
    pub fn owe(&mut self, runner: &Runner, requests: u32, now: Millis) {
        if let Some(limit) = self.asked_mut(runner).and_then(|asked| asked.limit.as_mut()) {
            limit.count(f64::from(requests), now);
        }
    }

    /// Requests that were counted are not sent after all.
    pub fn give_back(&mut self, runner: &Runner, requests: u32, now: Millis) {
        if let Some(limit) = self.asked_mut(runner).and_then(|asked| asked.limit.as_mut()) {
            limit.count(-f64::from(requests), now);
        }
    }

    /// Time until this gateway may send to the runner; `None` when only others may.
    pub fn opens_in(&self, runner: &Runner, now: Millis) -> Option<Millis> {
        let Some(asked) = self.asked(runner) else { return Some(Millis(0)) };
        let backoff = asked.backoff.map_or(Millis(0), |backoff| backoff.left(&self.cfg, now));
        match asked.limit {
            None => Some(backoff),
            Some(limit) => limit.opens_in(now).map(|opens_in| opens_in.max(backoff)),
        }
    }

    /// Brings up to date what changes with time and with the gateways that are heard.
    pub fn refresh(&mut self, now: Millis) {
        if self.runners.is_empty() || self.shares_at.is_some_and(|at| now.since(at) < SHARES_KEPT) {
            return;
        }
        self.shares_at = Some(now);
        let cfg = self.cfg;
        self.forget_gone(now);
        self.runners.retain(|_, asked| !asked.is_over(&cfg, now));
        let heard: Vec<&str> = self.gateways.keys().map(|name| &**name).collect();
        let sharers = Sharers { own: &self.own, heard: &heard, all: self.announced + 1 };
        for (id, asked) in &mut self.runners {
            if let Some(limit) = &mut asked.limit {
                limit.set_share(Share::of(limit.limit, id, &sharers), now);
            }
        }
    }

    /// True while no runner asks for anything.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// How many runners asked for something.
    pub fn counts(&self, now: Millis) -> PressureCounts {
        let limited = self.runners.values().filter(|asked| asked.limit.is_some()).count();
        let backs_off = |asked: &&Asked| asked.backoff.is_some_and(|backoff| now < backoff.until);
        PressureCounts { limited, backing_off: self.runners.values().filter(backs_off).count() }
    }

    fn asked(&self, runner: &Runner) -> Option<&Asked> {
        self.runners.get(&runner.id).filter(|asked| asked.born == runner.born)
    }

    fn asked_mut(&mut self, runner: &Runner) -> Option<&mut Asked> {
        self.runners.get_mut(&runner.id).filter(|asked| asked.born == runner.born)
    }

    /// What that start of a runner asked for; `None` when a later start is known. What an earlier one asked
    /// for is forgotten.
    fn of_start(&mut self, id: &RunnerId, born: Option<StartTime>) -> Option<&mut Asked> {
        let asked = self.runners.entry(id.clone()).or_insert(Asked { born, ..Asked::default() });
        if asked.born > born {
            return None;
        }
        if asked.born < born {
            *asked = Asked { born, ..Asked::default() };
        }
        Some(asked)
    }

    /// A runner named a limit at that time, or none.
    fn hear_limit(&mut self, id: &RunnerId, limit: Option<RateLimit>, at: Millis, now: Millis) {
        let lingers = self.cfg.limit_lingers;
        let Some(asked) = self.runners.get_mut(id) else { return };
        match (limit, &mut asked.limit) {
            (Some(named), Some(known)) if at >= known.named_at => {
                known.named_at = at;
                if named != known.limit {
                    known.limit = named;
                    self.shares_at = None;
                }
            }
            (Some(named), None) if asked.limit_ended.is_none_or(|ended| at > ended) => {
                let none = Share::none();
                asked.limit = Some(LimitUse::new(named, none, at, now));
                asked.limit_ended = None;
                self.shares_at = None;
            }
            (None, Some(known)) if at >= known.named_at.plus(lingers) => {
                asked.limit = None;
                asked.limit_ended = Some(at);
            }
            _ => {}
        }
        self.refresh(now);
    }
}

/// True when a request may find out whether a limit still holds.
fn may_try(limit: &LimitUse, cfg: &BackPressureConfig, now: Millis) -> bool {
    let is_stale = now.since(limit.named_at) >= cfg.limit_stale;
    is_stale && limit.tried_at.is_none_or(|at| now.since(at) >= cfg.trial)
}

impl Asked {
    fn hear_retry_after(
        &mut self,
        retry_after: Option<Millis>,
        cfg: &BackPressureConfig,
        now: Millis,
    ) {
        match (retry_after, self.backoff) {
            (Some(length), before) => {
                let until = now.plus(length.min(cfg.longest_backoff));
                let until = before.map_or(until, |before| before.until.max(until));
                self.backoff = Some(Backoff { until, tried_at: None });
            }
            (None, Some(before)) if now >= before.until => self.backoff = None,
            (None, _) => {}
        }
    }

    /// True when nothing is left to remember: a runner that is gone answers no more, and its entry may yet
    /// come back.
    fn is_over(&self, cfg: &BackPressureConfig, now: Millis) -> bool {
        let is_old = |at: Millis| now.since(at) >= cfg.remembered;
        let end_is_told = self.limit_ended.is_none_or(|at| now.since(at) >= cfg.end_told);
        let backoff_is_over = self.backoff.is_none_or(|backoff| is_old(backoff.until));
        let limit_is_over = self.limit.is_none_or(|limit| is_old(limit.named_at));
        end_is_told && backoff_is_over && limit_is_over
    }
}

impl Backoff {
    /// After it one request goes first.
    fn holds(&self, cfg: &BackPressureConfig, now: Millis) -> bool {
        self.left(cfg, now) > Millis(0)
    }

    fn left(&self, cfg: &BackPressureConfig, now: Millis) -> Millis {
        let tried_until = self.tried_at.map_or(Millis(0), |at| at.plus(cfg.trial));
        self.until.max(tried_until).since(now)
    }
}
