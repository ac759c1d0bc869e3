//! Tests of a retry budget that several processes share.

use bulrushusher_routing::{RetryBudget, RetryConfig};
use bulrushusher_time::Millis;

/// The budget of a process that has run for a whole window.
fn settled(cfg: RetryConfig) -> RetryBudget {
    let mut budget = RetryBudget::new(cfg, Millis(0));
    budget.advance(cfg.window);
    budget
}

fn config(per_request: f64, burst: f64) -> RetryConfig {
    RetryConfig { per_request, burst, ..RetryConfig::default() }
}

fn spend_all(budget: &mut RetryBudget) -> u32 {
    let mut spent = 0;
    while budget.take() {
        spent += 1;
    }
    spent
}

/// All processes lose the same runner and spend all their bursts at once. With more processes than
/// retries, none may round its share up.
#[test]
fn processes_that_spend_at_once_stay_within_the_whole() {
    for processes in [1, 5, 10, 27, 54, 300, 492] {
        for burst in [1.0, 54.0, 106.0] {
            let total = config(0.2, burst);
            let budget = || settled(total.share(Some(processes)));
            let spent: u32 = (0..processes).map(|_| spend_all(&mut budget())).sum();
            assert!(f64::from(spent) <= burst, "{processes} processes spent {spent} of {burst}");
        }
    }
}

#[test]
fn a_process_with_a_small_share_can_still_spend_an_earned_retry() {
    let mut budget = settled(config(0.2, 20.0).share(Some(380)));
    assert_eq!(spend_all(&mut budget), 0);
    for _ in 0..10 {
        budget.earn();
    }
    assert_eq!(spend_all(&mut budget), 1);
}

#[test]
fn a_process_that_does_not_know_the_others_spends_only_what_it_has_earned() {
    let mut budget = settled(config(0.2, 50.0).share(None));
    assert_eq!(spend_all(&mut budget), 0);
    (0..20).for_each(|_| budget.earn());
    assert_eq!(spend_all(&mut budget), 2);
}

#[test]
fn a_smaller_share_applies_at_once() {
    let total = config(0.2, 50.0);
    let mut budget = settled(total);
    budget.reconfigure(total.share(Some(5)));
    assert_eq!(spend_all(&mut budget), 5);
}

#[test]
fn no_process_retries_if_the_total_allows_none() {
    assert_eq!(spend_all(&mut settled(config(0.0, 0.0).share(Some(1)))), 0);
}

/// Guards against a budget that is spent once for each start of a process.
#[test]
fn a_process_that_is_started_again_and_again_spends_its_burst_once_a_window() {
    let cfg = config(0.0, 5.0);
    let mut spent = spend_all(&mut settled(cfg));
    for start in [10_500, 12_000, 15_000, 17_000] {
        let mut budget = RetryBudget::new(cfg, Millis(start));
        budget.advance(Millis(start + 1_400));
        spent += spend_all(&mut budget);
    }
    assert_eq!(spent, 5);
    let mut budget = RetryBudget::new(cfg, Millis(17_000));
    budget.advance(Millis(27_000));
    assert_eq!(spend_all(&mut budget), 5, "a whole window has passed");
}

#[test]
fn retries_are_allowed_again_once_the_former_ones_are_out_of_the_window() {
    let cfg = config(0.0, 3.0);
    let mut budget = settled(cfg);
    assert_eq!(spend_all(&mut budget), 3);
    budget.advance(Millis(19_900));
    assert_eq!(spend_all(&mut budget), 0);
    budget.advance(Millis(20_600));
    assert_eq!(spend_all(&mut budget), 3);
}

/// Requests that are older than the windows that count no longer pay.
#[test]
fn requests_pay_only_while_they_are_in_the_window() {
    let mut budget = RetryBudget::new(config(0.2, 0.0), Millis(0));
    (0..100).for_each(|_| budget.earn());
    assert!(budget.has_retry());
    budget.advance(Millis(30_000));
    assert!(!budget.has_retry());
}

#[test]
fn steady_requests_earn_their_share() {
    let mut budget = RetryBudget::new(config(0.2, 0.0), Millis(0));
    let mut spent = 0;
    for at in 0..60_000_u64 {
        budget.advance(Millis(at));
        if at % 10 == 0 {
            budget.earn();
            if budget.take() && at >= 50_000 {
                spent += 1;
            }
        }
    }
    assert!((185..=200).contains(&spent), "{spent} of 200 allowed for 1000 requests");
}

#[test]
fn another_window_starts_a_new_budget() {
    let cfg = config(0.2, 5.0);
    let mut budget = settled(cfg);
    budget.reconfigure(RetryConfig { window: Millis(1_000), ..cfg });
    assert!(!budget.has_retry());
    budget.advance(Millis(11_000));
    assert_eq!(spend_all(&mut budget), 5);
}
