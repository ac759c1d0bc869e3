//! Tests of single rules that fuzzing exercises too rarely.

use bulrushusher_once::{
    AgentBarReply, Ballot, BarReply, BarRound, BarVerdict, ClaimReply, HomeBarReply, KeyRecords,
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

/// A key whose home is `home` among `executors`. It has no embedded time; the records of the agents
/// here go back far enough to cover it.
fn key_homed_at(home: &str, executors: &[EndpointName]) -> RequestKey {
    let keys = (0..).map(|n| RequestKey::try_from(format!("order-{n}")).unwrap());
    keys.into_iter().find(|key| home_of(key, executors) == Some(&name(home))).unwrap()
}

fn records(agent: &str, list: &ServiceList) -> KeyRecords {
    let cfg = RecordsConfig { max_keys: 100, max_answer_bytes: 1_000, coverage: COVERAGE };
    let mut records = KeyRecords::new(name(agent), cfg);
    records.set_list(list.clone(), Millis(0));
    for peer in records.pending_acks() {
        records.record_ack(&peer, list.revision, Millis(0));
    }
    records
}

fn list(revision: u64, executors: &[&str]) -> ServiceList {
    ServiceList { revision, executors: names(executors), ..ServiceList::default() }
}

fn settlement(key: &RequestKey, list: &ServiceList, attempt: u64) -> Settlement {
    let req = SettleRequest {
        key: key.clone(),
        idempotent: false,
        owner: owner(attempt),
        skew: Millis(10),
    };
    let view = ListView {
        revision: list.revision,
        executors: list.executors.clone(),
        ..ListView::default()
    };
    Settlement::bar(req, view, Ballot::Home)
}

/// Carries out the settlement's bar round at these agents.
fn bar_at(settlement: &mut Settlement, key: &RequestKey, agents: &mut [(&str, &mut KeyRecords)]) {
    let SettleAction::Bar { ballot, revision, .. } = settlement.action() else { panic!("no bar") };
    for (agent, records) in agents {
        let response = records.bar(key, &ballot, revision, NOW);
        settlement.record_bar_reply(&name(agent), &ballot, Some(response));
    }
}

#[test]
fn a_bar_reveals_a_later_list_to_an_entry_with_an_old_one() {
    let (old, new) = (list(1, &["a", "b"]), list(2, &["a", "b", "c"]));
    let (mut a, mut b, mut c) = (records("a", &old), records("b", &old), records("c", &new));
    let key = key_homed_at("a", &new.executors);
    // An entry with the new list bars the key at all agents, and may then run it at c.
    let mut first = settlement(&key, &new, 1);
    bar_at(&mut first, &key, &mut [("a", &mut a), ("b", &mut b), ("c", &mut c)]);
    assert!(matches!(first.action(), SettleAction::Done(Settled::Run(_))));
    // The old list of the other entry lacks c; the replies of a and b have a later revision.
    let mut second = settlement(&key, &old, 2);
    bar_at(&mut second, &key, &mut [("a", &mut a), ("b", &mut b)]);
    assert_eq!(second.action(), SettleAction::Pause);
}

#[test]
fn a_home_does_not_run_its_own_keys() {
    let list = list(1, &["a", "b"]);
    let mut a = records("a", &list);
    let key = key_homed_at("a", &list.executors);
    assert_eq!(a.order(&key, true, &Ballot::Home, NOW), OrderReply::InDoubt);
    let other = key_homed_at("b", &list.executors);
    assert_eq!(a.order(&other, true, &Ballot::Home, NOW), OrderReply::Run);
}

#[test]
fn a_home_refuses_claims_made_with_another_list_revision() {
    let list = list(7, &["a", "b"]);
    let mut a = records("a", &list);
    let key = key_homed_at("a", &list.executors);
    let reply = a.claim(&key, &name("b"), 6, NOW);
    assert_eq!(reply, ClaimReply::OtherList { revision: 7 });
    assert_eq!(a.claim(&key, &name("b"), 7, NOW), ClaimReply::Recorded);
}

#[test]
fn an_executor_does_not_run_a_key_that_its_records_do_not_cover() {
    let list = list(1, &["a", "b"]);
    let cfg = RecordsConfig {
        max_keys: 100,
        max_answer_bytes: 1_000,
        coverage: RecordCoverage { since: NOW, ..COVERAGE },
    };
    let mut new_agent = KeyRecords::new(name("b"), cfg);
    new_agent.set_list(list.clone(), NOW);
    let key = key_homed_at("a", &list.executors);
    assert_eq!(new_agent.order(&key, true, &Ballot::Home, NOW), OrderReply::InDoubt);
}

fn clean(earlier: Option<Ballot>, revision: u64) -> AgentBarReply {
    AgentBarReply { reply: BarReply::Clean { earlier }, home: HomeBarReply::NotGiven, revision }
}

/// The verdict of a bar round in which the home `a` is unreachable and `b` replies.
fn verdict_without_home(response: AgentBarReply) -> BarVerdict {
    let ballot = Ballot::Home.next(&owner(1));
    let mut round = BarRound::new(ballot, 3, names(&["a", "b"]), Some(name("a")));
    round.record_unreachable(&name("a"));
    round.record_reply(&name("b"), response);
    round.verdict().unwrap()
}

#[test]
fn an_unreachable_home_is_skipped_only_if_no_conflict_is_possible() {
    assert_eq!(verdict_without_home(clean(None, 3)), BarVerdict::Clear);
    let earlier = Some(Ballot::Home.next(&owner(9)));
    assert_eq!(
        verdict_without_home(clean(earlier, 3)),
        BarVerdict::Unknown,
        "another attempt barred it"
    );
    assert_eq!(
        verdict_without_home(clean(None, 2)),
        BarVerdict::Unknown,
        "another list was in use"
    );
    let given = AgentBarReply { home: HomeBarReply::Given(name("a")), ..clean(None, 3) };
    assert_eq!(
        verdict_without_home(given),
        BarVerdict::Unknown,
        "it was assigned to the lost endpoint"
    );
}

#[test]
fn a_run_whose_answer_was_dropped_is_reported() {
    let list = list(1, &["a", "b"]);
    let (mut a, mut b) = (records("a", &list), records("b", &list));
    let key = key_homed_at("a", &list.executors);
    assert_eq!(b.order(&key, true, &Ballot::Home, NOW), OrderReply::Run);
    b.finish(&key, 2_000);
    assert_eq!(b.take_dropped(), vec![key.clone()], "larger than the limit on answers");
    let mut again = settlement(&key, &list, 1);
    bar_at(&mut again, &key, &mut [("a", &mut a), ("b", &mut b)]);
    let failure = SettleFailure::RanWithoutAnswer(RunStatus::AnswerGone);
    assert_eq!(again.action(), SettleAction::Done(Settled::Failed(failure)));
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
