//! The control calls that entries make to this agent: reservations of slots, claims and bars of
//! idempotency keys, cancellation, endpoint lists and heartbeats.

use std::sync::Arc;

use bulrushusher_admission::{Refusal, ReservationId};
use bulrushusher_once::ClaimReply;
use bulrushusher_wire::{
    AgentControlServer, AgentStatus, BarRequest, BarResponse, CancelRequest, ClaimRequest,
    EndpointListUpdate, Heartbeat, Reservation, ReserveReply, ReserveRequest,
};
use jsonrpsee::core::{RpcResult, async_trait};

use crate::agent::Shared;

/// Serves the control calls of entries.
pub(crate) struct Control(pub(crate) Arc<Shared>);

#[async_trait]
impl AgentControlServer for Control {
    async fn reserve(&self, req: ReserveRequest) -> RpcResult<ReserveReply> {
        let shared = &self.0;
        let in_doubt = req.key.as_ref().is_some_and(|key| shared.keys.is_in_doubt(key));
        let outcome = match in_doubt {
            true => Err(Refusal::CannotVouch),
            false => shared.slots.reserve(&req).await,
        };
        let reservation = |grant: bulrushusher_admission::Grant| Reservation {
            id: grant.id,
            incarnation: shared.incarnation,
            time_to_live: shared.cfg.admission.time_to_live,
        };
        Ok(ReserveReply { outcome: outcome.map(reservation), load: shared.slots.current_load() })
    }

    async fn release(&self, id: ReservationId) -> RpcResult<()> {
        self.0.slots.release(id);
        Ok(())
    }

    async fn claim(&self, req: ClaimRequest) -> RpcResult<ClaimReply> {
        Ok(self.0.keys.claim(&req))
    }

    async fn bar(&self, reqs: Vec<BarRequest>) -> RpcResult<Vec<BarResponse>> {
        Ok(reqs.iter().map(|req| self.0.keys.bar(req)).collect())
    }

    async fn cancel(&self, req: CancelRequest) -> RpcResult<bool> {
        Ok(self.0.keys.abandon_stream(&req.key, &req.stream))
    }

    async fn set_list(&self, update: EndpointListUpdate) -> RpcResult<u64> {
        self.0.apply_list(update);
        Ok(self.0.keys.revision())
    }

    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<AgentStatus> {
        self.0.keys.keep_alive(&heartbeat.streams);
        Ok(self.0.status())
    }
}
