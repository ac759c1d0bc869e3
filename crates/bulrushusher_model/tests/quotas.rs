//! Quotas kept by many gateways together: never above what is allowed in any window, and as little as
//! possible refused below it.

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_model::{
    QuotaLoad, QuotaOutcome, QuotaPattern, QuotaTrouble, play_quota_troubles, play_quotas,
};
use bulrushusher_time::Millis;

const FLEETS: [usize; 3] = [5, 28, 100];

fn played(pattern: QuotaPattern, gateways: usize, sharing: Sharing) -> QuotaOutcome {
    let load = QuotaLoad::new(gateways);
    let cfg = QuotaConfig { sharing, ..load.cfg };
    play_quotas(&QuotaLoad { cfg, ..load }, pattern, 1)
}

#[test]
fn no_window_goes_beyond_what_is_allowed_in_any_trouble() {
    for pattern in QuotaPattern::ALL {
        for gateways in FLEETS {
            let outcome = played(pattern, gateways, Sharing::Told);
            assert!(outcome.worst_window <= 1.0, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

#[test]
fn where_gateways_hear_each_other_hardly_anything_owed_is_refused() {
    for pattern in [QuotaPattern::Usual, QuotaPattern::HotAccount, QuotaPattern::LoweredQuota] {
        for gateways in FLEETS {
            let outcome = played(pattern, gateways, Sharing::Told);
            assert!(outcome.lost_share() < 0.01, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

#[test]
fn a_hot_account_gets_less_of_its_quota_from_even_parts() {
    let told = played(QuotaPattern::HotAccount, 28, Sharing::Told);
    let even = played(QuotaPattern::HotAccount, 28, Sharing::Even);
    assert!(told.lost < even.lost, "{told:?} {even:?}");
}

#[test]
fn hundreds_of_gateways_keep_a_hot_accounts_quota() {
    let outcome = played(QuotaPattern::HotAccount, 300, Sharing::Told);
    assert!(outcome.worst_window <= 1.0, "{outcome:?}");
    assert!(outcome.lost_share() < 0.01, "{outcome:?}");
}

/// Both begin within two windows of each other.
fn worst_of_pair(
    first: QuotaPattern,
    then: QuotaPattern,
    gateways: usize,
    step_ms: usize,
) -> (f64, u64) {
    let load = QuotaLoad { seconds: 45, ..QuotaLoad::new(gateways) };
    let played = |after: u64| {
        let troubles = [
            QuotaTrouble { pattern: first, at: Millis(10_000) },
            QuotaTrouble { pattern: then, at: Millis(10_000 + after) },
        ];
        (play_quota_troubles(&load, &troubles, 1).worst_window, after)
    };
    let all = (0..=16_000).step_by(step_ms).map(played);
    all.max_by(|a, b| a.0.total_cmp(&b.0)).expect("some were played")
}

/// A quota was passed by gateways that were cut off from each other just after all had been started, and where
/// a cut outlasted the time after which a silent gateway's part was used by the others: what those that fell
/// silent could have taken was not taken off by a gateway that had just started, and what was left in the bucket
/// not by any.
#[test]
fn no_window_goes_beyond_what_is_allowed_in_any_pair_of_troubles() {
    for first in QuotaPattern::ALL {
        for then in QuotaPattern::ALL {
            let (worst, after) = worst_of_pair(first, then, 5, 1_000);
            assert!(worst <= 1.0, "{first}, then {then} after {after} ms: {worst}");
        }
    }
}

#[test]
fn more_gateways_keep_quotas_in_pairs_of_cuts_and_restarts() {
    use QuotaPattern::{LoweredQuota, TenthCutOff, TotalRestart, TwoHalves};
    let pairs = [
        (TotalRestart, TenthCutOff),
        (TotalRestart, TwoHalves),
        (TwoHalves, TwoHalves),
        (TwoHalves, TenthCutOff),
        (TwoHalves, LoweredQuota),
    ];
    for (first, then) in pairs {
        let (worst, after) = worst_of_pair(first, then, 28, 2_000);
        assert!(worst <= 1.0, "{first}, then {then} after {after} ms: {worst}");
    }
}
