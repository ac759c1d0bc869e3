//! The budget of repeats that many processes share.

use bulrushusher_routing::{RetryBudget, RetryConfig};

fn spend_all(budget: &mut RetryBudget) -> u32 {
    let mut spent = 0;
    while budget.take() {
        spent += 1;
    }
    spent
}

/// All processes lose the same runner and repeat whatever they may within one window.
#[test]
fn processes_that_spend_at_once_stay_within_the_whole() {
    for sharers in [1, 5, 10, 27, 54] {
        let whole = RetryConfig { per_request: 0.2, max_saved: 54.0 };
        let budget = || RetryBudget::new(whole.split(sharers));
        let spent: u32 = (0..sharers).map(|_| spend_all(&mut budget())).sum();
        assert!(f64::from(spent) <= whole.max_saved, "{sharers} processes spent {spent}");
    }
}

#[test]
fn a_process_with_a_small_part_still_repeats_what_it_has_earned() {
    let whole = RetryConfig { per_request: 0.2, max_saved: 20.0 };
    let mut budget = RetryBudget::new(whole.split(380));
    assert_eq!(spend_all(&mut budget), 1);
    for _ in 0..10 {
        budget.earn();
    }
    assert_eq!(spend_all(&mut budget), 1);
}

#[test]
fn a_smaller_part_takes_back_what_was_saved() {
    let whole = RetryConfig { per_request: 0.2, max_saved: 50.0 };
    let mut budget = RetryBudget::new(whole);
    budget.reconfigure(whole.split(10));
    assert_eq!(spend_all(&mut budget), 5);
}

#[test]
fn where_no_repeat_is_allowed_no_process_makes_one() {
    let whole = RetryConfig { per_request: 0.0, max_saved: 0.0 };
    assert_eq!(spend_all(&mut RetryBudget::new(whole.split(10))), 0);
}
