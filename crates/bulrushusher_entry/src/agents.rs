//! Calls to agents. Every call has a timeout; a call without a reply returns `None` or an error,
//! never an assumed result.

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

/// Timeout of a control call that does not wait for a slot.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Added to the wait of a reservation to get the timeout of its call.
const RESERVE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of a control call, in bytes.
const MAX_REQUEST_BYTES: u32 = 32 << 20;

/// Connection pools to one agent. A timeout in one of them replaces both, because a fault that
/// breaks one connection without closing it usually breaks the others too.
#[derive(Clone, Debug)]
struct Connections {
    rpc: RpcClient,
    http: HttpClient,
}

/// Clients of the agents, by control address.
#[derive(Debug)]
pub(crate) struct Agents {
    connections: Mutex<HashMap<SocketAddr, Connections>>,
    idle_timeout: Duration,
}

impl Agents {
    pub(crate) fn new(idle_timeout: Duration) -> Agents {
        Agents { connections: Mutex::default(), idle_timeout }
    }

    fn connections(&self, endpoint: &Endpoint) -> Option<Connections> {
        let mut connections = self.connections.lock();
        if let Some(existing) = connections.get(&endpoint.control) {
            return Some(existing.clone());
        }
        let builder = HttpClientBuilder::default().max_request_size(MAX_REQUEST_BYTES);
        // `call` applies the shorter timeout of each call.
        let builder = builder.request_timeout(Duration::from_secs(120)).set_tcp_no_delay(true);
        let rpc = builder.build(format!("http://{}", endpoint.control)).ok()?;
        let created = Connections { rpc, http: HttpClient::new() };
        connections.insert(endpoint.control, created.clone());
        Some(created)
    }

    /// Drops the connections to an agent after a timeout; the next call opens new ones.
    pub(crate) fn replace_connections(&self, endpoint: &Endpoint) {
        if self.connections.lock().remove(&endpoint.control).is_some() {
            log::info!("{LOG} {} was silent, its connections are replaced", endpoint.name);
        }
    }

    /// Makes a control call; `None` if there was no reply within `timeout`.
    async fn call<T, F>(
        &self,
        endpoint: &Endpoint,
        timeout: Duration,
        call: impl FnOnce(RpcClient) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, jsonrpsee::core::ClientError>>,
    {
        let rpc = self.connections(endpoint)?.rpc;
        match tokio::time::timeout(timeout, call(rpc)).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(e)) => {
                log::info!("{LOG} control call to {} failed: {e}", endpoint.name);
                None
            }
            Err(_) => {
                self.replace_connections(endpoint);
                None
            }
        }
    }

    /// Opens a stream; `timeout` limits the wait for the response head.
    async fn open<T: Serialize>(
        &self,
        endpoint: &Endpoint,
        path: &str,
        order: &T,
        timeout: Duration,
    ) -> Result<LineStream, HttpError> {
        let Some(connections) = self.connections(endpoint) else {
            let cause = "the client for its control address cannot be created".to_owned();
            return Err(HttpError::Connect { peer: endpoint.stream.to_string(), cause });
        };
        let opened = connections.http.post_stream(endpoint.stream, path, order, timeout).await;
        if matches!(opened, Err(HttpError::Timeout { .. })) {
            self.replace_connections(endpoint);
        }
        opened
    }

    /// Reserves a concurrency slot of the agent's endpoint. The reply contains the reservation or
    /// the agent's refusal; `None` if the agent did not reply.
    pub(crate) async fn reserve(
        &self,
        endpoint: &Endpoint,
        req: ReserveRequest,
    ) -> Option<ReserveReply> {
        let timeout = req.wait.duration() + RESERVE_MARGIN;
        self.call(endpoint, timeout, |rpc| async move { rpc.reserve(req).await }).await
    }

    /// Releases a reservation. If the call is lost, the reservation expires at the agent.
    pub(crate) async fn release(&self, endpoint: &Endpoint, id: ReservationId) {
        let release = |rpc: RpcClient| async move { rpc.release(id).await };
        self.call(endpoint, CALL_TIMEOUT, release).await;
    }

    /// Requests that the agent, as home of a key, records the key's executor; `None` if it did not
    /// reply.
    pub(crate) async fn claim(&self, endpoint: &Endpoint, req: ClaimRequest) -> Option<ClaimReply> {
        self.call(endpoint, CALL_TIMEOUT, |rpc| async move { rpc.claim(req).await }).await
    }

    /// Requests that the agent refuses orders for a key at lower ballots from now on; `None` if it
    /// did not reply.
    pub(crate) async fn bar(&self, endpoint: &Endpoint, req: BarRequest) -> Option<BarResponse> {
        let bar = |rpc: RpcClient| async move { rpc.bar(vec![req]).await };
        self.call(endpoint, CALL_TIMEOUT, bar).await?.into_iter().next()
    }

    /// Cancels a stream. Retries, because the run holds engine memory until it is cancelled.
    pub(crate) async fn cancel(&self, endpoint: &Endpoint, req: CancelRequest) {
        const ATTEMPTS: usize = 3;
        for _ in 0..ATTEMPTS {
            let req = req.clone();
            let cancel = |rpc: RpcClient| async move { rpc.cancel(req).await };
            if self.call(endpoint, CALL_TIMEOUT, cancel).await.is_some() {
                return;
            }
        }
    }

    pub(crate) async fn set_list(
        &self,
        endpoint: &Endpoint,
        update: EndpointListUpdate,
    ) -> Option<u64> {
        self.call(endpoint, CALL_TIMEOUT, |rpc| async move { rpc.set_list(update).await }).await
    }

    pub(crate) async fn heartbeat(
        &self,
        endpoint: &Endpoint,
        heartbeat: Heartbeat,
    ) -> Option<AgentStatus> {
        self.call(endpoint, CALL_TIMEOUT, |rpc| async move { rpc.heartbeat(heartbeat).await }).await
    }

    pub(crate) async fn prefill(
        &self,
        endpoint: &Endpoint,
        order: &PrefillRun,
    ) -> Result<LineStream, HttpError> {
        self.open(endpoint, "/prefill", order, self.idle_timeout).await
    }

    pub(crate) async fn run(
        &self,
        endpoint: &Endpoint,
        order: &RunOrder,
    ) -> Result<LineStream, HttpError> {
        self.open(endpoint, "/run", order, self.idle_timeout).await
    }

    /// Opens a stream that reads the answer of a key that is being executed or has been executed.
    pub(crate) async fn attach(
        &self,
        endpoint: &Endpoint,
        order: &AttachOrder,
    ) -> Result<LineStream, HttpError> {
        let timeout = self.idle_timeout + Duration::from_millis(order.wait_ms);
        self.open(endpoint, "/attach", order, timeout).await
    }
}
