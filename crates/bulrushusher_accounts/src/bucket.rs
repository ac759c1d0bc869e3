//! One account's quota, as one gateway knows it.

use bulrushusher_time::Millis;

use crate::account::Quota;
use crate::quota::{APART_SHARE, QuotaConfig, Sharing};
use crate::spend::{AccountId, AccountSpend};
use crate::window::WindowSum;

/// A refused caller comes back this soon at the earliest, so that returns do not crowd.
const LEAST_WAIT: Millis = Millis(50);

/// A bucket that is fuller than this needs no word of its level.
pub(crate) const HALF: f64 = 0.5;

/// A request that is larger than a bucket passes when so much of it is full.
const NEARLY_FULL: f64 = 0.95;

/// How much of a quota this gateway may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Part {
    pub heard: usize,
    pub gateways: usize,
}

impl Part {
    pub(crate) fn share(self) -> f64 {
        self.heard as f64 / self.gateways as f64
    }
}

/// What this gateway may use, and of how many.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    pub weight: f64,
    pub part: Part,
}

#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    pub id: AccountId,
    pub quota: Option<Quota>,
    /// Units left; below zero after others' use was heard late.
    pub level: f64,
    /// Units of these that stand for all gateways together after a start of all: this one may use its part.
    grant: f64,
    pub filled: Millis,
    /// Units that this gateway let through, less refunds.
    pub spent: u64,
    /// Of these, those that were told.
    pub told: u64,
    /// Use within the last window, here and at all.
    pub here: WindowSum,
    pub everywhere: WindowSum,
    /// Use at all that are heard, since those were heard that have just fallen silent.
    pub lately: WindowSum,
    pub refused: u64,
    /// When the last caller that was refused is to come back.
    last_return: Millis,
}

impl Bucket {
    pub(crate) fn new(id: AccountId, filled: Millis) -> Bucket {
        Bucket {
            id,
            quota: None,
            level: 0.0,
            grant: 0.0,
            filled,
            spent: 0,
            told: 0,
            here: WindowSum::default(),
            everywhere: WindowSum::default(),
            lately: WindowSum::default(),
            refused: 0,
            last_return: Millis(0),
        }
    }

    pub(crate) fn set_quota(&mut self, cfg: &QuotaConfig, quota: Option<Quota>) {
        self.quota = quota;
        if let Some(quota) = quota {
            self.level = self.level.min(cfg.capacity(quota));
            self.grant = self.grant.min(cfg.at_start(quota));
        }
    }

    /// Lets a bucket begin that is empty but for what may be used whatever was used before.
    pub(crate) fn begin(&mut self, cfg: &QuotaConfig) {
        self.grant = self.quota.map_or(0.0, |quota| cfg.at_start(quota));
        self.level = self.grant;
    }

    /// What was used before is known, or no longer counts.
    pub(crate) fn settle(&mut self, level: f64, now: Millis) {
        (self.level, self.filled, self.grant) = (level, now, 0.0);
    }

    pub(crate) fn fill(&mut self, cfg: &QuotaConfig, weight: f64, now: Millis) {
        let Some(quota) = self.quota else { return };
        let passed = now.since(self.filled).0 as f64;
        self.filled = self.filled.max(now);
        let part = if self.grant > 0.0 { 1.0 } else { weight };
        let full = cfg.capacity(quota) * part;
        self.level = (self.level + passed * rate(cfg, quota, weight)).min(full);
    }

    /// Units that are missing for a request. One that is larger than the bucket passes when that is nearly
    /// full; those that come after it pay off the debt.
    pub(crate) fn missing(&self, cfg: &QuotaConfig, quota: Quota, weight: f64, units: f64) -> f64 {
        let full = cfg.capacity(quota) * weight;
        let others = self.grant * (1.0 - weight);
        units.min(full * NEARLY_FULL) - (self.level - others)
    }

    pub(crate) fn take(&mut self, cost: u64, cfg: &QuotaConfig, now: Millis) {
        self.level -= cost as f64;
        self.spent += cost;
        self.here.add(cost as f64, cfg.window, now);
        self.note_use(cost as f64, cfg, now);
    }

    pub(crate) fn give_back(&mut self, cost: u64, cfg: &QuotaConfig, now: Millis) {
        self.level += cost as f64;
        self.spent = self.spent.saturating_sub(cost);
        self.here.add(-(cost as f64), cfg.window, now);
        self.note_use(-(cost as f64), cfg, now);
    }

    /// Units were used here or at a gateway that is heard, or given back.
    pub(crate) fn note_use(&mut self, units: f64, cfg: &QuotaConfig, now: Millis) {
        self.everywhere.add(units, cfg.window, now);
        self.lately.add(units, cfg.silent_after, now);
    }

    /// Some gateways have fallen silent, which have that share of the quota. They may have taken it of all that
    /// could be taken since they were heard last: what is left now, and what was used meanwhile.
    pub(crate) fn part_from(&mut self, share: f64, cfg: &QuotaConfig, now: Millis) {
        let could_be_taken = self.level.max(0.0) + self.lately.sum(cfg.silent_after, now);
        self.level -= share * could_be_taken;
    }

    pub(crate) fn is_due(&self, cfg: &QuotaConfig, gateways: usize, share: f64) -> bool {
        let Some(quota) = self.quota else { return false };
        let untold = self.spent.abs_diff(self.told) as f64;
        untold > 0.0 && untold >= cfg.untold(quota, gateways) * share
    }

    /// What is told of it; of its level only where everything is told.
    pub(crate) fn word(&self, cfg: &QuotaConfig, whole: bool) -> AccountSpend {
        let full = self.quota.map_or(0.0, |quota| cfg.capacity(quota));
        let left = (whole && self.level < full * HALF).then_some(self.level as i64);
        AccountSpend { account: self.id, spent: self.spent, left }
    }

    /// When the caller of a refused request is to come back: returns come one after the other, at this
    /// gateway's part of the rate.
    pub(crate) fn next_return(
        &mut self,
        cfg: &QuotaConfig,
        share: Share,
        missing: f64,
        cost: u64,
        now: Millis,
    ) -> Millis {
        let Some(quota) = self.quota else { return Millis(0) };
        let rate = rate(cfg, quota, share.weight).max(f64::MIN_POSITIVE);
        let soonest = now.plus(Millis((missing / rate).ceil() as u64).max(LEAST_WAIT));
        let own_rate = rate / share.part.heard as f64;
        let after_last = self.last_return.plus(Millis((cost as f64 / own_rate) as u64));
        self.last_return = soonest.max(after_last.min(now.plus(cfg.window)));
        self.last_return.since(now)
    }
}

/// Units a ms that come in where this gateway may use `weight` of the quota. While gateways are apart, a part
/// of the headroom is used in place of what those that are gone leave.
fn rate(cfg: &QuotaConfig, quota: Quota, weight: f64) -> f64 {
    let whole = quota.per_second / 1_000.0;
    match cfg.sharing {
        Sharing::Told if weight < 1.0 => {
            let spare = APART_SHARE * cfg.headroom(quota) / cfg.window.0 as f64;
            (weight * (whole + spare)).min(whole)
        }
        _ => weight * whole,
    }
}
