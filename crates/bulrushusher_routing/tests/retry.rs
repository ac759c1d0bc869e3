//! Tests of a retry budget that several processes share.

use bulrushusher_routing::{RetryBudget, RetryConfig};

fn spend_all(budget: &mut RetryBudget) -> u32 {
    let mut spent = 0;
    while budget.take() {
        spent += 1;
    }
    spent
}

/// All processes lose the same runner and spend all their savings at once.
#[test]
fn processes_that_spend_at_once_stay_within_the_whole() {
    for processes in [1, 5, 10, 27, 54] {
        let total = RetryConfig { per_request: 0.2, max_saved: 54.0 };
        let budget = || RetryBudget::new(total.split(processes));
        let spent: u32 = (0..processes).map(|_| spend_all(&mut budget())).sum();
        assert!(f64::from(spent) <= total.max_saved, "{processes} processes spent {spent}");
    }
}

#[test]
fn a_process_with_a_small_share_can_still_spend_an_earned_retry() {
    let total = RetryConfig { per_request: 0.2, max_saved: 20.0 };
    let mut budget = RetryBudget::new(total.split(380));
    assert_eq!(spend_all(&mut budget), 1);
    for _ in 0..10 {
        budget.earn();
    }
    assert_eq!(spend_all(&mut budget), 1);
}

#[test]
fn a_smaller_share_discards_excess_savings() {
    let total = RetryConfig { per_request: 0.2, max_saved: 50.0 };
    let mut budget = RetryBudget::new(total);
    budget.reconfigure(total.split(10));
    assert_eq!(spend_all(&mut budget), 5);
}

#[test]
fn no_process_retries_if_the_total_allows_none() {
    let total = RetryConfig { per_request: 0.0, max_saved: 0.0 };
    assert_eq!(spend_all(&mut RetryBudget::new(total.split(10))), 0);
}
