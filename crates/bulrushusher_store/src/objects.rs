//! What the router keeps in the store, and a snapshot of it that only moves forward.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccount, Closing, Endpoint, ServiceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The kinds of objects the router keeps.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
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

impl Kind {
    /// The store key of the object of that name.
    pub fn key(self, name: &str) -> String {
        format!("{self}/{name}")
    }
}

/// An object as the store's protocol carries it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its key.
    pub key: String,
    /// How often it was written.
    pub version: u64,
    /// The store's revision at its last write.
    pub revision: u64,
    /// The mark of its last writer.
    pub mark: String,
    /// Its value; `null` is a tombstone.
    pub value: serde_json::Value,
}

/// A checked object with its version; `None` is a tombstone.
#[derive(Clone, Debug, PartialEq)]
pub struct Held<T> {
    /// How often it was written.
    pub version: u64,
    /// The value, unless it was deleted.
    pub value: Option<T>,
}

/// The revision of a service's endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListRevision {
    /// The highest revision of an endpoint object of the service.
    pub revision: u64,
    /// The revision before, when it is certain that there was none in between; else 0.
    pub previous: u64,
}

/// The configuration that a process has in force. Versions only rise; tombstones are kept, so that
/// an old copy of a deleted object cannot come back.
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
/// assert!(!snapshot.apply(&object(1, account)).unwrap(), "an old version changes nothing");
/// assert_eq!(snapshot.accounts().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The highest revision applied.
    pub revision: u64,
    lists: BTreeMap<ServiceName, ListRevision>,
    closings: BTreeMap<String, Held<Closing>>,
    endpoints: BTreeMap<String, Held<Endpoint>>,
    accounts: BTreeMap<String, Held<ClientAccount>>,
}

impl Snapshot {
    /// Applies an object; false when a version at least as high is held or the kind is not known.
    ///
    /// # Errors
    /// When the value is not what its kind says; nothing is changed then.
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
        let before = self.endpoints.get(name).map_or(0, |held| held.version);
        if !apply_to(&mut self.endpoints, name, object)? {
            return Ok(false);
        }
        let held = self.endpoints.get(name).and_then(|held| held.value.as_ref());
        let Some(service) = held.map(|endpoint| endpoint.service.clone()) else { return Ok(true) };
        let list = self.lists.entry(service).or_default();
        // A version left out may have been another list, which others have seen.
        let next_in_order = object.version == before + 1 && object.revision > list.revision;
        list.previous = if next_in_order { list.revision } else { 0 };
        list.revision = list.revision.max(object.revision);
        Ok(true)
    }

    /// The revision of the endpoint list of a service; zeros for a service without endpoints.
    pub fn list_revision(&self, service: &ServiceName) -> ListRevision {
        self.lists.get(service).copied().unwrap_or_default()
    }

    /// Services that have or had endpoints, with the revisions of their lists.
    pub fn lists(&self) -> impl Iterator<Item = (&ServiceName, ListRevision)> {
        self.lists.iter().map(|(service, list)| (service, *list))
    }

    /// Notes that changes may have been missed: the next list comes directly after none.
    pub fn note_gap(&mut self) {
        for list in self.lists.values_mut() {
            list.previous = 0;
        }
    }

    /// The closings in force.
    pub fn closings(&self) -> impl Iterator<Item = (u64, &Closing)> {
        live(&self.closings)
    }

    /// The endpoints in force.
    pub fn endpoints(&self) -> impl Iterator<Item = (u64, &Endpoint)> {
        live(&self.endpoints).filter(|(_, endpoint)| endpoint.removed.is_none())
    }

    /// Endpoints that were taken out of the list, with the time.
    pub fn departed(&self) -> impl Iterator<Item = (&Endpoint, Millis)> {
        live(&self.endpoints).filter_map(|(_, endpoint)| Some((endpoint, endpoint.removed?)))
    }

    /// The client accounts in force.
    pub fn accounts(&self) -> impl Iterator<Item = (u64, &ClientAccount)> {
        live(&self.accounts)
    }

    /// The closing of that name, with its version.
    pub fn closing(&self, name: &str) -> Option<(u64, &Closing)> {
        held(&self.closings, name)
    }

    /// The endpoint of that name, with its version, also when it was taken out of the list.
    pub fn known_endpoint(&self, name: &str) -> Option<(u64, &Endpoint)> {
        held(&self.endpoints, name)
    }

    /// The endpoint of that name, with its version.
    pub fn endpoint(&self, name: &str) -> Option<(u64, &Endpoint)> {
        self.known_endpoint(name).filter(|(_, endpoint)| endpoint.removed.is_none())
    }

    /// The account of that name, with its version.
    pub fn account(&self, name: &str) -> Option<(u64, &ClientAccount)> {
        held(&self.accounts, name)
    }
}

fn held<'a, T>(objects: &'a BTreeMap<String, Held<T>>, name: &str) -> Option<(u64, &'a T)> {
    let held = objects.get(name)?;
    Some((held.version, held.value.as_ref()?))
}

fn live<T>(objects: &BTreeMap<String, Held<T>>) -> impl Iterator<Item = (u64, &T)> {
    objects.values().filter_map(|held| Some((held.version, held.value.as_ref()?)))
}

fn apply_to<T: serde::de::DeserializeOwned>(
    objects: &mut BTreeMap<String, Held<T>>,
    name: &str,
    object: &StoredObject,
) -> Result<bool, serde_json::Error> {
    if objects.get(name).is_some_and(|held| held.version >= object.version) {
        return Ok(false);
    }
    let value = match object.value.is_null() {
        true => None,
        false => Some(serde_json::from_value(object.value.clone())?),
    };
    objects.insert(name.to_owned(), Held { version: object.version, value });
    Ok(true)
}
