//! Cost of selecting a decode runner, by the size of the pool.
//!
//! Run with `cargo bench -p bulrushusher_forward`.

use bulrushusher_forward::{
    ForecastConfig, GatewayReport, LengthModel, LoadConfig, MemoryForecast, PeersConfig, PlaceView,
    RunReport, RunShape, Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerLoads, Runs,
    SelectionContext, Stage, rank_for_decode,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use criterion::{Criterion, criterion_group, criterion_main};

/// Runs per runner, which nearly fill its memory with prompts of 5,000 tokens.
const RUNS_PER_RUNNER: usize = 8;

const RUN: RunShape =
    RunShape { prompt: 4_800.0, generated: 0.0, expected: 3_000.0, max_output: 9_000.0 };

struct Pool {
    service: ServiceName,
    members: RunnerDirectory,
    loads: RunnerLoads,
    runs: Runs,
    forecast: MemoryForecast,
}

fn runner_id(n: usize) -> RunnerId {
    format!("i-{n:010}").as_str().try_into().expect("valid name")
}

/// A pool as one gateway sees it; its runs are spread over the other gateways.
fn pool(runners: usize, gateways: usize) -> Pool {
    let service: ServiceName = "llm".try_into().expect("valid name");
    let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
    for n in 0..runners {
        members.put(
            Runner {
                id: runner_id(n),
                born: None,
                service: service.clone(),
                address: ([10, 0, 0, 1], 1 + n as u16).into(),
                data_centre: "a".try_into().expect("valid name"),
                slots: 64,
                stage: Some(Stage::Decode),
                leaving: false,
                cold_for: Millis(0),
                revision: 0,
                version: "v1".into(),
            },
            Millis(0),
        );
    }
    let mut reports = vec![GatewayReport { sequence: 1, ..GatewayReport::default() }; gateways];
    for run in 0..runners * RUNS_PER_RUNNER {
        let generated = (run * 977 % 4_000) as f64;
        let note = RunReport::new(runner_id(run % runners), RunShape { generated, ..RUN });
        reports[run % gateways].runs.push(RunReport { is_generating: true, ..note });
    }
    let mut runs = Runs::new(PeersConfig::default());
    for (n, report) in reports.into_iter().enumerate() {
        runs.apply_report(&format!("gateway-{n}"), report, Millis(0));
    }
    let forecast = MemoryForecast {
        lengths: LengthModel::default(),
        tokens_per_ms: 1.4,
        memory: 72_000.0,
        cfg: ForecastConfig::default(),
    };
    Pool { service, members, loads: RunnerLoads::new(LoadConfig::default()), runs, forecast }
}

impl Pool {
    fn rank(&self, draw: f64) -> usize {
        let now = Millis(20);
        let cx = SelectionContext {
            places: PlaceView::ANYWHERE,
            version: None,
            members: &self.members,
            loads: &self.loads,
            service: &self.service,
            runs: Some(&self.runs),
            failing: None,
            pressure: None,
            now,
        };
        let run = self.forecast.need(&[RUN]);
        let peak = |runner: &Runner| {
            let there = self.runs.need_at(&runner.id, &self.forecast, now);
            self.forecast.peak_if_it_fits(&there, &run)
        };
        rank_for_decode(cx, &[], draw, peak).len()
    }
}

fn rank_benchmark(c: &mut Criterion) {
    for (runners, gateways) in [(30, 31), (60, 31), (300, 300)] {
        let pool = pool(runners, gateways);
        let name = format!("place at {runners} runners, {gateways} gateways");
        c.bench_function(&name, |b| b.iter(|| pool.rank(0.3)));
    }
}

criterion_group!(benches, rank_benchmark);
criterion_main!(benches);
