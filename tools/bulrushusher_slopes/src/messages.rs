//! Sizes of control messages: their JSON bodies, without HTTP headers.

use bulrushusher_admission::ReservationId;
use bulrushusher_once::{Ballot, Owner, ServiceList};
use bulrushusher_time::Millis;
use bulrushusher_wire::{
    AgentLoad, AgentStatus, BarRequest, ClaimRequest, EndpointListUpdate, Heartbeat, OpenStreamId,
    Reservation, ReserveReply, ReserveRequest,
};
use bulrushusher_world::{EndpointName, EntryName, RequestKey, ServiceName};
use serde::Serialize;

use crate::fit::Measurement;
use crate::state::endpoint;

/// Measures all messages.
pub fn all() -> Vec<Measurement> {
    vec![
        sizes("heartbeat, asked", "stream", [0, 10, 50, 110], heartbeat),
        sizes("heartbeat, answered", "message", [1, 1, 1, 1], |_| body(&status())),
        sizes("reservation, asked and answered", "message", [1, 1, 1, 1], |_| reservation()),
        sizes("claim, asked and answered", "message", [1, 1, 1, 1], |_| claim()),
        sizes("bar, asked", "key", [1, 5, 10, 20], bar),
        sizes("endpoint list of a service", "endpoint", [4, 20, 41, 82], list),
    ]
}

fn sizes(
    quantity: &'static str,
    per: &'static str,
    at: [usize; 4],
    size: impl Fn(usize) -> f64,
) -> Measurement {
    let points = at.into_iter().map(|count| (count as f64, size(count))).collect();
    Measurement { quantity, unit: "bytes", per, points }
}

fn body<T: Serialize>(message: &T) -> f64 {
    serde_json::to_vec(message).expect("messages serialize to JSON").len() as f64
}

fn key() -> RequestKey {
    RequestKey::try_from("01a237f0-596f-7233-bc46-25fab5104aac").expect("a valid key")
}

fn entry() -> EntryName {
    EntryName::try_from("tt-trnava-entry-17").expect("a valid name")
}

fn name() -> EndpointName {
    EndpointName::try_from("tt-trnava-decode-1234").expect("a valid name")
}

fn heartbeat(streams: usize) -> f64 {
    let stream = || "tt-trnava-entry-17-1f3a5c7e9b2d4f60-123456".to_owned();
    let streams = (0..streams).map(|_| OpenStreamId { key: key(), stream: stream() });
    body(&Heartbeat { streams: streams.collect() })
}

fn load() -> AgentLoad {
    AgentLoad { used: 19, places: 20, waiting: 3, expected_wait: Millis(140) }
}

fn status() -> AgentStatus {
    AgentStatus {
        endpoint: name(),
        incarnation: u64::MAX / 3,
        revision: 123_456,
        leaving: false,
        load: load(),
        engine_load: (19, 2),
    }
}

fn reservation() -> f64 {
    let request = ReserveRequest {
        entry: entry(),
        start_within: Millis(2_400),
        late_within: Millis(60_000),
        wait: Millis(1_000),
        key: Some(key()),
    };
    let reserved = Reservation {
        id: ReservationId(123_456),
        incarnation: u64::MAX / 3,
        time_to_live: Millis(2_000),
    };
    body(&request) + body(&ReserveReply { outcome: Ok(reserved), load: load() })
}

fn claim() -> f64 {
    let request = ClaimRequest { key: key(), executor: name(), revision: 123_456 };
    body(&request) + body(&bulrushusher_once::ClaimReply::Recorded)
}

fn bar(keys: usize) -> f64 {
    let owner = Owner { entry: entry(), incarnation: u64::MAX / 3, attempt: 123_456 };
    let request = BarRequest { key: key(), ballot: Ballot::Home.next(&owner), revision: 123_456 };
    body(&vec![request; keys])
}

fn list(endpoints: usize) -> f64 {
    let endpoints: Vec<_> = (0..endpoints).map(endpoint).collect();
    let executors = endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
    let list =
        ServiceList { revision: 123_456, previous: 123_455, executors, departed: Vec::new() };
    let service = ServiceName::try_from("model-1").expect("a valid name");
    body(&EndpointListUpdate { service, list, endpoints, departed: Vec::new() })
}
