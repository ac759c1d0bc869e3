//! What must be given back when a request ends, however it ends.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bulrushusher_routing::Chosen;
use bulrushusher_wire::{CancelRequest, Heartbeat, OpenStreamId, Reservation};
use bulrushusher_world::{Endpoint, EndpointName, RequestKey};
use parking_lot::Mutex;

use crate::entry::Shared;

/// A place held at an agent; released when dropped, unless its order was sent.
pub(crate) struct HeldPlace {
    shared: Arc<Shared>,
    pub(crate) chosen: Chosen,
    pub(crate) reserved: Reservation,
    ordered: bool,
}

impl HeldPlace {
    pub(crate) fn new(shared: &Arc<Shared>, chosen: Chosen, reserved: Reservation) -> HeldPlace {
        shared.table.lock().record_sent(&chosen, shared.clock.now());
        HeldPlace { shared: Arc::clone(shared), chosen, reserved, ordered: false }
    }

    /// The order for the place was sent: the agent frees it from now on.
    pub(crate) fn ordered(&mut self) {
        self.ordered = true;
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.shared.table.lock().record_done(&self.chosen);
        if self.ordered {
            return;
        }
        let (shared, id) = (Arc::clone(&self.shared), self.reserved.id);
        let endpoint = self.chosen.endpoint.clone();
        tokio::spawn(async move { shared.agents.release(&endpoint, id).await });
    }
}

/// The streams that this entry reads, per endpoint.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    open: Mutex<HashMap<EndpointName, BTreeMap<String, RequestKey>>>,
}

impl Streams {
    fn opened(&self, endpoint: &Endpoint, key: &RequestKey, stream: &str) {
        let mut open = self.open.lock();
        let streams = open.entry(endpoint.name.clone()).or_default();
        streams.insert(stream.to_owned(), key.clone());
    }

    fn closed(&self, endpoint: &Endpoint, stream: &str) {
        let mut open = self.open.lock();
        let Some(streams) = open.get_mut(&endpoint.name) else { return };
        streams.remove(stream);
        if streams.is_empty() {
            open.remove(&endpoint.name);
        }
    }

    /// The heartbeat for an endpoint.
    pub(crate) fn heartbeat(&self, endpoint: &EndpointName) -> Heartbeat {
        let open = self.open.lock();
        let streams = open.get(endpoint).into_iter().flatten();
        let name = |(stream, key): (&String, &RequestKey)| OpenStreamId {
            key: key.clone(),
            stream: stream.clone(),
        };
        Heartbeat { streams: streams.map(name).collect() }
    }
}

/// A stream open at an agent; given up when dropped before its end.
pub(crate) struct OpenStream {
    shared: Arc<Shared>,
    endpoint: Endpoint,
    key: RequestKey,
    pub(crate) name: String,
    ended: bool,
}

impl OpenStream {
    pub(crate) fn new(shared: &Arc<Shared>, endpoint: &Endpoint, key: &RequestKey) -> OpenStream {
        let name = shared.unique();
        shared.streams.opened(endpoint, key, &name);
        OpenStream {
            shared: Arc::clone(shared),
            endpoint: endpoint.clone(),
            key: key.clone(),
            name,
            ended: false,
        }
    }

    /// The stream came to its end.
    pub(crate) fn ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.shared.streams.closed(&self.endpoint, &self.name);
        if self.ended {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let endpoint = self.endpoint.clone();
        let ask = CancelRequest { key: self.key.clone(), stream: self.name.clone() };
        tokio::spawn(async move { shared.agents.cancel(&endpoint, ask).await });
    }
}
