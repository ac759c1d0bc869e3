//! Quotas kept by many gateways together: never above what is allowed in any window, and as little as
//! possible refused below it.

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_model::{QuotaLoad, QuotaOutcome, QuotaPattern, play_quotas};

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
