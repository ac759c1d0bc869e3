//! Client of the platform's object store: versioned objects, conditional updates, watches.
//!
//! Every call to the store goes through [`StoreClient`], so that all calls are counted and have a
//! timeout in one place. Each write carries a unique mark; when the reply to a write is lost, the
//! client reads the object back and compares marks to find out whether the write took effect.

mod client;
mod objects;

pub use client::{PutOutcome, StoreCalls, StoreClient, StoreError};
pub use objects::{ListRevision, ObjectKind, Snapshot, StoredObject, Versioned};
