//! Periodic synchronization with the agents: the entry sends endpoint lists and heartbeats, and
//! receives load reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_time::Millis;
use bulrushusher_world::{Endpoint, EndpointName};
use futures_util::future::join_all;

use crate::configuration::Configuration;
use crate::entry::Shared;

/// Maximum time until changed lists are sent and due heartbeats are found.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of heartbeats to an agent that this entry has recently used, or that did not reply to
/// the last one.
const ACTIVE_INTERVAL: Millis = Millis(500);
/// Interval of heartbeats to other agents.
const IDLE_INTERVAL: Millis = Millis(5_000);

/// State of one agent as last reported.
#[derive(Clone, Copy, Debug, Default)]
struct AgentState {
    /// The revision of the endpoint list that the agent uses.
    revision: u64,
    /// When the next heartbeat is due.
    next_heartbeat: Millis,
}

/// Sends the endpoint lists to agents that have older ones, sends heartbeats, and records the load
/// in the replies.
pub(crate) async fn sync_agents(shared: Arc<Shared>) {
    let mut states: HashMap<EndpointName, AgentState> = HashMap::new();
    loop {
        let _ = tokio::time::timeout(POLL_INTERVAL, shared.list_changed.notified()).await;
        let configuration = shared.configuration.load_full();
        send_lists(&shared, &configuration, &mut states).await;
        send_heartbeats(&shared, &configuration, &mut states).await;
    }
}

async fn send_lists(
    shared: &Shared,
    configuration: &Configuration,
    states: &mut HashMap<EndpointName, AgentState>,
) {
    let (now, horizon) = (shared.clock.now(), shared.cfg.horizon);
    for (service, list) in configuration.snapshot.list_revisions() {
        let is_behind = |endpoint: &&Endpoint| {
            states.get(&endpoint.name).is_none_or(|state| state.revision < list.revision)
        };
        let behind = configuration.list_recipients(service, now, horizon);
        let behind: Vec<&Endpoint> = behind.into_iter().filter(is_behind).collect();
        if behind.is_empty() {
            continue;
        }
        let update = configuration.list_update(service, now, horizon);
        let calls = behind.iter().map(|endpoint| shared.agents.set_list(endpoint, update.clone()));
        for (endpoint, answer) in behind.iter().zip(join_all(calls).await) {
            if let Some(revision) = answer {
                states.entry(endpoint.name.clone()).or_default().revision = revision;
            }
        }
    }
}

async fn send_heartbeats(
    shared: &Shared,
    configuration: &Configuration,
    states: &mut HashMap<EndpointName, AgentState>,
) {
    let now = shared.clock.now();
    let is_due = |endpoint: &&Endpoint| {
        states.get(&endpoint.name).is_none_or(|state| state.next_heartbeat <= now)
    };
    let all = configuration.snapshot.endpoints().map(|(_, endpoint)| endpoint);
    let due: Vec<&Endpoint> = all.filter(is_due).collect();
    let calls = due.iter().map(|endpoint| {
        let heartbeat = shared.streams.heartbeat(&endpoint.name);
        shared.agents.heartbeat(endpoint, heartbeat)
    });
    for (endpoint, status) in due.iter().zip(join_all(calls).await) {
        let state = states.entry(endpoint.name.clone()).or_default();
        let is_active = shared.table.lock().recently_used(&endpoint.name, now);
        state.next_heartbeat = now.plus(if is_active { ACTIVE_INTERVAL } else { IDLE_INTERVAL });
        match status {
            Some(status) => {
                shared.record_load(&endpoint.name, status.load);
                let (running, waiting) = status.engine_load;
                shared.table.lock().update_engine_load(&endpoint.name, running + waiting);
                state.revision = status.revision;
            }
            None => *state = AgentState { revision: 0, next_heartbeat: now.plus(ACTIVE_INTERVAL) },
        }
    }
}
