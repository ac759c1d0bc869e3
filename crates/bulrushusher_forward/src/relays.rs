//! Which gateways watch the store, and which hear of its changes from those.
//!
//! A store's rates grow more slowly than a fleet, and each change wakes all that watch. So of many
//! gateways a few watch, the relays, and pass changes on. All choose alike without asking anybody: relays
//! are the first in a fixed order of names among the gateways that are heard and that the store has not
//! failed lately. Whoever hears too few relays watches itself.

use std::sync::Arc;

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::rendezvous::is_among_first;

/// What a gateway has with the store, as it tells its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreContact {
    /// It does not watch the store.
    #[default]
    Idle,
    /// It watches the store, which answers.
    Watching,
    /// The store did not answer it, or it is shutting down: others are to watch.
    Lost,
}

/// How a gateway learns of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store.
    Watch,
    /// It hears of changes from relays.
    Listen,
}

/// Bounds of the choice of relays.
#[derive(Clone, Copy, Debug)]
pub struct RelaysConfig {
    /// Gateways below which all watch.
    pub least_gateways: usize,
    /// Fewest relays.
    pub least_relays: usize,
    /// Relays that must be heard watching for others to rely on them.
    pub least_watching: usize,
    /// Relays that tell each change to a gateway that listens.
    pub tellers: usize,
    /// Silence after which a gateway does not count, and how long one listens while too few watch.
    pub silent_after: Millis,
}

impl Default for RelaysConfig {
    fn default() -> RelaysConfig {
        RelaysConfig {
            least_gateways: 8,
            least_relays: 3,
            least_watching: 2,
            tellers: 2,
            silent_after: Millis(1_500),
        }
    }
}

impl RelaysConfig {
    /// Relays among so many gateways. Calls to the store grow with them, and what one relay tells grows with
    /// the gateways for each; the square root splits the growth between both.
    ///
    /// ```
    /// use bulrushusher_forward::RelaysConfig;
    /// let cfg = RelaysConfig::default();
    /// assert_eq!([5, 30, 492, 984].map(|gateways| cfg.relays(gateways)), [5, 3, 12, 16]);
    /// ```
    pub fn relays(&self, gateways: usize) -> usize {
        if gateways < self.least_gateways {
            return gateways;
        }
        let grown = ((gateways as f64).sqrt() / 2.0).ceil() as usize;
        grown.max(self.least_relays)
    }
}

/// A peer that was heard lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Its name.
    pub name: Arc<str>,
    /// What it has with the store.
    pub contact: StoreContact,
}

/// Who watches the store, as one gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayView {
    /// How this gateway learns of changes.
    pub role: StoreRole,
    /// True when this gateway may carry out duties that one gateway is enough for.
    pub keeps_duties: bool,
    /// True while this gateway passes changes on.
    pub tells: bool,
    /// Peers that watch.
    pub watching: Vec<Arc<str>>,
}

impl Default for RelayView {
    /// What a gateway sees that has heard of no other.
    fn default() -> RelayView {
        let role = StoreRole::Watch;
        RelayView { role, keeps_duties: true, tells: false, watching: Vec::new() }
    }
}

/// The choice of relays, as one gateway makes it.
///
/// ```
/// use bulrushusher_forward::{RelayPeer, Relays, RelaysConfig, StoreContact, StoreRole};
/// use bulrushusher_time::Millis;
/// let mut relays = Relays::new(RelaysConfig::default(), "entry-0".into());
/// let alone = relays.decide(StoreContact::Idle, &[], Millis(0));
/// assert_eq!((alone.role, alone.keeps_duties), (StoreRole::Watch, true));
/// let watching = |n| RelayPeer { name: format!("entry-{n}").into(), contact: StoreContact::Watching };
/// let peers: Vec<RelayPeer> = (1..40).map(watching).collect();
/// let lost = relays.decide(StoreContact::Lost, &peers, Millis(100));
/// assert_eq!(lost.role, StoreRole::Listen, "others can tell what the store does not");
/// ```
#[derive(Clone, Debug)]
pub struct Relays {
    cfg: RelaysConfig,
    own: Arc<str>,
    /// Since when too few relays are heard.
    short_since: Option<Millis>,
}

impl Relays {
    /// The choice of the gateway that is called `own`.
    pub fn new(cfg: RelaysConfig, own: Arc<str>) -> Relays {
        Relays { cfg, own, short_since: None }
    }

    /// Takes other bounds.
    pub fn reconfigure(&mut self, cfg: RelaysConfig) {
        self.cfg = cfg;
    }

    /// Who watches, by what this gateway has with the store itself and what peers tell that were heard
    /// within [`RelaysConfig::silent_after`].
    pub fn decide(&mut self, own: StoreContact, peers: &[RelayPeer], now: Millis) -> RelayView {
        let watching = self.watching(peers);
        if peers.len() + 1 < self.cfg.least_gateways {
            self.short_since = None;
            return RelayView { watching, ..RelayView::default() };
        }
        let is_relay = self.is_relay(own, peers);
        let is_short = !is_relay && watching.len() < self.cfg.least_watching;
        let role = match is_relay || self.is_left_alone(is_short, now) {
            true => StoreRole::Watch,
            false => StoreRole::Listen,
        };
        let tells = own == StoreContact::Watching && role == StoreRole::Watch;
        let is_first = watching.iter().all(|name| rank(&self.own) <= rank(name));
        RelayView { role, keeps_duties: tells && is_first, tells, watching }
    }

    /// True once too few have watched for too long.
    fn is_left_alone(&mut self, is_short: bool, now: Millis) -> bool {
        if !is_short {
            self.short_since = None;
            return false;
        }
        now.since(*self.short_since.get_or_insert(now)) >= self.cfg.silent_after
    }

    /// True when this gateway is among the first that may watch.
    fn is_relay(&self, own: StoreContact, peers: &[RelayPeer]) -> bool {
        let may_watch = |peer: &&RelayPeer| peer.contact != StoreContact::Lost;
        let own_rank = rank(&self.own);
        let before =
            peers.iter().filter(may_watch).filter(|peer| rank(&peer.name) < own_rank).count();
        own != StoreContact::Lost && before < self.cfg.relays(peers.len() + 1)
    }

    /// Peers that watch, in the order in which relays are chosen.
    fn watching(&self, peers: &[RelayPeer]) -> Vec<Arc<str>> {
        let watch = |peer: &&RelayPeer| peer.contact == StoreContact::Watching;
        let mut names: Vec<Arc<str>> =
            peers.iter().filter(watch).map(|peer| peer.name.clone()).collect();
        names.sort_by(|a, b| rank(a).cmp(&rank(b)));
        names
    }

    /// True when this gateway, while it passes changes on, tells `listener` of them: with `watching`, it is
    /// one of the first relays in rendezvous order for that gateway.
    ///
    /// ```
    /// use bulrushusher_forward::{Relays, RelaysConfig};
    /// let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    /// let tells = |own: &str| {
    ///     let others: Vec<_> = names.iter().filter(|it| **it != own).map(|it| (*it).into()).collect();
    ///     Relays::new(RelaysConfig::default(), own.into()).tells(&others, "entry-9")
    /// };
    /// assert_eq!(names.iter().filter(|name| tells(name)).count(), 2);
    /// ```
    pub fn tells(&self, watching: &[Arc<str>], listener: &str) -> bool {
        is_among_first(self.cfg.tellers, listener, &self.own, watching.iter().map(|it| &**it))
    }
}

/// Place of a gateway in the order in which relays are chosen.
fn rank(name: &str) -> (u64, &str) {
    (xxh3_64(name.as_bytes()), name)
}
