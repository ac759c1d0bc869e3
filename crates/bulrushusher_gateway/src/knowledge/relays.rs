//! Who watches the store, as this gateway sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bulrushusher_forward::{RelayView, Relays, RelaysConfig, StoreContact, StoreRole};
use bulrushusher_time::Millis;
use tokio::sync::watch;

use super::Knowledge;
use crate::settings::GatewayConfig;

/// Share of the time to be in force after which a silent relay counts no more.
const UNREACHABLE_SHARE: f64 = 0.5;

/// How long a gateway that the store has failed leaves watching to others.
const LOST_RETENTION: Millis = Millis(5_000);

/// The choice of relays, and what this gateway has with the store.
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

impl Knowledge {
    /// Who watches the store.
    pub(crate) fn relay_view(&self) -> watch::Receiver<RelayView> {
        self.relay_view.subscribe()
    }

    /// Looks anew who watches the store.
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

    /// The store answered this gateway, or did not.
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

    /// This gateway shuts down: another one is to watch in its place.
    pub(crate) fn resign_as_relay(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
        self.record_contact(StoreContact::Lost);
    }

    fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// What peers are told that this gateway has with the store.
    pub(super) fn contact(&self) -> StoreContact {
        self.relays.lock().contact
    }

    /// True when this gateway may carry out duties that one is enough for.
    pub(crate) fn runs_shared_duties(&self) -> bool {
        self.relay_view.borrow().runs_shared_duties
    }

    /// True while this gateway passes changes on.
    pub(crate) fn forwards_changes(&self) -> bool {
        self.relay_view.borrow().forwards
    }

    /// Those of the `known` gateways to which this one passes changes on.
    pub(crate) fn listeners(&self, gateways: &[(Arc<str>, SocketAddr)]) -> Vec<SocketAddr> {
        let watching = self.relay_view.borrow().watching.clone();
        let relays = &self.relays.lock().relays;
        let is_listener =
            |name: &Arc<str>| !watching.contains(name) && relays.forwards_to(&watching, name);
        gateways.iter().filter(|(name, _)| is_listener(name)).map(|(_, address)| *address).collect()
    }
}
