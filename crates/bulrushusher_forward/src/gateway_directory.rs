//! Directory of the other gateways: addresses, liveness and stale announcements.
//!
//! Each gateway writes an announcement to the store; a gateway that sends a message is added as
//! well. Announcements have no expiry in the store, so live gateways remove those of dead ones.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::DataCentreName;

use crate::KnownGateways;
use crate::rendezvous::{is_among_first, ranking};

/// Time between the announcement of this gateway and a list that is certain to contain all gateways
/// that started together with it. Announcing takes up to 0.5 s, and a lost answer 0.7 s more.
const LISTED_AFTER: Millis = Millis(3_000);

/// Age of the last list, as a share of [`GatewayDirectoryConfig::gone_after`], up to which the other
/// gateways cannot have removed the announcement of this one.
const MAX_CERTAIN_SHARE: f64 = 0.8;

/// Limits of the directory of other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayDirectoryConfig {
    /// Time after its last message or discovery during which a gateway is sent each change.
    pub active_for: Millis,
    /// Time without a message, or a new or renewed announcement, of a gateway after which its
    /// announcement is removed from the store.
    pub gone_after: Millis,
    /// Maximum number of known gateways; beyond it the one silent for longest is evicted.
    pub max_gateways: usize,
    /// Maximum number of announcements that one gateway removes per check.
    pub max_removals: usize,
}

impl Default for GatewayDirectoryConfig {
    /// A gateway sends a message at least every 0.7 s. One that was silent for ten seconds is dead
    /// or partitioned and gets full reports only. After a minute its share of quotas and rate
    /// limits is free for the others; a VM that returns later, or a data centre partitioned for
    /// longer, announces itself again. The capacity is ten times the design size of a fleet, at
    /// some hundred bytes per gateway. Few removals per check keep the store's write rate low after
    /// many gateways fail at once.
    fn default() -> GatewayDirectoryConfig {
        GatewayDirectoryConfig {
            active_for: Millis(10_000),
            gone_after: Millis(60_000),
            max_gateways: 4_096,
            max_removals: 8,
        }
    }
}

/// A gateway's announcement in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayAnnouncement {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Address at which it receives messages of other gateways.
    pub address: SocketAddr,
    /// Store revision of the announcement.
    pub revision: u64,
    /// Data centre of its VM; `None` in announcements of earlier versions.
    pub data_centre: Option<DataCentreName>,
}

#[derive(Clone, Debug)]
struct Gateway {
    address: SocketAddr,
    /// When it was discovered, changed its address or renewed its announcement.
    changed_at: Millis,
    last_message: Option<Millis>,
    /// Revision of its announcement, if it has one.
    announced_revision: Option<u64>,
    /// Its data centre by its announcement.
    data_centre: Option<DataCentreName>,
}

impl Gateway {
    fn last_activity(&self) -> Millis {
        self.last_message.unwrap_or(self.changed_at).max(self.changed_at)
    }
}

/// Result of comparing the directory with a full list of announcements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnnouncementDiff {
    /// Gateways that are new, or announce a new address.
    pub discovered: Vec<GatewayAnnouncement>,
    /// True when the list read from the store lacks this gateway's own announcement.
    pub own_is_missing: bool,
}

/// The other gateways, as known to one gateway.
///
/// ```
/// use bulrushusher_forward::{GatewayAnnouncement, GatewayDirectory, GatewayDirectoryConfig};
/// use bulrushusher_time::Millis;
/// let cfg = GatewayDirectoryConfig::default();
/// let mut gateways = GatewayDirectory::new(cfg, "entry-1".into());
/// let address = "10.0.0.2:7000".parse().unwrap();
/// let announcement = GatewayAnnouncement { name: "entry-2".into(), address, revision: 9, data_centre: None };
/// let diff = gateways.apply_announcements(&[announcement.clone()], Millis(0));
/// assert_eq!((diff.discovered, diff.own_is_missing), (vec![announcement], true));
/// // It is sent each change for a limited time, and full reports for as long as it is announced.
/// assert_eq!(gateways.active_addresses(Millis(500)), [address]);
/// assert!(gateways.active_addresses(cfg.active_for).is_empty());
/// assert_eq!(gateways.all_addresses(), [address]);
/// ```
#[derive(Clone, Debug)]
pub struct GatewayDirectory {
    cfg: GatewayDirectoryConfig,
    own_name: Arc<str>,
    gateways: HashMap<Arc<str>, Gateway>,
    /// When this gateway, or its previous start, wrote its announcement; `None` if it has none.
    own_written_at: Option<Millis>,
    certain_until: Option<Millis>,
}

impl GatewayDirectory {
    /// Creates an empty directory for the gateway named `own_name`.
    pub fn new(cfg: GatewayDirectoryConfig, own_name: Arc<str>) -> GatewayDirectory {
        GatewayDirectory {
            cfg,
            own_name,
            gateways: HashMap::new(),
            own_written_at: None,
            certain_until: None,
        }
    }

    /// Records a message from a gateway; returns true when it is new or has a new address.
    pub fn record_message(&mut self, name: &str, address: SocketAddr, now: Millis) -> bool {
        let gateway = self.gateways.get_mut(name);
        if let Some(gateway) = gateway.filter(|gateway| gateway.address == address) {
            gateway.last_message = Some(now);
            return false;
        }
        let (announced_revision, data_centre) =
            self.gateways.get(name).map_or((None, None), |gateway| {
                (gateway.announced_revision, gateway.data_centre.clone())
            });
        let last_message = Some(now);
        let gateway =
            Gateway { address, changed_at: now, last_message, announced_revision, data_centre };
        self.insert(name.into(), gateway);
        true
    }

    /// Records when this gateway, or its previous start, wrote the announcement that is in force; the
    /// known gateways are certain only after a later list.
    pub fn record_own_announcement(&mut self, written_at: Millis) {
        self.own_written_at = Some(written_at);
        self.certain_until = None;
    }

    /// The other gateways, and until when they are certain: this gateway and all others must be in
    /// each other's lists, but for the few announcements that change meanwhile.
    ///
    /// ```
    /// use bulrushusher_forward::{GatewayAnnouncement, GatewayDirectory, GatewayDirectoryConfig};
    /// use bulrushusher_time::Millis;
    /// let mut gateways =
    ///     GatewayDirectory::new(GatewayDirectoryConfig::default(), "entry-1".into());
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// let own =
    ///     GatewayAnnouncement { name: "entry-1".into(), address, revision: 9, data_centre: None };
    /// gateways.record_own_announcement(Millis(0));
    /// gateways.apply_announcements(&[own.clone()], Millis(1_000));
    /// assert!(gateways.known_gateways().certain_until.is_none(), "others may be announcing now");
    /// gateways.apply_announcements(&[own], Millis(4_000));
    /// assert!(gateways.known_gateways().certain_until.is_some());
    /// ```
    pub fn known_gateways(&self) -> KnownGateways {
        let mut others: Vec<Arc<str>> = self.gateways.keys().cloned().collect();
        others.sort_unstable();
        KnownGateways { others, certain_until: self.certain_until }
    }

    /// Applies a full list of announcements. Gateways that are neither announced nor active are
    /// dropped.
    pub fn apply_announcements(
        &mut self,
        announcements: &[GatewayAnnouncement],
        now: Millis,
    ) -> AnnouncementDiff {
        let mut diff = AnnouncementDiff { own_is_missing: true, ..AnnouncementDiff::default() };
        for announcement in announcements {
            if announcement.name == self.own_name {
                diff.own_is_missing = false;
            } else if self.apply_announcement(announcement, now) {
                diff.discovered.push(announcement.clone());
            }
        }
        let is_settled =
            self.own_written_at.is_some_and(|written| now.since(written) >= LISTED_AFTER);
        let certain_for = self.cfg.gone_after.share(MAX_CERTAIN_SHARE);
        self.certain_until = (is_settled && !diff.own_is_missing).then(|| now.plus(certain_for));
        let active_for = self.cfg.active_for;
        let names: HashSet<&str> =
            announcements.iter().map(|announcement| &*announcement.name).collect();
        self.gateways.retain(|name, gateway| {
            gateway.announced_revision =
                gateway.announced_revision.filter(|_| names.contains(&**name));
            gateway.announced_revision.is_some() || now.since(gateway.last_activity()) < active_for
        });
        diff
    }

    /// Returns true when the gateway is new or has a new address. The address of a recent message
    /// takes precedence over the announcement, which may stem from the gateway's previous start. A
    /// rewritten announcement counts as a sign of life.
    fn apply_announcement(&mut self, announcement: &GatewayAnnouncement, now: Millis) -> bool {
        let (address, revision) = (announcement.address, Some(announcement.revision));
        let active_for = self.cfg.active_for;
        if let Some(gateway) = self.gateways.get_mut(&announcement.name) {
            if gateway.announced_revision.is_some() && gateway.announced_revision != revision {
                gateway.changed_at = now;
            }
            gateway.announced_revision = revision;
            gateway.data_centre.clone_from(&announcement.data_centre);
            let has_recent_message =
                gateway.last_message.is_some_and(|at| now.since(at) < active_for);
            if gateway.address == address || has_recent_message {
                return false;
            }
        }
        let gateway = Gateway {
            address,
            changed_at: now,
            last_message: None,
            announced_revision: revision,
            data_centre: announcement.data_centre.clone(),
        };
        self.insert(announcement.name.clone(), gateway);
        true
    }

    fn insert(&mut self, name: Arc<str>, gateway: Gateway) {
        self.gateways.insert(name, gateway);
        if self.gateways.len() > self.cfg.max_gateways {
            let oldest = self
                .gateways
                .iter()
                .min_by_key(|(name, gateway)| (gateway.last_activity(), (*name).clone()));
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.gateways.remove(&name);
            }
        }
    }

    /// Addresses of active gateways: those to send each change to.
    pub fn active_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        self.active(now).map(|(_, gateway)| gateway.address).collect()
    }

    /// Names and addresses of active gateways.
    pub fn active_gateways(&self, now: Millis) -> Vec<(Arc<str>, SocketAddr)> {
        self.active(now).map(|(name, gateway)| (name.clone(), gateway.address)).collect()
    }

    fn active(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, &Gateway)> {
        self.gateways
            .iter()
            .filter(move |(_, gateway)| now.since(gateway.last_activity()) < self.cfg.active_for)
    }

    /// Addresses of the active gateways that come first in rendezvous order for a key, at most
    /// `count`. Gateways that know the same others find the same ones.
    ///
    /// ```
    /// use bulrushusher_forward::{GatewayDirectory, GatewayDirectoryConfig};
    /// use bulrushusher_time::Millis;
    /// let mut gateways =
    ///     GatewayDirectory::new(GatewayDirectoryConfig::default(), "entry-1".into());
    /// let address = |nth: u8| ([10, 0, 0, nth], 7_000).into();
    /// (2..9).for_each(|nth| {
    ///     gateways.record_message(&format!("entry-{nth}"), address(nth), Millis(0));
    /// });
    /// let first = gateways.first_for("key", 2, Millis(0));
    /// assert_eq!(first, gateways.first_for("key", 4, Millis(0))[..2]);
    /// ```
    pub fn first_for(&self, key: &str, count: usize, now: Millis) -> Vec<SocketAddr> {
        let mut active: Vec<(&Arc<str>, &Gateway)> = self.active(now).collect();
        let rank = ranking(key);
        active.sort_unstable_by_key(|(name, _)| std::cmp::Reverse(rank(name)));
        active.into_iter().take(count).map(|(_, gateway)| gateway.address).collect()
    }

    /// Address at which a gateway receives messages.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.gateways.get(name).map(|gateway| gateway.address)
    }

    /// Addresses of all known gateways. Full reports go to all of them, so that gateways behind a
    /// healed partition are reached too.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.values().map(|gateway| gateway.address).collect()
    }

    /// Addresses of the gateways whose data centre is known, with it.
    pub fn data_centres(&self) -> impl Iterator<Item = (SocketAddr, &DataCentreName)> {
        self.gateways.values().filter_map(|it| Some((it.address, it.data_centre.as_ref()?)))
    }

    /// Expired announcements for this gateway to remove, each on condition that its revision is
    /// unchanged. Empty while there is no recent message from any other gateway, as this one may
    /// then be the partitioned one. Among gateways that receive each other's messages, rendezvous
    /// hashing assigns each announcement to one of them. Across a partition each announcement is
    /// removed and rewritten once per [`GatewayDirectoryConfig::gone_after`].
    pub fn expired_announcements(&self, now: Millis) -> Vec<GatewayAnnouncement> {
        let has_recent_message = |gateway: &Gateway| {
            gateway.last_message.is_some_and(|at| now.since(at) < self.cfg.active_for)
        };
        let announced =
            self.gateways.iter().filter(|(_, gateway)| gateway.announced_revision.is_some());
        if !self.gateways.values().any(has_recent_message) {
            return Vec::new();
        }
        let expired = announced
            .filter(|(_, gateway)| now.since(gateway.last_activity()) >= self.cfg.gone_after);
        let assigned =
            expired.filter(|(name, _)| self.is_responsible_for(name, has_recent_message));
        let mut assigned: Vec<GatewayAnnouncement> = assigned
            .filter_map(|(name, gateway)| {
                let (name, address) = (name.clone(), gateway.address);
                let data_centre = gateway.data_centre.clone();
                let revision = gateway.announced_revision?;
                Some(GatewayAnnouncement { name, address, revision, data_centre })
            })
            .collect();
        assigned.sort_by(|a, b| a.name.cmp(&b.name));
        assigned.truncate(self.cfg.max_removals);
        assigned
    }

    /// True when this gateway comes first in rendezvous order among those with recent messages.
    fn is_responsible_for(
        &self,
        name: &str,
        has_recent_message: impl Fn(&Gateway) -> bool,
    ) -> bool {
        let live = self.gateways.iter().filter(|(_, gateway)| has_recent_message(gateway));
        is_among_first(1, name, &self.own_name, live.map(|(other, _)| &**other))
    }
}
