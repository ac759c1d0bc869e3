//! The control listener.

use std::sync::Arc;

use bulrushusher_admission::{Refusal, ReservationId};
use bulrushusher_once::ClaimReply;
use bulrushusher_wire::{
    AgentControlServer, AgentStatus, BarRequest, BarResponse, CancelRequest, ClaimRequest,
    EndpointListUpdate, Heartbeat, Reservation, ReserveReply, ReserveRequest,
};
use jsonrpsee::core::{RpcResult, async_trait};

use crate::agent::Shared;

/// Serves the control calls.
pub(crate) struct Control(pub(crate) Arc<Shared>);

#[async_trait]
impl AgentControlServer for Control {
    async fn reserve(&self, ask: ReserveRequest) -> RpcResult<ReserveReply> {
        let shared = &self.0;
        let in_doubt = ask.key.as_ref().is_some_and(|key| shared.keys.is_in_doubt(key));
        let granted = match in_doubt {
            true => Err(Refusal::CannotVouch),
            false => shared.desk.reserve(&ask).await,
        };
        let reserved = |grant: bulrushusher_admission::Grant| Reservation {
            id: grant.id,
            incarnation: shared.incarnation,
            time_to_live: shared.cfg.admission.time_to_live,
        };
        Ok(ReserveReply { outcome: granted.map(reserved), load: shared.desk.load() })
    }

    async fn release(&self, id: ReservationId) -> RpcResult<()> {
        self.0.desk.finish(id);
        Ok(())
    }

    async fn claim(&self, ask: ClaimRequest) -> RpcResult<ClaimReply> {
        Ok(self.0.keys.claim(&ask))
    }

    async fn bar(&self, asks: Vec<BarRequest>) -> RpcResult<Vec<BarResponse>> {
        Ok(asks.iter().map(|ask| self.0.keys.bar(ask)).collect())
    }

    async fn cancel(&self, ask: CancelRequest) -> RpcResult<bool> {
        Ok(self.0.keys.give_up(&ask.key, &ask.stream))
    }

    async fn set_list(&self, push: EndpointListUpdate) -> RpcResult<u64> {
        self.0.take_list(push);
        Ok(self.0.keys.revision())
    }

    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<AgentStatus> {
        self.0.keys.keep_alive(&beat.streams);
        Ok(self.0.status())
    }
}
