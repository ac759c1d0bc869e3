//! Selection of the gateways that watch the store, as seen by this gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bulrushusher_forward::{RelayView, Relays, RelaysConfig, StoreContact, StoreRole};
use bulrushusher_time::Millis;
use tokio::sync::watch;

use super::SharedState;
use crate::settings::GatewayConfig;

/// Part of the `configuration_in_force` time after which an unreachable relay is no longer counted.
const UNREACHABLE_SHARE: f64 = 0.5;

/// Time for which a gateway that lost the store leaves watching to other gateways.
const LOST_RETENTION: Millis = Millis(5_000);

/// The relay selection, and this gateway's contact with the store.
#[derive(Debug)]
pub(super) struct RelayState {
    relays: Relays,
    contact: StoreContact,
    contact_since: Millis,
}

impl RelayState {
    pub(super) fn new(cfg: &GatewayConfig) -> RelayState {
        RelayState {
            relays: Relays::new(relays_cfg(cfg), cfg.name.as_str().into()),
            contact: StoreContact::Idle,
            contact_since: Millis(0),
        }
    }
}

fn relays_cfg(cfg: &GatewayConfig) -> RelaysConfig {
    let silent_after = cfg.configuration_in_force.share(UNREACHABLE_SHARE);
    RelaysConfig { silent_after, ..RelaysConfig::default() }
}

impl SharedState {
    /// Subscribes to the relay selection.
    pub(crate) fn relay_view(&self) -> watch::Receiver<RelayView> {
        self.relay_view.subscribe()
    }

    /// Repeats the relay selection.
    pub(crate) fn update_relays(&self) {
        let now = self.now();
        let cfg = relays_cfg(&self.cfg());
        let peers = self.runs.lock().relay_peers(cfg.silent_after, now);
        let mut state = self.relays.lock();
        let is_expired = now.since(state.contact_since) >= LOST_RETENTION;
        if state.contact == StoreContact::Lost && is_expired && !self.is_shutting_down() {
            state.contact = StoreContact::Idle;
        }
        let contact = state.contact;
        state.relays.reconfigure(cfg);
        let view = state.relays.decide(contact, &peers, now);
        if view.role == StoreRole::Listen && contact == StoreContact::Watching {
            state.contact = StoreContact::Idle;
        }
        drop(state);
        self.relay_view.send_if_modified(|old| {
            let is_changed = *old != view;
            if old.role != view.role {
                log::info!(
                    "relays: role={:?} watching={} peers={} contact={contact:?}",
                    view.role,
                    view.watching.len(),
                    peers.len()
                );
            }
            *old = view;
            is_changed
        });
    }

    /// Records whether the store answered this gateway.
    pub(crate) fn record_contact(&self, contact: StoreContact) {
        let role = self.relay_view.borrow().role;
        let contact = match (contact, role) {
            (StoreContact::Watching, StoreRole::Listen) => StoreContact::Idle,
            _ if self.is_shutting_down() => StoreContact::Lost,
            _ => contact,
        };
        let mut state = self.relays.lock();
        state.contact_since = self.now();
        let is_changed = std::mem::replace(&mut state.contact, contact) != contact;
        drop(state);
        if is_changed {
            self.report_due.notify_one();
        }
    }

    /// Gives up watching the store at shutdown, so that another gateway takes over.
    pub(crate) fn resign_as_relay(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
        self.record_contact(StoreContact::Lost);
    }

    fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// This gateway's contact with the store, for the peers.
    pub(super) fn contact(&self) -> StoreContact {
        self.relays.lock().contact
    }

    /// True if this gateway may run the duties for which one gateway is enough.
    pub(crate) fn runs_shared_duties(&self) -> bool {
        self.relay_view.borrow().runs_shared_duties
    }

    /// True while other gateways rely on relays to receive changes.
    pub(crate) fn has_listeners(&self) -> bool {
        self.relay_view.borrow().has_listeners
    }

    /// True while this gateway forwards changes.
    pub(crate) fn forwards_changes(&self) -> bool {
        self.relay_view.borrow().forwards
    }

    /// Records that this gateway forwards its copy of the store.
    pub(crate) fn record_forward(&self) {
        self.forwarded_at.store(self.now().0, Ordering::Relaxed);
    }

    /// Time since this gateway last forwarded its copy of the store.
    pub(crate) fn time_since_forward(&self) -> Millis {
        self.now().since(Millis(self.forwarded_at.load(Ordering::Relaxed)))
    }

    /// Addresses of the `gateways` that the store does not answer, while it answers this one and
    /// there are no relays. Empty where relays forward changes.
    pub(crate) fn cut_off(&self, gateways: &[(Arc<str>, SocketAddr)]) -> Vec<SocketAddr> {
        if self.has_listeners() || self.contact() != StoreContact::Watching {
            return Vec::new();
        }
        let watching = self.relay_view.borrow().watching.clone();
        let is_cut_off = |name: &Arc<str>| !watching.contains(name);
        gateways.iter().filter(|(name, _)| is_cut_off(name)).map(|(_, address)| *address).collect()
    }

    /// Addresses of the `gateways` to which this one forwards changes.
    pub(crate) fn listeners(&self, gateways: &[(Arc<str>, SocketAddr)]) -> Vec<SocketAddr> {
        let watching = self.relay_view.borrow().watching.clone();
        let relays = &self.relays.lock().relays;
        let is_listener =
            |name: &Arc<str>| !watching.contains(name) && relays.forwards_to(&watching, name);
        gateways.iter().filter(|(name, _)| is_listener(name)).map(|(_, address)| *address).collect()
    }
}
