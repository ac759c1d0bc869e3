//! Deltas of a relay's change log, for all short histories of two runners and all ways in which the
//! relay can have received them.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    ChangeLog, DeltaPages, DeltaRequest, PageOutcome, Runner, RunnerChange, RunnerDelta,
    RunnerDirectory, RunnerDirectoryConfig, RunnerRemoval,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

const RUNNERS: usize = 2;
const LAST_REVISION: u64 = 4;
/// Changes that the log keeps; more than any history has.
const ROOMY: usize = 100;
const NOW: Millis = Millis(0);

fn id(n: usize) -> RunnerId {
    format!("i-{n}").as_str().try_into().expect("valid name")
}

fn runner(n: usize, revision: u64) -> Runner {
    Runner {
        id: id(n),
        born: None,
        service: "app".try_into().expect("valid name"),
        address: format!("10.0.0.{n}:80").parse().expect("valid address"),
        data_centre: "dc-1".try_into().expect("valid name"),
        slots: 1,
        stage: None,
        leaving: false,
        cold_for: Millis(0),
        revision,
        version: "v1".into(),
    }
}

/// The entries of the store: the revision of each runner's entry.
type Entries = BTreeMap<usize, u64>;

/// A history of the store; the change of revision `r` is at index `r - 1`.
#[derive(Clone, Debug, Default)]
struct History(Vec<Change>);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Put(usize),
    Remove(usize),
}

impl History {
    /// All histories up to the last revision.
    fn all() -> Vec<History> {
        let mut all = vec![History::default()];
        for revision in 0..LAST_REVISION {
            let longer = |history: &History| -> Vec<History> {
                let present = history.entries_at(revision);
                let puts = (0..RUNNERS).map(Change::Put);
                let changes = puts.chain(present.into_keys().map(Change::Remove));
                let extended = |change| History([&history.0[..], &[change]].concat());
                changes.map(extended).collect()
            };
            all = all.iter().flat_map(longer).collect();
        }
        all
    }

    fn entries_at(&self, revision: u64) -> Entries {
        let mut entries = Entries::new();
        for (at, change) in (1..=revision).zip(&self.0) {
            match change {
                Change::Put(n) => drop(entries.insert(*n, at)),
                Change::Remove(n) => drop(entries.remove(n)),
            }
        }
        entries
    }

    /// Revision of the latest entry in a list.
    fn last_entry(&self, revision: u64) -> u64 {
        self.entries_at(revision).into_values().max().unwrap_or(0)
    }

    /// The changes after a revision, as the store sends them.
    fn changes(&self, after: u64, revision: u64) -> Vec<RunnerChange> {
        let change = |at: u64| match self.0[at as usize - 1] {
            Change::Put(n) => RunnerChange::Entry(runner(n, at)),
            Change::Remove(n) => RunnerChange::Removed(RunnerRemoval { id: id(n), revision: at }),
        };
        (after + 1..=revision).map(change).collect()
    }

    /// What a list at `revision` changes for a gateway that has the state of `known`.
    fn list_diff(&self, known: u64, revision: u64) -> Vec<RunnerChange> {
        let (old, new) = (self.entries_at(known), self.entries_at(revision));
        let changed = new.iter().filter(|(n, at)| old.get(*n) != Some(at));
        let entries = changed.map(|(n, at)| RunnerChange::Entry(runner(*n, *at)));
        let missing = old.keys().filter(|n| !new.contains_key(*n));
        let removals =
            missing.map(|n| RunnerChange::Removed(RunnerRemoval { id: id(*n), revision }));
        entries.chain(removals).collect()
    }
}

/// How a relay received changes.
#[derive(Clone, Copy, Debug)]
enum Receipt {
    /// A list at a revision.
    List(u64),
    /// The changes between two revisions: a watch, a request to the store or another relay's delta.
    Changes(u64, u64),
}

/// All receipts by a relay which is complete up to `known`. Changes may have been read before, and
/// then end earlier.
fn receipts(known: u64) -> Vec<Receipt> {
    let lists = (known..=LAST_REVISION).map(Receipt::List);
    let of = |after| (after + 1..=LAST_REVISION).map(move |to| Receipt::Changes(after, to));
    lists.chain((0..=known).flat_map(of)).collect()
}

/// All sequences of a first list and two further receipts.
fn sequences() -> Vec<(u64, Vec<Receipt>)> {
    let mut all = Vec::new();
    for first in 0..=LAST_REVISION {
        for second in receipts(first) {
            let known = known_after(first, second);
            all.extend(receipts(known).into_iter().map(|third| (first, vec![second, third])));
        }
    }
    all
}

fn known_after(known: u64, receipt: Receipt) -> u64 {
    match receipt {
        Receipt::List(revision) | Receipt::Changes(_, revision) => known.max(revision),
    }
}

/// The log of a relay that received a first list and then `receipts`.
fn relay(history: &History, first: u64, receipts: &[Receipt], most: usize) -> ChangeLog {
    let mut log = ChangeLog::new(most);
    log.restart(first, history.last_entry(first));
    for receipt in receipts {
        match *receipt {
            Receipt::List(revision) => {
                let changes = history.list_diff(log.revision(), revision);
                let has_removal = changes.iter().any(|it| matches!(it, RunnerChange::Removed(_)));
                // A list does not tell when a runner was removed.
                let last_change = if has_removal { revision } else { history.last_entry(revision) };
                log.record_list(revision, last_change, changes);
            }
            Receipt::Changes(after, revision) => {
                log.record(after, revision, revision, history.changes(after, revision));
            }
        }
    }
    log
}

/// A gateway's runners, as they were at a revision.
fn reader(history: &History, revision: u64) -> RunnerDirectory {
    let mut directory = RunnerDirectory::new(RunnerDirectoryConfig::default());
    directory.store_answered(NOW);
    let entries = history.entries_at(revision);
    directory.replace_all(entries.iter().map(|(n, at)| runner(*n, *at)).collect(), revision, NOW);
    directory
}

fn apply(directory: &mut RunnerDirectory, delta: &RunnerDelta) {
    for change in &delta.changes {
        match change {
            RunnerChange::Entry(runner) => drop(directory.put(runner.clone(), NOW)),
            RunnerChange::Removed(removal) => directory.remove(removal, NOW),
            RunnerChange::Unusable(id) => directory.forget(id),
        }
    }
}

fn entries_of(directory: &RunnerDirectory) -> Entries {
    let known = |n| directory.get(&id(n), NOW).map(|runner| (n, runner.revision));
    (0..RUNNERS).filter_map(known).collect()
}

/// Lost removals: a runner that appeared and left between two lists of a relay is in neither list,
/// and the relay's delta confirmed it to a gateway that knew it. An answer of the store that was
/// read before a delta and arrived after it replaced the delta's later removal in the log.
#[test]
fn a_delta_leads_every_reader_to_the_state_of_its_revision() {
    let sequences = sequences();
    for history in History::all() {
        for (first, receipts) in &sequences {
            for most in [1, ROOMY] {
                let log = relay(&history, *first, receipts, most);
                check_readers(&history, &log, &format!("list {first}, {receipts:?}, {most} kept"));
            }
        }
    }
}

fn check_readers(history: &History, log: &ChangeLog, received: &str) {
    for after in 0..=LAST_REVISION {
        let req = DeltaRequest { after, page_after: None };
        let Some(delta) = log.since(&req, RUNNERS).filter(|it| it.revision > after) else {
            continue;
        };
        let mut directory = reader(history, after);
        apply(&mut directory, &delta);
        assert_eq!(
            entries_of(&directory),
            history.entries_at(delta.revision),
            "reader after {after} of a relay that received {received}; {history:?}, {delta:?}"
        );
    }
}

/// Stale runners that a relay confirms: its last known change does not show that a runner was
/// removed between two of its lists.
#[test]
fn a_relay_confirms_only_readers_that_have_the_state_of_its_last_revision() {
    for history in History::all() {
        for (first, receipts) in sequences() {
            let log = relay(&history, first, &receipts, ROOMY);
            let req = DeltaRequest { after: log.revision(), page_after: None };
            let last_change = log.since(&req, RUNNERS).expect("the log ends there").last_change;
            for seen in last_change..=log.revision() {
                let is_current = history.entries_at(seen) == history.entries_at(log.revision());
                assert!(
                    is_current || !log.coverage().contains(seen),
                    "reader at {seen}, list {first}, {receipts:?}, {history:?}"
                );
            }
        }
    }
}

/// Needless calls to the store: after an outage all gateways have the state before it, and ask the
/// relays that listed anew.
#[test]
fn readers_at_both_ends_of_a_list_gap_get_a_delta() {
    for gaps in 1..=3 {
        let mut log = ChangeLog::new(ROOMY);
        (0..=gaps).for_each(|n| log.record_list(10 + 5 * n, 10, vec![]));
        let answers = |after| log.since(&DeltaRequest { after, page_after: None }, 1).is_some();
        for n in 0..=gaps {
            assert!(answers(10 + 5 * n), "end of list {n}, {gaps} gaps");
            assert!(n == gaps || !answers(12 + 5 * n), "inside gap {n}");
        }
    }
}

/// A log that grows with each list of a relay with an unstable connection, as its coverage is sent
/// with each confirmation.
#[test]
fn many_list_gaps_drop_the_oldest_history() {
    let mut log = ChangeLog::new(ROOMY);
    (1..=100).for_each(|n| log.record_list(10 * n, 10, vec![]));
    let covered = (1..=100).filter(|n| log.coverage().contains(10 * n)).count();
    assert!((2..=10).contains(&covered), "{covered} list revisions covered");
    assert!(log.coverage().contains(990) && !log.coverage().contains(995));
}

/// A reply of a relay to a request for the first or the second page.
#[derive(Clone, Copy, Debug)]
enum Reply {
    First { relay: usize },
    Second { relay: usize },
}

/// All sequences of four replies by two relays.
fn reply_sequences() -> Vec<[Reply; 4]> {
    let reply = |n: usize| match n / 2 {
        0 => Reply::First { relay: n % 2 },
        _ => Reply::Second { relay: n % 2 },
    };
    (0..4_usize.pow(4)).map(|n| [0, 1, 2, 3].map(|at| reply(n / 4_usize.pow(at) % 4))).collect()
}

/// Changes that are lost on the second page: it was of another relay, which had received fewer
/// changes, and the delta had the revision of the first page.
#[test]
fn pages_of_several_relays_lose_no_change() {
    let sequences = reply_sequences();
    for history in History::all() {
        for revisions in [[1, 4], [2, 4], [2, 3], [3, 4], [4, 4]] {
            let logs = revisions
                .map(|revision| relay(&history, 0, &[Receipt::Changes(0, revision)], ROOMY));
            for replies in &sequences {
                let (directory, seen) = read_pages(&history, &logs, replies);
                let full = relay(&history, 0, &[Receipt::Changes(0, LAST_REVISION)], ROOMY);
                check_catches_up(&history, directory, &full, seen, &(revisions, replies));
            }
        }
    }
}

/// The runners of a gateway that has received these replies, and the revision that it has then.
fn read_pages(
    history: &History,
    logs: &[ChangeLog; 2],
    replies: &[Reply],
) -> (RunnerDirectory, u64) {
    let (mut directory, mut pages, mut seen) = (reader(history, 0), DeltaPages::default(), 0);
    for reply in replies {
        let page = match *reply {
            Reply::First { relay } => logs[relay].since(&DeltaRequest::default(), 1),
            Reply::Second { relay } => {
                logs[relay].since(&DeltaRequest { after: 0, page_after: Some(id(0)) }, 1)
            }
        };
        let page = page.expect("the log begins at the first revision");
        if let PageOutcome::Apply(delta) = pages.add(page, seen) {
            apply(&mut directory, &delta);
            seen = delta.revision;
            assert!(delta.last_change <= seen, "{delta:?}");
        }
    }
    (directory, seen)
}

/// Checks that the changes after `seen` complete the directory.
fn check_catches_up(
    history: &History,
    mut directory: RunnerDirectory,
    log: &ChangeLog,
    seen: u64,
    what: &impl std::fmt::Debug,
) {
    let req = DeltaRequest { after: seen, page_after: None };
    apply(&mut directory, &log.since(&req, RUNNERS).expect("the log begins at 0"));
    let expected = history.entries_at(LAST_REVISION);
    assert_eq!(entries_of(&directory), expected, "seen {seen}, {what:?}, {history:?}");
}
