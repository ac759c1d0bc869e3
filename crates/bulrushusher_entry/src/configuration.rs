//! The configuration in force at this entry, and the task that keeps it up to date.

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

/// Pause before the next call to the store, after a failure or while the store is empty.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A snapshot of the store, with the lookups that requests need.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    pub(crate) snapshot: Snapshot,
    /// When this entry received the present endpoint list of each service.
    pub(crate) lists_received_at: BTreeMap<ServiceName, Millis>,
}

impl Configuration {
    /// True if the service is a model with a prefill pool and a decode pool.
    pub(crate) fn serves_prompts(&self, service: &ServiceName) -> bool {
        self.has_role(service, Role::Prefill) && self.has_role(service, Role::Decode)
    }

    /// True if the service answers plain calls: one endpoint answers each whole request, without
    /// separate prefill and decode.
    pub(crate) fn serves_calls(&self, service: &ServiceName) -> bool {
        self.has_role(service, Role::Service)
    }

    fn has_role(&self, service: &ServiceName, role: Role) -> bool {
        self.snapshot.endpoints().any(|(_, e)| e.service == *service && e.role == role)
    }

    /// The endpoints of a service that may execute requests, as needed to settle which of them
    /// executes an idempotency key.
    pub(crate) fn list_view(
        &self,
        service: &ServiceName,
        now: Millis,
        horizon: Millis,
    ) -> ListView {
        let ServiceList { revision, executors, departed, .. } = self.list(service, now, horizon);
        let received_at = self.lists_received_at.get(service).copied().unwrap_or_default();
        ListView { revision, executors, departed, learned: received_at }
    }

    fn list(&self, service: &ServiceName, now: Millis, horizon: Millis) -> ServiceList {
        let is_executor = |e: &&Endpoint| matches!(e.role, Role::Decode | Role::Service);
        let names = |endpoints: Vec<&Endpoint>| {
            endpoints.into_iter().filter(is_executor).map(|e| e.name.clone()).collect()
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

    /// The endpoints whose agents receive the list of a service: present and departed ones.
    pub(crate) fn list_recipients(
        &self,
        service: &ServiceName,
        now: Millis,
        horizon: Millis,
    ) -> Vec<&Endpoint> {
        let mut recipients = self.present(service);
        recipients.extend(self.departed(service, now, horizon));
        recipients
    }

    /// The endpoint list update for the agents of a service.
    pub(crate) fn list_update(
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

    /// The endpoint of that name, present or departed.
    pub(crate) fn known_endpoint(&self, name: &EndpointName) -> Option<Endpoint> {
        self.snapshot
            .endpoint_including_removed(name.as_str())
            .map(|(_, endpoint)| endpoint.clone())
    }

    /// The class of that name in a closing of the service that is open at `now`.
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

    /// The class of requests that name none. It assumes that a user is waiting and that the request
    /// is not idempotent.
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

/// Applies stored objects to the configuration; returns true if it changed.
pub(crate) fn apply_objects(shared: &Shared, objects: &[StoredObject]) -> bool {
    let _guard = shared.configuration_lock.lock();
    let current = shared.configuration.load_full();
    let mut snapshot = current.snapshot.clone();
    let mut in_order: Vec<&StoredObject> = objects.iter().collect();
    in_order.sort_by_key(|object| object.revision);
    let mut changed = 0;
    for object in in_order {
        match snapshot.apply(object) {
            Ok(applied) => changed += usize::from(applied),
            Err(e) => log::error!("{LOG} {} is invalid and was not applied: {e}", object.key),
        }
    }
    if changed == 0 {
        return false;
    }
    if changed > 1 {
        // The intermediate lists were never in force here, but may have been at other processes.
        snapshot.reset_previous_revisions();
    }
    let now = shared.clock.now();
    let mut lists_received_at = current.lists_received_at.clone();
    let mut list_changed = false;
    for (service, list) in snapshot.list_revisions() {
        if list.revision > current.snapshot.list_revision(service).revision {
            lists_received_at.insert(service.clone(), now);
            list_changed = true;
        }
    }
    if list_changed {
        let endpoints = snapshot.endpoints().map(|(_, endpoint)| endpoint.clone()).collect();
        shared.table.lock().set_endpoints(endpoints);
        shared.list_changed.notify_one();
    }
    log::info!("{LOG} configuration revision {} is in force", snapshot.revision);
    shared.configuration.store(Arc::new(Configuration { snapshot, lists_received_at }));
    true
}

/// Follows the store until the task is aborted. The configuration in force stays while the store is
/// unavailable.
pub(crate) async fn watch_store(shared: Arc<Shared>) {
    let mut after = 0;
    let mut was_up = true;
    loop {
        let result = match after {
            0 => shared.store.list().await.map(|(_, objects)| objects),
            after => shared.store.watch(after).await,
        };
        let is_up = result.is_ok();
        shared.set_store_up(is_up);
        match result {
            Ok(objects) => {
                after = objects.iter().map(|object| object.revision).fold(after, u64::max);
                apply_objects(&shared, &objects);
            }
            Err(e) if was_up => log::warn!("{LOG} configuration stays as it is: {e}"),
            Err(_) => {}
        }
        was_up = is_up;
        if !is_up || after == 0 {
            tokio::time::sleep(STORE_RETRY_PAUSE).await;
        }
    }
}
