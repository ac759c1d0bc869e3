//! What this entry and the agents know of each other: endpoint lists and heartbeats go out, load
//! comes back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_time::Millis;
use bulrushusher_world::{Endpoint, EndpointName};
use futures_util::future::join_all;

use crate::configuration::Configuration;
use crate::entry::Shared;

const TICK: Duration = Duration::from_millis(100);
/// Time between two heartbeats to an agent that this entry works with, or that does not hold its
/// list.
const BUSY_INTERVAL: Millis = Millis(500);
/// The same for other agents.
const IDLE_INTERVAL: Millis = Millis(5_000);

/// What is known of one agent.
#[derive(Clone, Copy, Debug, Default)]
struct View {
    /// The revision of the list that it holds.
    revision: u64,
    /// When the next heartbeat is due.
    due: Millis,
}

/// Hands the endpoint lists to the agents that do not hold them, sends heartbeats, hears the load.
pub(crate) async fn agent_loop(shared: Arc<Shared>) {
    let mut views: HashMap<EndpointName, View> = HashMap::new();
    loop {
        let _ = tokio::time::timeout(TICK, shared.list_changed.notified()).await;
        let configuration = shared.configuration.load_full();
        push_lists(&shared, &configuration, &mut views).await;
        send_heartbeats(&shared, &configuration, &mut views).await;
    }
}

async fn push_lists(
    shared: &Shared,
    configuration: &Configuration,
    views: &mut HashMap<EndpointName, View>,
) {
    let (now, horizon) = (shared.clock.now(), shared.cfg.horizon);
    for (service, list) in configuration.snapshot.list_revisions() {
        let lacks = |endpoint: &&Endpoint| {
            views.get(&endpoint.name).is_none_or(|view| view.revision < list.revision)
        };
        let behind = configuration.known(service, now, horizon);
        let behind: Vec<&Endpoint> = behind.into_iter().filter(lacks).collect();
        if behind.is_empty() {
            continue;
        }
        let push = configuration.push(service, now, horizon);
        let pushed = behind.iter().map(|endpoint| shared.agents.set_list(endpoint, push.clone()));
        for (endpoint, answer) in behind.iter().zip(join_all(pushed).await) {
            if let Some(revision) = answer {
                views.entry(endpoint.name.clone()).or_default().revision = revision;
            }
        }
    }
}

async fn send_heartbeats(
    shared: &Shared,
    configuration: &Configuration,
    views: &mut HashMap<EndpointName, View>,
) {
    let now = shared.clock.now();
    let is_due =
        |endpoint: &&Endpoint| views.get(&endpoint.name).is_none_or(|view| view.due <= now);
    let all = configuration.snapshot.endpoints().map(|(_, endpoint)| endpoint);
    let due: Vec<&Endpoint> = all.filter(is_due).collect();
    let beats = due.iter().map(|endpoint| {
        let beat = shared.streams.heartbeat(&endpoint.name);
        shared.agents.heartbeat(endpoint, beat)
    });
    for (endpoint, status) in due.iter().zip(join_all(beats).await) {
        let view = views.entry(endpoint.name.clone()).or_default();
        let busy = shared.table.lock().recently_used(&endpoint.name, now);
        view.due = now.plus(if busy { BUSY_INTERVAL } else { IDLE_INTERVAL });
        match status {
            Some(status) => {
                shared.hear(&endpoint.name, status.load);
                let (running, waiting) = status.engine_load;
                shared.table.lock().update_engine_load(&endpoint.name, running + waiting);
                view.revision = status.revision;
            }
            None => *view = View { revision: 0, due: now.plus(BUSY_INTERVAL) },
        }
    }
}
