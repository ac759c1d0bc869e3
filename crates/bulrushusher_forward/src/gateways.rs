//! The other gateways: where they are, whom to tell, and whose announcement nobody answers for.
//!
//! Each gateway announces itself in the store, and whoever is heard of is known too. Announcements do
//! not expire by themselves, so that those of gateways that are gone are removed by the others.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_time::Millis;

use crate::rendezvous::is_among_first;

/// Bounds of the knowledge of other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewaysConfig {
    /// How long a gateway is told each change after it was heard or found.
    pub told_for: Millis,
    /// Silence after which an announcement is removed.
    pub gone_after: Millis,
    /// Gateways that are known at most; those that were silent for longest are forgotten.
    pub most: usize,
    /// Announcements that one gateway removes at one look.
    pub most_removed: usize,
}

impl Default for GatewaysConfig {
    /// A gateway speaks at least every 0.7 s; one that was silent for ten seconds is gone or cut off, and
    /// gets whole reports only. After a minute its part of quotas and rate limits is free for the others;
    /// a VM that is back later, or a data centre that was cut off for longer, announces itself again. Ten times the gateways to design for are known, at some hundred
    /// bytes each. A few removals at a look keep the store's writes low after a great loss.
    fn default() -> GatewaysConfig {
        GatewaysConfig {
            told_for: Millis(10_000),
            gone_after: Millis(60_000),
            most: 4_096,
            most_removed: 8,
        }
    }
}

/// A gateway's announcement in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Where it hears others.
    pub address: SocketAddr,
    /// The store's revision of the announcement.
    pub revision: u64,
}

#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    /// When it was found, or moved.
    since: Millis,
    heard_at: Option<Millis>,
    /// Revision of its announcement, where there is one.
    announced: Option<u64>,
}

impl Known {
    fn last_sign(&self) -> Millis {
        self.heard_at.unwrap_or(self.since).max(self.since)
    }
}

/// What a list of announcements tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedGateways {
    /// Gateways that were not known at their address.
    pub found: Vec<Announced>,
    /// True when this gateway's own announcement is missing.
    pub own_is_missing: bool,
}

/// The other gateways, as one of them knows them.
///
/// ```
/// use bulrushusher_forward::{Announced, Gateways, GatewaysConfig};
/// use bulrushusher_time::Millis;
/// let cfg = GatewaysConfig::default();
/// let mut gateways = Gateways::new(cfg, "entry-1".into());
/// let address = "10.0.0.2:7000".parse().unwrap();
/// let announced = Announced { name: "entry-2".into(), address, revision: 9 };
/// let listed = gateways.list(&[announced.clone()], Millis(0));
/// assert_eq!((listed.found, listed.own_is_missing), (vec![announced], true));
/// // It is told each change for some time, and whole reports while it is announced.
/// assert_eq!(gateways.told(Millis(500)), [address]);
/// assert!(gateways.told(cfg.told_for).is_empty());
/// assert_eq!(gateways.all(), [address]);
/// ```
#[derive(Clone, Debug)]
pub struct Gateways {
    cfg: GatewaysConfig,
    own: Arc<str>,
    known: HashMap<Arc<str>, Known>,
}

impl Gateways {
    /// None is known but this one, which is called `own`.
    pub fn new(cfg: GatewaysConfig, own: Arc<str>) -> Gateways {
        Gateways { cfg, own, known: HashMap::new() }
    }

    /// A gateway was heard; true when it was not known there.
    pub fn hear(&mut self, name: &str, address: SocketAddr, now: Millis) -> bool {
        let known = self.known.get_mut(name);
        if let Some(known) = known.filter(|known| known.address == address) {
            known.heard_at = Some(now);
            return false;
        }
        let announced = self.known.get(name).and_then(|known| known.announced);
        let known = Known { address, since: now, heard_at: Some(now), announced };
        self.put(name.into(), known);
        true
    }

    /// Takes in all announcements. Whoever is neither announced nor heard lately is forgotten.
    pub fn list(&mut self, all: &[Announced], now: Millis) -> ListedGateways {
        let mut listed = ListedGateways { own_is_missing: true, ..ListedGateways::default() };
        for announced in all {
            if announced.name == self.own {
                listed.own_is_missing = false;
            } else if self.note_announced(announced, now) {
                listed.found.push(announced.clone());
            }
        }
        let told_for = self.cfg.told_for;
        let names: HashSet<&str> = all.iter().map(|announced| &*announced.name).collect();
        self.known.retain(|name, known| {
            known.announced = known.announced.filter(|_| names.contains(&**name));
            known.announced.is_some() || now.since(known.last_sign()) < told_for
        });
        listed
    }

    /// True when the gateway was not known at its address. A word of its own counts for more than its
    /// announcement, which may be that of its last start. One that is written anew is a sign of life.
    fn note_announced(&mut self, announced: &Announced, now: Millis) -> bool {
        let (address, revision) = (announced.address, Some(announced.revision));
        let told_for = self.cfg.told_for;
        if let Some(known) = self.known.get_mut(&announced.name) {
            if known.announced.is_some() && known.announced != revision {
                known.since = now;
            }
            known.announced = revision;
            let is_heard = known.heard_at.is_some_and(|at| now.since(at) < told_for);
            if known.address == address || is_heard {
                return false;
            }
        }
        let known = Known { address, since: now, heard_at: None, announced: revision };
        self.put(announced.name.clone(), known);
        true
    }

    fn put(&mut self, name: Arc<str>, known: Known) {
        self.known.insert(name, known);
        if self.known.len() > self.cfg.most {
            let oldest =
                self.known.iter().min_by_key(|(name, it)| (it.last_sign(), (*name).clone()));
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.known.remove(&name);
            }
        }
    }

    /// Whom to tell each change: those that were heard or found a short time ago.
    pub fn told(&self, now: Millis) -> Vec<SocketAddr> {
        self.lately(now).map(|(_, known)| known.address).collect()
    }

    /// Whom to tell each change, with their names.
    pub fn told_by_name(&self, now: Millis) -> Vec<(Arc<str>, SocketAddr)> {
        self.lately(now).map(|(name, known)| (name.clone(), known.address)).collect()
    }

    fn lately(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, &Known)> {
        self.known.iter().filter(move |(_, it)| now.since(it.last_sign()) < self.cfg.told_for)
    }

    /// Where a gateway hears others.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|known| known.address)
    }

    /// All that are known: whole reports reach also those that were cut off.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.known.values().map(|known| known.address).collect()
    }

    /// Announcements that this gateway should remove, each if it still has its revision. None while
    /// nobody is heard: then this gateway is the one that is cut off. Of those that hear each other one
    /// does it for each announcement. Between halves that do not hear each other, each is removed and
    /// written anew once in [`GatewaysConfig::gone_after`].
    pub fn to_remove(&self, now: Millis) -> Vec<Announced> {
        let is_heard =
            |known: &Known| known.heard_at.is_some_and(|at| now.since(at) < self.cfg.told_for);
        let announced = self.known.iter().filter(|(_, known)| known.announced.is_some());
        if !self.known.values().any(is_heard) {
            return Vec::new();
        }
        let gone = announced.filter(|(_, it)| now.since(it.last_sign()) >= self.cfg.gone_after);
        let mine = gone.filter(|(name, _)| self.is_first_for(name, is_heard));
        let mut mine: Vec<Announced> = mine
            .filter_map(|(name, known)| {
                let (name, address) = (name.clone(), known.address);
                Some(Announced { name, address, revision: known.announced? })
            })
            .collect();
        mine.sort_by(|a, b| a.name.cmp(&b.name));
        mine.truncate(self.cfg.most_removed);
        mine
    }

    /// True when this gateway comes before all others that it hears, in rendezvous order.
    fn is_first_for(&self, name: &str, is_heard: impl Fn(&Known) -> bool) -> bool {
        let heard = self.known.iter().filter(|(_, known)| is_heard(known));
        is_among_first(1, name, &self.own, heard.map(|(other, _)| &**other))
    }
}
