//! The configuration in force at this entry, and the loops that keep it so.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_platform::{Snapshot, StoredObject};
use bulrushusher_time::Millis;
use bulrushusher_wire::ListPush;
use bulrushusher_world::{
    ClassName, ClientAccount, ClientAccountName, DeliverableClass, Endpoint, EndpointName,
    Patience, Repeat, Role, ServiceName,
};
use futures_util::future::join_all;

use crate::LOG;
use crate::entry::Shared;

const STORE_PAUSE: Duration = Duration::from_millis(250);
const AGENT_TICK: Duration = Duration::from_millis(250);

/// A snapshot of the store, with what requests ask of it.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    pub(crate) snapshot: Snapshot,
    /// When this entry learned the present endpoint list.
    pub(crate) list_learned: Millis,
}

impl Configuration {
    /// True when the service is a model with a prefill pool and a decode pool.
    pub(crate) fn serves_prompts(&self, service: &ServiceName) -> bool {
        self.has_role(service, Role::Prefill) && self.has_role(service, Role::Decode)
    }

    /// True when the service is a plain one.
    pub(crate) fn serves_calls(&self, service: &ServiceName) -> bool {
        self.has_role(service, Role::Service)
    }

    fn has_role(&self, service: &ServiceName, role: Role) -> bool {
        self.snapshot.endpoints().any(|(_, e)| e.service == *service && e.role == role)
    }

    /// The endpoints that may run keys of a service: every one that decodes or serves calls.
    pub(crate) fn executors(&self, service: &ServiceName) -> Vec<Endpoint> {
        let runs = |e: &Endpoint| matches!(e.role, Role::Decode | Role::Service);
        let all = self.snapshot.endpoints().map(|(_, endpoint)| endpoint);
        all.filter(|e| e.service == *service && runs(e)).cloned().collect()
    }

    pub(crate) fn endpoint(&self, name: &EndpointName) -> Option<Endpoint> {
        self.snapshot.endpoints().map(|(_, e)| e).find(|e| e.name == *name).cloned()
    }

    /// A class by name, of a closing that is open for the service.
    pub(crate) fn class(
        &self,
        service: &ServiceName,
        name: &ClassName,
        now: Millis,
    ) -> Option<DeliverableClass> {
        let open = self.snapshot.closings().map(|(_, closing)| closing);
        let mut open = open.filter(|c| c.is_open(now) && c.services.contains(service));
        open.find_map(|closing| closing.class(name)).cloned()
    }

    /// The class of requests that name none: somebody may wait, and it may not run twice.
    pub(crate) fn default_class(&self, _service: &ServiceName, _now: Millis) -> DeliverableClass {
        const TTFT: Millis = Millis(600);
        const PER_TOKEN: Millis = Millis(71);
        const DEADLINE: Millis = Millis(60_000);
        DeliverableClass {
            name: ClassName::try_from("default").expect("a literal name"),
            patience: Patience::Interactive,
            repeat: Repeat::NonIdempotent,
            ttft: TTFT,
            per_token: PER_TOKEN,
            deadline: DEADLINE,
        }
    }

    pub(crate) fn account(&self, name: &ClientAccountName) -> Option<&ClientAccount> {
        self.snapshot.account(name.as_str())
    }
}

/// Applies objects; true when something changed.
pub(crate) fn apply(shared: &Shared, objects: &[StoredObject]) -> bool {
    let _one_at_a_time = shared.configuring.lock();
    let held = shared.configuration.load_full();
    let mut snapshot = held.snapshot.clone();
    let mut changed = false;
    for object in objects {
        match snapshot.apply(object) {
            Ok(applied) => changed |= applied,
            Err(e) => log::error!("{LOG} {} is not valid and was left out: {e}", object.key),
        }
    }
    if !changed {
        return false;
    }
    let list_changed = snapshot.endpoints_revision > held.snapshot.endpoints_revision;
    let list_learned = if list_changed { shared.clock.now() } else { held.list_learned };
    if list_changed {
        let endpoints = snapshot.endpoints().map(|(_, endpoint)| endpoint.clone()).collect();
        shared.table.lock().set_endpoints(endpoints);
        shared.list_changed.notify_one();
    }
    log::info!("{LOG} configuration of revision {} is in force", snapshot.revision);
    shared.configuration.store(Arc::new(Configuration { snapshot, list_learned }));
    true
}

/// Follows the store for as long as the entry lives. The store being down changes nothing.
pub(crate) async fn store_loop(shared: Arc<Shared>) {
    let mut after = 0;
    let mut was_up = true;
    loop {
        let heard = match after {
            0 => shared.store.list().await.map(|(_, objects)| objects),
            after => shared.store.watch(after).await,
        };
        let is_up = heard.is_ok();
        shared.set_store_up(is_up);
        match heard {
            Ok(objects) => {
                after = objects.iter().map(|object| object.revision).fold(after, u64::max);
                apply(&shared, &objects);
            }
            Err(e) if was_up => log::warn!("{LOG} configuration stays as it is: {e}"),
            Err(_) => {}
        }
        was_up = is_up;
        if !is_up || after == 0 {
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }
}

/// Hands the endpoint list to the agents that do not hold it, and hears their load.
pub(crate) async fn agent_loop(shared: Arc<Shared>) {
    let mut held: HashMap<EndpointName, u64> = HashMap::new();
    loop {
        let _ = tokio::time::timeout(AGENT_TICK, shared.list_changed.notified()).await;
        let configuration = shared.configuration.load_full();
        let revision = configuration.snapshot.endpoints_revision;
        let endpoints: Vec<Endpoint> =
            configuration.snapshot.endpoints().map(|(_, endpoint)| endpoint.clone()).collect();
        let behind: Vec<Endpoint> =
            endpoints.iter().filter(|e| held.get(&e.name) != Some(&revision)).cloned().collect();
        let pushes = behind.iter().map(|endpoint| {
            let push = ListPush { revision, endpoints: endpoints.clone() };
            shared.agents.set_list(endpoint, push)
        });
        let pushed = join_all(pushes).await;
        for (endpoint, answer) in behind.iter().zip(pushed) {
            if let Some(revision) = answer {
                held.insert(endpoint.name.clone(), revision);
            }
        }
        let heard = join_all(endpoints.iter().map(|e| shared.agents.status(e))).await;
        for (endpoint, status) in endpoints.iter().zip(heard) {
            match status {
                Some(status) => {
                    shared.hear(&endpoint.name, status.load);
                    let (running, waiting) = status.engine_load;
                    shared.table.lock().hear_engine(&endpoint.name, running + waiting);
                    held.insert(endpoint.name.clone(), status.revision);
                }
                None => drop(held.remove(&endpoint.name)),
            }
        }
    }
}
