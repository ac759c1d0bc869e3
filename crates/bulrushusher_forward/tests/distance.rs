//! Selection of runners in a deployment of several regions.

use bulrushusher_forward::{
    CallPool, CallPoolConfig, CallResult, CallSelection, CallToPlace, ForecastConfig, LengthModel,
    LoadConfig, MemoryForecast, PeersConfig, PlaceScope, PlaceView, PrefillQueue, PrefillSelection,
    PrefillTask, PrefillTiming, RegionDistances, RunReport, RunShape, Runner, RunnerDirectory,
    RunnerDirectoryConfig, RunnerLoads, Runs, SelectionContext, Stage, pick_for_call,
    pick_for_move, pick_for_prefill, rank_for_decode,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RegionName, Residency, RunnerId, ServiceName, Topology};
use proptest::prelude::*;

const REGIONS: &str = "w1:west,w2:west,e1:east,e2:east,s1:south";

fn data_centre(name: &str) -> DataCentreName {
    name.try_into().expect("valid name")
}

fn runner(n: usize, place: &str, stage: Stage) -> Runner {
    Runner {
        id: format!("r-{n:02}").as_str().try_into().expect("valid name"),
        born: None,
        service: "llm".try_into().expect("valid name"),
        address: ([10, 0, 0, n as u8], 8_000).into(),
        data_centre: data_centre(place),
        slots: 16,
        stage: Some(stage),
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

fn number(id: &RunnerId) -> usize {
    id.as_str()[2..].parse().expect("a number")
}

/// A gateway in data centre w1, and runners in the given data centres.
struct Pool {
    members: RunnerDirectory,
    loads: RunnerLoads,
    service: ServiceName,
    topology: Topology,
    distances: RegionDistances,
    own: DataCentreName,
}

impl Pool {
    fn new(regions: &str, places: &[&str], stage: Stage) -> Pool {
        let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
        let runners = places.iter().enumerate().map(|(n, place)| runner(n, place, stage));
        members.replace_all(runners.collect(), 0, Millis(0));
        Pool {
            members,
            loads: RunnerLoads::new(LoadConfig::default()),
            service: "llm".try_into().expect("valid name"),
            topology: Topology::try_from(regions).expect("valid topology"),
            distances: RegionDistances::default(),
            own: data_centre("w1"),
        }
    }

    fn view(&self) -> PlaceView<'_> {
        PlaceView::new(PlaceScope {
            topology: &self.topology,
            residency: &Residency::Anywhere,
            data_centre: &self.own,
            distances: &self.distances,
        })
    }

    fn context<'a>(&'a self, places: PlaceView<'a>) -> SelectionContext<'a> {
        SelectionContext {
            members: &self.members,
            loads: &self.loads,
            service: &self.service,
            runs: None,
            failing: None,
            pressure: None,
            places,
            version: None,
            now: Millis(0),
        }
    }

    /// Decode runners by the forecast peaks of their memory.
    fn rank(&self, places: PlaceView<'_>, draw: f64, peaks: &[Option<u32>]) -> Vec<usize> {
        let peak = |r: &Runner| peaks[number(&r.id)].map(f64::from);
        let ranked = rank_for_decode(self.context(places), &[], draw, peak);
        ranked.iter().map(|r| number(&r.id)).collect()
    }

    /// The prefill runner for a prompt of 5,000 tokens and a decode runner in `decode`.
    fn prefill(&self, places: PlaceView<'_>, decode: &str, draw: f64, queued: &[u64]) -> usize {
        let decode = data_centre(decode);
        let selection = PrefillSelection {
            decode: &decode,
            tried: &[],
            tokens: 5_000,
            ms_per_token: 0.018,
            draw,
        };
        let queue =
            |id: &RunnerId| PrefillQueue { tokens_of_peers: queued[number(id)], factor: 1.0 };
        let picked = pick_for_prefill(self.context(places), selection, queue);
        number(&picked.expect("the pool has runners").id)
    }
}

proptest! {
    /// Guards against runs sent across regions because of a shorter queue, and against a bias
    /// towards some runners of the own region.
    #[test]
    fn runners_of_the_own_region_with_room_come_first(
        peaks in prop::collection::vec(prop::option::of(0_u32..1_000), 9),
        draw in 0.0..1.0,
    ) {
        let places = ["e1", "w1", "s1", "w2", "e2", "w1", "w2", "s1", "e1"];
        let pool = Pool::new(REGIONS, &places, Stage::Decode);
        let ranked = pool.rank(pool.view(), draw, &peaks);
        let with_room = peaks.iter().filter(|peak| peak.is_some()).count();
        prop_assert_eq!(ranked.len(), with_room);
        let is_own: Vec<bool> = ranked.iter().map(|n| places[*n].starts_with('w')).collect();
        prop_assert!(is_own.is_sorted_by(|a, b| a >= b), "{ranked:?}");
        // Each region's part is the order that its runners have in a pool of their own.
        for own in [true, false] {
            let in_part = |n: usize| places[n].starts_with('w') == own;
            let only: Vec<Option<u32>> =
                (0..9).map(|n| peaks[n].filter(|_| in_part(n))).collect();
            let part: Vec<usize> = ranked.iter().copied().filter(|n| in_part(*n)).collect();
            prop_assert_eq!(part.len(), only.iter().flatten().count());
            prop_assert!(part.len() < 3 || part[2..].is_sorted_by_key(|n| only[*n]));
        }
    }

    /// Guards against other selections in deployments of one region than before regions were known:
    /// `expected` is the earlier rule.
    #[test]
    fn one_region_or_none_changes_nothing(
        peaks in prop::collection::vec(prop::option::of(0_u32..1_000), 1..9),
        queued in prop::collection::vec(0_u64..30_000, 9),
        draw in 0.0..1.0,
        regions in prop::sample::select(vec!["", "w1:west,w2:west"]),
    ) {
        let places = ["w1", "w2", "w2", "w1", "w2", "w1", "w1", "w2", "w1"];
        let pool = Pool::new(regions, &places[..peaks.len()], Stage::Decode);
        let mut order: Vec<usize> = (0..peaks.len()).collect();
        order.rotate_left((draw * peaks.len() as f64) as usize % peaks.len());
        order.retain(|n| peaks[*n].is_some());
        let rest = order.split_off(order.len().min(2));
        let mut expected = order;
        expected.sort_by_key(|n| peaks[*n]);
        let mut rest = rest;
        rest.sort_by_key(|n| peaks[*n]);
        expected.extend(rest);
        prop_assert_eq!(&pool.rank(pool.view(), draw, &peaks), &expected);
        prop_assert_eq!(&pool.rank(PlaceView::ANYWHERE, draw, &peaks), &expected);

        let pool = Pool::new(regions, &places[..peaks.len()], Stage::Prefill);
        let first = (draw * peaks.len() as f64) as usize % peaks.len();
        let cost = |n: &usize| queued[*n] + if places[*n] == "w1" { 0 } else { 500 };
        let expected = (0..peaks.len()).map(|n| (n + first) % peaks.len()).min_by_key(cost);
        for view in [pool.view(), PlaceView::ANYWHERE] {
            prop_assert_eq!(Some(pool.prefill(view, "w1", draw, &queued)), expected);
        }
    }
}

/// Guards against draws that mostly fall on the first runners of the own region.
#[test]
fn each_runner_of_the_own_region_is_first_equally_often() {
    let places = ["e1", "e1", "e1", "e1", "w1", "w1", "w1", "w1", "s1", "s1", "s1", "s1"];
    let pool = Pool::new(REGIONS, &places, Stage::Decode);
    let mut firsts = [0; 12];
    for n in 0..100 {
        // Equal peaks, so the draw alone decides.
        firsts[pool.rank(pool.view(), f64::from(n) / 100.0, &[Some(5); 12])[0]] += 1;
    }
    assert_eq!(firsts, [0, 0, 0, 0, 25, 25, 25, 25, 0, 0, 0, 0]);
}

/// Guards against prefills in another region, whose two round trips take as long as a queue of
/// some 7,000 prompt tokens.
#[test]
fn a_prefill_crosses_regions_only_past_a_long_queue() {
    let pool = Pool::new(REGIONS, &["w1", "w2", "e1", "s1"], Stage::Prefill);
    let pick = |decode, queued: [u64; 4]| pool.prefill(pool.view(), decode, 0.3, &queued);
    assert_eq!(pick("w1", [6_500, 6_500, 0, 0]), 0);
    assert_eq!(pick("w1", [9_000, 9_000, 0, 2_000]), 2);
    assert_eq!(pick("w1", [600, 0, 0, 0]), 1, "another data centre of the region costs 500 tokens");
    // The decode runner is in the east: a prefill there costs one round trip to the caller, one in
    // the own region costs the fetch, and one in the south costs both.
    assert_eq!(pick("e1", [0, 0, 0, 0]), 2);
    assert_eq!(pick("e1", [0, 9_000, 2_000, 0]), 0);
    assert_eq!(pick("e1", [9_000, 9_000, 6_000, 2_000]), 2);
    assert_eq!(pick("e1", [20_000, 20_000, 20_000, 0]), 3);
}

/// Guards against a data centre without a known region that counts as near.
#[test]
fn an_unknown_data_centre_is_far() {
    let pool = Pool::new(REGIONS, &["elsewhere", "w2"], Stage::Decode);
    assert_eq!(pool.rank(pool.view(), 0.0, &[Some(1), Some(900)]), [1, 0]);
    let pool = Pool::new(REGIONS, &["elsewhere", "w2"], Stage::Prefill);
    assert_eq!(pool.prefill(pool.view(), "w1", 0.0, &[0, 5_000]), 1);
}

/// Guards against a prompt that is sent to another region although it cannot be ready in time.
#[test]
fn the_distance_counts_towards_the_time_of_a_prefill() {
    let pool = Pool::new(REGIONS, &["w1"], Stage::Prefill);
    let (decode, view) = (data_centre("w1"), pool.view());
    let task = |place: &str| PrefillTask {
        tokens: 5_000,
        queued_tokens: Some(5_000),
        distance_ms: view.prefill_extra_ms(&data_centre(place), &decode),
        prefill_timing: PrefillTiming::new(0.02),
        decode_timing: PrefillTiming::new(0.04),
        event_gap: Millis(50),
        gap_target: Millis(300),
        pauses: Default::default(),
        generation_time: Millis(4_000),
        time_to_target: Millis(800),
    };
    assert!(task("w1").prefill_runner_is_in_time(Millis(200)));
    assert!(task("w2").prefill_runner_is_in_time(Millis(200)));
    assert!(!task("e1").prefill_runner_is_in_time(Millis(319)));
    assert!(task("e1").prefill_runner_is_in_time(Millis(335)));
}

/// Guards against a run, and its KV cache, that leaves its region although a runner there has room.
#[test]
fn a_run_moves_within_its_region_while_there_is_room() {
    let pool = Pool::new(REGIONS, &["w1", "e1", "e2", "s1"], Stage::Decode);
    let forecast = MemoryForecast {
        lengths: LengthModel::default(),
        tokens_per_ms: 1.4,
        memory: 72_934.0,
        cfg: ForecastConfig::default(),
    };
    let shape =
        RunShape { prompt: 5_000.0, generated: 10.0, expected: 1_000.0, max_output: 4_000.0 };
    let at = |n: usize| RunReport::new(format!("r-{n:02}").as_str().try_into().unwrap(), shape);
    let mut runs = Runs::new(PeersConfig::default());
    // The runner in the own region of the gateway and the one in the south are idle.
    for _ in 0..3 {
        runs.add(at(2));
    }
    let moved = |runs: &Runs| {
        let cx = SelectionContext { runs: Some(runs), ..pool.context(pool.view()) };
        let all = (0..20).map(|n| {
            let to = pick_for_move(cx, runs, &forecast, &at(1), f64::from(n) / 20.0);
            number(&to.expect("there is room").id)
        });
        all.collect::<Vec<usize>>()
    };
    assert_eq!(moved(&runs), [2; 20]);
    for _ in 0..16 {
        runs.add(at(2));
    }
    let elsewhere = moved(&runs);
    assert!(elsewhere.contains(&0) && !elsewhere.contains(&2), "{elsewhere:?}");
}

/// Guards against plain calls to another region because the response times of its runners are not
/// known yet, or because its runners seem to have become slower.
#[test]
fn plain_calls_go_to_unmeasured_runners_nearby() {
    let mut pool = Pool::new(REGIONS, &["w1", "w2", "e1", "s1"], Stage::Decode);
    let pick = |pool: &Pool, draw| {
        let call = CallSelection { tried: &[], data_centre: &pool.own, draw };
        number(&pick_for_call(pool.context(pool.view()), call).expect("there are runners").id)
    };
    let id = |n: usize| RunnerId::try_from(format!("r-{n:02}").as_str()).unwrap();
    let picks = |pool: &Pool| (0..20).map(|n| pick(pool, f64::from(n) / 20.0)).max();
    assert_eq!(picks(&pool), Some(0), "the own data centre wins the tie");
    pool.loads.record(&id(0), CallResult::Answered(Millis(60)), Millis(0));
    assert!(picks(&pool) <= Some(1));
    // A measured time includes the round trip, which then does not count twice.
    pool.loads.record(&id(1), CallResult::Answered(Millis(300)), Millis(0));
    pool.loads.record(&id(0), CallResult::Answered(Millis(900)), Millis(0));
    pool.loads.record(&id(2), CallResult::Answered(Millis(110)), Millis(0));
    pool.loads.record(&id(3), CallResult::Answered(Millis(130)), Millis(0));
    assert_eq!(picks(&pool), Some(2));
}

/// Guards against a shared pool that ignores distance while the near runners have free slots, or
/// that keeps calls in their region behind a long queue.
#[test]
fn shared_calls_cross_regions_only_past_a_queue() {
    let pool = Pool::new(REGIONS, &["w1", "w2", "e1", "s1"], Stage::Decode);
    let mut calls = CallPool::new(CallPoolConfig::default());
    let runners: Vec<Runner> = ["w1", "w2", "e1", "s1"]
        .iter()
        .enumerate()
        .map(|(n, place)| Runner { slots: 6, ..runner(n, place, Stage::Decode) })
        .collect();
    let listed: Vec<&Runner> = runners.iter().collect();
    for runner in &listed {
        let ticket = calls.begin(runner, Millis(0));
        calls.end(&runner.id, ticket, Some(Millis(60)), Millis(60));
    }
    let far = |calls: &CallPool| {
        let chosen = (0..40).map(|n| {
            let call = CallToPlace {
                places: pool.view(),
                data_centre: &pool.own,
                loads: &pool.loads,
                target: Millis(400),
                left_to_target: Millis(400),
                left: Millis(4_000),
                waited: Millis(0),
                draw: f64::from(n) / 40.0,
                admission_draw: 0.5,
            };
            number(&calls.choose(&listed, call, Millis(60)).expect("there are runners"))
        });
        chosen.filter(|n| *n >= 2).count()
    };
    assert_eq!(far(&calls), 0);
    for runner in listed[..2].iter().cycle().take(10) {
        calls.begin(runner, Millis(60));
    }
    assert_eq!(far(&calls), 0, "a slot is free at each near runner");
    for runner in listed[..2].iter().cycle().take(20) {
        calls.begin(runner, Millis(60));
    }
    assert_eq!(far(&calls), 40);
}

/// Guards against estimates that follow new connections (which take twice as long), a slow runner
/// or a gateway that is far from its own region's runners, and against estimates that stay wrong.
#[test]
fn distances_follow_the_shortest_times() {
    let (east, south) =
        (RegionName::try_from("east").unwrap(), RegionName::try_from("south").unwrap());
    let mut distances = RegionDistances::default();
    for n in 0..200_u64 {
        distances.record(None, Millis(if n % 3 == 0 { 8 } else { 4 }));
        // Every second hold opens a connection; every fifth meets a runner that is 400 ms late.
        let east_ms = 64 + 60 * (n % 2) + if n % 5 == 0 { 400 } else { 0 };
        distances.record(Some(&east), Millis(east_ms));
    }
    let ms = |distances: &RegionDistances, region| distances.round_trip_ms(Some(region));
    let learned = ms(&distances, &east);
    assert!((58.0..70.0).contains(&learned), "{learned}");
    assert_eq!(ms(&distances, &south), 60.0, "not measured");
    assert_eq!(distances.round_trip_ms(None), 60.0);
    for _ in 0..10 {
        distances.record(Some(&south), Millis(14));
    }
    assert!(ms(&distances, &south) < 12.0, "a nearer region is found out at once");
    for _ in 0..150 {
        distances.record(Some(&south), Millis(104));
    }
    let longer = ms(&distances, &south);
    assert!((85.0..101.0).contains(&longer), "a longer route is found out: {longer}");
}
