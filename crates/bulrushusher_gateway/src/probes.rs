//! HTTP listeners for readiness checks of the load balancer and for metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::Stage;
use bulrushusher_report::{AccountMetrics, CallPoolMetrics, GatewayMetrics};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::dialect::Topic;
use crate::lifecycle::Lifecycle;
use crate::shared::SharedState;

/// The endpoint that a probe listener serves.
#[derive(Clone, Debug)]
pub(crate) enum Probe {
    /// Responds 200 while the gateway serves requests and is not stopping.
    Ready(Arc<SharedState>, Lifecycle),
    /// Responds with all metrics as text.
    Metrics(Arc<SharedState>, Arc<GatewayMetrics>),
}

impl Probe {
    fn answer(&self) -> (StatusCode, String) {
        match self {
            Probe::Ready(shared, lifecycle) => {
                match shared.is_ready() && !lifecycle.is_stopping() {
                    true => (StatusCode::OK, "ready\n".to_owned()),
                    false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
                }
            }
            Probe::Metrics(shared, metrics) => {
                record_state(shared, metrics);
                (StatusCode::OK, metrics.render())
            }
        }
    }
}

fn record_state(shared: &SharedState, metrics: &GatewayMetrics) {
    metrics.set_state("configuration_version", shared.routing().map_or(0, |r| r.version));
    let in_force = shared.in_force(Topic::Configuration).is_some();
    let unreadable = shared.routing().map_or(0, |r| r.unreadable_parts().len() as u64);
    metrics.set_state("configuration_unreadable_parts", unreadable);
    metrics.set_state("configuration_in_force", u64::from(in_force));
    metrics.set_state("waiting", shared.queued_requests() as u64);
    let (all, prefill, decode) = shared.with_runners(|runners, now| {
        let count = |stage| {
            runners.directory.all(now).filter(|runner| runner.stage == Some(stage)).count() as u64
        };
        let all = runners.directory.all(now).count() as u64;
        (all, count(Stage::Prefill), count(Stage::Decode))
    });
    record_accounts(shared, metrics);
    record_speeds(shared, metrics);
    record_call_pools(shared, metrics);
    for (region, ms) in shared.region_distances() {
        metrics.set_region_round_trip(region.as_str(), ms.round() as u64);
    }
    if let Some(age) = shared.confirmation_age(Topic::Runners) {
        metrics.set_state("runner_list_age_ms", age.0);
    }
    if let Some(count) = shared.evacuated_count() {
        metrics.set_state("evacuated_data_centres", count as u64);
        let age = shared.confirmation_age(Topic::Evacuations).map_or(u64::MAX, |age| age.0);
        metrics.set_state("evacuations_age_ms", age);
    }
    let quarantined = shared.all_quarantined();
    metrics.set_state("quarantined_requests", quarantined.len() as u64);
    let (duration, now) = (shared.cfg().quarantine.duration, shared.now());
    metrics.set_quarantines(
        quarantined.iter().map(|it| (it.keys.to_string(), it.since.plus(duration).since(now).0)),
    );
    let pressure = shared.pressure_counts();
    metrics.set_state("limited_runners", pressure.limited as u64);
    metrics.set_state("cold_runners", pressure.cold as u64);
    let leaving = shared.with_runners(|runners, now| runners.directory.drain_reports(now).len());
    metrics.set_state("leaving_runners", leaving as u64);
    metrics.set_state("backoff_runners", pressure.backing_off as u64);
    metrics.set_state("runners", all);
    metrics.set_state("prefill_runners", prefill);
    metrics.set_state("decode_runners", decode);
}

/// Number of runners whose pace is a metric.
const MAX_PACED_RUNNERS: usize = 100;

/// Writes the paces of uneven pools. The metric has whole numbers, so the unit is tokens per second.
fn record_speeds(shared: &SharedState, metrics: &GatewayMetrics) {
    let routing = shared.routing();
    let services = routing.iter().flat_map(|routing| routing.services());
    let uneven = services.filter(|service| shared.is_uneven(&service.name)).count();
    metrics.set_state("uneven_pools", uneven as u64);
    for (runner, pace) in shared.runner_paces().into_iter().take(MAX_PACED_RUNNERS) {
        metrics.set_runner_pace(runner.as_str(), (pace * 1_000.0) as u64);
    }
}

fn record_call_pools(shared: &SharedState, metrics: &GatewayMetrics) {
    for (service, load, refused) in shared.call_pools() {
        let figures = CallPoolMetrics {
            in_flight: load.in_flight.round() as u64,
            waiting: load.waiting,
            slots: load.slots,
            service_time_ms: load.service_ms.round() as u64,
            refused,
        };
        metrics.set_call_pool(service.as_str(), figures);
    }
}

/// Number of accounts with their own metrics; those with the highest usage are chosen.
const MAX_ACCOUNTS: usize = 50;

fn record_accounts(shared: &SharedState, metrics: &GatewayMetrics) {
    let age = shared.evidence_age().map_or(u64::MAX, |age| age.0);
    metrics.set_state("configuration_evidence_age_ms", age);
    let mut uses = shared.account_usage();
    uses.sort_unstable_by(|a, b| b.used.total_cmp(&a.used).then(b.refused.cmp(&a.refused)));
    for usage in uses.into_iter().take(MAX_ACCOUNTS) {
        let quota = usage.quota.map_or(0.0, |quota| shared.quota_in_window(quota));
        let figures = AccountMetrics {
            used: usage.used as u64,
            worst_window: usage.peak as u64,
            quota: quota as u64,
            refused: usage.refused,
        };
        metrics.set_account_usage(usage.account.as_str(), figures);
    }
}

/// Serves a probe on a listener until dropped.
pub(crate) async fn serve(listener: Arc<TcpListener>, probe: Probe) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let probe = probe.clone();
        tokio::spawn(async move { serve_one(stream, peer, probe).await });
    }
}

async fn serve_one(stream: tokio::net::TcpStream, peer: SocketAddr, probe: Probe) {
    let service = service_fn(move |_: Request<Incoming>| {
        let (status, text) = probe.answer();
        let mut reply = Response::new(Full::new(Bytes::from(text)));
        *reply.status_mut() = status;
        std::future::ready(Ok::<_, Infallible>(reply))
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(e) = served {
        log::debug!("probe: connection ended early peer={peer} cause=\"{e}\"");
    }
}
