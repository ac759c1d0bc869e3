//! Memory and time used by the decision types. Memory is measured as the growth of the resident set
//! while the state is built, so each state is large compared with a page.

use std::time::Instant;

use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter, Sharing};
use bulrushusher_admission::{AdmissionConfig, AdmissionController, SlotRequest, SlotRequestId};
use bulrushusher_once::{
    Ballot, ExecutorConfig, ExecutorTable, HomeConfig, HomeTable, RecordCoverage, ServiceList,
};
use bulrushusher_routing::{LoadHint, PairingConfig, PairingTable, PromptRequest};
use bulrushusher_store::{Snapshot, StoredObject};
use bulrushusher_time::Millis;
use bulrushusher_world::{
    ClientAccount, Endpoint, EndpointName, RawClientAccount, RawEndpoint, RequestKey, ServiceName,
};

use crate::fit::Measurement;

const PAGE_BYTES: f64 = 4_096.0;
const MODELS: usize = 33;
/// The creation time encoded in the request keys below.
const NOW: Millis = Millis(0x01a2_37f0_596f);
const COVERAGE: RecordCoverage =
    RecordCoverage { since: Millis(0), skew: Millis(100), horizon: Millis(600_000) };

/// Measurements of memory and time. Each must run in its own process: memory freed by one would be
/// reused by the next and not counted.
pub const ALL: [fn() -> Measurement; 9] = [
    choose_time,
    pairing_bytes,
    account_bytes,
    snapshot_bytes,
    snapshot_time,
    admission_time,
    executor_bytes,
    executor_time,
    home_bytes,
];

/// Resident set size of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Growth of the resident set while `build` runs, in bytes.
fn bytes<T>(build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    // Leaked, because freed memory would be reused by the next measurement and not counted.
    std::mem::forget(build());
    (resident_bytes() - before).max(0.0)
}

/// Mean duration of a call of `operation`, in nanoseconds.
fn nanos(rounds: usize, mut operation: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        operation(round);
    }
    start.elapsed().as_nanos() as f64 / rounds as f64
}

fn measurement(
    quantity: &'static str,
    unit: &'static str,
    per: &'static str,
    sizes: [usize; 4],
    measure: impl Fn(usize) -> f64,
) -> Measurement {
    let points = sizes.into_iter().map(|size| (size as f64, measure(size))).collect();
    Measurement { quantity, unit, per, points }
}

fn address(number: usize, port: u16) -> String {
    format!("10.{}.{}.{}:{port}", number / 62_500, number / 250 % 250, number % 250)
}

pub(crate) fn endpoint(number: usize) -> Endpoint {
    let role = if number.is_multiple_of(2) { "prefill" } else { "decode" };
    let raw = RawEndpoint {
        name: format!("tt-trnava-{role}-{number}"),
        service: format!("model-{}", number / 2 % MODELS),
        role: role.to_owned(),
        data_centre: format!("dc-{}", number % 7),
        control: address(number, 7_110),
        stream: address(number, 7_111),
        ..RawEndpoint::default()
    };
    Endpoint::try_from(raw).expect("a valid endpoint")
}

fn pairing(runners: usize) -> PairingTable {
    let mut table = PairingTable::new(PairingConfig::default());
    let endpoints: Vec<Endpoint> = (0..runners).map(endpoint).collect();
    table.set_endpoints(endpoints.clone());
    for endpoint in &endpoints {
        let hint = LoadHint { used: 3, places: 20, reported_at: NOW, ..LoadHint::default() };
        table.update_load(&endpoint.name, hint);
    }
    table
}

fn choose_time() -> Measurement {
    measurement("one placement", "ns", "runner", [10, 100, 1_000, 2_700], |runners| {
        let mut table = pairing(runners);
        let models = MODELS.min(runners / 2);
        let services: Vec<ServiceName> = (0..models)
            .map(|n| ServiceName::try_from(format!("model-{n}")).expect("a valid name"))
            .collect();
        nanos(20_000, |round| {
            let service = &services[round % services.len()];
            let req = PromptRequest { service, blocks: &[1, 2, 3], excluded: &[] };
            std::hint::black_box(table.choose(&req, NOW)).ok();
        })
    })
}

fn pairing_bytes() -> Measurement {
    measurement("pairing table", "bytes", "runner", [2_700, 27_000, 54_000, 108_000], |runners| {
        bytes(|| pairing(runners))
    })
}

fn account(number: usize) -> ClientAccount {
    let name = format!("account-{number}");
    let raw = RawClientAccount { name, requests_per_second: 5.0, burst: 10 };
    ClientAccount::try_from(raw).expect("a valid account")
}

fn account_bytes() -> Measurement {
    measurement("quotas", "bytes", "account", [13_000, 52_000, 104_000, 208_000], |accounts| {
        bytes(|| {
            let cfg = QuotaConfig {
                sharing: Sharing::Fixed(380),
                max_accounts: accounts,
                ..QuotaConfig::default()
            };
            let mut quotas = QuotaLimiter::new(cfg, NOW);
            for number in 0..accounts {
                let account = account(number);
                let per_second = account.requests_per_second;
                let quota = Quota { per_second, burst: account.burst as f64 };
                quotas.set_quotas([(&account.name, Some(quota))], NOW);
                quotas.admit(&account.name, 1, NOW).ok();
            }
            quotas
        })
    })
}

fn account_object(number: usize, revision: u64) -> StoredObject {
    StoredObject {
        key: format!("account/account-{number}"),
        version: revision,
        revision,
        mark: String::new(),
        value: serde_json::to_value(account(number)).expect("accounts serialize to JSON"),
    }
}

fn snapshot(accounts: usize) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for number in 0..accounts {
        snapshot.apply(&account_object(number, 1)).expect("valid objects");
    }
    snapshot
}

fn snapshot_bytes() -> Measurement {
    measurement("configuration", "bytes", "object", [13_000, 26_000, 52_000, 104_000], |accounts| {
        bytes(|| snapshot(accounts))
    })
}

fn snapshot_time() -> Measurement {
    measurement("one change", "ns", "object held", [1_000, 4_000, 13_000, 26_000], |accounts| {
        let current = snapshot(accounts);
        nanos(40, |round| {
            // Like the entry, which updates a copy and then replaces the original.
            let mut next = current.clone();
            next.apply(&account_object(round, 2)).expect("a valid object");
            std::hint::black_box(&next);
        })
    })
}

fn admission_time() -> Measurement {
    measurement("ask, start, finish", "ns", "request waiting", [0, 100, 250, 500], |waiting| {
        let cfg = AdmissionConfig { slots: 1, max_queued: 1_000, time_to_live: Millis(60_000_000) };
        let mut controller = AdmissionController::new(cfg);
        let request = |n: usize| SlotRequest {
            id: SlotRequestId(n as u64),
            start_by: NOW.plus(Millis(n as u64)),
            late_start_by: NOW.plus(Millis(10_000_000)),
            wait_until: Millis::MAX,
        };
        let mut granted = Vec::new();
        for n in 0..=waiting {
            granted.extend(controller.request(request(n), NOW));
        }
        nanos(20_000, |round| {
            granted.extend(controller.request(request(waiting + 1 + round), NOW));
            if let Some(bulrushusher_admission::AdmissionAction::Grant(_, grant)) = granted.pop() {
                controller.start(grant.id, NOW).expect("a fresh grant");
                granted.extend(controller.release(grant.id, NOW));
            }
        })
    })
}

fn key(number: usize) -> RequestKey {
    RequestKey::try_from(format!("01a237f0-596f-7233-bc46-{number:012x}")).expect("a valid key")
}

fn executor(records: usize) -> ExecutorTable {
    let cfg = ExecutorConfig {
        max_records: records + 1,
        max_answer_bytes: usize::MAX,
        coverage: COVERAGE,
    };
    let mut table = ExecutorTable::new(cfg);
    for number in 0..records {
        table.order(&key(number), &Ballot::Home, NOW);
        table.finish(&key(number), 0);
    }
    table
}

const RECORDS: [usize; 4] = [20_000, 50_000, 100_000, 200_000];

fn executor_bytes() -> Measurement {
    measurement("executor records", "bytes", "record", RECORDS, |records| {
        bytes(|| executor(records))
    })
}

fn executor_time() -> Measurement {
    measurement("one order", "ns", "record held", [1_000, 10_000, 50_000, 100_000], |records| {
        let mut table = executor(records);
        nanos(20_000, |round| {
            std::hint::black_box(table.order(&key(round % records), &Ballot::Home, NOW));
        })
    })
}

fn home_bytes() -> Measurement {
    measurement("home records", "bytes", "record", RECORDS, |records| {
        bytes(|| {
            let executor = EndpointName::try_from("d1").expect("a valid name");
            let cfg = HomeConfig { max_records: records, coverage: COVERAGE };
            let mut home = HomeTable::new(executor.clone(), cfg);
            let executors = vec![executor.clone()];
            home.set_list(ServiceList { revision: 1, executors, ..ServiceList::default() }, NOW);
            for number in 0..records {
                home.claim(&key(number), &executor, 1, NOW);
            }
            home
        })
    })
}
