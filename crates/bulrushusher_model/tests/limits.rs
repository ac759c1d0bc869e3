//! Many gateways share the rate limit of a runner: they never exceed it, and they use it up.

use bulrushusher_model::{LimitOutcome, LimitPattern, LimitSharing, simulate_limit};

const FLEETS: [usize; 2] = [5, 28];

const LIMITS: [f64; 5] = [0.0, 0.3, 1.0, 5.1, 200.0];

fn simulate(gateways: usize, limit: f64, pattern: LimitPattern) -> LimitOutcome {
    simulate_limit(gateways, limit, LimitSharing::FewGateways, pattern, 1)
}

#[test]
fn no_span_exceeds_the_allowance_under_any_fault() {
    for pattern in LimitPattern::ALL {
        for gateways in FLEETS {
            for limit in LIMITS {
                let outcome = simulate(gateways, limit, pattern);
                assert!(outcome.worst_span <= 1.0, "{pattern} {gateways} {limit}: {outcome:?}");
            }
        }
    }
}

#[test]
fn hundreds_of_gateways_do_not_exceed_a_small_limit() {
    for pattern in LimitPattern::ALL {
        for gateways in [100, 300] {
            let outcome = simulate(gateways, 1.0, pattern);
            assert!(outcome.worst_span <= 1.0, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

/// While demand exceeds the limit, the runner receives at least 80 % of the limit.
#[test]
fn the_limit_is_used_up_while_demand_exceeds_it() {
    for gateways in FLEETS {
        for limit in [1.0, 5.1, 200.0] {
            let outcome = simulate(gateways, limit, LimitPattern::Steady);
            assert!(outcome.used >= 0.8, "{gateways} {limit}: {outcome:?}");
        }
    }
}

/// With equal shares each gateway may accumulate a request, so that hundreds of gateways exceed a
/// small limit many times over.
#[test]
fn equal_shares_exceed_a_small_limit_in_a_large_fleet() {
    let even = simulate_limit(300, 1.0, LimitSharing::Even, LimitPattern::Steady, 1);
    let few = simulate(300, 1.0, LimitPattern::Steady);
    assert!(even.worst_span > 1.0 && few.worst_span <= 1.0, "{even:?} {few:?}");
}
