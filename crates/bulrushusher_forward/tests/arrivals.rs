//! What is paid for the arrivals of a request at runners.

use bulrushusher_forward::RequestArrivals;
use proptest::prelude::*;

/// What becomes of one send.
#[derive(Clone, Copy, Debug)]
enum Send {
    /// A prefill that a runner accepts.
    Prefill,
    /// A prefill that a runner refuses, or whose answer is lost.
    FailedPrefill,
    /// A run, whatever its end.
    Run,
    /// Nothing of it is written.
    Unsent,
}

fn sends() -> impl Strategy<Value = Vec<Send>> {
    let send = prop_oneof![
        Just(Send::Prefill),
        Just(Send::FailedPrefill),
        Just(Send::Run),
        Just(Send::Unsent),
    ];
    prop::collection::vec(send, 0..12)
}

proptest! {
    /// Guards against arrivals that nobody pays for, in whatever order a request is sent.
    #[test]
    fn each_arrival_beyond_the_first_is_paid_for(sends in sends()) {
        let mut arrivals = RequestArrivals::default();
        let (mut paid, mut arrived, mut accepted) = (0, 0_u32, 0_u32);
        for send in sends {
            if arrivals.unpaid_after(1) > 0 {
                arrivals.pay();
                paid += 1;
            }
            arrivals.record();
            match send {
                Send::Unsent => arrivals.withdraw(),
                Send::Run | Send::FailedPrefill => arrived += 1,
                Send::Prefill => {
                    arrived += 1;
                    accepted += 1;
                    arrivals.accept_prefill();
                }
            }
            let free = accepted.min(1);
            let retries = (arrived - free).saturating_sub(1);
            prop_assert!(paid >= retries, "{paid} paid for {retries}");
            prop_assert_eq!(arrivals.retries(), retries);
            // At most one payment is ahead: for a send that failed, or for the free prefill.
            prop_assert!(paid <= retries + 1, "{paid} paid for {retries}");
        }
    }
}

#[test]
fn a_request_that_is_prefilled_and_runs_once_pays_nothing() {
    let mut arrivals = RequestArrivals::default();
    assert_eq!(arrivals.unpaid_after(1), 0);
    arrivals.record();
    arrivals.accept_prefill();
    assert_eq!(arrivals.unpaid_after(1), 0);
    arrivals.record();
    assert_eq!((arrivals.retries(), arrivals.unpaid_after(1), arrivals.unpaid_after(2)), (0, 1, 2));
}
