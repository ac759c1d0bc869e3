//! Time to choose a pair of runners, by number of runners: `cargo bench -p bulrushusher_routing`.

use std::hint::black_box;

use bulrushusher_routing::{LoadHint, PairingConfig, PairingTable, PromptRequest};
use bulrushusher_time::Millis;
use bulrushusher_world::{Endpoint, RawEndpoint, ServiceName};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const MODELS: usize = 33;
const SIZES: [usize; 4] = [10, 100, 1_000, 2_700];

fn endpoint(number: usize) -> Endpoint {
    let role = if number.is_multiple_of(2) { "prefill" } else { "decode" };
    let raw = RawEndpoint {
        name: format!("runner-{number}"),
        service: format!("model-{}", number / 2 % MODELS),
        role: role.to_owned(),
        data_centre: format!("dc-{}", number % 7),
        control: "127.0.0.1:1".to_owned(),
        stream: "127.0.0.1:2".to_owned(),
        ..RawEndpoint::default()
    };
    Endpoint::try_from(raw).expect("a valid endpoint")
}

fn table(runners: usize) -> PairingTable {
    let mut table = PairingTable::new(PairingConfig::default());
    let endpoints: Vec<Endpoint> = (0..runners).map(endpoint).collect();
    table.set_endpoints(endpoints.clone());
    for (number, endpoint) in endpoints.iter().enumerate() {
        let used = (number * 7 % 20) as u32;
        let hint = LoadHint { used, places: 20, reported_at: Millis(1_000), ..LoadHint::default() };
        table.update_load(&endpoint.name, hint);
    }
    table
}

fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for runners in SIZES {
        let mut table = table(runners);
        let models = MODELS.min(runners / 2);
        let services: Vec<ServiceName> = (0..models)
            .map(|n| ServiceName::try_from(format!("model-{n}")).expect("a valid name"))
            .collect();
        let blocks: Vec<u64> = (0..32).collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                next = (next + 1) % services.len();
                let service = &services[next];
                let req = PromptRequest { service, blocks: &blocks, excluded: &[] };
                black_box(table.choose(&req, Millis(1_200)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose);
criterion_main!(benches);
