//! A runner's rate limit, kept by many gateways together: never passed, and used.

use bulrushusher_model::{LimitOutcome, LimitPattern, LimitSharing, play_limit};

const FLEETS: [usize; 2] = [5, 28];

const LIMITS: [f64; 5] = [0.0, 0.3, 1.0, 5.1, 200.0];

fn played(gateways: usize, limit: f64, pattern: LimitPattern) -> LimitOutcome {
    play_limit(gateways, limit, LimitSharing::Few, pattern, 1)
}

#[test]
fn no_span_gets_more_than_is_allowed_in_any_trouble() {
    for pattern in LimitPattern::ALL {
        for gateways in FLEETS {
            for limit in LIMITS {
                let outcome = played(gateways, limit, pattern);
                assert!(outcome.worst_span <= 1.0, "{pattern} {gateways} {limit}: {outcome:?}");
            }
        }
    }
}

#[test]
fn hundreds_of_gateways_keep_to_a_small_limit() {
    for pattern in LimitPattern::ALL {
        for gateways in [100, 300] {
            let outcome = played(gateways, 1.0, pattern);
            assert!(outcome.worst_span <= 1.0, "{pattern} {gateways}: {outcome:?}");
        }
    }
}

/// A runner that takes some requests gets most of them while callers wait.
#[test]
fn a_limit_is_used_while_callers_wait() {
    for gateways in FLEETS {
        for limit in [1.0, 5.1, 200.0] {
            let outcome = played(gateways, limit, LimitPattern::Steady);
            assert!(outcome.used >= 0.8, "{gateways} {limit}: {outcome:?}");
        }
    }
}

/// Even parts let each gateway save up a request: hundreds of them pass a small limit many times over.
#[test]
fn even_parts_pass_a_small_limit_at_size() {
    let even = play_limit(300, 1.0, LimitSharing::Even, LimitPattern::Steady, 1);
    let few = played(300, 1.0, LimitPattern::Steady);
    assert!(even.worst_span > 1.0 && few.worst_span <= 1.0, "{even:?} {few:?}");
}
