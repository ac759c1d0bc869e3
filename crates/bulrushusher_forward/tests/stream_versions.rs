//! Records of the versions that began streams, and selections among runners of one or two versions.

use bulrushusher_forward::{
    CallSelection, LoadConfig, PlaceView, PrefillQueue, PrefillSelection, RequestId, Runner,
    RunnerDirectory, RunnerDirectoryConfig, RunnerLoads, SelectionContext, ServiceVersion,
    SoftwareVersion, Stage, StreamKey, StreamRecord, StreamVersions, VersionLedger, pick_for_call,
    pick_for_prefill, rank_for_decode,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, ServiceName};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

fn record(id: &str, version: &str, lifetime: u64) -> StreamRecord {
    let key = StreamKey::of(&RequestId::from(id));
    StreamRecord { key, version: version.into(), lifetime: Millis(lifetime) }
}

#[test]
fn an_unconfirmed_record_is_sent_again_a_few_times() {
    let mut streams = StreamVersions::default();
    streams.record_own(record("r1", "v1", 14_000), 2, Millis(0));
    let key = record("r1", "v1", 0).key;
    let mut sends = 0;
    for at in 0..2_000 {
        sends += streams.take_due(Millis(at)).len();
        if at == 100 {
            streams.confirm(key);
        }
    }
    assert_eq!(sends, 3, "one of two gateways has confirmed it");
    assert!(streams.time_until_due(Millis(2_000)).is_none());
    streams.record_own(record("r2", "v1", 14_000), 2, Millis(2_000));
    assert_eq!(streams.take_due(Millis(2_000)).len(), 1);
    let key = record("r2", "v1", 0).key;
    (0..2).for_each(|_| streams.confirm(key));
    assert!(streams.take_due(Millis(3_000)).is_empty(), "both have confirmed it");
}

/// The version of a stream never changes, so a late or repeated record must not replace it.
#[test]
fn the_first_record_of_a_stream_stays() {
    let mut streams = StreamVersions::default();
    assert!(streams.record(record("r1", "v1", 1_000), NOW));
    assert!(!streams.record(record("r1", "v2", 9_000), NOW));
    let key = record("r1", "v1", 0).key;
    assert_eq!(streams.find(key, NOW), Some(record("r1", "v1", 1_000)));
    assert_eq!(streams.find(key, NOW.plus(Millis(1_000))), None, "the caller's time is over");
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut streams = StreamVersions::default();
    for nth in 0..70_000 {
        streams.record(record(&format!("r{nth}"), "v1", 1_000), NOW);
    }
    let full = streams.len();
    assert!(full < 70_000);
    assert!(!streams.record(record("one more", "v1", 1_000), NOW));
    assert!(streams.record(record("later", "v1", 1_000), NOW.plus(Millis(1_000))));
    assert_eq!(streams.len(), 1, "expired records make room");
}

fn version(text: &str) -> ServiceVersion {
    ServiceVersion { service: service(), version: text.into() }
}

/// Guards against a version that begins streams although the store's record lacks it.
#[test]
fn a_version_that_the_record_lacks_never_serves() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut ledger = VersionLedger::default();
    for at in (0..120_000).step_by(500).map(Millis) {
        ledger.observe(&v1, at);
        ledger.observe(&v2, at);
        ledger.set_recorded([v1.clone()], at);
        assert_eq!(ledger.serving(at), [v1.clone()].into());
    }
}

/// Guards against a version that serves although a restore of the store took it out of the record.
#[test]
fn a_version_that_the_record_has_lost_stops_serving() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut ledger = VersionLedger::default();
    ledger.observe(&v1, NOW);
    ledger.observe(&v2, NOW);
    ledger.set_recorded([v1.clone(), v2.clone()], NOW);
    assert_eq!(ledger.serving(NOW).len(), 2);
    ledger.add_recorded([v1.clone()], NOW);
    assert_eq!(ledger.serving(NOW).len(), 2, "another gateway knows a part of it");
    ledger.set_recorded([v1.clone()], NOW);
    assert_eq!(ledger.serving(NOW), [v1].into());
    assert_eq!(ledger.unrecorded(), [v2]);
}

/// Guards against a gateway that trusts an old read, after which another one may have written the
/// first record.
#[test]
fn a_version_serves_unrecorded_only_while_reads_find_no_record() {
    let v1 = version("v1");
    let mut ledger = VersionLedger::default();
    ledger.observe(&v1, NOW);
    ledger.set_absent(NOW);
    assert!(ledger.serving(NOW.plus(Millis(2_900))).is_empty(), "the record may be on its way");
    let read_at = NOW.plus(Millis(3_500));
    ledger.set_absent(read_at);
    assert!(ledger.serving(read_at).contains(&v1));
    let lapsed_at = read_at.plus(VersionLedger::max_absence_lag());
    assert!(ledger.serving(lapsed_at).is_empty());
    ledger.set_absent(lapsed_at);
    assert!(ledger.serving(lapsed_at).contains(&v1));
    ledger.set_recorded([version("v2")], lapsed_at);
    assert!(ledger.serving(lapsed_at).is_empty(), "there is a record, without it");
}

const LIFETIME: Millis = Millis(60_000);

/// Observes the list every 500 ms.
fn observe(ledger: &mut VersionLedger, listed: &[&ServiceVersion], from: u64, until: u64) {
    for at in (from..until).step_by(500).map(Millis) {
        listed.iter().for_each(|version| {
            ledger.observe(version, at);
        });
        ledger.set_observed(at);
    }
}

#[test]
fn a_version_is_over_once_the_list_was_without_it_for_a_lifetime() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut ledger = VersionLedger::default();
    observe(&mut ledger, &[&v1, &v2], 0, 70_000);
    observe(&mut ledger, &[&v2], 70_000, 131_000);
    assert!(!ledger.is_over(&v1, LIFETIME, Millis(129_400)));
    assert!(ledger.is_over(&v1, LIFETIME, Millis(130_900)));
    assert!(!ledger.is_over(&v2, LIFETIME, Millis(130_900)));
    let mut started = VersionLedger::default();
    observe(&mut started, &[&v2], 100_000, 131_000);
    assert!(!started.is_over(&v1, LIFETIME, Millis(131_000)), "it may have left just before");
}

/// Guards against a gateway that takes a listed version out of the record after it stood still or was cut
/// off, as it saw no runner of it meanwhile.
#[test]
fn a_version_is_not_over_because_nobody_looked_at_the_list() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut ledger = VersionLedger::default();
    observe(&mut ledger, &[&v1], 0, 70_000);
    let thawed_at = 140_000;
    assert!(!ledger.is_over(&v1, LIFETIME, Millis(thawed_at)), "it may be listed now");
    // A version came and went in between.
    observe(&mut ledger, &[&v1], thawed_at, thawed_at + 59_000);
    assert!(!ledger.is_over(&v2, LIFETIME, Millis(thawed_at + 59_000)));
    observe(&mut ledger, &[&v1], thawed_at + 59_000, thawed_at + 61_000);
    assert!(ledger.is_over(&v2, LIFETIME, Millis(thawed_at + 61_000)));
    assert!(!ledger.is_over(&v1, LIFETIME, Millis(thawed_at + 61_000)));
}

/// Guards against a gateway that calls a restored record complete after it stood still: it does not know which
/// versions the lost part had.
#[test]
fn a_gateway_that_did_not_look_at_the_list_vouches_for_no_record() {
    let v1 = version("v1");
    let mut ledger = VersionLedger::default();
    observe(&mut ledger, &[&v1], 0, 60_500);
    assert!(ledger.has_observed_for(LIFETIME, Millis(60_500)));
    let thawed_at = 65_000;
    assert!(!ledger.has_observed_for(LIFETIME, Millis(thawed_at)));
    observe(&mut ledger, &[&v1], thawed_at, thawed_at + 59_000);
    assert!(!ledger.has_observed_for(LIFETIME, Millis(thawed_at + 59_000)));
    observe(&mut ledger, &[&v1], thawed_at + 59_000, thawed_at + 60_500);
    assert!(ledger.has_observed_for(LIFETIME, Millis(thawed_at + 60_500)));
}

fn runner(nth: usize, stage: Stage, version: &str) -> Runner {
    Runner {
        id: format!("i-{nth}").as_str().try_into().unwrap(),
        born: None,
        service: service(),
        address: ([10, 0, 0, nth as u8], 80).into(),
        data_centre: data_centre(),
        slots: 8,
        stage: Some(stage),
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: version.into(),
    }
}

fn service() -> ServiceName {
    "llm".try_into().unwrap()
}

fn data_centre() -> DataCentreName {
    "dc-1".try_into().unwrap()
}

/// All selections of a request that is bound to `version`.
fn select(
    runners: &[Runner],
    loads: &RunnerLoads,
    version: Option<&SoftwareVersion>,
    draw: f64,
) -> (Option<Runner>, Option<Runner>, Vec<Runner>) {
    let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
    members.replace_all(runners.to_vec(), 0, NOW);
    let (service, data_centre) = (service(), data_centre());
    let cx = SelectionContext {
        members: &members,
        loads,
        service: &service,
        runs: None,
        failing: None,
        pressure: None,
        places: PlaceView::ANYWHERE,
        version,
        now: NOW,
    };
    let call = CallSelection { tried: &[], data_centre: &data_centre, draw };
    let prefill =
        PrefillSelection { decode: &data_centre, tried: &[], tokens: 100, ms_per_token: 0.1, draw };
    let queue = |_: &_| PrefillQueue { tokens_of_peers: 0, factor: 1.0 };
    let peak = |r: &Runner| Some(f64::from(r.address.port()) + r.id.as_str().len() as f64);
    (
        pick_for_call(cx, call),
        pick_for_prefill(cx, prefill, queue),
        rank_for_decode(cx, &[], draw, peak),
    )
}

proptest! {
    /// Where one version serves, a bound request is placed like any other.
    #[test]
    fn one_version_changes_no_selection(
        stages in prop::collection::vec(any::<bool>(), 1..12),
        queued in prop::collection::vec(0_u64..4_000, 12),
        draw in 0.0..1.0_f64,
    ) {
        let stage = |is_prefill: bool| if is_prefill { Stage::Prefill } else { Stage::Decode };
        let runners: Vec<Runner> =
            stages.iter().enumerate().map(|(nth, it)| runner(nth, stage(*it), "v1")).collect();
        let mut loads = RunnerLoads::new(LoadConfig::default());
        for (runner, tokens) in runners.iter().zip(queued) {
            loads.begin(&runner.id, tokens);
        }
        let version = SoftwareVersion::from("v1");
        prop_assert_eq!(
            select(&runners, &loads, Some(&version), draw),
            select(&runners, &loads, None, draw)
        );
    }

    /// Guards against a selection that ignores the version of a stream.
    #[test]
    fn a_bound_request_gets_runners_of_its_version_only(
        kinds in prop::collection::vec((any::<bool>(), any::<bool>()), 1..12),
        draw in 0.0..1.0_f64,
    ) {
        let runners: Vec<Runner> = kinds
            .iter()
            .enumerate()
            .map(|(nth, (is_prefill, is_old))| {
                let stage = if *is_prefill { Stage::Prefill } else { Stage::Decode };
                runner(nth, stage, if *is_old { "v1" } else { "v2" })
            })
            .collect();
        let loads = RunnerLoads::new(LoadConfig::default());
        let version = SoftwareVersion::from("v1");
        let (call, prefill, decodes) = select(&runners, &loads, Some(&version), draw);
        let mut all = call.iter().chain(&prefill).chain(&decodes);
        prop_assert!(all.all(|it| it.version == version));
        let old_decodes = kinds.iter().filter(|(is_prefill, is_old)| !is_prefill && *is_old).count();
        prop_assert_eq!(decodes.len(), old_decodes);
    }
}
