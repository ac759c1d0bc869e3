//! The configuration in force at this entry, and the loops that keep it so.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_once::{ListView, ServiceList};
use bulrushusher_store::{ListRevision, Snapshot, StoredObject};
use bulrushusher_time::Millis;
use bulrushusher_wire::EndpointListUpdate;
use bulrushusher_world::{
    ClassName, ClientAccount, ClientAccountName, DeliverableClass, Endpoint, EndpointName,
    Patience, Repeat, Role, ServiceName,
};

use crate::LOG;
use crate::entry::Shared;

const STORE_PAUSE: Duration = Duration::from_millis(250);

/// A snapshot of the store, with what requests ask of it.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    pub(crate) snapshot: Snapshot,
    /// When this entry learned the present endpoint list of each service.
    pub(crate) lists_learned: BTreeMap<ServiceName, Millis>,
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

    /// The endpoint list of a service, as far as running keys goes.
    pub(crate) fn list_view(
        &self,
        service: &ServiceName,
        now: Millis,
        horizon: Millis,
    ) -> ListView {
        let ServiceList { revision, executors, departed, .. } = self.list(service, now, horizon);
        let learned = self.lists_learned.get(service).copied().unwrap_or_default();
        ListView { revision, executors, departed, learned }
    }

    fn list(&self, service: &ServiceName, now: Millis, horizon: Millis) -> ServiceList {
        let runs = |e: &&Endpoint| matches!(e.role, Role::Decode | Role::Service);
        let names = |endpoints: Vec<&Endpoint>| {
            endpoints.into_iter().filter(runs).map(|e| e.name.clone()).collect()
        };
        let ListRevision { revision, previous } = self.snapshot.list_revision(service);
        ServiceList {
            revision,
            previous,
            executors: names(self.present(service)),
            departed: names(self.departed(service, now, horizon)),
        }
    }

    fn present(&self, service: &ServiceName) -> Vec<&Endpoint> {
        let all = self.snapshot.endpoints().map(|(_, endpoint)| endpoint);
        all.filter(|endpoint| endpoint.service == *service).collect()
    }

    fn departed(&self, service: &ServiceName, now: Millis, horizon: Millis) -> Vec<&Endpoint> {
        let recent = self.snapshot.removed_endpoints().filter(|(_, at)| now.since(*at) <= horizon);
        let all = recent.map(|(endpoint, _)| endpoint);
        all.filter(|endpoint| endpoint.service == *service).collect()
    }

    /// Endpoints of a service, present and departed: all that must know its list.
    pub(crate) fn known(
        &self,
        service: &ServiceName,
        now: Millis,
        horizon: Millis,
    ) -> Vec<&Endpoint> {
        let mut known = self.present(service);
        known.extend(self.departed(service, now, horizon));
        known
    }

    /// What the agents of a service must know of its list.
    pub(crate) fn push(
        &self,
        service: &ServiceName,
        now: Millis,
        horizon: Millis,
    ) -> EndpointListUpdate {
        let owned = |endpoints: Vec<&Endpoint>| endpoints.into_iter().cloned().collect();
        EndpointListUpdate {
            service: service.clone(),
            list: self.list(service, now, horizon),
            endpoints: owned(self.present(service)),
            departed: owned(self.departed(service, now, horizon)),
        }
    }

    /// An endpoint of that name, present or departed.
    pub(crate) fn known_endpoint(&self, name: &EndpointName) -> Option<Endpoint> {
        self.snapshot
            .endpoint_including_removed(name.as_str())
            .map(|(_, endpoint)| endpoint.clone())
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
    pub(crate) fn default_class() -> DeliverableClass {
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
        self.snapshot.account(name.as_str()).map(|(_, account)| account)
    }
}

/// Applies objects; true when something changed.
pub(crate) fn apply(shared: &Shared, objects: &[StoredObject]) -> bool {
    let _one_at_a_time = shared.configuring.lock();
    let held = shared.configuration.load_full();
    let mut snapshot = held.snapshot.clone();
    let mut in_order: Vec<&StoredObject> = objects.iter().collect();
    in_order.sort_by_key(|object| object.revision);
    let mut changed = 0;
    for object in in_order {
        match snapshot.apply(object) {
            Ok(applied) => changed += usize::from(applied),
            Err(e) => log::error!("{LOG} {} is not valid and was left out: {e}", object.key),
        }
    }
    if changed == 0 {
        return false;
    }
    if changed > 1 {
        // The lists in between were never in force here; others may have seen them.
        snapshot.reset_previous_revisions();
    }
    let now = shared.clock.now();
    let mut lists_learned = held.lists_learned.clone();
    let mut list_changed = false;
    for (service, list) in snapshot.list_revisions() {
        if list.revision > held.snapshot.list_revision(service).revision {
            lists_learned.insert(service.clone(), now);
            list_changed = true;
        }
    }
    if list_changed {
        let endpoints = snapshot.endpoints().map(|(_, endpoint)| endpoint.clone()).collect();
        shared.table.lock().set_endpoints(endpoints);
        shared.list_changed.notify_one();
    }
    log::info!("{LOG} configuration of revision {} is in force", snapshot.revision);
    shared.configuration.store(Arc::new(Configuration { snapshot, lists_learned }));
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
