//! Guards that release an agent's resources when a request ends, fails or is dropped.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bulrushusher_routing::Chosen;
use bulrushusher_wire::{CancelRequest, Heartbeat, OpenStreamId, Reservation};
use bulrushusher_world::{Endpoint, EndpointName, RequestKey};
use parking_lot::Mutex;

use crate::entry::Shared;

/// A slot reserved at an agent; released on drop, unless its order was sent.
pub(crate) struct ReservedSlot {
    shared: Arc<Shared>,
    pub(crate) chosen: Chosen,
    pub(crate) reservation: Reservation,
    order_sent: bool,
}

impl ReservedSlot {
    pub(crate) fn new(
        shared: &Arc<Shared>,
        chosen: Chosen,
        reservation: Reservation,
    ) -> ReservedSlot {
        shared.table.lock().record_sent(&chosen, shared.clock.now());
        ReservedSlot { shared: Arc::clone(shared), chosen, reservation, order_sent: false }
    }

    /// Records that the order for the slot is being sent. The agent then releases the slot itself.
    pub(crate) fn mark_order_sent(&mut self) {
        self.order_sent = true;
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        self.shared.table.lock().record_done(&self.chosen);
        if self.order_sent {
            return;
        }
        let (shared, id) = (Arc::clone(&self.shared), self.reservation.id);
        let endpoint = self.chosen.endpoint.clone();
        tokio::spawn(async move { shared.agents.release(&endpoint, id).await });
    }
}

/// The streams that this entry reads, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    open: Mutex<HashMap<EndpointName, BTreeMap<String, RequestKey>>>,
}

impl Streams {
    fn insert(&self, endpoint: &Endpoint, key: &RequestKey, stream: &str) {
        let mut open = self.open.lock();
        let streams = open.entry(endpoint.name.clone()).or_default();
        streams.insert(stream.to_owned(), key.clone());
    }

    fn remove(&self, endpoint: &Endpoint, stream: &str) {
        let mut open = self.open.lock();
        let Some(streams) = open.get_mut(&endpoint.name) else { return };
        streams.remove(stream);
        if streams.is_empty() {
            open.remove(&endpoint.name);
        }
    }

    /// Returns the heartbeat to send to an endpoint.
    pub(crate) fn heartbeat(&self, endpoint: &EndpointName) -> Heartbeat {
        let open = self.open.lock();
        let streams = open.get(endpoint).into_iter().flatten();
        let id = |(stream, key): (&String, &RequestKey)| OpenStreamId {
            key: key.clone(),
            stream: stream.clone(),
        };
        Heartbeat { streams: streams.map(id).collect() }
    }
}

/// A stream open at an agent; cancelled if it is dropped before its end.
pub(crate) struct OpenStream {
    shared: Arc<Shared>,
    endpoint: Endpoint,
    key: RequestKey,
    pub(crate) name: String,
    ended: bool,
}

impl OpenStream {
    pub(crate) fn new(shared: &Arc<Shared>, endpoint: &Endpoint, key: &RequestKey) -> OpenStream {
        let name = shared.unique_name();
        shared.streams.insert(endpoint, key, &name);
        OpenStream {
            shared: Arc::clone(shared),
            endpoint: endpoint.clone(),
            key: key.clone(),
            name,
            ended: false,
        }
    }

    /// Records that the stream has ended, so that it is not cancelled on drop.
    pub(crate) fn mark_ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.shared.streams.remove(&self.endpoint, &self.name);
        if self.ended {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let endpoint = self.endpoint.clone();
        let req = CancelRequest { key: self.key.clone(), stream: self.name.clone() };
        tokio::spawn(async move { shared.agents.cancel(&endpoint, req).await });
    }
}
