//! Small answers to the balancer and to scrapers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::Stage;
use bulrushusher_report::GatewayMetrics;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::knowledge::Knowledge;
use crate::lifecycle::Lifecycle;

/// What a probe listener answers.
#[derive(Clone, Debug)]
pub(crate) enum Probe {
    /// 200 while requests are served and no signal to stop has come.
    Ready(Arc<Knowledge>, Lifecycle),
    /// All metrics as text.
    Metrics(Arc<Knowledge>, Arc<GatewayMetrics>),
}

impl Probe {
    fn answer(&self) -> (StatusCode, String) {
        match self {
            Probe::Ready(knowledge, lifecycle) => {
                match knowledge.is_complete() && !lifecycle.is_stopping() {
                    true => (StatusCode::OK, "ready\n".to_owned()),
                    false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
                }
            }
            Probe::Metrics(knowledge, metrics) => {
                note_state(knowledge, metrics);
                (StatusCode::OK, metrics.text())
            }
        }
    }
}

fn note_state(knowledge: &Knowledge, metrics: &GatewayMetrics) {
    metrics.state("configuration_version", knowledge.routing().map_or(0, |r| r.version));
    metrics.state("waiting", knowledge.waiting() as u64);
    let (all, prefill, decode) = knowledge.with_runners(|runners, now| {
        let count = |stage| {
            runners.members.all(now).filter(|runner| runner.stage == Some(stage)).count() as u64
        };
        let all = runners.members.all(now).count() as u64;
        (all, count(Stage::Prefill), count(Stage::Decode))
    });
    metrics.state("quarantined_requests", knowledge.all_quarantined().len() as u64);
    metrics.state("runners", all);
    metrics.state("prefill_runners", prefill);
    metrics.state("decode_runners", decode);
}

/// Answers probes at an address until dropped.
pub(crate) async fn serve(listener: TcpListener, probe: Probe) {
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
