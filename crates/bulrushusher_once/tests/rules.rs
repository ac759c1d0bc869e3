//! Rules that fuzzing reaches too rarely, each alone.

use bulrushusher_once::{
    Ballot, BarReply, BarResponse, BarRound, BarVerdict, ClaimReply, HomeBarReply, KeyRecords,
    ListView, OrderReply, Owner, RecordCoverage, RecordsConfig, RunStatus, ServiceList,
    SettleAction, SettleFailure, SettleRequest, Settled, Settlement, home_of,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, EntryName, RequestKey};

const NOW: Millis = Millis(100_000);
const COVERAGE: RecordCoverage =
    RecordCoverage { since: Millis(0), skew: Millis(10), horizon: Millis(60_000) };

fn name(text: &str) -> EndpointName {
    EndpointName::try_from(text).unwrap()
}

fn names(texts: &[&str]) -> Vec<EndpointName> {
    texts.iter().map(|text| name(text)).collect()
}

fn owner(attempt: u64) -> Owner {
    Owner { entry: EntryName::try_from("entry-1").unwrap(), incarnation: 1, attempt }
}

/// A key whose home is `home` among `executors`. It has no time in it: the agents here are old
/// enough to vouch for it.
fn key_homed_at(home: &str, executors: &[EndpointName]) -> RequestKey {
    let keys = (0..).map(|n| RequestKey::try_from(format!("order-{n}")).unwrap());
    keys.into_iter().find(|key| home_of(key, executors) == Some(&name(home))).unwrap()
}

fn records(me: &str, list: &ServiceList) -> KeyRecords {
    let cfg = RecordsConfig { max_keys: 100, max_answer_bytes: 1_000, coverage: COVERAGE };
    let mut records = KeyRecords::new(name(me), cfg);
    records.set_list(list.clone(), Millis(0));
    for peer in records.pending_acks() {
        records.record_ack(&peer, list.revision, Millis(0));
    }
    records
}

fn list(revision: u64, executors: &[&str]) -> ServiceList {
    ServiceList { revision, executors: names(executors), ..ServiceList::default() }
}

fn settlement(key: &RequestKey, view: &ServiceList, attempt: u64) -> Settlement {
    let ask = SettleRequest {
        key: key.clone(),
        idempotent: false,
        owner: owner(attempt),
        skew: Millis(10),
    };
    let view = ListView {
        revision: view.revision,
        executors: view.executors.clone(),
        ..ListView::default()
    };
    Settlement::bar(ask, view, Ballot::Home)
}

/// Carries out the round that a settlement asks for at these agents.
fn bar_at(settlement: &mut Settlement, key: &RequestKey, agents: &mut [(&str, &mut KeyRecords)]) {
    let SettleAction::Bar { ballot, revision, .. } = settlement.action() else { panic!("no bar") };
    for (agent, records) in agents {
        let heard = records.bar(key, &ballot, revision, NOW);
        settlement.record_bar_reply(&name(agent), &ballot, Some(heard));
    }
}

#[test]
fn an_entry_with_an_old_list_learns_of_the_new_one_by_a_bar() {
    let (old, new) = (list(1, &["a", "b"]), list(2, &["a", "b", "c"]));
    let (mut a, mut b, mut c) = (records("a", &old), records("b", &old), records("c", &new));
    let key = key_homed_at("a", &new.executors);
    // An entry with the new list bars everywhere, and may run the key at c.
    let mut first = settlement(&key, &new, 1);
    bar_at(&mut first, &key, &mut [("a", &mut a), ("b", &mut b), ("c", &mut c)]);
    assert!(matches!(first.action(), SettleAction::Done(Settled::Run(_))));
    // An entry with the old list does not know c; a and b tell that there is a later list.
    let mut second = settlement(&key, &old, 2);
    bar_at(&mut second, &key, &mut [("a", &mut a), ("b", &mut b)]);
    assert_eq!(second.action(), SettleAction::Pause);
}

#[test]
fn a_home_does_not_run_the_keys_that_it_homes() {
    let list = list(1, &["a", "b"]);
    let mut a = records("a", &list);
    let key = key_homed_at("a", &list.executors);
    assert_eq!(a.order(&key, true, &Ballot::Home, NOW), OrderReply::InDoubt);
    let other = key_homed_at("b", &list.executors);
    assert_eq!(a.order(&other, true, &Ballot::Home, NOW), OrderReply::Run);
}

#[test]
fn a_home_refuses_claims_by_another_list() {
    let list = list(7, &["a", "b"]);
    let mut a = records("a", &list);
    let key = key_homed_at("a", &list.executors);
    let reply = a.claim(&key, &name("b"), 6, NOW);
    assert_eq!(reply, ClaimReply::OtherList { revision: 7 });
    assert_eq!(a.claim(&key, &name("b"), 7, NOW), ClaimReply::Recorded);
}

#[test]
fn an_executor_does_not_run_what_it_cannot_vouch_for() {
    let list = list(1, &["a", "b"]);
    let cfg = RecordsConfig {
        max_keys: 100,
        max_answer_bytes: 1_000,
        coverage: RecordCoverage { since: NOW, ..COVERAGE },
    };
    let mut young = KeyRecords::new(name("b"), cfg);
    young.set_list(list.clone(), NOW);
    let key = key_homed_at("a", &list.executors);
    assert_eq!(young.order(&key, true, &Ballot::Home, NOW), OrderReply::InDoubt);
}

fn clean(earlier: Option<Ballot>, revision: u64) -> BarResponse {
    BarResponse { reply: BarReply::Clean { earlier }, home: HomeBarReply::NotGiven, revision }
}

/// The verdict of a round whose home `a` is unreachable, and where `b` answers.
fn without_home(heard: BarResponse) -> BarVerdict {
    let ballot = Ballot::Home.next(&owner(1));
    let mut round = BarRound::new(ballot, 3, names(&["a", "b"]), Some(name("a")));
    round.record_unreachable(&name("a"));
    round.record_reply(&name("b"), heard);
    round.verdict().unwrap()
}

#[test]
fn an_unreachable_home_is_passed_over_only_without_any_hint() {
    assert_eq!(without_home(clean(None, 3)), BarVerdict::Clear);
    let earlier = Some(Ballot::Home.next(&owner(9)));
    assert_eq!(without_home(clean(earlier, 3)), BarVerdict::Unknown, "another attempt was here");
    assert_eq!(without_home(clean(None, 2)), BarVerdict::Unknown, "another list was in force");
    let given = BarResponse { home: HomeBarReply::Given(name("a")), ..clean(None, 3) };
    assert_eq!(without_home(given), BarVerdict::Unknown, "it was given to the lost endpoint");
}

#[test]
fn what_ran_and_cannot_be_had_is_told_so() {
    let list = list(1, &["a", "b"]);
    let (mut a, mut b) = (records("a", &list), records("b", &list));
    let key = key_homed_at("a", &list.executors);
    assert_eq!(b.order(&key, true, &Ballot::Home, NOW), OrderReply::Run);
    b.finish(&key, 2_000);
    assert_eq!(b.take_dropped(), vec![key.clone()], "larger than the bound on answers");
    let mut again = settlement(&key, &list, 1);
    bar_at(&mut again, &key, &mut [("a", &mut a), ("b", &mut b)]);
    let told = SettleFailure::RanWithoutAnswer(RunStatus::AnswerGone);
    assert_eq!(again.action(), SettleAction::Done(Settled::Failed(told)));
}

#[test]
fn a_full_table_refuses_and_does_not_grow() {
    let list = list(1, &["a", "b"]);
    let cfg = RecordsConfig { max_keys: 2, max_answer_bytes: 1_000, coverage: COVERAGE };
    let mut b = KeyRecords::new(name("b"), cfg);
    b.set_list(list, Millis(0));
    let order = |b: &mut KeyRecords, n: u32| {
        b.order(&RequestKey::try_from(format!("k{n}")).unwrap(), false, &Ballot::Home, NOW)
    };
    assert_eq!(order(&mut b, 1), OrderReply::Run);
    assert_eq!(order(&mut b, 2), OrderReply::Run);
    assert_eq!(order(&mut b, 3), OrderReply::TableFull);
    assert_eq!(b.sizes().0, 2);
}
