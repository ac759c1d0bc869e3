//! Announces this gateway in the store, discovers the other gateways there, and removes the
//! announcements of gateways that are gone.

use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::{AnnouncementDiff, GatewayAnnouncement, GatewayDirectory};
use bulrushusher_time::Millis;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::dialect::{Announcement, PlatformStore};
use crate::lifecycle::Lifecycle;
use crate::shared::SharedState;

/// Delays between reads of the announcements after the start. The last one repeats.
const READ_DELAYS: [Millis; 4] = [Millis(0), Millis(1_000), Millis(3_000), Millis(15_000)];

/// Maximum delay between reads until the gateways that share cold runners are certain.
const UNCERTAIN_READ_DELAY: Millis = Millis(3_000);

/// Delay before a failed announcement is retried.
const ANNOUNCE_RETRY: Millis = Millis(700);

/// Maximum age of a list of announcements. The own announcement counts as missing only
/// if it was written longer ago than this.
const MAX_LIST_AGE: Millis = Millis(10_000);

/// Timeout of a call to the store. A healthy store answers within milliseconds.
const STORE_TIMEOUT: Millis = Millis(500);

/// The stored value of an announcement.
#[derive(Debug, Serialize, Deserialize)]
struct AnnouncementValue {
    address: SocketAddr,
    /// Data centre of the gateway; earlier versions announce none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    data_centre: Option<String>,
    /// When it was written, by the clock of its VM; 0 if an earlier version of the gateway wrote it.
    #[serde(default)]
    written_at: Millis,
}

/// An announcement of this gateway that the store has accepted.
#[derive(Clone, Copy, Debug)]
struct OwnAnnouncement {
    revision: u64,
    at: Millis,
}

/// Maintains this gateway's announcement and the directory of gateways.
#[derive(Debug)]
pub(crate) struct Announcer<S> {
    store: S,
    shared: Arc<SharedState>,
    lifecycle: Lifecycle,
    /// Address at which this gateway receives datagrams from its peers.
    address: SocketAddr,
    /// Gateways that were discovered.
    pub directory: Mutex<GatewayDirectory>,
    own: Mutex<Option<OwnAnnouncement>>,
}

impl<S: PlatformStore> Announcer<S> {
    pub(crate) fn new(
        store: S,
        shared: Arc<SharedState>,
        lifecycle: Lifecycle,
        address: SocketAddr,
    ) -> Announcer<S> {
        let cfg = shared.cfg();
        let directory = Mutex::new(GatewayDirectory::new(cfg.gateways, cfg.name.as_str().into()));
        Announcer { store, shared, lifecycle, address, directory, own: Mutex::new(None) }
    }

    /// Announces this gateway again whenever the store was restored from an older copy.
    pub(crate) async fn keep_announced(&self) {
        let mut restores = self.shared.store_restores();
        loop {
            if restores.changed().await.is_err() {
                return;
            }
            // Random, because all gateways detect the restore at the same time.
            let pause = self.shared.draw() * ANNOUNCE_RETRY.0 as f64;
            tokio::time::sleep(Millis(pause as u64).duration()).await;
            self.announce().await;
        }
    }

    /// Announces this gateway. Retries until it succeeds or the gateway stops.
    pub(crate) async fn announce(&self) {
        let cfg = self.shared.cfg();
        while !self.lifecycle.is_stopping() {
            let data_centre = Some(cfg.data_centre.as_str().to_owned());
            let written_at = self.shared.now();
            let value = AnnouncementValue { address: self.address, data_centre, written_at };
            let value = match serde_json::to_value(value) {
                Ok(value) => value,
                Err(e) => {
                    return log::error!("peers: announcement cannot be written cause=\"{e}\"");
                }
            };
            match self.store.announce(cfg.name.as_str(), value, STORE_TIMEOUT).await {
                Ok(revision) => {
                    let at = self.shared.now();
                    *self.own.lock() = Some(OwnAnnouncement { revision, at });
                    self.directory.lock().record_own_announcement(at);
                    self.publish_known_gateways();
                    return;
                }
                Err(e) => log::info!("peers: announcement failed, retrying cause=\"{e}\""),
            }
            tokio::time::sleep(ANNOUNCE_RETRY.duration()).await;
        }
    }

    /// Withdraws the announcement when this gateway stops.
    pub(crate) async fn retract(&self) {
        let Some(own) = self.own.lock().take() else { return };
        let name = self.shared.cfg().name.to_string();
        match self.store.retract(&name, own.revision, STORE_TIMEOUT).await {
            Ok(done) => log::info!("peers: own announcement withdrawn done={done}"),
            Err(e) => log::info!("peers: own announcement not withdrawn cause=\"{e}\""),
        }
    }

    /// Reuses the announcement of this gateway's previous start, if its address and data centre are
    /// the same. The list is at most some seconds old, and a later read detects that the
    /// announcement is gone.
    fn take_over(&self, listed: &[Announcement]) -> bool {
        let cfg = self.shared.cfg();
        let name = cfg.name.to_string();
        let own = listed.iter().find(|it| it.gateway == name).cloned();
        let written_at = own.as_ref().map_or(Millis(0), written_at);
        let is_unchanged = |it: &GatewayAnnouncement| {
            it.address == self.address && it.data_centre.as_ref() == Some(&cfg.data_centre)
        };
        let Some(last) = own.and_then(parse).filter(is_unchanged) else { return false };
        let (revision, at) = (last.revision, self.shared.now());
        *self.own.lock() = Some(OwnAnnouncement { revision, at });
        self.directory.lock().record_own_announcement(written_at);
        log::info!("peers: reusing the announcement of the previous start revision={revision}");
        true
    }

    /// Removes the announcement of this gateway's previous start, which the store would not replace.
    async fn remove_previous(&self, listed: &[Announcement]) {
        let name = self.shared.cfg().name.to_string();
        let Some(last) = listed.iter().find(|it| it.gateway == name) else { return };
        if let Err(e) = self.store.retract(&name, last.revision, STORE_TIMEOUT).await {
            log::info!("peers: previous announcement not removed cause=\"{e}\"");
        }
    }

    /// Reads all announcements. Empty if the store does not answer.
    async fn read_announcements(&self) -> Vec<Announcement> {
        self.store.list_announcements(STORE_TIMEOUT).await.unwrap_or_else(|e| {
            log::info!("peers: announcements could not be read cause=\"{e}\"");
            Vec::new()
        })
    }

    /// Waits for the `nth` read of the announcements, then reads them. Returns the addresses of
    /// newly discovered gateways.
    pub(crate) async fn read(&self, nth: usize) -> Vec<SocketAddr> {
        let mut wait = READ_DELAYS[nth.min(READ_DELAYS.len() - 1)];
        if self.directory.lock().known_gateways().certain_until.is_none() {
            wait = wait.min(UNCERTAIN_READ_DELAY);
        }
        tokio::time::sleep(wait.duration()).await;
        let mut announced = self.read_announcements().await;
        if nth == 0 && !self.take_over(&announced) {
            // Announcing before the second read ensures that of gateways which start together at
            // least one discovers the other.
            self.remove_previous(&announced).await;
            self.announce().await;
            announced = self.read_announcements().await;
        }
        if announced.is_empty() {
            return Vec::new();
        }
        let diff = self.apply(announced);
        if diff.own_is_missing && self.is_announcement_settled() {
            log::info!(
                "peers: announcing again cause=\"the announcement is missing from the store\""
            );
            self.announce().await;
        }
        self.remove_expired().await;
        diff.discovered.into_iter().map(|announced| announced.address).collect()
    }

    fn apply(&self, announced: Vec<Announcement>) -> AnnouncementDiff {
        let readable: Vec<GatewayAnnouncement> = announced.into_iter().filter_map(parse).collect();
        self.shared.set_announced_gateways(readable.len().saturating_sub(1));
        let diff = self.directory.lock().apply_announcements(&readable, self.shared.now());
        self.publish_known_gateways();
        for GatewayAnnouncement { name, address, .. } in &diff.discovered {
            log::info!("peers: found name={name} address={address}");
        }
        diff
    }

    /// Passes the known gateways on to the limits on cold runners.
    pub(crate) fn publish_known_gateways(&self) {
        let known = self.directory.lock().known_gateways();
        self.shared.set_known_gateways(known);
    }

    fn is_announcement_settled(&self) -> bool {
        let now = self.shared.now();
        self.own.lock().is_some_and(|own| now.since(own.at) >= MAX_LIST_AGE)
    }

    /// Removes the announcements of gateways that are gone, unless they were written again
    /// meanwhile.
    async fn remove_expired(&self) {
        let expired = self.directory.lock().expired_announcements(self.shared.now());
        for GatewayAnnouncement { name, revision, .. } in expired {
            match self.store.retract(&name, revision, STORE_TIMEOUT).await {
                Ok(done) => {
                    log::info!("peers: expired announcement removed name={name} done={done}");
                }
                Err(e) => {
                    log::info!("peers: expired announcement not removed name={name} cause=\"{e}\"");
                }
            }
        }
    }
}

/// When an announcement was written; 0 if that is not known.
fn written_at(announcement: &Announcement) -> Millis {
    let value = serde_json::from_value::<AnnouncementValue>(announcement.value.clone());
    value.map_or(Millis(0), |value| value.written_at)
}

/// Parses an announcement. `None` if another writer has stored something else.
fn parse(announcement: Announcement) -> Option<GatewayAnnouncement> {
    let Announcement { gateway, value, revision } = announcement;
    match serde_json::from_value::<AnnouncementValue>(value) {
        Ok(value) => {
            let data_centre = value.data_centre.and_then(|name| name.as_str().try_into().ok());
            let (name, address) = (gateway.into(), value.address);
            Some(GatewayAnnouncement { name, address, revision, data_centre })
        }
        Err(e) => {
            log::warn!("peers: announcement cannot be read name={gateway} cause=\"{e}\"");
            None
        }
    }
}
