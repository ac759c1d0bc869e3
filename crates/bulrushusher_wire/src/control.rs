//! Control calls from an entry to an agent.

use bulrushusher_admission::{Refusal, ReservationId};
use bulrushusher_once::{Ballot, BarReply, ClaimReply, HomeBarReply, ServiceList};
use bulrushusher_time::Millis;
use bulrushusher_world::{Endpoint, EndpointName, EntryName, RequestKey, ServiceName};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

/// Load of an agent, sent along with its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Places held.
    pub used: u32,
    /// Places in all.
    pub places: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Expected wait of a request that comes now.
    pub expected_wait: Millis,
}

/// Asks for a place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveAsk {
    /// Who asks, for logs.
    pub entry: EntryName,
    /// The work should start within this time from now to meet its target; 0 when it is missed.
    pub start_within: Millis,
    /// The work should start within this time from now even when its target is missed.
    pub late_within: Millis,
    /// How long the asker waits for a place.
    pub wait: Millis,
    /// The key that shall run there at the ballot of its home; `None` for a prefill, and for a key
    /// that was barred.
    pub key: Option<RequestKey>,
}

/// A place held.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reserved {
    /// Which reservation to name in the order.
    pub id: ReservationId,
    /// Which life of the agent granted it.
    pub incarnation: u64,
    /// How long it is held for its order, on the agent's clock.
    pub time_to_live: Millis,
}

/// The answer to [`ReserveAsk`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveReply {
    /// The place, or why there is none.
    pub outcome: Result<Reserved, Refusal>,
    /// The agent's load after this call.
    pub load: AgentLoad,
}

/// Asks a key's home to give the key to an executor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The key.
    pub key: RequestKey,
    /// The endpoint that shall run it.
    pub executor: EndpointName,
    /// The entry's revision of the endpoint list.
    pub revision: u64,
}

/// Asks an agent to refuse lower ballots for a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BarAsk {
    /// The key.
    pub key: RequestKey,
    /// The ballot.
    pub ballot: Ballot,
    /// The entry's revision of the endpoint list.
    pub revision: u64,
}

/// The answer to [`BarAsk`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BarAnswer {
    /// What the agent knows as an executor.
    pub reply: BarReply,
    /// What the agent knows as a home.
    pub home: HomeBarReply,
    /// The highest revision of the endpoint list that the agent holds or heard of in a bar.
    pub revision: u64,
}

/// Tells an agent that an entry no longer wants a key's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelAsk {
    /// The key.
    pub key: RequestKey,
    /// The stream that is given up, as named in its order.
    pub stream: String,
}

/// The endpoint list of a service in force, sent by an entry to that service's agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListPush {
    /// The service.
    pub service: ServiceName,
    /// The list, as far as running keys goes.
    pub list: ServiceList,
    /// The service's endpoints, of every role.
    pub endpoints: Vec<Endpoint>,
    /// Endpoints taken out of the list within the retry horizon.
    pub departed: Vec<Endpoint>,
}

/// A stream that an entry reads at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStreamName {
    /// The key whose answer it carries.
    pub key: RequestKey,
    /// Its name, as in the order that opened it.
    pub stream: String,
}

/// A heartbeat of an entry: the streams that it still reads at the agent. A stream that is not
/// named for the agent's orphan bound counts as gone, whatever its connection looks like.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The streams.
    pub streams: Vec<OpenStreamName>,
}

/// What an agent tells of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Its endpoint.
    pub endpoint: EndpointName,
    /// Which life of the agent answers.
    pub incarnation: u64,
    /// Its revision of the endpoint list.
    pub revision: u64,
    /// True when it takes no new work.
    pub leaving: bool,
    /// Its load.
    pub load: AgentLoad,
    /// What its engine reports of its own load, late: running and waiting.
    pub engine_load: (u32, u32),
}

/// Control calls that every agent serves.
#[rpc(server, client, namespace = "agent")]
pub trait AgentControl {
    /// Asks for a place; answers when it is granted or refused.
    #[method(name = "reserve")]
    async fn reserve(&self, ask: ReserveAsk) -> RpcResult<ReserveReply>;

    /// Gives a place back.
    #[method(name = "release")]
    async fn release(&self, id: ReservationId) -> RpcResult<()>;

    /// Asks the key's home to give it to an executor.
    #[method(name = "claim")]
    async fn claim(&self, ask: ClaimAsk) -> RpcResult<ClaimReply>;

    /// Bars keys.
    #[method(name = "bar")]
    async fn bar(&self, asks: Vec<BarAsk>) -> RpcResult<Vec<BarAnswer>>;

    /// Gives up a stream; true when it was open here.
    #[method(name = "cancel")]
    async fn cancel(&self, ask: CancelAsk) -> RpcResult<bool>;

    /// Hands over the endpoint list; answers the revision held after it.
    #[method(name = "set_list")]
    async fn set_list(&self, push: ListPush) -> RpcResult<u64>;

    /// Takes an entry's heartbeat; tells the agent's state.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<AgentStatus>;
}
