//! Many gateways share the quota of a client account: no window exceeds the allowed use, and hardly
//! anything below it is refused.

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_model::{
    QuotaFault, QuotaLoad, QuotaOutcome, QuotaPattern, simulate_quota_faults, simulate_quotas,
};
use bulrushusher_time::Millis;

const FLEETS: [usize; 3] = [5, 28, 100];

fn simulate(pattern: QuotaPattern, gateways: usize, sharing: Sharing) -> QuotaOutcome {
    let load = QuotaLoad::new(gateways);
    let cfg = QuotaConfig { sharing, ..load.cfg };
    simulate_quotas(&QuotaLoad { cfg, ..load }, pattern, 1)
}

#[test]
fn no_window_exceeds_the_allowance_under_any_fault() {
    for pattern in QuotaPattern::ALL {
        for gateways in FLEETS {
            let outcome = simulate(pattern, gateways, Sharing::Told);
            assert!(outcome.worst_window <= 1.0, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

#[test]
fn connected_gateways_refuse_hardly_any_of_the_entitlement() {
    for pattern in [QuotaPattern::Usual, QuotaPattern::HotAccount, QuotaPattern::LoweredQuota] {
        for gateways in FLEETS {
            let outcome = simulate(pattern, gateways, Sharing::Told);
            assert!(outcome.lost_share() < 0.01, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

/// Guards against gateways that charged usage of their peers again after a restart: they refused up
/// to 4 % of the entitlement of an account far below its quota.
#[test]
fn a_restart_refuses_hardly_any_of_the_entitlement() {
    use QuotaPattern::{UsualRollingRestart, UsualTotalRestart};
    for pattern in [UsualRollingRestart, UsualTotalRestart] {
        for gateways in FLEETS {
            let outcome = simulate(pattern, gateways, Sharing::Told);
            assert!(outcome.lost_share() < 0.01, "{pattern} {gateways}: {outcome:?}");
            assert!(outcome.refused_share() < 0.01, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

#[test]
fn a_hot_account_gets_less_of_its_quota_from_equal_shares() {
    let shared = simulate(QuotaPattern::HotAccount, 28, Sharing::Told);
    let even = simulate(QuotaPattern::HotAccount, 28, Sharing::Even);
    assert!(shared.lost < even.lost, "{shared:?} {even:?}");
}

#[test]
fn hundreds_of_gateways_enforce_the_quota_of_a_hot_account() {
    let outcome = simulate(QuotaPattern::HotAccount, 300, Sharing::Told);
    assert!(outcome.worst_window <= 1.0, "{outcome:?}");
    assert!(outcome.lost_share() < 0.01, "{outcome:?}");
}

/// The worst window of a pair of faults, and the delay of the second in ms at which it occurs. The
/// delays go up to two windows.
fn worst_of_pair(
    first: QuotaPattern,
    then: QuotaPattern,
    gateways: usize,
    step_ms: usize,
) -> (f64, u64) {
    let load = QuotaLoad { seconds: 45, ..QuotaLoad::new(gateways) };
    let simulate_delay = |after: u64| {
        let faults = [
            QuotaFault { pattern: first, at: Millis(10_000) },
            QuotaFault { pattern: then, at: Millis(10_000 + after) },
        ];
        (simulate_quota_faults(&load, &faults, 1).worst_window, after)
    };
    let all = (0..=16_000).step_by(step_ms).map(simulate_delay);
    all.max_by(|a, b| a.0.total_cmp(&b.0)).expect("there is at least one delay")
}

/// Guards against two faults by which a quota was exceeded: gateways were partitioned just after a
/// restart of all of them, or a partition outlasted the time after which the others take over the
/// share of an unreachable gateway. A gateway that had just started did not deduct what the
/// unreachable ones could have used, and no gateway deducted the remaining content of the bucket.
/// Also guards against buckets that were filled a second time a window after a restart of all
/// gateways, although they had been full meanwhile.
#[test]
fn no_window_exceeds_the_allowance_under_any_pair_of_faults() {
    for first in QuotaPattern::ALL {
        for then in QuotaPattern::ALL {
            let (worst, after) = worst_of_pair(first, then, 5, 1_000);
            assert!(worst <= 1.0, "{first}, then {then} after {after} ms: {worst}");
        }
    }
}

#[test]
fn larger_fleets_enforce_quotas_under_pairs_of_partitions_and_restarts() {
    use QuotaPattern::{LoweredQuota, Partition, TenthIsolated, TotalRestart};
    let pairs = [
        (TotalRestart, TenthIsolated),
        (TotalRestart, Partition),
        (Partition, Partition),
        (Partition, TenthIsolated),
        (Partition, LoweredQuota),
    ];
    for (first, then) in pairs {
        let (worst, after) = worst_of_pair(first, then, 28, 2_000);
        assert!(worst <= 1.0, "{first}, then {then} after {after} ms: {worst}");
    }
}
