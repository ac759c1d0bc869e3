//! The objects that the router keeps in the store, and a monotonic in-memory snapshot of them.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccount, Closing, Endpoint, ServiceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The kinds of objects that the router stores.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// `closing/NAME`.
    #[display("closing")]
    Closing,
    /// `endpoint/NAME`.
    #[display("endpoint")]
    Endpoint,
    /// `account/NAME`.
    #[display("account")]
    Account,
}

impl ObjectKind {
    /// The store key of the object with that name.
    pub fn key(self, name: &str) -> String {
        format!("{self}/{name}")
    }
}

/// An object in the store's wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its key, `KIND/NAME`.
    pub key: String,
    /// Its version: the number of writes to it so far.
    pub version: u64,
    /// The store's revision after its last write.
    pub revision: u64,
    /// The mark of its last write, unique to that write.
    pub mark: String,
    /// Its value; `null` is a tombstone of a deleted object.
    pub value: serde_json::Value,
}

/// A validated value with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The version: the number of writes to the object so far.
    pub version: u64,
    /// The value; `None` is a tombstone of a deleted object.
    pub value: Option<T>,
}

/// The revision of a service's endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListRevision {
    /// The highest revision of an endpoint object of the service.
    pub revision: u64,
    /// The preceding revision of the list, when it is certain that none was missed in between;
    /// otherwise 0.
    pub previous: u64,
}

/// The configuration that a process applies. Versions only increase; tombstones are kept, so that
/// a stale copy of a deleted object cannot restore it.
///
/// ```
/// use bulrushusher_store::{Snapshot, StoredObject};
/// let object = |version, value| StoredObject {
///     key: "account/studio-7".into(), version, revision: version, mark: String::new(), value,
/// };
/// let account = serde_json::json!({"name": "studio-7", "requests_per_second": 5.0, "burst": 9});
/// let mut snapshot = Snapshot::default();
/// assert!(snapshot.apply(&object(1, account.clone())).unwrap());
/// assert!(snapshot.apply(&object(2, serde_json::Value::Null)).unwrap());
/// assert!(!snapshot.apply(&object(1, account)).unwrap(), "a stale version is ignored");
/// assert_eq!(snapshot.accounts().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The highest revision applied.
    pub revision: u64,
    list_revisions: BTreeMap<ServiceName, ListRevision>,
    closings: BTreeMap<String, Versioned<Closing>>,
    endpoints: BTreeMap<String, Versioned<Endpoint>>,
    accounts: BTreeMap<String, Versioned<ClientAccount>>,
}

impl Snapshot {
    /// Applies an object; false when the snapshot has the same or a later version of it, or its
    /// kind is unknown.
    ///
    /// # Errors
    /// When the value is not a valid object of its kind; the snapshot is left unchanged.
    pub fn apply(&mut self, object: &StoredObject) -> Result<bool, serde_json::Error> {
        let Some((kind, name)) = object.key.split_once('/') else { return Ok(false) };
        let changed = match kind {
            "closing" => apply_to(&mut self.closings, name, object)?,
            "endpoint" => self.apply_endpoint(name, object)?,
            "account" => apply_to(&mut self.accounts, name, object)?,
            _ => false,
        };
        if changed {
            self.revision = self.revision.max(object.revision);
        }
        Ok(changed)
    }

    fn apply_endpoint(
        &mut self,
        name: &str,
        object: &StoredObject,
    ) -> Result<bool, serde_json::Error> {
        let previous_version = self.endpoints.get(name).map_or(0, |entry| entry.version);
        if !apply_to(&mut self.endpoints, name, object)? {
            return Ok(false);
        }
        let applied = self.endpoints.get(name).and_then(|entry| entry.value.as_ref());
        let Some(service) = applied.map(|endpoint| endpoint.service.clone()) else {
            return Ok(true);
        };
        let list = self.list_revisions.entry(service).or_default();
        // A skipped version may belong to a list revision that other entries have applied.
        let is_successor =
            object.version == previous_version + 1 && object.revision > list.revision;
        list.previous = if is_successor { list.revision } else { 0 };
        list.revision = list.revision.max(object.revision);
        Ok(true)
    }

    /// The endpoint list revision of a service; zeros for a service that never had endpoints.
    pub fn list_revision(&self, service: &ServiceName) -> ListRevision {
        self.list_revisions.get(service).copied().unwrap_or_default()
    }

    /// All services that have or had endpoints, with their endpoint list revisions.
    pub fn list_revisions(&self) -> impl Iterator<Item = (&ServiceName, ListRevision)> {
        self.list_revisions.iter().map(|(service, list)| (service, *list))
    }

    /// Forgets the preceding revision of every endpoint list. To be called when changes may have
    /// been missed.
    pub fn reset_previous_revisions(&mut self) {
        for list in self.list_revisions.values_mut() {
            list.previous = 0;
        }
    }

    /// All closings, with their versions.
    pub fn closings(&self) -> impl Iterator<Item = (u64, &Closing)> {
        live(&self.closings)
    }

    /// All listed endpoints, with their versions.
    pub fn endpoints(&self) -> impl Iterator<Item = (u64, &Endpoint)> {
        live(&self.endpoints).filter(|(_, endpoint)| endpoint.removed.is_none())
    }

    /// Endpoints that were removed from the list, with the time of removal.
    pub fn removed_endpoints(&self) -> impl Iterator<Item = (&Endpoint, Millis)> {
        live(&self.endpoints).filter_map(|(_, endpoint)| Some((endpoint, endpoint.removed?)))
    }

    /// All client accounts, with their versions.
    pub fn accounts(&self) -> impl Iterator<Item = (u64, &ClientAccount)> {
        live(&self.accounts)
    }

    /// The closing with that name, and its version.
    pub fn closing(&self, name: &str) -> Option<(u64, &Closing)> {
        find(&self.closings, name)
    }

    /// The endpoint with that name, listed or removed from the list, and its version.
    pub fn endpoint_including_removed(&self, name: &str) -> Option<(u64, &Endpoint)> {
        find(&self.endpoints, name)
    }

    /// The listed endpoint with that name, and its version.
    pub fn endpoint(&self, name: &str) -> Option<(u64, &Endpoint)> {
        self.endpoint_including_removed(name).filter(|(_, endpoint)| endpoint.removed.is_none())
    }

    /// The client account with that name, and its version.
    pub fn account(&self, name: &str) -> Option<(u64, &ClientAccount)> {
        find(&self.accounts, name)
    }
}

fn find<'a, T>(objects: &'a BTreeMap<String, Versioned<T>>, name: &str) -> Option<(u64, &'a T)> {
    let entry = objects.get(name)?;
    Some((entry.version, entry.value.as_ref()?))
}

fn live<T>(objects: &BTreeMap<String, Versioned<T>>) -> impl Iterator<Item = (u64, &T)> {
    objects.values().filter_map(|entry| Some((entry.version, entry.value.as_ref()?)))
}

fn apply_to<T: serde::de::DeserializeOwned>(
    objects: &mut BTreeMap<String, Versioned<T>>,
    name: &str,
    object: &StoredObject,
) -> Result<bool, serde_json::Error> {
    if objects.get(name).is_some_and(|entry| entry.version >= object.version) {
        return Ok(false);
    }
    let value = match object.value.is_null() {
        true => None,
        false => Some(serde_json::from_value(object.value.clone())?),
    };
    objects.insert(name.to_owned(), Versioned { version: object.version, value });
    Ok(true)
}
