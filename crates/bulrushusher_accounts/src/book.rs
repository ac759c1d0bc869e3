//! What accounts use of their quotas, over all gateways.
//!
//! Each account has one token bucket, and every gateway keeps a copy of it: it takes off what it lets
//! through itself and what the others tell, and refills at the whole rate. What the copies do not know of
//! each other yet is bounded by how soon it is told. Gateways that do not hear each other fall back to
//! their part of the quota.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

use crate::account::Quota;
use crate::bucket::{Bucket, HALF, Part, Share};
use crate::quota::{AccountUse, OverQuota, QuotaConfig, Sharing};
use crate::spend::{AccountId, AccountSpend, Spends};

/// Part of an even share that a gateway keeps whatever its demand is.
const LEAST_BY_DEMAND: f64 = 0.25;

/// What is untold by so much of the bound goes with a report that is made anyway.
const SOON_DUE: f64 = 0.25;

/// Accounts that one report tells of: a datagram's worth.
const MOST_TOLD: usize = 512;

/// Another gateway.
#[derive(Clone, Debug)]
struct Peer {
    life: u64,
    heard_at: Millis,
    spent: HashMap<AccountId, u64>,
}

/// The quotas of all accounts.
///
/// ```
/// use bulrushusher_accounts::{Quota, QuotaBook, QuotaConfig};
/// use bulrushusher_time::Millis;
/// let cfg = QuotaConfig { overage: 0.0, ..QuotaConfig::default() };
/// let name = "studio-7".try_into().unwrap();
/// let quota = Quota { per_second: 100.0, burst: 50.0 };
/// let mut book = QuotaBook::new(cfg, Millis(0));
/// book.configure([(&name, Some(quota))], Millis(0));
/// // The bucket begins empty: whatever ran before this start is not known.
/// assert!(book.admit(&name, 40, Millis(0)).is_err());
/// assert!(book.admit(&name, 40, Millis(400)).is_ok());
/// assert_eq!(book.admit(&name, 40, Millis(500)).unwrap_err().come_back, Millis(300));
/// book.refund(&name, 40, Millis(500));
/// assert!(book.admit(&name, 40, Millis(500)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct QuotaBook {
    cfg: QuotaConfig,
    started: Millis,
    /// True once this gateway knows what was used before its start, or that it no longer counts.
    settled: bool,
    buckets: HashMap<ClientAccountName, Bucket>,
    names: HashMap<AccountId, ClientAccountName>,
    peers: HashMap<Arc<str>, Peer>,
    /// Gateways that are known by other means.
    announced: usize,
    /// The part of the quotas that this gateway may use, and when it was worked out.
    part: (Part, Millis),
}

impl QuotaBook {
    /// Nothing is known of what was used before `started`. Where parts are fixed, nobody tells it, and
    /// buckets begin full.
    pub fn new(cfg: QuotaConfig, started: Millis) -> QuotaBook {
        QuotaBook {
            cfg,
            started,
            settled: matches!(cfg.sharing, Sharing::Fixed(_)),
            buckets: HashMap::new(),
            names: HashMap::new(),
            peers: HashMap::new(),
            announced: 0,
            part: (Part { heard: 1, gateways: 1 }, Millis(0)),
        }
    }

    /// Takes other bounds.
    pub fn reconfigure(&mut self, cfg: QuotaConfig) {
        self.cfg = cfg;
    }

    /// Takes the quotas of a configuration. A lower one cuts what is left; a higher one does not fill it.
    /// Accounts that are not named any more are kept, as the others may still tell of them.
    pub fn configure<'a>(
        &mut self,
        accounts: impl IntoIterator<Item = (&'a ClientAccountName, Option<Quota>)>,
        now: Millis,
    ) {
        self.refresh(now);
        let weight = self.part.0.share();
        for (account, quota) in accounts {
            let is_new = self.ensure(account);
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            bucket.fill(&self.cfg, weight, now);
            bucket.set_quota(&self.cfg, quota);
            if is_new && !self.settled {
                bucket.begin(&self.cfg);
            }
        }
    }

    /// So many other gateways are announced.
    pub fn note_announced(&mut self, others: usize) {
        self.announced = others;
    }

    /// Counts a request of the account. One that was not configured has no quota.
    ///
    /// # Errors
    /// [`OverQuota`] with the time to come back; nothing is counted then.
    pub fn admit(
        &mut self,
        account: &ClientAccountName,
        cost: u64,
        now: Millis,
    ) -> Result<(), OverQuota> {
        self.refresh(now);
        self.ensure(account);
        let part = self.part.0;
        let weight = self.weight(account, now);
        let cfg = self.cfg;
        let Some(bucket) = self.buckets.get_mut(account) else { return Ok(()) };
        bucket.fill(&cfg, weight, now);
        if let Some(quota) = bucket.quota {
            let missing = bucket.missing(&cfg, quota, weight, cost as f64);
            if missing > 0.0 {
                bucket.refused += cost;
                let share = Share { weight, part };
                let come_back = bucket.next_return(&cfg, share, missing, cost, now);
                let (heard, gateways) = (part.heard, part.gateways);
                let per_second = quota.per_second;
                return Err(OverQuota { missing, per_second, heard, gateways, come_back });
            }
        }
        bucket.take(cost, &cfg, now);
        Ok(())
    }

    /// A request that was counted has not run.
    pub fn refund(&mut self, account: &ClientAccountName, cost: u64, now: Millis) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.give_back(cost, &self.cfg, now);
        }
    }

    /// True when the others should be told at once what an account used here.
    pub fn must_tell(&self, account: &ClientAccountName) -> bool {
        let gateways = self.part.0.gateways;
        self.cfg.is_told()
            && self.buckets.get(account).is_some_and(|it| it.is_due(&self.cfg, gateways, 1.0))
    }

    /// What the other gateways are told: the use of all accounts, or of those only whose use matters to the
    /// others now.
    pub fn tell(&mut self, whole: bool, now: Millis) -> Spends {
        self.refresh(now);
        let mut spends = Spends { settled: self.settled, accounts: Vec::new() };
        if !self.cfg.is_told() {
            return spends;
        }
        let (cfg, gateways) = (self.cfg, self.part.0.gateways);
        let is_due = |bucket: &&mut Bucket| match whole {
            true => bucket.quota.is_some() && bucket.spent > 0,
            false => bucket.is_due(&cfg, gateways, SOON_DUE),
        };
        let mut due: Vec<&mut Bucket> = self.buckets.values_mut().filter(is_due).collect();
        if due.len() > MOST_TOLD {
            due.sort_unstable_by_key(|bucket| std::cmp::Reverse(bucket.filled));
            due.truncate(MOST_TOLD);
        }
        due.iter_mut().for_each(|bucket| bucket.told = bucket.spent);
        spends.accounts = due.into_iter().map(|bucket| bucket.word(&cfg, whole)).collect();
        spends
    }

    /// All that there is to tell, for one gateway that has missed something; the others are not told by it.
    pub fn all(&mut self, now: Millis) -> Spends {
        self.refresh(now);
        let told = self.buckets.values().filter(|it| it.quota.is_some() && it.spent > 0);
        let accounts = match self.cfg.is_told() {
            true => told.take(MOST_TOLD).map(|bucket| bucket.word(&self.cfg, true)).collect(),
            false => Vec::new(),
        };
        Spends { settled: self.settled, accounts }
    }

    /// Takes in what another gateway tells. `life` is its start; `whole` tells that accounts which are not
    /// named were not used.
    pub fn hear(&mut self, peer: &str, life: u64, spends: &Spends, whole: bool, now: Millis) {
        self.refresh(now);
        let adopts = !self.settled && spends.settled && whole;
        let lately = |known: &Peer| now.since(known.heard_at) < self.cfg.silent_after;
        let before = self.peers.remove(peer).filter(|known| known.life == life);
        let counts_on = before.as_ref().is_some_and(lately);
        // All that a gateway used that has just started is new.
        let is_start = before.is_none() && !spends.settled;
        let mut known = before.unwrap_or(Peer { life, heard_at: now, spent: HashMap::new() });
        known.heard_at = now;
        for told in &spends.accounts {
            let before = known.spent.insert(told.account, told.spent);
            if counts_on || is_start {
                self.take_off(told, before.unwrap_or(0), now);
            }
        }
        self.peers.insert(peer.into(), known);
        if adopts {
            self.adopt(spends, now);
        }
    }

    /// Another gateway took from the account. What it took while it was not heard does not count: this one
    /// kept to its part meanwhile.
    fn take_off(&mut self, told: &AccountSpend, before: u64, now: Millis) {
        let (cfg, weight) = (self.cfg, self.part.0.share());
        let Some(name) = self.names.get(&told.account) else { return };
        let Some(bucket) = self.buckets.get_mut(name) else { return };
        let Some(quota) = bucket.quota else { return };
        bucket.fill(&cfg, weight, now);
        let most = cfg.headroom(quota) + quota.burst;
        let units = (told.spent as f64 - before as f64).clamp(-most, most);
        bucket.level = (bucket.level - units).max(-most);
        bucket.note_use(units, &cfg, now);
    }

    /// Goes by what a gateway knows that has not just started.
    fn adopt(&mut self, spends: &Spends, now: Millis) {
        self.settled = true;
        let told: HashMap<AccountId, &AccountSpend> =
            spends.accounts.iter().map(|told| (told.account, told)).collect();
        for bucket in self.buckets.values_mut() {
            let Some(quota) = bucket.quota else { continue };
            let full = self.cfg.capacity(quota);
            let told = told.get(&bucket.id);
            let left = told.map(|told| told.left.map_or(full * HALF, |left| left as f64));
            bucket.settle(left.unwrap_or(full).min(full), now);
        }
    }

    /// What every account used, for operators.
    pub fn uses(&mut self, now: Millis) -> Vec<AccountUse> {
        let window = self.cfg.window;
        let uses = self.buckets.iter_mut().map(|(account, bucket)| AccountUse {
            account: account.clone(),
            used: bucket.everywhere.sum(window, now),
            worst: bucket.everywhere.worst(),
            refused: bucket.refused,
            quota: bucket.quota,
        });
        uses.collect()
    }

    /// Accounts that are tracked.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// True when no account is known.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Tracks an account; true when it was not tracked before.
    fn ensure(&mut self, account: &ClientAccountName) -> bool {
        if self.buckets.contains_key(account) {
            return false;
        }
        if self.buckets.len() >= self.cfg.most {
            let oldest = self.buckets.iter().min_by_key(|(_, bucket)| bucket.filled);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.buckets.remove(&oldest);
            }
        }
        let id = AccountId::from(account);
        let filled = if self.settled { Millis(0) } else { self.started };
        self.names.insert(id, account.clone());
        self.buckets.insert(account.clone(), Bucket::new(id, filled));
        true
    }

    /// Brings up to date what changes with time alone.
    fn refresh(&mut self, now: Millis) {
        if !self.settled && now.since(self.started) >= self.cfg.window {
            self.settle(now);
        }
        if now.since(self.part.1) >= PART_KEPT || self.part.1 == Millis(0) {
            let gone_after = self.cfg.gone_after;
            self.peers.retain(|_, peer| now.since(peer.heard_at) < gone_after);
            let before = self.part.0;
            self.part = (self.work_out_part(now), now);
            // Others that are found, and were not counted before, have taken nothing yet.
            let fell_silent = before.heard.saturating_sub(self.part.0.heard);
            if fell_silent > 0 {
                let share = fell_silent as f64 / self.part.0.gateways.max(before.gateways) as f64;
                self.part_from_others(share, now);
            }
        }
    }

    /// What was used before the start is out of every window: the buckets need not have begun empty.
    fn settle(&mut self, now: Millis) {
        self.settled = true;
        let weight = self.part.0.share();
        for bucket in self.buckets.values_mut() {
            bucket.fill(&self.cfg, weight, now);
            let full = bucket.quota.map_or(0.0, |quota| self.cfg.capacity(quota));
            bucket.settle((bucket.level + full).min(full), now);
        }
    }

    /// Gateways with that share of the quotas are not heard any more. They may go on taking their part, and what
    /// they took since they were heard last is not known; also just after a start of all.
    fn part_from_others(&mut self, share: f64, now: Millis) {
        let (cfg, weight) = (self.cfg, self.part.0.share());
        if cfg.sharing != Sharing::Told {
            return;
        }
        for bucket in self.buckets.values_mut().filter(|bucket| bucket.quota.is_some()) {
            bucket.fill(&cfg, weight, now);
            bucket.part_from(share, &cfg, now);
        }
    }

    /// How many gateways may use the quotas, and how many of them are heard.
    fn work_out_part(&self, now: Millis) -> Part {
        if let Sharing::Fixed(gateways) = self.cfg.sharing {
            return Part { heard: 1, gateways: gateways.max(1) as usize };
        }
        let lately = |peer: &&Peer| now.since(peer.heard_at) < self.cfg.silent_after;
        let heard = self.peers.values().filter(lately).count() + 1;
        // Whoever is announced and was not heard for long may be cut off, and use its part still.
        Part { heard, gateways: self.peers.len().max(self.announced) + 1 }
    }

    /// Share of an account's quota that this gateway may use.
    fn weight(&mut self, account: &ClientAccountName, now: Millis) -> f64 {
        let even = 1.0 / self.part.0.gateways as f64;
        match self.cfg.sharing {
            Sharing::Fixed(_) | Sharing::Even => even,
            Sharing::Told => self.part.0.share(),
            Sharing::ByDemand => {
                let window = self.cfg.window;
                let Some(bucket) = self.buckets.get_mut(account) else { return even };
                let here = bucket.here.sum(window, now);
                let all = bucket.everywhere.sum(window, now);
                let share = if all > 0.0 { here / all } else { even };
                LEAST_BY_DEMAND * even + (1.0 - LEAST_BY_DEMAND) * share
            }
        }
    }
}

/// How long the part of the quotas is kept that this gateway may use.
const PART_KEPT: Millis = Millis(50);
