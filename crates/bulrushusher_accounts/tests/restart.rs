//! A gateway that restarts beside running ones neither refuses accounts within their quotas nor
//! lets a window exceed what is allowed, in whichever order it receives the reports of its peers.

use bulrushusher_accounts::{
    AccountId, Quota, QuotaConfig, QuotaLimiter, Sharing, UsageCounter, UsageReport,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

const QUOTA: Quota = Quota { per_second: 29_000.0, burst: 29_000.0 };
const CFG: QuotaConfig = QuotaConfig {
    sharing: Sharing::Told,
    window: Millis(8_000),
    overage: 0.1,
    slack: 120_000.0,
    silent_after: Millis(1_600),
    gone_after: Millis(10_000),
    max_accounts: 100,
};

/// Cost of each request at the running gateways: enough to be listed in the next delta.
const COST: u64 = 4_000;

fn accounts() -> [ClientAccountName; 2] {
    ["studio-7", "studio-8"].map(|name| name.try_into().unwrap())
}

struct Gateway {
    name: String,
    incarnation: u64,
    limiter: QuotaLimiter,
}

impl Gateway {
    fn start(nth: usize, now: u64, others: usize) -> Gateway {
        let mut limiter = QuotaLimiter::new(CFG, Millis(now));
        limiter.set_quotas(accounts().iter().map(|name| (name, Some(QUOTA))), Millis(now));
        limiter.set_announced_peers(others, Millis(now));
        Gateway { name: format!("gateway-{nth}"), incarnation: now, limiter }
    }

    fn merge(&mut self, from: &Gateway, usage: &UsageReport, is_full: bool, now: u64) {
        self.limiter.merge_report(&from.name, from.incarnation, usage, is_full, Millis(now));
    }

    /// Units of the account that the gateway admits at once, in requests of 100.
    fn available(&self, account: &ClientAccountName, now: u64) -> u64 {
        let mut limiter = self.limiter.clone();
        (0..).take_while(|_| limiter.admit(account, 100, Millis(now)).is_ok()).count() as u64 * 100
    }
}

/// Gateways that run for `seconds`; the accounts use `share` of their quotas, at all of them.
/// Returns the time as well.
fn running(count: usize, seconds: u64, share: f64) -> (Vec<Gateway>, u64) {
    let mut all: Vec<Gateway> = (0..count).map(|nth| Gateway::start(nth, 1, count - 1)).collect();
    let interval = (COST as f64 / (QUOTA.per_second * share) * 1_000.0) as u64;
    let end = seconds * 1_000;
    for now in (1..=end).step_by(10) {
        if now / interval > now.saturating_sub(10) / interval {
            let at = (now / interval) as usize % count;
            for account in accounts() {
                all[at].limiter.admit(&account, COST, Millis(now)).ok();
            }
        }
        if now % 100 == 1 {
            exchange(&mut all, now % 1_000 == 1, now);
        }
    }
    exchange(&mut all, false, end);
    (all, end)
}

/// Each gateway reports to all others.
fn exchange(all: &mut [Gateway], is_full: bool, now: u64) {
    for from in 0..all.len() {
        let usage = all[from].limiter.next_report(is_full, Millis(now));
        let (before, rest) = all.split_at_mut(from);
        let Some((sender, after)) = rest.split_first_mut() else { return };
        for to in before.iter_mut().chain(after) {
            to.merge(sender, &usage, is_full, now);
        }
    }
}

/// All orders of `items`.
fn orders<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let first = |nth: usize| {
        let mut rest = items.to_vec();
        let item = rest.remove(nth);
        let prepend = move |mut order: Vec<T>| {
            order.insert(0, item.clone());
            order
        };
        orders(&rest).into_iter().map(prepend)
    };
    (0..items.len()).flat_map(first).collect()
}

/// Guards against charging a peer's usage since its start as new usage: a restarted gateway heard
/// deltas, which list few accounts, before full reports, and refused accounts for seconds.
#[test]
fn a_restarted_gateway_refuses_nothing_within_the_quota_in_any_order_of_reports() {
    let (mut peers, now) = running(3, 20, 0.6);
    // The deltas list only the first account.
    let reports: Vec<(usize, bool, UsageReport)> = (0..peers.len())
        .flat_map(|nth| {
            let limiter = &mut peers[nth].limiter;
            limiter.admit(&accounts()[0], COST, Millis(now)).unwrap();
            let delta = limiter.next_report(false, Millis(now));
            assert_eq!(delta.accounts.len(), 1);
            [(nth, false, delta), (nth, true, limiter.resync_report(Millis(now)))]
        })
        .collect();
    for order in orders(&reports) {
        let mut restarted = Gateway::start(3, now, peers.len());
        for (nth, is_full, usage) in &order {
            restarted.merge(&peers[*nth], usage, *is_full, now + 5);
        }
        for account in accounts() {
            let available = restarted.available(&account, now + 5);
            let at_peer = peers[0].available(&account, now + 5);
            assert!(available >= 10_000, "{account}: {available}, at a peer {at_peer}");
            assert!(available <= at_peer, "{account}: {available}, at a peer {at_peer}");
        }
    }
}

fn report(synced: bool, counters: &[(usize, u64)]) -> UsageReport {
    let counter = |&(nth, used): &(usize, u64)| UsageCounter {
        account: AccountId::from(&accounts()[nth]),
        used,
        remaining: None,
    };
    UsageReport { synced, accounts: counters.iter().map(counter).collect() }
}

/// Units that a synced gateway charges to the second account after the reports of a peer that it
/// did not know, as pairs of a report and whether it is a full one.
fn charged_after(reports: &[(UsageReport, bool)]) -> u64 {
    let mut gateway = Gateway::start(0, 1, 1);
    let now = CFG.window.0 + 1;
    let peer = Gateway::start(1, now, 1);
    let before = gateway.available(&accounts()[1], now);
    for (usage, is_full) in reports {
        gateway.merge(&peer, usage, *is_full, now);
    }
    before - gateway.available(&accounts()[1], now)
}

/// Guards against the opposite error: usage that is new for certain is not taken for a baseline,
/// whichever report lists it first.
#[test]
fn usage_of_a_peer_is_charged_once_it_is_known_to_be_new() {
    let (old, new) = (&[(0, 9_000), (1, 30_000)], &[(0, 9_000), (1, 34_000)]);
    let delta = |synced, counters: &[(usize, u64)]| (report(synced, counters), false);
    let full = |synced, counters: &[(usize, u64)]| (report(synced, counters), true);
    for (reports, charged) in [
        // It was running before: the first counter of each account is a baseline.
        (vec![full(true, old)], 0),
        (vec![delta(true, &old[..1]), full(true, old)], 0),
        (vec![delta(true, &old[..1]), delta(true, old), full(true, new)], 4_000),
        (vec![delta(true, &[]), full(true, old), delta(true, &new[1..])], 4_000),
        // A full report without the account shows that it had no usage.
        (vec![full(true, &old[..1]), delta(true, &[(1, 4_000)])], 4_000),
        // It has just started: everything is new.
        (vec![full(false, &[(1, 4_000)])], 4_000),
        (vec![delta(false, &old[..1]), full(true, &[(1, 4_000)])], 4_000),
    ] {
        assert_eq!(charged_after(&reports), charged, "{reports:?}");
    }
}

/// A gateway that starts and adopts the levels of `peer`.
fn adopted_from(peer: &mut Gateway, now: u64) -> Gateway {
    let usage = peer.limiter.resync_report(Millis(now));
    let mut restarted = Gateway::start(9, now, 1);
    restarted.merge(peer, &usage, true, now);
    restarted
}

/// Guards against levels as of an account's last request: a gateway that adopted them refused an
/// account that had been idle since.
#[test]
fn adopted_levels_are_those_of_the_time_of_the_report() {
    let now = CFG.window.0 + 1;
    let mut peer = Gateway::start(0, 1, 0);
    let account = &accounts()[0];
    peer.limiter.admit(account, peer.available(account, now), Millis(now)).unwrap();
    let later = now + 1_000;
    let available = adopted_from(&mut peer, later).available(account, later);
    assert!(available >= 28_900 && available <= peer.available(account, later), "{available}");
}

/// Guards against a full bucket for an account that the reporting gateway itself has not admitted:
/// it knows the usage of others.
#[test]
fn levels_are_adopted_from_a_gateway_without_own_usage() {
    let now = CFG.window.0 + 1;
    let (mut peer, mut other) = (Gateway::start(0, 1, 1), Gateway::start(1, 1, 1));
    let account = &accounts()[0];
    other.limiter.admit(account, other.available(account, now), Millis(now)).unwrap();
    peer.merge(&other, &report(true, &[]), true, now);
    let usage = other.limiter.next_report(true, Millis(now));
    peer.merge(&other, &usage, true, now);
    assert_eq!(adopted_from(&mut peer, now).available(account, now), 0);
}

/// Guards against adopted levels that were cut to the share of the peers heard so far: a starting
/// gateway lost them within the milliseconds until it heard the others.
#[test]
fn an_adopted_level_is_kept_until_the_other_peers_had_time_to_report() {
    let (mut peers, now) = running(10, 20, 0.6);
    let usage = peers[0].limiter.resync_report(Millis(now));
    let mut restarted = Gateway::start(10, now, peers.len());
    restarted.merge(&peers[0], &usage, true, now);
    let now = now + 60;
    let account = &accounts()[0];
    peers[0].limiter.admit(account, COST, Millis(now)).unwrap();
    for peer in &mut peers {
        let delta = peer.limiter.next_report(false, Millis(now));
        restarted.merge(peer, &delta, false, now);
    }
    let later = now + 100;
    let available = restarted.available(account, later);
    let at_peer = peers[0].available(account, later);
    assert!(available >= 25_000 && available <= at_peer, "{available}, at a peer {at_peer}");
}

/// Guards against full buckets where the peers are found before the configuration is read: there
/// was no bucket yet that could have adopted a level.
#[test]
fn levels_are_adopted_once_the_quotas_are_known() {
    let (mut peers, now) = running(2, 20, 0.6);
    for peer in &mut peers {
        let left = peer.available(&accounts()[0], now);
        peer.limiter.admit(&accounts()[0], left, Millis(now)).unwrap();
    }
    let mut limiter = QuotaLimiter::new(CFG, Millis(now));
    limiter.set_announced_peers(2, Millis(now));
    let mut restarted = Gateway { limiter, ..Gateway::start(9, now, 2) };
    for peer in &mut peers {
        let usage = peer.limiter.resync_report(Millis(now));
        restarted.merge(peer, &usage, true, now);
    }
    let quotas = accounts().map(|name| (name, Some(QUOTA)));
    let quotas = quotas.iter().map(|(name, quota)| (name, *quota));
    let now = now + 100;
    restarted.limiter.set_quotas(quotas, Millis(now));
    for account in accounts() {
        let available = restarted.available(&account, now);
        let at_peer = peers[0].available(&account, now);
        assert!(available <= at_peer, "{account}: {available}, at a peer {at_peer}");
    }
    assert!(restarted.available(&accounts()[1], now) >= 10_000);
}

/// Guards against charging what an account used while it had no quota: it was refused for as long
/// as the quota takes to grant that.
#[test]
fn usage_before_an_account_has_a_quota_is_not_charged() {
    let account = &accounts()[0];
    let mut limiter = QuotaLimiter::new(CFG, Millis(1));
    limiter.set_quotas([(account, None)], Millis(1));
    let now = Millis(CFG.window.0 + 1);
    limiter.admit(account, 100_000_000, now).unwrap();
    limiter.set_quotas([(account, Some(QUOTA))], now);
    limiter.admit(account, 200, now).unwrap();
}

/// Guards against charging usage of a silent peer once it is heard again: the gateway kept to its
/// own share meanwhile, and an incremental report does not list all accounts.
#[test]
fn usage_of_a_silent_peer_is_not_charged_when_it_is_heard_again() {
    let (used, later) = (report(true, &[(1, 4_000)]), report(true, &[(1, 54_000)]));
    let now = CFG.window.0 + 1;
    let mut gateway = Gateway::start(0, 1, 1);
    let peer = Gateway::start(1, 1, 1);
    gateway.merge(&peer, &used, true, now);
    let now = now + 5_000;
    gateway.merge(&peer, &report(true, &[]), false, now);
    let before = gateway.available(&accounts()[1], now);
    gateway.merge(&peer, &later, true, now);
    assert_eq!(gateway.available(&accounts()[1], now), before);
}
