//! Gateways that keep one account's quota together, told of each other by words that take time.
//!
//! Callers send requests to gateways by chance. What a single bucket that knows all at once would let
//! through is what the account is owed; what the gateways refuse of that is lost to it.

use std::collections::VecDeque;
use std::ops::Range;
use std::rc::Rc;

use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter, UsageReport};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::QuotaPattern;

/// How the account's callers behave, and between whom they are spread.
#[derive(Clone, Copy, Debug)]
pub struct QuotaLoad {
    /// Gateways.
    pub gateways: usize,
    /// The account's quota.
    pub quota: Quota,
    /// Usual demand, as a share of the quota.
    pub usual: f64,
    /// Times the usual demand while the account is hot.
    pub hot: f64,
    /// What a request counts as on average.
    pub cost: f64,
    /// Seconds that are played.
    pub seconds: u64,
    /// How strictly the quota is kept.
    pub cfg: QuotaConfig,
}

impl QuotaLoad {
    /// A middling account of a fleet of that many gateways.
    pub fn new(gateways: usize) -> QuotaLoad {
        let cfg = QuotaConfig { slack: 120_000.0, ..QuotaConfig::default() };
        let quota = Quota { per_second: 60_000.0, burst: 60_000.0 };
        QuotaLoad { gateways, quota, usual: 0.55, hot: 7.5, cost: 1_600.0, seconds: 30, cfg }
    }
}

/// What became of the account's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaOutcome {
    /// Units that were asked for.
    pub asked: f64,
    /// Units that one bucket which knows all at once would have let through.
    pub owed: f64,
    /// Units that were let through.
    pub admitted: f64,
    /// Of the owed units, those that were not made up for by others in the same window.
    pub lost: f64,
    /// The most that was let through in a window, as a share of what is allowed there.
    pub worst_window: f64,
    /// Words that one gateway sent to another with something of quotas in them, a second.
    pub words_per_second: f64,
}

impl QuotaOutcome {
    /// Share of the owed units that was lost.
    pub fn lost_share(&self) -> f64 {
        self.lost / self.owed.max(1.0)
    }
}

/// When the trouble of a play begins that has one only, in ms.
const BEGINS: Millis = Millis(10_000);

/// How long trouble lasts, and a hot account stays hot after the last of it has begun.
const LASTS: u64 = 10_000;

/// When all gateways are killed, from the begin of that trouble on.
const KILLED_AFTER: [u64; 3] = [2_000, 4_500, 7_000];

/// A pattern, and when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTrouble {
    /// What happens.
    pub pattern: QuotaPattern,
    /// When it begins; it lasts ten seconds.
    pub at: Millis,
}

impl QuotaTrouble {
    fn span(self) -> Range<u64> {
        self.at.0..self.at.0 + LASTS
    }
}

/// Time that a killed gateway is away.
const AWAY: u64 = 1_000;

/// Time in which a rolling restart goes once through all gateways.
const ROLL: u64 = 10_000;

/// Least and longest time between two words of a gateway, and between whole ones.
const LEAST_GAP: u64 = 8;
const LONGEST_GAP: u64 = 700;
const WHOLE_EVERY: u64 = 1_000;

/// Longest time that a word is on its way.
const LONGEST_WAY: u64 = 15;

struct Gateway {
    book: QuotaLimiter,
    life: u64,
    /// It does not run before.
    back_at: u64,
    spoke_at: u64,
    whole_at: u64,
    is_due: bool,
}

struct Word {
    from: usize,
    to: usize,
    life: u64,
    whole: bool,
    spends: Rc<UsageReport>,
}

struct Play {
    load: QuotaLoad,
    troubles: Vec<QuotaTrouble>,
    account: ClientAccountName,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    /// Words under way, by the ms in which they arrive.
    under_way: VecDeque<Vec<Word>>,
    /// What one bucket that knows all would hold.
    ideal: f64,
    owed: Vec<f64>,
    admitted: Vec<f64>,
    words: u64,
    outcome: QuotaOutcome,
}

/// Plays a pattern.
///
/// ```
/// use bulrushusher_model::{QuotaLoad, QuotaPattern, play_quotas};
/// let outcome = play_quotas(&QuotaLoad::new(5), QuotaPattern::Usual, 1);
/// assert!(outcome.lost_share() < 0.01 && outcome.worst_window < 1.0, "{outcome:?}");
/// ```
pub fn play_quotas(load: &QuotaLoad, pattern: QuotaPattern, seed: u64) -> QuotaOutcome {
    play_quota_troubles(load, &[QuotaTrouble { pattern, at: BEGINS }], seed)
}

/// Plays several patterns, which may overlap.
pub fn play_quota_troubles(load: &QuotaLoad, troubles: &[QuotaTrouble], seed: u64) -> QuotaOutcome {
    let mut play = Play::new(*load, troubles.to_vec(), seed);
    for now in 0..load.seconds * 1_000 {
        play.step(now);
    }
    play.finish()
}

impl Play {
    fn new(load: QuotaLoad, troubles: Vec<QuotaTrouble>, seed: u64) -> Play {
        let account: ClientAccountName = "studio-7".try_into().expect("it is a name");
        let gateways = (0..load.gateways).map(|_| gateway(&load, load.quota, &account, 0));
        Play {
            gateways: gateways.collect(),
            load,
            troubles,
            account,
            rng: ChaCha8Rng::seed_from_u64(seed),
            under_way: (0..=LONGEST_WAY).map(|_| Vec::new()).collect(),
            ideal: load.quota.burst,
            owed: Vec::new(),
            admitted: Vec::new(),
            words: 0,
            outcome: QuotaOutcome::default(),
        }
    }

    fn quota(&self, now: u64) -> Quota {
        let lowers = |it: &QuotaTrouble| it.pattern == QuotaPattern::LoweredQuota;
        let is_low = self.troubles.iter().any(|it| lowers(it) && now >= it.at.0);
        let part = if is_low { 0.25 } else { 1.0 };
        Quota { per_second: self.load.quota.per_second * part, ..self.load.quota }
    }

    fn step(&mut self, now: u64) {
        self.trouble(now);
        self.hear(now);
        let quota = self.quota(now);
        self.ideal = (self.ideal + quota.per_second / 1_000.0).min(quota.burst);
        let (mut owed, mut admitted) = (0.0, 0.0);
        for _ in 0..self.arrivals(now) {
            let cost = (self.load.cost * (0.2 + 1.6 * self.rng.random::<f64>())) as u64;
            let nth = self.rng.random_range(0..self.gateways.len());
            self.outcome.asked += cost as f64;
            if self.gateways[nth].back_at > now {
                continue;
            }
            if self.ideal >= cost as f64 {
                self.ideal -= cost as f64;
                owed += cost as f64;
            }
            let gateway = &mut self.gateways[nth];
            if gateway.book.admit(&self.account, cost, Millis(now)).is_ok() {
                admitted += cost as f64;
                gateway.is_due |= gateway.book.is_report_due(&self.account);
            }
        }
        self.owed.push(owed);
        self.admitted.push(admitted);
        for nth in 0..self.gateways.len() {
            self.speak(nth, now);
        }
    }

    /// Requests of this ms.
    fn arrivals(&mut self, now: u64) -> usize {
        let hot = self.troubles.iter().filter(|it| it.pattern.is_hot());
        let from = hot.clone().map(|it| it.span().start).min();
        let until = hot.map(|it| it.span().end).max();
        let is_hot = from.is_some_and(|from| now >= from) && until.is_some_and(|end| now < end);
        let times = if is_hot { self.load.hot } else { 1.0 };
        let per_ms =
            self.load.quota.per_second * self.load.usual * times / self.load.cost / 1_000.0;
        let whole = per_ms.floor();
        whole as usize + usize::from(self.rng.random::<f64>() < per_ms - whole)
    }

    fn trouble(&mut self, now: u64) {
        for trouble in self.troubles.clone() {
            self.strike(trouble, now);
        }
    }

    fn strike(&mut self, trouble: QuotaTrouble, now: u64) {
        let Some(since) = now.checked_sub(trouble.at.0) else { return };
        let count = self.gateways.len() as u64;
        match trouble.pattern {
            QuotaPattern::TotalRestart if KILLED_AFTER.contains(&since) => {
                (0..self.gateways.len()).for_each(|nth| self.restart(nth, now));
            }
            QuotaPattern::RollingRestart if trouble.span().contains(&now) => {
                let since = since.saturating_sub(500);
                if since.is_multiple_of(ROLL / count) {
                    self.restart((since / (ROLL / count) % count) as usize, now);
                }
            }
            QuotaPattern::LoweredQuota if since == 0 => {
                let quota = self.quota(now);
                for gateway in &mut self.gateways {
                    gateway.book.set_quotas([(&self.account, Some(quota))], Millis(now));
                }
            }
            _ => {}
        }
    }

    fn restart(&mut self, nth: usize, now: u64) {
        let back_at = now + AWAY;
        self.gateways[nth] = gateway(&self.load, self.quota(now), &self.account, back_at);
    }

    /// True when a word of one gateway reaches the other.
    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        let half = self.gateways.len() / 2;
        let tenth = self.gateways.len().div_ceil(10);
        let mut present = self.troubles.iter().filter(|it| it.span().contains(&now));
        present.all(|it| match it.pattern {
            QuotaPattern::TwoHalves => (from < half) == (to < half),
            QuotaPattern::TenthCutOff => from >= tenth && to >= tenth,
            _ => true,
        })
    }

    /// Share of the words between gateways that are lost now.
    fn loss(&self) -> f64 {
        self.troubles.iter().map(|it| it.pattern.loss()).fold(0.0, f64::max)
    }

    fn speak(&mut self, nth: usize, now: u64) {
        let gateway = &mut self.gateways[nth];
        let silent = now - gateway.spoke_at.min(now);
        let is_due = gateway.is_due && silent >= LEAST_GAP || silent >= LONGEST_GAP;
        if gateway.back_at > now || !is_due && gateway.spoke_at != gateway.back_at {
            return;
        }
        let whole = now - gateway.whole_at.min(now) >= WHOLE_EVERY;
        let spends = Rc::new(gateway.book.next_report(whole, Millis(now)));
        (gateway.spoke_at, gateway.is_due) = (now.max(gateway.back_at + 1), false);
        if whole {
            gateway.whole_at = now;
        }
        let life = gateway.life;
        self.words += u64::from(!spends.accounts.is_empty());
        for to in 0..self.gateways.len() {
            let is_lost = self.rng.random::<f64>() < self.loss();
            if to == nth || is_lost || !self.reaches(nth, to, now) {
                continue;
            }
            let way = self.rng.random_range(1..=LONGEST_WAY) as usize;
            let word = Word { from: nth, to, life, whole, spends: spends.clone() };
            self.under_way[way - 1].push(word);
        }
    }

    fn hear(&mut self, now: u64) {
        let arrived = self.under_way.pop_front().unwrap_or_default();
        self.under_way.push_back(Vec::new());
        for word in arrived {
            let Word { from, to, life, whole, spends } = word;
            let gateway = &mut self.gateways[to];
            if gateway.back_at <= now {
                gateway.book.merge_report(
                    &format!("gateway-{from}"),
                    life,
                    &spends,
                    whole,
                    Millis(now),
                );
            }
        }
    }

    fn finish(self) -> QuotaOutcome {
        let mut outcome = self.outcome;
        outcome.owed = self.owed.iter().sum();
        outcome.admitted = self.admitted.iter().sum();
        let window = self.load.cfg.window.0 as usize;
        for (owed, admitted) in self.owed.chunks(window).zip(self.admitted.chunks(window)) {
            let missing = owed.iter().sum::<f64>() - admitted.iter().sum::<f64>();
            outcome.lost += missing.max(0.0);
        }
        let mut sum = 0.0;
        for now in 0..self.admitted.len() {
            sum += self.admitted[now];
            if now >= window {
                sum -= self.admitted[now - window];
            }
            let quota = self.allowed_at(now, window);
            let in_window = quota.per_second / 1_000.0 * window as f64 + quota.burst;
            let cfg = self.load.cfg;
            let allowed = in_window * (1.0 + cfg.overage) + cfg.slack;
            outcome.worst_window = outcome.worst_window.max(sum / allowed);
        }
        let spoken = self.gateways.len() as f64 * self.load.seconds as f64;
        outcome.words_per_second = self.words as f64 / spoken;
        outcome
    }

    /// The quota that binds the window that ends then: a lower one binds those that begin after it.
    fn allowed_at(&self, now: usize, window: usize) -> Quota {
        self.quota(now.saturating_sub(window) as u64)
    }
}

fn gateway(load: &QuotaLoad, quota: Quota, account: &ClientAccountName, back_at: u64) -> Gateway {
    let mut book = QuotaLimiter::new(load.cfg, Millis(back_at));
    book.set_quotas([(account, Some(quota))], Millis(back_at));
    book.set_announced_peers(load.gateways - 1);
    Gateway { book, life: back_at, back_at, spoke_at: back_at, whole_at: 0, is_due: true }
}
