//! Ratio of prefill to decode runners, by region.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    Runner, Stage, StageChange, StagePacing, StagesConfig, needed_stage_changes,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{RegionName, RunnerId, Topology};
use proptest::prelude::*;

const REGIONS: &str = "w1:west,w2:west,e1:east,e2:east,s1:south,s2:south";

fn topology() -> Topology {
    Topology::try_from(REGIONS).expect("valid topology")
}

/// Runners of the regions, given as (data centre, prefill runners, decode runners).
fn pool(places: &[(&str, usize, usize)]) -> Vec<Runner> {
    let runner = |place: &str, n: usize, stage| Runner {
        id: format!("{place}-{n:02}").as_str().try_into().expect("valid name"),
        born: None,
        service: "llm".try_into().expect("valid name"),
        address: ([10, 0, 0, n as u8], 8_000).into(),
        data_centre: place.try_into().expect("valid name"),
        slots: 16,
        stage: Some(stage),
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    };
    let mut runners = Vec::new();
    for (place, prefill, decode) in places {
        runners.extend((0..*prefill).map(|n| runner(place, n, Stage::Prefill)));
        runners.extend((*prefill..prefill + decode).map(|n| runner(place, n, Stage::Decode)));
    }
    runners
}

fn changes(runners: &[Runner]) -> Vec<StageChange> {
    needed_stage_changes(runners, &BTreeMap::new(), &topology(), StagesConfig::default())
}

/// Carries out the changes one by one; returns their number.
fn settle(runners: &mut [Runner]) -> usize {
    for done in 0..100 {
        let Some(change) = changes(runners).into_iter().next() else { return done };
        let changed = runners.iter_mut().find(|it| it.id == change.runner.id).expect("is listed");
        changed.stage = Some(change.stage);
    }
    panic!("no end of changes");
}

fn prefill_in(runners: &[Runner], region: &str) -> usize {
    let in_region = runners.iter().filter(|it| it.data_centre.as_str().starts_with(region));
    in_region.filter(|it| it.stage == Some(Stage::Prefill)).count()
}

/// Guards against a region without prefill runners, and against more of them over all than the
/// headroom of three groups needs.
#[test]
fn each_region_gets_both_stages() {
    let mut runners =
        pool(&[("w1", 8, 0), ("w2", 0, 9), ("e1", 0, 8), ("e2", 0, 8), ("s1", 0, 8), ("s2", 0, 8)]);
    assert_eq!(runners.len(), 49);
    assert_eq!(settle(&mut runners), 11, "5 to decode in the west, 3 to prefill in each other");
    assert_eq!(["w", "e", "s"].map(|region| prefill_in(&runners, region)), [3, 3, 3]);
    // The data centres of a region share its prefill runners.
    assert_eq!(["e1", "e2"].map(|place| prefill_in(&runners, place).min(1)), [1, 1]);
}

/// Guards against orders, each of which takes a runner out of service for seconds, while a crashed
/// runner of either stage is away.
#[test]
fn a_missing_runner_changes_nothing() {
    let settled = pool(&[("w1", 3, 14), ("e1", 3, 13), ("s1", 3, 13)]);
    assert_eq!(changes(&settled), []);
    for lost in 0..settled.len() {
        let mut runners = settled.clone();
        let lost = runners.remove(lost);
        let needed = changes(&runners);
        assert!(needed.iter().all(|it| it.stage == Stage::Prefill), "{needed:?}");
        assert!(needed.is_empty() || lost.stage == Some(Stage::Prefill));
    }
}

/// Guards against a small region that is made to prefill with a third of its runners or more.
#[test]
fn small_regions_are_counted_together() {
    let mut runners = pool(&[("w1", 2, 8), ("e1", 0, 3), ("s1", 0, 3)]);
    settle(&mut runners);
    assert_eq!(prefill_in(&runners, "w"), 2);
    assert_eq!(prefill_in(&runners, "e") + prefill_in(&runners, "s"), 1);
    let mut lone = pool(&[("w1", 2, 8), ("e1", 0, 1)]);
    assert_eq!(settle(&mut lone), 0, "a single runner keeps decoding");
}

/// Guards against orders because of short deviations in several regions in turn, and against a
/// region that waits until the others are settled.
#[test]
fn each_region_is_timed_by_itself() {
    let change = |region: &str| StageChange {
        region: Some(RegionName::try_from(region).unwrap()),
        stage: Stage::Decode,
        runner: pool(&[("w1", 1, 0)]).remove(0),
    };
    let (west, east, south) = (change("west"), change("east"), change("south"));
    let mut pacing = StagePacing::new(Millis(8_000));
    for n in 0..40_u64 {
        let off = if n % 2 == 0 { &west } else { &east };
        let now = Millis(n * 500);
        pacing.update(std::slice::from_ref(off), now);
        assert!(!pacing.is_due(off, false, now));
    }
    pacing.update(&[west.clone(), east.clone()], Millis(20_000));
    pacing.update(&[west.clone(), east.clone(), south.clone()], Millis(28_000));
    assert!(pacing.is_due(&west, false, Millis(28_000)));
    pacing.record_order(&west, false, Millis(28_000));
    assert!(pacing.is_due(&east, false, Millis(28_500)));
    assert!(!pacing.is_due(&south, false, Millis(28_500)), "off for half a second");
    // At the first start all regions are set without a wait.
    let mut first = StagePacing::new(Millis(8_000));
    first.update(&[west.clone(), south.clone()], Millis(0));
    assert!(first.is_due(&west, true, Millis(0)));
    first.record_order(&west, true, Millis(0));
    assert!(first.is_due(&south, false, Millis(500)));
    first.record_order(&south, false, Millis(500));
    first.update(std::slice::from_ref(&east), Millis(1_000));
    assert!(!first.is_due(&east, false, Millis(1_000)), "off since the first order");
}

/// Guards against a pool that lacks prefill runners for the usual wait after the data centre with
/// most of them was evacuated.
#[test]
fn a_deviation_by_an_evacuation_is_corrected_at_once() {
    let change = StageChange {
        region: None,
        stage: Stage::Prefill,
        runner: pool(&[("w1", 0, 1)]).remove(0),
    };
    let mut pacing = StagePacing::new(Millis(8_000));
    pacing.set_last_evacuation(Some(Millis(1_000)));
    pacing.update(std::slice::from_ref(&change), Millis(1_500));
    assert!(pacing.is_due(&change, false, Millis(1_500)));
    pacing.update(&[], Millis(9_000));
    pacing.update(std::slice::from_ref(&change), Millis(9_500));
    assert!(!pacing.is_due(&change, false, Millis(9_500)), "has another cause");
}

proptest! {
    /// Guards against other orders in a deployment of one region than before regions were counted:
    /// `expected` is the earlier rule.
    #[test]
    fn one_region_keeps_one_target(prefill in 0_usize..20, decode in 0_usize..40) {
        let cfg = StagesConfig::default();
        let runners = pool(&[("w1", prefill, decode)]);
        let target = cfg.target_prefill(runners.len());
        let expected = if prefill as f64 > target + cfg.slack {
            Some(Stage::Decode)
        } else {
            ((prefill as f64) < target - cfg.slack).then_some(Stage::Prefill)
        };
        let expected = expected.filter(|_| !runners.is_empty());
        for regions in ["", "w1:west", REGIONS] {
            let topology = Topology::try_from(regions).expect("valid topology");
            let none = BTreeMap::<RunnerId, Stage>::new();
            let needed = needed_stage_changes(&runners, &none, &topology, cfg);
            let stages: Vec<Stage> = needed.iter().map(|it| it.stage).collect();
            prop_assert_eq!(stages, expected.into_iter().collect::<Vec<Stage>>());
        }
    }
}
