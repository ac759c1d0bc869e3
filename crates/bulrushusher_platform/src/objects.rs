//! What the router keeps in the store, and a snapshot of it that only moves forward.

use std::collections::BTreeMap;

use bulrushusher_world::{ClientAccount, Closing, Endpoint};
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

/// The configuration that a process has in force. Versions only rise; tombstones are kept, so that
/// an old copy of a deleted object cannot come back.
///
/// ```
/// use bulrushusher_platform::{Snapshot, StoredObject};
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
    /// The highest revision of an endpoint object applied: the revision of the endpoint list.
    pub endpoints_revision: u64,
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
            "endpoint" => apply_to(&mut self.endpoints, name, object)?,
            "account" => apply_to(&mut self.accounts, name, object)?,
            _ => false,
        };
        if changed {
            self.revision = self.revision.max(object.revision);
        }
        if changed && kind == "endpoint" {
            self.endpoints_revision = self.endpoints_revision.max(object.revision);
        }
        Ok(changed)
    }

    /// The closings in force.
    pub fn closings(&self) -> impl Iterator<Item = (u64, &Closing)> {
        live(&self.closings)
    }

    /// The endpoints in force.
    pub fn endpoints(&self) -> impl Iterator<Item = (u64, &Endpoint)> {
        live(&self.endpoints)
    }

    /// The client accounts in force.
    pub fn accounts(&self) -> impl Iterator<Item = (u64, &ClientAccount)> {
        live(&self.accounts)
    }

    /// The account of that name.
    pub fn account(&self, name: &str) -> Option<&ClientAccount> {
        self.accounts.get(name)?.value.as_ref()
    }
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
