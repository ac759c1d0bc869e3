//! Control calls from an entry to an agent.

use bulrushusher_admission::{Refusal, ReservationId};
use bulrushusher_once::{Ballot, BarReply, ClaimReply, HomeBarReply, ServiceList};
use bulrushusher_time::Millis;
use bulrushusher_world::{Endpoint, EndpointName, EntryName, RequestKey, ServiceName};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

/// Load of an agent, included in its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Slots in use.
    pub used: u32,
    /// Slots in total.
    pub places: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Expected queueing time of a request that arrives now.
    pub expected_wait: Millis,
}

/// Request to reserve a slot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The entry that asks, for logs.
    pub entry: EntryName,
    /// Time from now within which the work must start to meet its target; 0 when the target is
    /// already missed.
    pub start_within: Millis,
    /// Time from now within which the work should start even when its target is missed.
    pub late_within: Millis,
    /// How long the entry waits for a slot.
    pub wait: Millis,
    /// The key to be executed there at [`Ballot::Home`]; `None` for a prefill, and for a key that
    /// was barred, whose order carries a higher ballot.
    pub key: Option<RequestKey>,
}

/// A reserved slot.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reservation {
    /// The reservation id to give in the order ([`crate::PrefillRun`] or [`crate::RunOrder`]).
    pub id: ReservationId,
    /// Incarnation of the agent that granted it; changes with every restart.
    pub incarnation: u64,
    /// How long the agent holds it before the order must arrive, by the agent's clock.
    pub time_to_live: Millis,
}

/// Reply to [`ReserveRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveReply {
    /// The reservation, or the reason for the refusal.
    pub outcome: Result<Reservation, Refusal>,
    /// The agent's load after this call.
    pub load: AgentLoad,
}

/// Request to a key's home endpoint to assign the key to an executor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: RequestKey,
    /// The endpoint that is to execute it.
    pub executor: EndpointName,
    /// The endpoint list revision that the entry uses.
    pub revision: u64,
}

/// Request to an agent to bar a key: to reject orders for it at lower ballots.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BarRequest {
    /// The key.
    pub key: RequestKey,
    /// The ballot.
    pub ballot: Ballot,
    /// The endpoint list revision that the entry uses.
    pub revision: u64,
}

/// Response to [`BarRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BarResponse {
    /// The agent's state of the key as an executor.
    pub reply: BarReply,
    /// The agent's state of the key as the key's home.
    pub home: HomeBarReply,
    /// The highest endpoint list revision that the agent has applied or received in a bar request.
    pub revision: u64,
}

/// Notifies an agent that an entry no longer reads the response of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The key.
    pub key: RequestKey,
    /// The abandoned stream, as named in its order.
    pub stream: String,
}

/// The current endpoint list of a service, sent by an entry to the service's agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// The service.
    pub service: ServiceName,
    /// The revision of the list, with the endpoints that may execute requests of the service.
    pub list: ServiceList,
    /// The service's endpoints, of all roles.
    pub endpoints: Vec<Endpoint>,
    /// Endpoints that were removed from the list within the retry horizon.
    pub departed: Vec<Endpoint>,
}

/// Identifies a stream that an entry reads from an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStreamId {
    /// The key whose response it carries.
    pub key: RequestKey,
    /// The stream name given in the order that opened it.
    pub stream: String,
}

/// Heartbeat of an entry: the streams that it still reads from the agent. A stream missing from
/// the heartbeats for longer than the agent's orphan timeout counts as abandoned, even if its
/// connection is still open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The streams being read.
    pub streams: Vec<OpenStreamId>,
}

/// Status of an agent, returned by the `heartbeat` control call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent's endpoint.
    pub endpoint: EndpointName,
    /// The agent's incarnation; changes with every restart.
    pub incarnation: u64,
    /// The endpoint list revision that it uses.
    pub revision: u64,
    /// True while it drains and takes no new work.
    pub leaving: bool,
    /// The agent's load.
    pub load: AgentLoad,
    /// Running and waiting requests as reported by its engine; the report lags behind.
    pub engine_load: (u32, u32),
}

/// JSON-RPC control calls served by every agent.
#[rpc(server, client, namespace = "agent")]
pub trait AgentControl {
    /// Reserves a slot; replies when it is granted or refused.
    #[method(name = "reserve")]
    async fn reserve(&self, ask: ReserveRequest) -> RpcResult<ReserveReply>;

    /// Releases a reservation.
    #[method(name = "release")]
    async fn release(&self, id: ReservationId) -> RpcResult<()>;

    /// Asks this agent, as the key's home, to assign the key to an executor.
    #[method(name = "claim")]
    async fn claim(&self, ask: ClaimRequest) -> RpcResult<ClaimReply>;

    /// Makes the agent reject orders at lower ballots for the given keys; one response per request,
    /// in the same sequence.
    #[method(name = "bar")]
    async fn bar(&self, asks: Vec<BarRequest>) -> RpcResult<Vec<BarResponse>>;

    /// Abandons a stream; true when it was open at this agent.
    #[method(name = "cancel")]
    async fn cancel(&self, ask: CancelRequest) -> RpcResult<bool>;

    /// Sends the endpoint list; returns the revision that the agent uses afterwards.
    #[method(name = "set_list")]
    async fn set_list(&self, push: EndpointListUpdate) -> RpcResult<u64>;

    /// Receives an entry's heartbeat; returns the agent's status.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<AgentStatus>;
}
