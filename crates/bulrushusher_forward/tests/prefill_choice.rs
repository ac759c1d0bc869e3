//! Selection of the prefill runner in pools of equal and of unequal speed.

use bulrushusher_forward::{
    DecodeLoad, LoadConfig, PauseModel, PlaceView, PrefillQueue, PrefillSelection, PrefillSite,
    PrefillSiteConfig, PrefillTask, PrefillTiming, Runner, RunnerDirectory, RunnerDirectoryConfig,
    RunnerLoads, SelectionContext, Stage, pick_for_prefill,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;

fn runner(n: usize, data_centre: &str) -> Runner {
    Runner {
        id: format!("p-{n}").as_str().try_into().expect("valid name"),
        born: None,
        service: "llm".try_into().expect("valid name"),
        address: ([10, 0, 0, n as u8], 8_000).into(),
        data_centre: data_centre.try_into().expect("valid name"),
        slots: 8,
        stage: Some(Stage::Prefill),
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

/// The prefill runner picked for a prompt of 5,000 tokens among runners with `(queued, factor)`;
/// the first one is in the data centre of the decode runner.
fn pick(queues: &[(u64, f64)], draw: f64) -> usize {
    let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
    let pool = (0..queues.len()).map(|n| runner(n, if n == 0 { "dc-1" } else { "dc-2" }));
    members.replace_all(pool.collect(), 0, Millis(0));
    let (loads, service) = (RunnerLoads::new(LoadConfig::default()), "llm".try_into().unwrap());
    let cx = SelectionContext {
        places: PlaceView::ANYWHERE,
        version: None,
        members: &members,
        loads: &loads,
        service: &service,
        runs: None,
        failing: None,
        pressure: None,
        now: Millis(0),
    };
    let number = |id: &str| id[2..].parse::<usize>().expect("a number");
    let queue = |id: &bulrushusher_world::RunnerId| {
        let (tokens_of_peers, factor) = queues[number(id.as_str())];
        PrefillQueue { tokens_of_peers, factor }
    };
    let near = "dc-1".try_into().expect("valid name");
    let selection =
        PrefillSelection { decode: &near, tried: &[], tokens: 5_000, ms_per_token: 0.02, draw };
    let picked = pick_for_prefill(cx, selection, queue);
    number(picked.expect("the pool has runners").id.as_str())
}

#[test]
fn the_runner_with_the_earliest_completion_is_picked() {
    assert_eq!(pick(&[(0, 2.5), (5_000, 1.0)], 0.0), 1, "12,500 against 10,500");
    assert_eq!(pick(&[(0, 2.0), (5_000, 1.0)], 0.0), 0, "10,000 against 10,500");
    assert_eq!(pick(&[(10_000, 0.4), (0, 1.0)], 0.0), 1, "6,000 against 5,500");
    assert_eq!(pick(&[(5_000, 0.4), (0, 1.0)], 0.0), 0, "4,000 against 5,500");
}

proptest! {
    /// Guards against other decisions in even pools than before the runners' own rates were used.
    #[test]
    fn among_equally_fast_runners_the_fewest_queued_tokens_count(
        queued in prop::collection::vec(0_u64..60_000, 1..9),
        draw in 0.0..1.0,
    ) {
        let even: Vec<(u64, f64)> = queued.iter().map(|tokens| (*tokens, 1.0)).collect();
        let first = (draw * queued.len() as f64) as usize % queued.len();
        let order = (0..queued.len()).map(|n| (n + first) % queued.len());
        let cost = |n: &usize| queued[*n] + if *n == 0 { 0 } else { 500 };
        prop_assert_eq!(Some(pick(&even, draw)), order.min_by_key(cost));
    }
}

/// Guards against a prompt at a slow decode runner that would make its other runs late, and a fast
/// one that is not used.
#[test]
fn a_decode_runner_is_rated_by_its_own_prefill_rate() {
    let task = PrefillTask {
        tokens: 5_000,
        queued_tokens: Some(40_000),
        distance_ms: 0.0,
        prefill_timing: PrefillTiming::new(0.02),
        decode_timing: PrefillTiming::new(0.04),
        event_gap: Millis(50),
        gap_target: Millis(300),
        pauses: PauseModel::default(),
        generation_time: Millis(4_000),
        time_to_target: Millis(800),
    };
    let site = |prefill_factor| {
        let load = DecodeLoad { prefilling_tokens: 0, runs: 7, fullness: 0.5, prefill_factor };
        task.select_site(load, PrefillSiteConfig::default())
    };
    assert_eq!(
        [0.5, 1.0, 2.5].map(site),
        [PrefillSite::Decode, PrefillSite::Decode, PrefillSite::Prefill]
    );
}
