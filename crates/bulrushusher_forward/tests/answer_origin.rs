//! Answers on runners' connections: first ones, second ones, late and lost ones, in random order.

use std::collections::VecDeque;

use bulrushusher_forward::{AnswerHead, AnswerOrigin, ConnectionCalls, RequestId, RunnerCall};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random orders of events.
const ORDERS: u64 = 100_000;

/// Calls in each order.
const CALLS: u64 = 12;

/// Requests that are sent; few, so that some are sent again.
const IDS: [&str; 4] = ["r1", "r2", "r3", "r4"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Request(usize),
    Copy,
    Control,
}

/// An answer on its way, with the number of the call that it answers.
#[derive(Clone, Debug)]
struct Answer {
    call: u64,
    id: Option<RequestId>,
    is_refusal: bool,
}

/// A connection on which the runner may answer a call twice, the second time at any later call.
#[derive(Default)]
struct Connection {
    calls: ConnectionCalls,
    late: VecDeque<Answer>,
}

impl Connection {
    /// The answer that arrives for the call. `None` if it is lost.
    fn answer(&mut self, rng: &mut ChaCha8Rng, call: u64, kind: Kind) -> Option<Answer> {
        let is_refusal = rng.random_bool(0.4);
        let id = match kind {
            // Another runner at the address refuses without an id.
            Kind::Request(_) if is_refusal && rng.random_bool(0.3) => None,
            Kind::Request(n) => Some(IDS[n].into()),
            Kind::Copy | Kind::Control => None,
        };
        let own = Answer { call, id, is_refusal };
        let received = match self.late.pop_front() {
            Some(late) if rng.random_bool(0.5) => {
                self.late.push_back(own.clone());
                late
            }
            late => {
                self.late.extend(late);
                own.clone()
            }
        };
        if rng.random_bool(0.3) {
            self.late.push_back(own);
        }
        rng.random_bool(0.9).then_some(received)
    }
}

/// Guards against the answer to another call that is taken for the answer to a run, a prefill or the
/// copy of a run.
#[test]
fn no_second_answer_is_taken_for_that_of_a_request_or_copy() {
    let (mut own, mut rejected) = (0, 0);
    for seed in 0..ORDERS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ids = IDS.map(RequestId::from);
        let mut connection = Connection::default();
        for number in 0..CALLS {
            let kind = match rng.random_range(0..4) {
                0 => Kind::Copy,
                1 => Kind::Control,
                _ => Kind::Request(rng.random_range(0..IDS.len())),
            };
            let call = match kind {
                Kind::Request(n) => RunnerCall::Request(&ids[n]),
                Kind::Copy => RunnerCall::Copy,
                Kind::Control => RunnerCall::Control,
            };
            if !connection.calls.permits(call) || !connection.calls.is_reusable() {
                connection = Connection::default();
            }
            let Some(answer) = connection.answer(&mut rng, number, kind) else {
                connection = Connection::default();
                continue;
            };
            let head = AnswerHead { id: answer.id.as_ref(), is_refusal: answer.is_refusal };
            match connection.calls.record_answer(call, head) {
                AnswerOrigin::Own => {
                    own += 1;
                    assert!(kind == Kind::Control || answer.call == number, "seed {seed} {kind:?}");
                }
                AnswerOrigin::Foreign | AnswerOrigin::Unclear => {
                    rejected += 1;
                    connection = Connection::default();
                }
            }
        }
    }
    assert!(own > ORDERS && rejected > ORDERS / 10, "{own} own, {rejected} rejected");
}

fn refusal(id: Option<&RequestId>) -> AnswerHead<'_> {
    AnswerHead { id, is_refusal: true }
}

/// Guards against a run at the address of another runner that counts as one that may have run.
#[test]
fn a_refusal_without_an_id_belongs_to_the_first_request_of_a_connection() {
    let (r1, r2) = (RequestId::from("r1"), RequestId::from("r2"));
    let mut calls = ConnectionCalls::default();
    assert_eq!(calls.record_answer(RunnerCall::Request(&r1), refusal(None)), AnswerOrigin::Own);
    assert_eq!(calls.record_answer(RunnerCall::Request(&r2), refusal(None)), AnswerOrigin::Unclear);
}

/// Guards against a success without an id that is taken for the answer to a run.
#[test]
fn a_success_without_an_id_never_belongs_to_a_request() {
    let id = RequestId::from("r1");
    let success = AnswerHead { id: None, is_refusal: false };
    let mut calls = ConnectionCalls::default();
    assert_eq!(calls.record_answer(RunnerCall::Request(&id), success), AnswerOrigin::Unclear);
}

/// Guards against a request whose second attempt is taken for refused because its first one was.
#[test]
fn a_request_is_not_sent_twice_on_one_connection() {
    let id = RequestId::from("r1");
    let call = RunnerCall::Request(&id);
    let mut calls = ConnectionCalls::default();
    assert_eq!(calls.record_answer(call, refusal(Some(&id))), AnswerOrigin::Own);
    assert!(!calls.permits(call));
    assert_eq!(calls.record_answer(call, refusal(Some(&id))), AnswerOrigin::Unclear);
}

/// Guards against a control call or a copy that takes the answer to a run.
#[test]
fn an_answer_with_an_id_never_belongs_to_a_call_without_one() {
    let id = RequestId::from("r1");
    let answer = AnswerHead { id: Some(&id), is_refusal: false };
    for call in [RunnerCall::Copy, RunnerCall::Control] {
        let mut calls = ConnectionCalls::default();
        assert_eq!(calls.record_answer(call, answer), AnswerOrigin::Foreign);
    }
}

/// Guards against connections that keep the ids of all requests ever sent on them.
#[test]
fn a_connection_is_replaced_after_a_bounded_number_of_requests() {
    let mut calls = ConnectionCalls::default();
    let mut sent = 0;
    while calls.is_reusable() {
        let id = RequestId::from(format!("r{sent}").as_str());
        calls.record_answer(RunnerCall::Request(&id), refusal(Some(&id)));
        sent += 1;
        assert!(sent <= 1_000, "it is never replaced");
    }
}
