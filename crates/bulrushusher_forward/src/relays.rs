//! Selection of relays: the gateways that watch the store and forward its changes to the others.
//!
//! The store's request limits grow more slowly than a fleet, and each change wakes every watcher.
//! In a large fleet only a few gateways, the relays, therefore watch the store. Each gateway
//! computes the same selection without coordination: the first ones by hash of the name, among
//! live gateways that have not lost contact with the store. A gateway that sees too few relays
//! watches the store itself.

use std::sync::Arc;

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::rendezvous::is_among_first;

/// A gateway's contact with the store, as it reports it to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreContact {
    /// It does not watch the store.
    #[default]
    Idle,
    /// It watches the store, and the store answers.
    Watching,
    /// The store did not answer, or the gateway is shutting down; others must watch instead.
    Lost,
}

/// How a gateway receives store changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store.
    Watch,
    /// It receives changes from relays.
    Listen,
}

/// Limits of the selection of relays.
#[derive(Clone, Copy, Debug)]
pub struct RelaysConfig {
    /// Number of gateways below which all of them watch the store.
    pub min_gateways: usize,
    /// Minimum number of relays.
    pub min_relays: usize,
    /// Minimum number of peers that must watch the store before others rely on them.
    pub min_watching: usize,
    /// Number of relays that forward each change to a listening gateway.
    pub relays_per_listener: usize,
    /// Time without messages after which a peer is not counted, and how long a gateway keeps
    /// listening while too few peers watch.
    pub silent_after: Millis,
}

impl Default for RelaysConfig {
    fn default() -> RelaysConfig {
        RelaysConfig {
            min_gateways: 8,
            min_relays: 3,
            min_watching: 2,
            relays_per_listener: 2,
            silent_after: Millis(1_500),
        }
    }
}

impl RelaysConfig {
    /// Number of relays in a fleet of `gateways`. More relays mean more calls to the store, fewer
    /// mean more messages per relay; the square root splits the growth between both.
    ///
    /// ```
    /// use bulrushusher_forward::RelaysConfig;
    /// let cfg = RelaysConfig::default();
    /// assert_eq!([5, 30, 492, 984].map(|gateways| cfg.relays(gateways)), [5, 3, 12, 16]);
    /// ```
    pub fn relays(&self, gateways: usize) -> usize {
        if gateways < self.min_gateways {
            return gateways;
        }
        let grown = ((gateways as f64).sqrt() / 2.0).ceil() as usize;
        grown.max(self.min_relays)
    }
}

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Its name.
    pub name: Arc<str>,
    /// Its contact with the store.
    pub contact: StoreContact,
}

/// The part that one gateway takes in relaying store changes, with the relays that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayView {
    /// How this gateway receives changes.
    pub role: StoreRole,
    /// True when this gateway may run the duties for which one gateway is enough.
    pub runs_shared_duties: bool,
    /// True while this gateway forwards changes.
    pub forwards: bool,
    /// True where only some gateways watch the store, so that the others rely on them.
    pub has_listeners: bool,
    /// Peers that watch the store, in the order of selection.
    pub watching: Vec<Arc<str>>,
}

impl Default for RelayView {
    /// The view of a gateway without known peers.
    fn default() -> RelayView {
        let role = StoreRole::Watch;
        RelayView {
            role,
            runs_shared_duties: true,
            forwards: false,
            has_listeners: false,
            watching: Vec::new(),
        }
    }
}

/// Selects relays on behalf of one gateway.
///
/// ```
/// use bulrushusher_forward::{RelayPeer, Relays, RelaysConfig, StoreContact, StoreRole};
/// use bulrushusher_time::Millis;
/// let mut relays = Relays::new(RelaysConfig::default(), "entry-0".into());
/// let alone = relays.decide(StoreContact::Idle, &[], Millis(0));
/// assert_eq!((alone.role, alone.runs_shared_duties), (StoreRole::Watch, true));
/// let contact = StoreContact::Watching;
/// let watching = |n| RelayPeer { name: format!("entry-{n}").into(), contact };
/// let peers: Vec<RelayPeer> = (1..40).map(watching).collect();
/// let lost = relays.decide(StoreContact::Lost, &peers, Millis(100));
/// assert_eq!(lost.role, StoreRole::Listen, "others can forward the changes");
/// ```
#[derive(Clone, Debug)]
pub struct Relays {
    cfg: RelaysConfig,
    own_name: Arc<str>,
    /// When the number of watching peers fell below the minimum.
    too_few_since: Option<Millis>,
}

impl Relays {
    /// Creates the selection for the gateway named `own_name`.
    pub fn new(cfg: RelaysConfig, own_name: Arc<str>) -> Relays {
        Relays { cfg, own_name, too_few_since: None }
    }

    /// Replaces the limits.
    pub fn reconfigure(&mut self, cfg: RelaysConfig) {
        self.cfg = cfg;
    }

    /// Decides who watches the store, from this gateway's own contact with it and from peers with a
    /// message within [`RelaysConfig::silent_after`].
    pub fn decide(
        &mut self,
        own_contact: StoreContact,
        peers: &[RelayPeer],
        now: Millis,
    ) -> RelayView {
        let watching = self.watching(peers);
        if peers.len() + 1 < self.cfg.min_gateways {
            self.too_few_since = None;
            return RelayView { watching, ..RelayView::default() };
        }
        let is_relay = self.is_relay(own_contact, peers);
        let has_too_few = !is_relay && watching.len() < self.cfg.min_watching;
        let role = match is_relay || self.relays_are_missing(has_too_few, now) {
            true => StoreRole::Watch,
            false => StoreRole::Listen,
        };
        let forwards = own_contact == StoreContact::Watching && role == StoreRole::Watch;
        let is_first = watching.iter().all(|name| rank(&self.own_name) <= rank(name));
        let runs_shared_duties = forwards && is_first;
        RelayView { role, runs_shared_duties, forwards, has_listeners: true, watching }
    }

    /// True once too few peers have watched for [`RelaysConfig::silent_after`].
    fn relays_are_missing(&mut self, has_too_few: bool, now: Millis) -> bool {
        if !has_too_few {
            self.too_few_since = None;
            return false;
        }
        now.since(*self.too_few_since.get_or_insert(now)) >= self.cfg.silent_after
    }

    /// True when this gateway is among the first candidates for relays.
    fn is_relay(&self, own_contact: StoreContact, peers: &[RelayPeer]) -> bool {
        let is_candidate = |peer: &&RelayPeer| peer.contact != StoreContact::Lost;
        let own_rank = rank(&self.own_name);
        let before =
            peers.iter().filter(is_candidate).filter(|peer| rank(&peer.name) < own_rank).count();
        own_contact != StoreContact::Lost && before < self.cfg.relays(peers.len() + 1)
    }

    /// Peers that watch the store, in the order of selection.
    fn watching(&self, peers: &[RelayPeer]) -> Vec<Arc<str>> {
        let watch = |peer: &&RelayPeer| peer.contact == StoreContact::Watching;
        let mut names: Vec<Arc<str>> =
            peers.iter().filter(watch).map(|peer| peer.name.clone()).collect();
        names.sort_by(|a, b| rank(a).cmp(&rank(b)));
        names
    }

    /// True when this gateway, while it forwards changes, forwards them to `listener`: it is among
    /// the first of the relays (itself and `watching`) in rendezvous order for that gateway.
    ///
    /// ```
    /// use bulrushusher_forward::{Relays, RelaysConfig};
    /// let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    /// let forwards = |own: &str| {
    ///     let others = names.iter().filter(|it| **it != own);
    ///     let others: Vec<_> = others.map(|it| (*it).into()).collect();
    ///     Relays::new(RelaysConfig::default(), own.into()).forwards_to(&others, "entry-9")
    /// };
    /// assert_eq!(names.iter().filter(|name| forwards(name)).count(), 2);
    /// ```
    pub fn forwards_to(&self, watching: &[Arc<str>], listener: &str) -> bool {
        is_among_first(
            self.cfg.relays_per_listener,
            listener,
            &self.own_name,
            watching.iter().map(|it| &**it),
        )
    }
}

/// Sort key of a gateway in the selection of relays.
fn rank(name: &str) -> (u64, &str) {
    (xxh3_64(name.as_bytes()), name)
}
