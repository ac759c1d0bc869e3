//! Generations on three regions: 27 gateways, 49 runners, reports that are 30 to 200 ms old.
//!
//! Guards against work that crosses regions at usual load, a burst of one region that is refused
//! while others have room or that keeps crossing afterwards, and a region without prefill runners
//! that does not serve.

use std::collections::VecDeque;

use bulrushusher_forward::{
    ForecastConfig, GatewayReport, LengthModel, LoadConfig, LoadEpoch, MemoryForecast, PeersConfig,
    PlaceScope, PlaceView, PrefillQueue, PrefillSelection, RegionDistances, RunNumber, RunReport,
    RunShape, Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerLoads, Runs, SelectionContext,
    Stage, pick_for_prefill, rank_for_decode,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, Residency, RunnerId, ServiceName, Topology};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REGIONS: usize = 3;
const GATEWAYS: usize = 27;
const MEMORY: f64 = 72_934.0;
const PREFILL_TOKENS_PER_MS: f64 = 55.6;
const TOKENS_PER_MS: f64 = 1.4;
const PER_SECOND: f64 = 50.0;
const BURST: std::ops::Range<u64> = 10_000..15_000;
const BURST_FACTOR: f64 = 2.2;
const END: u64 = 28_000;
const STEP: u64 = 4;
/// Time for which a generation waits for memory.
const PATIENCE: Millis = Millis(800);
/// Interval and delay of reports inside a region, and to other regions.
const REPORTS: [(u64, u64); 2] = [(40, 30), (120, 80)];

struct Gateway {
    loads: RunnerLoads,
    runs: Runs,
    data_centre: DataCentreName,
    sequence: u64,
}

/// A generation; its gateway's number modulo the number of regions is its region.
struct Generation {
    gateway: usize,
    arrived: Millis,
    shape: RunShape,
    tokens: f64,
}

struct Running {
    gateway: usize,
    run: RunNumber,
    decode: usize,
    prompt: f64,
    tokens: f64,
    /// The prefill runner until the prompt is prefilled.
    prefill: Option<(usize, LoadEpoch)>,
    prefilled: Millis,
    started: Millis,
}

/// What became of the generations of one region that arrived within a second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    placed: usize,
    /// Placed in another region.
    crossed: usize,
    /// Prefilled in another region than that of the decode runner.
    pairs_crossed: usize,
    refused: usize,
    /// First event after more than 900 ms.
    late: usize,
}

struct Deployment {
    burst: f64,
    rng: ChaCha8Rng,
    now: Millis,
    topology: Topology,
    distances: RegionDistances,
    service: ServiceName,
    runners: Vec<Runner>,
    members: RunnerDirectory,
    gateways: Vec<Gateway>,
    waiting: VecDeque<Generation>,
    running: Vec<Running>,
    /// Time until which each runner prefills.
    busy_until: Vec<f64>,
    reports: Vec<(Millis, usize, usize, GatewayReport)>,
    seconds: Vec<[Second; REGIONS]>,
}

fn data_centre(region: usize, n: usize) -> DataCentreName {
    format!("dc-{region}-{}", n % 2).as_str().try_into().expect("valid name")
}

impl Deployment {
    /// A deployment with this number of prefill runners in each region; `burst` is the factor of the
    /// first region's load during [`BURST`].
    fn new(prefill: [usize; REGIONS], burst: Option<f64>, seed: u64) -> Deployment {
        let places = (0..REGIONS).flat_map(|region| (0..2).map(move |n| (region, n)));
        let topology: Vec<String> =
            places.map(|(region, n)| format!("dc-{region}-{n}:region-{region}")).collect();
        let mut runners = Vec::new();
        for (region, all) in [17, 16, 16].into_iter().enumerate() {
            runners.extend((0..all).map(|n| Runner {
                id: format!("r-{region}-{n:02}").as_str().try_into().expect("valid name"),
                born: None,
                service: "llm".try_into().expect("valid name"),
                address: ([10, 0, region as u8, n as u8], 8_000).into(),
                data_centre: data_centre(region, n),
                slots: 16,
                stage: Some(if n < prefill[region] { Stage::Prefill } else { Stage::Decode }),
                leaving: false,
                cold_for: Millis(0),
                revision: 0,
                version: "v1".into(),
            }));
        }
        let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
        members.replace_all(runners.clone(), 0, Millis(0));
        let gateway = |n: usize| Gateway {
            loads: RunnerLoads::new(LoadConfig::default()),
            runs: Runs::new(PeersConfig::default()),
            data_centre: data_centre(n % REGIONS, n / REGIONS),
            sequence: 0,
        };
        Deployment {
            burst: burst.unwrap_or(1.0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(0),
            topology: Topology::try_from(topology.join(",").as_str()).expect("valid topology"),
            distances: RegionDistances::default(),
            service: "llm".try_into().expect("valid name"),
            busy_until: vec![0.0; runners.len()],
            runners,
            members,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            reports: Vec::new(),
            seconds: vec![[Second::default(); REGIONS]; END as usize / 1_000],
        }
    }

    fn run(mut self) -> Vec<[Second; REGIONS]> {
        while self.now.0 + STEP < END {
            self.now = self.now.plus(Millis(STEP));
            self.arrive();
            for _ in 0..self.waiting.len() {
                let Some(generation) = self.waiting.pop_front() else { break };
                if !self.place(&generation) {
                    if self.now.since(generation.arrived) < PATIENCE {
                        self.waiting.push_back(generation);
                    } else {
                        self.second(&generation).refused += 1;
                    }
                }
            }
            self.progress();
            self.exchange_reports();
        }
        self.seconds
    }

    fn second(&mut self, of: &Generation) -> &mut Second {
        &mut self.seconds[of.arrived.0 as usize / 1_000][of.gateway % REGIONS]
    }

    fn arrive(&mut self) {
        for gateway in 0..GATEWAYS {
            let is_bursting = gateway % REGIONS == 0 && BURST.contains(&self.now.0);
            let factor = if is_bursting { self.burst } else { 1.0 };
            let expected = PER_SECOND / GATEWAYS as f64 * STEP as f64 / 1_000.0 * factor;
            if self.rng.random::<f64>() < expected {
                let tokens = self.rng.random_range(2_000.0..8_800.0);
                let shape = RunShape {
                    prompt: self.rng.random_range(2_000.0..8_400.0),
                    generated: 0.0,
                    expected: tokens * self.rng.random_range(0.6..1.6),
                    max_output: 11_000.0,
                };
                self.waiting.push_back(Generation { gateway, arrived: self.now, shape, tokens });
            }
        }
    }

    fn context<'a>(&'a self, gateway: &'a Gateway) -> SelectionContext<'a> {
        SelectionContext {
            members: &self.members,
            loads: &gateway.loads,
            service: &self.service,
            runs: Some(&gateway.runs),
            failing: None,
            pressure: None,
            places: PlaceView::new(PlaceScope {
                topology: &self.topology,
                residency: &Residency::Anywhere,
                data_centre: &gateway.data_centre,
                distances: &self.distances,
            }),
            version: None,
            now: self.now,
        }
    }

    fn number(&self, id: &RunnerId) -> usize {
        self.runners.iter().position(|runner| runner.id == *id).expect("is known")
    }

    /// Tries to hold memory for the generation and to have its prompt prefilled.
    fn place(&mut self, generation: &Generation) -> bool {
        let forecast = MemoryForecast {
            lengths: LengthModel::default(),
            tokens_per_ms: TOKENS_PER_MS,
            memory: MEMORY,
            cfg: ForecastConfig::default(),
        };
        let draw = self.rng.random();
        let gateway = &self.gateways[generation.gateway];
        let need = forecast.need(&[generation.shape]);
        let peak = |runner: &Runner| {
            let load = gateway.runs.need_at(&runner.id, &forecast, self.now);
            forecast.peak_if_it_fits(&load, &need)
        };
        let ranked = rank_for_decode(self.context(gateway), &[], draw, peak);
        let candidates: Vec<usize> =
            ranked.iter().take(3).map(|runner| self.number(&runner.id)).collect();
        for decode in candidates {
            let used = |it: &Running| it.prompt + self.generated(it);
            let held = self.running.iter().filter(|it| it.decode == decode).map(used).sum::<f64>();
            if held + generation.shape.prompt <= MEMORY {
                self.start(generation, decode);
                return true;
            }
            let id = self.runners[decode].id.clone();
            self.gateways[generation.gateway].loads.record_hold_refusal(&id, self.now);
        }
        false
    }

    fn start(&mut self, generation: &Generation, decode: usize) {
        let tokens = generation.shape.prompt as u64;
        let draw = self.rng.random();
        let gateway = &self.gateways[generation.gateway];
        let place = self.runners[decode].data_centre.clone();
        let selection = PrefillSelection {
            decode: &place,
            tried: &[],
            tokens,
            ms_per_token: 1.0 / PREFILL_TOKENS_PER_MS,
            draw,
        };
        let queue = |id: &RunnerId| PrefillQueue {
            tokens_of_peers: gateway.runs.prefill_tokens_of_peers(id, self.now),
            factor: 1.0,
        };
        let cx = self.context(gateway);
        let prefill = pick_for_prefill(cx, selection, queue).expect("there are prefill runners");
        let distance_ms = cx.places.prefill_extra_ms(&prefill.data_centre, &place);
        let decode_ms = cx.places.extra_ms(&place);
        let (crossed, pair_crossed) =
            (!cx.places.is_near(&place), !cx.places.is_same_region(&place, &prefill.data_centre));
        let at = self.number(&prefill.id);
        let done =
            self.busy_until[at].max(self.now.0 as f64) + tokens as f64 / PREFILL_TOKENS_PER_MS;
        self.busy_until[at] = done;
        let prefilled = Millis((done + distance_ms) as u64);
        let started = prefilled.plus(Millis((80.0 + decode_ms) as u64));
        let gateway = &mut self.gateways[generation.gateway];
        let epoch = gateway.loads.begin(&prefill.id, tokens);
        let report = RunReport::new(self.runners[decode].id.clone(), generation.shape);
        self.running.push(Running {
            gateway: generation.gateway,
            run: gateway.runs.add(report),
            decode,
            prompt: generation.shape.prompt,
            tokens: generation.tokens,
            prefill: Some((at, epoch)),
            prefilled,
            started,
        });
        let second = self.second(generation);
        second.placed += 1;
        second.crossed += usize::from(crossed);
        second.pairs_crossed += usize::from(pair_crossed);
        second.late += usize::from(started.since(generation.arrived) > Millis(900));
    }

    fn generated(&self, run: &Running) -> f64 {
        self.now.since(run.started).0 as f64 * TOKENS_PER_MS
    }

    fn progress(&mut self) {
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|it| {
            let generated = self.generated(it);
            let gateway = &mut self.gateways[it.gateway];
            if let Some((at, epoch)) = it.prefill.take_if(|_| it.prefilled <= self.now) {
                gateway.loads.end(&self.runners[at].id, epoch, it.prompt as u64);
            }
            if generated > 0.0 {
                gateway.runs.progress(it.run, generated as u64);
            }
            if generated >= it.tokens {
                gateway.runs.end(it.run);
            }
            generated < it.tokens
        });
        self.running = running;
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        for (_, from, to, report) in self.reports.extract_if(.., |it| it.0 <= now) {
            self.gateways[to].runs.apply_report(&format!("g-{from}"), report, now);
        }
        for from in 0..GATEWAYS {
            for (is_far, (interval, delay)) in [false, true].into_iter().zip(REPORTS) {
                if !(self.now.0 + from as u64 * STEP).is_multiple_of(interval) {
                    continue;
                }
                let gateway = &mut self.gateways[from];
                gateway.sequence += 1;
                let report = GatewayReport {
                    incarnation: 1,
                    sequence: gateway.sequence,
                    runs: gateway.runs.own().cloned().collect(),
                    prefill_tokens: gateway.loads.queued_prompts(),
                    ..GatewayReport::default()
                };
                let at = now.plus(Millis(delay));
                for to in (0..GATEWAYS).filter(|to| *to != from) {
                    if (to % REGIONS != from % REGIONS) == is_far {
                        self.reports.push((at, from, to, report.clone()));
                    }
                }
            }
        }
    }
}

/// Adds some seconds of some regions.
fn add(sum: &mut Second, seconds: &[[Second; REGIONS]], regions: &[usize]) {
    for it in seconds.iter().flat_map(|second| regions.iter().map(|region| second[*region])) {
        sum.placed += it.placed;
        sum.crossed += it.crossed;
        sum.pairs_crossed += it.pairs_crossed;
        sum.refused += it.refused;
        sum.late += it.late;
    }
}

impl Second {
    fn crossed_share(&self) -> f64 {
        self.crossed as f64 / self.placed as f64
    }

    fn pairs_share(&self) -> f64 {
        self.pairs_crossed as f64 / self.placed as f64
    }

    fn failed_share(&self) -> f64 {
        (self.refused + self.late) as f64 / (self.placed + self.refused) as f64
    }
}

/// Guards against work that crosses regions at usual load, against a burst that is refused while
/// other regions have room, and against regions that go on displacing each other's runs after it:
/// the same load without the burst is the measure.
#[test]
fn a_burst_of_one_region_spills_over_and_returns() {
    let (mut usual, mut burst, mut others) = Default::default();
    let (mut after, mut without) = Default::default();
    for seed in 0..3 {
        let seconds = Deployment::new([3, 3, 3], Some(BURST_FACTOR), seed).run();
        add(&mut usual, &seconds[..10], &[0, 1, 2]);
        add(&mut burst, &seconds[12..16], &[0]);
        add(&mut others, &seconds[10..18], &[1, 2]);
        add(&mut after, &seconds[21..27], &[0, 1, 2]);
        let steady = Deployment::new([3, 3, 3], None, seed).run();
        add(&mut without, &steady[21..27], &[0, 1, 2]);
    }
    let shown = format!("{usual:?} {burst:?} {others:?} {after:?} {without:?}");
    assert!(usual.crossed_share() < 0.05 && usual.pairs_share() < 0.05, "{shown}");
    assert!(usual.refused + usual.late == 0, "{shown}");
    assert!(burst.crossed_share() > 0.3, "it spills over: {shown}");
    assert!(burst.failed_share() < 0.08 && others.failed_share() < 0.05, "{shown}");
    assert!(others.crossed_share() < 0.45, "{shown}");
    assert!(after.crossed_share() < 1.4 * without.crossed_share() + 0.02, "{shown}");
    assert_eq!(after.refused + after.late, 0, "{shown}");
}

/// Guards against a region that refuses generations, or sends them elsewhere, because it has no
/// prefill runner.
#[test]
fn a_region_without_prefill_runners_is_served() {
    let (mut west, mut others) = Default::default();
    for seed in 0..3 {
        let seconds = Deployment::new([0, 5, 4], None, seed).run();
        add(&mut west, &seconds[..10], &[0]);
        add(&mut others, &seconds[..10], &[1, 2]);
    }
    let shown = format!("{west:?} {others:?}");
    assert!(west.refused + west.late + others.refused + others.late == 0, "{shown}");
    assert!(west.crossed_share() < 0.05, "its runs stay: {shown}");
    assert!(others.pairs_share() < 0.1, "the other regions keep their own prefills: {shown}");
}
