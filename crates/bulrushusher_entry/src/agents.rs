//! Calls to agents. Every call is bounded in time; a call without an answer is `None` or an error,
//! never a guess.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushusher_admission::ReservationId;
use bulrushusher_http::{HttpClient, HttpError, LineStream};
use bulrushusher_once::ClaimReply;
use bulrushusher_wire::{
    AgentControlClient, AgentStatus, AttachOrder, BarAnswer, BarAsk, CancelAsk, ClaimAsk, ListPush,
    PrefillRun, ReserveAsk, ReserveReply, RunOrder,
};
use bulrushusher_world::Endpoint;
use jsonrpsee::http_client::{HttpClient as RpcClient, HttpClientBuilder};
use parking_lot::Mutex;

/// Bound of a short control call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Added to the wait of a reservation.
const RESERVE_SLACK: Duration = Duration::from_millis(1_000);
const MAX_REQUEST: u32 = 32 << 20;

/// The agents, by address.
#[derive(Debug)]
pub(crate) struct Agents {
    rpc: Mutex<HashMap<SocketAddr, RpcClient>>,
    http: HttpClient,
    silent: Duration,
}

impl Agents {
    pub(crate) fn new(silent: Duration) -> Agents {
        Agents { rpc: Mutex::default(), http: HttpClient::new(), silent }
    }

    fn rpc(&self, endpoint: &Endpoint) -> Option<RpcClient> {
        let mut clients = self.rpc.lock();
        if let Some(client) = clients.get(&endpoint.control) {
            return Some(client.clone());
        }
        let builder = HttpClientBuilder::default().max_request_size(MAX_REQUEST);
        // The bounds of single calls are set where they are made.
        let builder = builder.request_timeout(Duration::from_secs(120)).set_tcp_no_delay(true);
        let client = builder.build(format!("http://{}", endpoint.control)).ok()?;
        clients.insert(endpoint.control, client.clone());
        Some(client)
    }

    /// Asks for a place; `None` when the agent did not answer.
    pub(crate) async fn reserve(
        &self,
        endpoint: &Endpoint,
        ask: ReserveAsk,
    ) -> Option<ReserveReply> {
        let bound = ask.wait.duration() + RESERVE_SLACK;
        let client = self.rpc(endpoint)?;
        tokio::time::timeout(bound, client.reserve(ask)).await.ok()?.ok()
    }

    pub(crate) async fn release(&self, endpoint: &Endpoint, id: ReservationId) {
        let Some(client) = self.rpc(endpoint) else { return };
        // An agent that does not hear it lets the reservation lapse.
        let _ = tokio::time::timeout(CALL_TIMEOUT, client.release(id)).await;
    }

    pub(crate) async fn claim(&self, endpoint: &Endpoint, ask: ClaimAsk) -> Option<ClaimReply> {
        let client = self.rpc(endpoint)?;
        tokio::time::timeout(CALL_TIMEOUT, client.claim(ask)).await.ok()?.ok()
    }

    pub(crate) async fn bar(&self, endpoint: &Endpoint, ask: BarAsk) -> Option<BarAnswer> {
        let client = self.rpc(endpoint)?;
        let answers = tokio::time::timeout(CALL_TIMEOUT, client.bar(vec![ask])).await.ok()?.ok()?;
        answers.into_iter().next()
    }

    /// Gives up a stream, insisting: engine memory hangs on it.
    pub(crate) async fn cancel(&self, endpoint: &Endpoint, ask: CancelAsk) {
        const ATTEMPTS: usize = 3;
        for _ in 0..ATTEMPTS {
            let Some(client) = self.rpc(endpoint) else { return };
            let called = tokio::time::timeout(CALL_TIMEOUT, client.cancel(ask.clone())).await;
            if matches!(called, Ok(Ok(_))) {
                return;
            }
        }
    }

    pub(crate) async fn set_list(&self, endpoint: &Endpoint, push: ListPush) -> Option<u64> {
        let client = self.rpc(endpoint)?;
        tokio::time::timeout(CALL_TIMEOUT, client.set_list(push)).await.ok()?.ok()
    }

    pub(crate) async fn status(&self, endpoint: &Endpoint) -> Option<AgentStatus> {
        let client = self.rpc(endpoint)?;
        tokio::time::timeout(CALL_TIMEOUT, client.status()).await.ok()?.ok()
    }

    pub(crate) async fn prefill(
        &self,
        endpoint: &Endpoint,
        order: &PrefillRun,
    ) -> Result<LineStream, HttpError> {
        self.http.stream(endpoint.stream, "/prefill", order, self.silent).await
    }

    pub(crate) async fn run(
        &self,
        endpoint: &Endpoint,
        order: &RunOrder,
    ) -> Result<LineStream, HttpError> {
        self.http.stream(endpoint.stream, "/run", order, self.silent).await
    }

    pub(crate) async fn attach(
        &self,
        endpoint: &Endpoint,
        order: &AttachOrder,
    ) -> Result<LineStream, HttpError> {
        let bound = self.silent + Duration::from_millis(order.wait_ms);
        self.http.stream(endpoint.stream, "/attach", order, bound).await
    }
}
