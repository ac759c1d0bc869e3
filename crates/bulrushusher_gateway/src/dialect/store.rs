//! What the platform's store is asked for, and what it tells.

use std::future::Future;

use bulrushusher_forward::{RoutingConfig, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use derive_more::{Display, Error};

/// What the store is asked for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Topic {
    /// The routing configuration.
    #[display("configuration")]
    Configuration,
    /// The list of runners.
    #[display("runners")]
    Runners,
}

impl Topic {
    /// Its name in metrics.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Topic::Configuration => "configuration",
            Topic::Runners => "runners",
        }
    }
}

/// Wait of a call that only asks for what has changed already.
pub(crate) const NO_WAIT: Millis = Millis(1);

/// How fresh a list must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As it is when the store is asked.
    Latest,
    /// It may be some seconds old, which spares the store.
    SecondsOld,
}

/// One thing that the store holds, or no longer holds.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Configuration(RoutingConfig),
    /// A runner's entry.
    Runner(Runner),
    /// An entry was removed.
    RunnerGone(RunnerId),
    /// An object that cannot be read. One of a runner names none to use; a configuration changes
    /// nothing.
    Unreadable(Unreadable),
}

/// What is wrong with an object of the store, or with what a runner says of itself.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "the field `{field}` of `{name}` cannot be used: {cause}; only its owner should write it"
)]
pub struct Unreadable {
    /// Its name, as far as it can be told; empty otherwise.
    pub name: String,
    /// The field that is wrong; empty when the whole cannot be read.
    pub field: &'static str,
    /// What is wrong.
    pub cause: String,
}

/// Changes up to a revision of the store. All revisions here tell their era, as
/// [`revision_in_era`](bulrushusher_forward::revision_in_era) makes them.
#[derive(Clone, Debug)]
pub struct News {
    /// What changed, or, of a list, what there is.
    pub changes: Vec<Change>,
    /// The store's revision.
    pub revision: u64,
    /// Revision of the last of the changes; 0 when there is none.
    pub last_change: u64,
}

/// Why the store gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreFailure {
    /// The changes since that revision are forgotten; list anew.
    #[display("the store forgot its history; list anew")]
    HistoryGone,
    /// It came back from an older copy of what it held, and revisions of before say nothing; list anew.
    #[display("the store came back from an older copy; list anew")]
    Restored,
    /// It refused the call; nothing was done.
    #[display("the store refused the call with status {status}; try again later")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// It could not be reached or did not answer; a write may have been done.
    #[display("the store did not answer ({cause}); try again on a new connection")]
    NoAnswer {
        /// What happened.
        cause: String,
    },
    /// Its answer cannot be read.
    #[display("the store's answer cannot be read ({cause}); check its version")]
    Unreadable {
        /// What is wrong.
        cause: String,
    },
}

/// An object of the router's own, as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// What was written.
    pub value: serde_json::Value,
    /// Revision of its last change.
    pub revision: u64,
}

/// A gateway's announcement, as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The gateway.
    pub gateway: String,
    /// What it wrote.
    pub value: serde_json::Value,
    /// Revision of its last change.
    pub revision: u64,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordWrite {
    /// It took effect, at that revision.
    Written(u64),
    /// Another write came first.
    Conflict,
}

/// The platform's store.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Everything of a topic, each page within `timeout`; `on_page` is called with each that comes.
    fn list(
        &self,
        topic: Topic,
        freshness: Freshness,
        timeout: Millis,
        on_page: &(impl Fn(&[Change]) + Sync),
    ) -> impl Future<Output = Result<News, StoreFailure>> + Send;

    /// Changes of a topic after a revision, as soon as there is one; none after `wait`. An answer
    /// that is not there `slack` after that counts as lost.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Millis,
        slack: Millis,
    ) -> impl Future<Output = Result<News, StoreFailure>> + Send;

    /// Tells the other gateways where this one is; returns the announcement's revision.
    fn announce(
        &self,
        gateway: &str,
        value: serde_json::Value,
        timeout: Millis,
    ) -> impl Future<Output = Result<u64, StoreFailure>> + Send;

    /// The announcements of all gateways; they may be some seconds old.
    fn announced(
        &self,
        timeout: Millis,
    ) -> impl Future<Output = Result<Vec<Announcement>, StoreFailure>> + Send;

    /// Removes a gateway's announcement if it still has that revision; false when it has not.
    fn retract(
        &self,
        gateway: &str,
        revision: u64,
        timeout: Millis,
    ) -> impl Future<Output = Result<bool, StoreFailure>> + Send;

    /// Reads a record of the router's own; `None` when nobody ever wrote it.
    fn read_record(
        &self,
        name: &str,
        timeout: Millis,
    ) -> impl Future<Output = Result<Option<Record>, StoreFailure>> + Send;

    /// Writes a record if its revision is still `expected` (`None`: not there yet).
    fn write_record(
        &self,
        name: &str,
        value: serde_json::Value,
        expected: Option<u64>,
        timeout: Millis,
    ) -> impl Future<Output = Result<RecordWrite, StoreFailure>> + Send;
}
