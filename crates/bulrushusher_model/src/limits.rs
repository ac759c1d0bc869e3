//! Gateways that keep to a runner's rate limit together, told of it by answers and by each other.
//!
//! There is always more to send than the limit allows. A runner in need must not get more; one that gets
//! less than it takes leaves callers waiting for nothing.

use std::rc::Rc;

use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter, Sharing, UsageReport};
use bulrushusher_forward::{
    BackPressure, BackPressureConfig, LimitReport, RateLimit, Runner, RunnerSignals,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How gateways share a limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitSharing {
    /// Each gets the same part and may save up one request.
    #[display("even parts")]
    Even,
    /// All take from one bucket, and tell each other what they took.
    #[display("one bucket, told")]
    Told,
    /// A few, chosen by rendezvous hashing, get a part each: what the gateways do.
    #[display("few sharers")]
    Few,
}

impl LimitSharing {
    /// All ways.
    pub const ALL: [LimitSharing; 3] = [LimitSharing::Even, LimitSharing::Told, LimitSharing::Few];
}

/// What happens while the limit is kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitPattern {
    /// Nothing.
    #[display("steady")]
    Steady,
    /// The runner halves its limit.
    #[display("halved limit")]
    Halved,
    /// All gateways are killed at once and start again a second later.
    #[display("total restart")]
    TotalRestart,
    /// Half of the gateways do not hear the other half for some seconds.
    #[display("two halves")]
    TwoHalves,
    /// One word in ten between gateways is lost.
    #[display("lost words")]
    LostWords,
    /// One gateway starts that was not there before.
    #[display("a gateway joins")]
    Joins,
}

impl LimitPattern {
    /// All patterns.
    pub const ALL: [LimitPattern; 6] = [
        LimitPattern::Steady,
        LimitPattern::Halved,
        LimitPattern::TotalRestart,
        LimitPattern::TwoHalves,
        LimitPattern::LostWords,
        LimitPattern::Joins,
    ];

    /// Share of the words between gateways that are lost.
    fn loss(self) -> f64 {
        match self {
            LimitPattern::LostWords => 0.1,
            _ => 0.001,
        }
    }
}

/// What the runner got.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitOutcome {
    /// The most that it got in four seconds, as a share of what is allowed there.
    pub worst_span: f64,
    /// What it got, as a share of its limit.
    pub used: f64,
}

/// Length of a play, in ms.
const LENGTH: u64 = 30_000;

/// When trouble begins and ends.
const TROUBLE: std::ops::Range<u64> = 12_000..20_000;

/// Time that a killed gateway is away.
const AWAY: u64 = 1_000;

/// Callers that each gateway has in a second, on the mean; the busiest has three times as many as the others.
const CALLERS_PER_SECOND: f64 = 8.0;

/// Time from a send to its answer.
const ANSWER_AFTER: u64 = 40;

/// Any span of this length is held to the limit, once gateways have had time to hear of it.
const SPAN: usize = 4_000;
const SETTLED: usize = 3_000;

/// From so long after its first answer on, a gateway's requests count.
const TOLD_FOR: u64 = 500;

/// Longest time between two words of a gateway, and the longest time that one is on its way.
const SPEAKS_EVERY: u64 = 700;
const LONGEST_WAY: u64 = 15;

/// Units of a request where limits are kept as quotas are.
const REQUEST: u64 = 1_000;

/// What a limit allows in a span.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * (SPAN as f64 / 1_000.0) + 5.0
}

/// How one gateway keeps to the limit.
enum Keeper {
    Few(Box<BackPressure>),
    Bucket(Box<QuotaLimiter>),
}

/// What one gateway tells the others.
#[derive(Clone)]
enum Word {
    Limits(Rc<Vec<LimitReport>>),
    Spends(Rc<UsageReport>),
}

struct Gateway {
    keeper: Keeper,
    life: u64,
    back_at: u64,
    spoke_at: u64,
    is_due: bool,
    told_at: Option<u64>,
}

struct Sent {
    from: usize,
    to: usize,
    life: u64,
    word: Word,
}

struct Play {
    limit: f64,
    sharing: LimitSharing,
    pattern: LimitPattern,
    rng: ChaCha8Rng,
    runner: Runner,
    account: ClientAccountName,
    gateways: Vec<Gateway>,
    under_way: Vec<Vec<Sent>>,
    /// Gateways whose requests are answered, by the ms.
    answers: Vec<Vec<usize>>,
    /// What the runner got, and what of it counts.
    got: Vec<u32>,
    counted: Vec<u32>,
}

/// Plays a pattern with `gateways` gateways and a runner that names `limit` requests a second.
///
/// ```
/// use bulrushusher_model::{LimitPattern, LimitSharing, play_limit};
/// let outcome = play_limit(5, 2.0, LimitSharing::Few, LimitPattern::Steady, 1);
/// assert!(outcome.worst_span <= 1.0 && outcome.used > 0.8, "{outcome:?}");
/// ```
pub fn play_limit(
    gateways: usize,
    limit: f64,
    sharing: LimitSharing,
    pattern: LimitPattern,
    seed: u64,
) -> LimitOutcome {
    let mut play = Play::new(gateways, limit, sharing, pattern, seed);
    for now in 0..LENGTH {
        play.step(now);
    }
    play.finish()
}

impl Play {
    fn new(
        count: usize,
        limit: f64,
        sharing: LimitSharing,
        pattern: LimitPattern,
        seed: u64,
    ) -> Play {
        let mut play = Play {
            limit,
            sharing,
            pattern,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runner: runner(),
            account: "i-1".try_into().expect("it is a name"),
            gateways: Vec::new(),
            under_way: (0..LENGTH + LONGEST_WAY + 1).map(|_| Vec::new()).collect(),
            answers: (0..LENGTH + ANSWER_AFTER + 1).map(|_| Vec::new()).collect(),
            got: Vec::new(),
            counted: Vec::new(),
        };
        play.gateways = (0..count).map(|nth| play.gateway(nth, 0)).collect();
        if pattern == LimitPattern::Joins {
            let joiner = play.gateways.len() - 1;
            play.gateways[joiner].back_at = TROUBLE.start;
        }
        play
    }

    fn gateway(&self, nth: usize, back_at: u64) -> Gateway {
        let now = Millis(back_at);
        let bucket = |sharing| {
            // What a span allows beyond the limit is what gateways may not know of each other.
            let slack = 5.0 * REQUEST as f64;
            let window = Millis(SPAN as u64);
            let cfg =
                QuotaConfig { sharing, window, overage: 0.5, slack, ..QuotaConfig::default() };
            let mut book = QuotaLimiter::new(cfg, now);
            book.set_quotas([(&self.account, Some(self.quota()))], now);
            Keeper::Bucket(Box::new(book))
        };
        let keeper = match self.sharing {
            LimitSharing::Few => {
                let name = format!("gateway-{nth}").into();
                let cfg = BackPressureConfig::default();
                Keeper::Few(Box::new(BackPressure::new(cfg, name)))
            }
            LimitSharing::Told => bucket(Sharing::Told),
            LimitSharing::Even => bucket(Sharing::Even),
        };
        Gateway { keeper, life: back_at, back_at, spoke_at: back_at, is_due: true, told_at: None }
    }

    fn quota(&self) -> Quota {
        Quota { per_second: self.limit * REQUEST as f64, burst: 0.0 }
    }

    fn step(&mut self, now: u64) {
        self.trouble(now);
        self.hear(now);
        self.take_answers(now);
        self.got.push(0);
        self.counted.push(0);
        for nth in 0..self.gateways.len() {
            if self.gateways[nth].back_at > now {
                continue;
            }
            let times = if nth == 0 { 3.0 } else { 1.0 };
            if self.rng.random::<f64>() < CALLERS_PER_SECOND * times / 1_000.0 {
                self.call(nth, now);
            }
            self.speak(nth, now);
        }
    }

    fn trouble(&mut self, now: u64) {
        if now != TROUBLE.start {
            return;
        }
        match self.pattern {
            LimitPattern::Halved => self.limit /= 2.0,
            LimitPattern::TotalRestart => {
                let count = self.gateways.len();
                self.gateways = (0..count).map(|nth| self.gateway(nth, now + AWAY)).collect();
                for gateway in &mut self.gateways {
                    if let Keeper::Few(pressure) = &mut gateway.keeper {
                        pressure.set_announced(count - 1);
                    }
                }
            }
            _ => {}
        }
    }

    /// A caller whose request would go to the runner if it may.
    fn call(&mut self, nth: usize, now: u64) {
        let draw = self.rng.random::<f64>();
        let at = Millis(now);
        let gateway = &mut self.gateways[nth];
        let goes = match &mut gateway.keeper {
            Keeper::Few(pressure) => {
                pressure.refresh(at);
                pressure.is_open(&self.runner, draw, at)
                    && pressure.acquire(&self.runner, 1, at).is_ok()
            }
            // Nothing is known of the limit before the first answer.
            Keeper::Bucket(_) if gateway.told_at.is_none() => true,
            Keeper::Bucket(book) => book.admit(&self.account, REQUEST, at).is_ok(),
        };
        if !goes {
            return;
        }
        if let Keeper::Bucket(book) = &gateway.keeper {
            gateway.is_due |= book.is_report_due(&self.account);
        }
        let counts = gateway.told_at.is_some_and(|told_at| now >= told_at + TOLD_FOR);
        self.got[now as usize] += 1;
        self.counted[now as usize] += u32::from(counts);
        self.answers[(now + ANSWER_AFTER) as usize].push(nth);
    }

    fn take_answers(&mut self, now: u64) {
        let limit = RateLimit::try_from(self.limit.to_string().as_str()).expect("it is a limit");
        let signals = RunnerSignals { rate_limit: Some(limit), ..RunnerSignals::default() };
        let quota = self.quota();
        for nth in std::mem::take(&mut self.answers[now as usize]) {
            let gateway = &mut self.gateways[nth];
            if gateway.back_at > now {
                continue;
            }
            gateway.told_at.get_or_insert(now);
            match &mut gateway.keeper {
                Keeper::Few(pressure) => {
                    let before = pressure.record_signals(&self.runner, signals, Millis(now));
                    gateway.is_due |= before != signals;
                }
                Keeper::Bucket(book) => {
                    book.set_quotas([(&self.account, Some(quota))], Millis(now));
                }
            }
        }
    }

    fn speak(&mut self, nth: usize, now: u64) {
        let gateway = &mut self.gateways[nth];
        if !gateway.is_due && now - gateway.spoke_at < SPEAKS_EVERY {
            return;
        }
        (gateway.spoke_at, gateway.is_due) = (now, false);
        let word = match &mut gateway.keeper {
            Keeper::Few(pressure) => Word::Limits(Rc::new(pressure.reports(Millis(now)))),
            Keeper::Bucket(book) => Word::Spends(Rc::new(book.next_report(true, Millis(now)))),
        };
        let life = gateway.life;
        for to in 0..self.gateways.len() {
            let is_lost = self.rng.random::<f64>() < self.pattern.loss();
            if to != nth && !is_lost && self.reaches(nth, to, now) {
                let way = self.rng.random_range(1..=LONGEST_WAY);
                let sent = Sent { from: nth, to, life, word: word.clone() };
                self.under_way[(now + way) as usize].push(sent);
            }
        }
    }

    /// True when a word of one gateway reaches the other.
    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        let half = self.gateways.len() / 2;
        let is_cut = self.pattern == LimitPattern::TwoHalves && TROUBLE.contains(&now);
        !is_cut || (from < half) == (to < half)
    }

    fn hear(&mut self, now: u64) {
        for Sent { from, to, life, word } in std::mem::take(&mut self.under_way[now as usize]) {
            let gateway = &mut self.gateways[to];
            if gateway.back_at > now {
                continue;
            }
            let name = format!("gateway-{from}");
            match (&mut gateway.keeper, word) {
                (Keeper::Few(pressure), Word::Limits(words)) => {
                    pressure.record_gateway(&name, Millis(now));
                    pressure.merge_reports(&words, Millis(now));
                }
                (Keeper::Bucket(book), Word::Spends(spends)) => {
                    book.merge_report(&name, life, &spends, true, Millis(now));
                }
                _ => {}
            }
        }
    }

    fn finish(self) -> LimitOutcome {
        let at = |now: usize| match (self.pattern, now as u64 >= TROUBLE.start) {
            (LimitPattern::Halved, false) => self.limit * 2.0,
            _ => self.limit,
        };
        let mut outcome = LimitOutcome::default();
        let mut sum = 0;
        for now in SETTLED..self.counted.len() {
            sum += self.counted[now];
            if now >= SETTLED + SPAN {
                sum -= self.counted[now - SPAN];
            }
            // A lower limit binds the spans that begin after it.
            let allowed = allowed(at(now.saturating_sub(SPAN)));
            outcome.worst_span = outcome.worst_span.max(f64::from(sum) / allowed);
        }
        let got: u32 = self.got[SETTLED..].iter().sum();
        let callers = CALLERS_PER_SECOND * (self.gateways.len() + 2) as f64;
        let due: f64 = (SETTLED..self.got.len()).map(|now| at(now).min(callers) / 1_000.0).sum();
        outcome.used = f64::from(got) / due.max(1.0);
        outcome
    }
}

fn runner() -> Runner {
    Runner {
        id: "i-1".try_into().expect("it is an identity"),
        born: None,
        service: "board-app".try_into().expect("it is a name"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "dc-1".try_into().expect("it is a name"),
        slots: 6,
        stage: None,
        leaving: false,
    }
}
