//! Calls to agents. Every call is bounded in time; a call without an answer is `None` or an error,
//! never a guess.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushusher_admission::ReservationId;
use bulrushusher_http::{HttpClient, HttpError, LineStream};
use bulrushusher_once::ClaimReply;
use bulrushusher_wire::{
    AgentControlClient, AgentStatus, AttachOrder, BarRequest, BarResponse, CancelRequest,
    ClaimRequest, EndpointListUpdate, Heartbeat, PrefillRun, ReserveReply, ReserveRequest,
    RunOrder,
};
use bulrushusher_world::Endpoint;
use jsonrpsee::http_client::{HttpClient as RpcClient, HttpClientBuilder};
use parking_lot::Mutex;
use serde::Serialize;

use crate::LOG;

/// Bound of a short control call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Added to the wait of a reservation.
const RESERVE_SLACK: Duration = Duration::from_millis(500);
const MAX_REQUEST: u32 = 32 << 20;

/// Connections to one agent. Both pools are given up together when one of them goes silent: what
/// lost track of one connection has lost track of the others.
#[derive(Clone, Debug)]
struct Connections {
    rpc: RpcClient,
    http: HttpClient,
}

/// The agents, by their control address.
#[derive(Debug)]
pub(crate) struct Agents {
    connections: Mutex<HashMap<SocketAddr, Connections>>,
    silent: Duration,
}

impl Agents {
    pub(crate) fn new(silent: Duration) -> Agents {
        Agents { connections: Mutex::default(), silent }
    }

    fn connections(&self, endpoint: &Endpoint) -> Option<Connections> {
        let mut connections = self.connections.lock();
        if let Some(held) = connections.get(&endpoint.control) {
            return Some(held.clone());
        }
        let builder = HttpClientBuilder::default().max_request_size(MAX_REQUEST);
        // The bounds of single calls are set where they are made.
        let builder = builder.request_timeout(Duration::from_secs(120)).set_tcp_no_delay(true);
        let rpc = builder.build(format!("http://{}", endpoint.control)).ok()?;
        let made = Connections { rpc, http: HttpClient::new() };
        connections.insert(endpoint.control, made.clone());
        Some(made)
    }

    /// An agent was silent: its connections are not used again.
    fn distrust(&self, endpoint: &Endpoint) {
        if self.connections.lock().remove(&endpoint.control).is_some() {
            log::info!("{LOG} {} was silent, its connections are replaced", endpoint.name);
        }
    }

    /// Makes a control call within a bound; `None` when there was no answer.
    async fn call<T, F>(
        &self,
        endpoint: &Endpoint,
        bound: Duration,
        call: impl FnOnce(RpcClient) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, jsonrpsee::core::ClientError>>,
    {
        let rpc = self.connections(endpoint)?.rpc;
        match tokio::time::timeout(bound, call(rpc)).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(e)) => {
                log::info!("{LOG} a call to {} failed: {e}", endpoint.name);
                None
            }
            Err(_) => {
                self.distrust(endpoint);
                None
            }
        }
    }

    /// Opens a stream; the wait for its head is bounded by `bound`.
    async fn open<T: Serialize>(
        &self,
        endpoint: &Endpoint,
        path: &str,
        order: &T,
        bound: Duration,
    ) -> Result<LineStream, HttpError> {
        let Some(held) = self.connections(endpoint) else {
            let cause = "no client can be made".to_owned();
            return Err(HttpError::Connect { peer: endpoint.stream.to_string(), cause });
        };
        let opened = held.http.post_stream(endpoint.stream, path, order, bound).await;
        if matches!(opened, Err(HttpError::Timeout { .. })) {
            self.distrust(endpoint);
        }
        opened
    }

    /// A stream of this agent went silent.
    pub(crate) fn went_silent(&self, endpoint: &Endpoint) {
        self.distrust(endpoint);
    }

    /// Asks for a place; `None` when the agent did not answer.
    pub(crate) async fn reserve(
        &self,
        endpoint: &Endpoint,
        ask: ReserveRequest,
    ) -> Option<ReserveReply> {
        let bound = ask.wait.duration() + RESERVE_SLACK;
        self.call(endpoint, bound, |rpc| async move { rpc.reserve(ask).await }).await
    }

    /// Gives a place back. An agent that does not hear it lets the reservation lapse.
    pub(crate) async fn release(&self, endpoint: &Endpoint, id: ReservationId) {
        let release = |rpc: RpcClient| async move { rpc.release(id).await };
        self.call(endpoint, CALL_TIMEOUT, release).await;
    }

    pub(crate) async fn claim(&self, endpoint: &Endpoint, ask: ClaimRequest) -> Option<ClaimReply> {
        self.call(endpoint, CALL_TIMEOUT, |rpc| async move { rpc.claim(ask).await }).await
    }

    pub(crate) async fn bar(&self, endpoint: &Endpoint, ask: BarRequest) -> Option<BarResponse> {
        let bar = |rpc: RpcClient| async move { rpc.bar(vec![ask]).await };
        self.call(endpoint, CALL_TIMEOUT, bar).await?.into_iter().next()
    }

    /// Gives up a stream, insisting: engine memory hangs on it.
    pub(crate) async fn cancel(&self, endpoint: &Endpoint, ask: CancelRequest) {
        const ATTEMPTS: usize = 3;
        for _ in 0..ATTEMPTS {
            let ask = ask.clone();
            let cancel = |rpc: RpcClient| async move { rpc.cancel(ask).await };
            if self.call(endpoint, CALL_TIMEOUT, cancel).await.is_some() {
                return;
            }
        }
    }

    pub(crate) async fn set_list(
        &self,
        endpoint: &Endpoint,
        push: EndpointListUpdate,
    ) -> Option<u64> {
        self.call(endpoint, CALL_TIMEOUT, |rpc| async move { rpc.set_list(push).await }).await
    }

    pub(crate) async fn heartbeat(
        &self,
        endpoint: &Endpoint,
        beat: Heartbeat,
    ) -> Option<AgentStatus> {
        self.call(endpoint, CALL_TIMEOUT, |rpc| async move { rpc.heartbeat(beat).await }).await
    }

    pub(crate) async fn prefill(
        &self,
        endpoint: &Endpoint,
        order: &PrefillRun,
    ) -> Result<LineStream, HttpError> {
        self.open(endpoint, "/prefill", order, self.silent).await
    }

    pub(crate) async fn run(
        &self,
        endpoint: &Endpoint,
        order: &RunOrder,
    ) -> Result<LineStream, HttpError> {
        self.open(endpoint, "/run", order, self.silent).await
    }

    pub(crate) async fn attach(
        &self,
        endpoint: &Endpoint,
        order: &AttachOrder,
    ) -> Result<LineStream, HttpError> {
        let bound = self.silent + Duration::from_millis(order.wait_ms);
        self.open(endpoint, "/attach", order, bound).await
    }
}
