//! Client of the platform's object API: versions, conditional updates, watches.
//!
//! Every call to the store goes through [`StoreClient`], so that all calls are counted and bounded
//! in one place. A write whose reply was lost is settled by reading back the writer's own mark.

mod client;
mod objects;

pub use client::{PutOutcome, StoreCalls, StoreClient, StoreError};
pub use objects::{Held, Kind, ListRevision, Snapshot, StoredObject};
