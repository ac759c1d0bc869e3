//! Forwards changes of the store to gateways that do not watch it, and receives them from relays.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use bulrushusher_forward::{DeltaRequest, PageOutcome};
use bulrushusher_time::Millis;
use tokio::net::UdpSocket;

use crate::dialect::{PlatformStore, Topic};
use crate::peers::report_codec::{Message, StoreChanges};
use crate::peers::reporting::PeerMessenger;
use crate::shared::RoutingUpdate;

/// How often the relay selection is repeated and missed changes are detected.
const CHECK_INTERVAL: Millis = Millis(100);

/// Delay between the detection of a missed change and its request from a relay. Relays forward
/// changes unasked; within this time each relay receives the change from the store, which it
/// watches.
const REQUEST_DELAY: Millis = Millis(250);

/// Time between two requests to relays. A response arrives within some milliseconds.
const REQUEST_INTERVAL: Millis = Millis(150);

/// Number of unanswered requests after which the store itself is asked.
const MAX_REQUESTS: u32 = 6;

/// A change that other gateways have received and this one has not.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    since: Option<Millis>,
    requested_at: Option<Millis>,
    requests: u32,
}

impl<S: PlatformStore> PeerMessenger<S> {
    /// Repeats the relay selection, and requests missed changes from relays.
    pub(crate) async fn follow_relays(&self, socket: &UdpSocket) {
        let mut backlog = Backlog::default();
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            self.shared.update_relays();
            if !self.shared.forwards_changes() {
                // Other relays forward the changes from before this gateway became one.
                self.forwarded_revision.store(self.shared.recorded_revision(), Ordering::Relaxed);
            }
            let Some(change) = self.shared.missed_runner_change() else {
                backlog = Backlog::default();
                continue;
            };
            let now = self.shared.now();
            let since = *backlog.since.get_or_insert(now);
            let is_pending =
                backlog.requested_at.is_some_and(|at| now.since(at) < REQUEST_INTERVAL);
            if now.since(since) < REQUEST_DELAY || is_pending {
                continue;
            }
            if backlog.requests >= MAX_REQUESTS {
                log::info!("relays: no answer asked={} revision={change}", backlog.requests);
                self.shared.store_poll_due.notify_one();
                backlog = Backlog::default();
                continue;
            }
            backlog.requests += 1;
            backlog.requested_at = Some(now);
            self.request_from_relay(socket, change).await;
        }
    }

    async fn request_from_relay(&self, socket: &UdpSocket, change: u64) {
        let relays = self.shared.relays_with(change);
        let nth = (self.shared.draw() * relays.len() as f64) as usize;
        let Some(relay) = relays.get(nth) else { return };
        let address = self.announcer.directory.lock().address_of(relay);
        let Some(address) = address else { return };
        let after = self.shared.seen_revision(Topic::Runners);
        log::info!("relays: asked name={relay} after={after} revision={change}");
        let req = DeltaRequest { after, page_after: None };
        self.send_message(socket, Message::RequestRunners(req), &[address]).await;
    }

    /// Sends changes of the runner list to a gateway that missed them.
    pub(crate) async fn send_delta(&self, socket: &UdpSocket, req: &DeltaRequest, to: SocketAddr) {
        let revisions = self.shared.own_revisions();
        let ages = self.shared.confirmation_ages();
        let message = match self.shared.delta_since(req) {
            None => Message::HistoryGone,
            runners => {
                let evacuations = self.shared.evacuations_to_forward();
                let changes = StoreChanges { revisions, runners, routing: None, evacuations, ages };
                Message::StoreChanges(changes)
            }
        };
        self.send_message(socket, message, &[to]).await;
    }

    /// Applies changes that a relay forwards.
    pub(crate) async fn apply_store_changes(
        &self,
        socket: &UdpSocket,
        relay: &str,
        changes: StoreChanges,
        from: SocketAddr,
    ) {
        if let Some(page) = changes.runners {
            match self.shared.accept_delta_page(page) {
                PageOutcome::Apply(delta) => self.intake.apply_delta(relay, delta),
                PageOutcome::Missing(req) => {
                    self.send_message(socket, Message::RequestRunners(req), &[from]).await;
                }
                PageOutcome::Known => {}
                PageOutcome::OtherEra => self.shared.store_poll_due.notify_one(),
            }
        }
        if let Some(change) = changes.routing {
            self.shared.apply_routing_update(change);
        }
        if let Some(set) = changes.evacuations {
            self.shared.apply_relayed_evacuations(relay, set, changes.revisions, &changes.ages);
        }
        self.shared.record_relay_confirmations(relay, changes.revisions, changes.ages);
        self.shared.record_relay_revisions(changes.revisions);
    }

    /// The last change of the configuration, unless it was forwarded before.
    fn unsent_routing_change(&self, forwarded_version: &mut u64) -> Option<RoutingUpdate> {
        let change = self.shared.last_routing_change()?;
        let version = change.delta.version;
        let is_new = std::mem::replace(forwarded_version, version) != version;
        is_new.then_some(change)
    }

    /// Forwards the evacuations to gateways that the store does not answer, where too few gateways
    /// run for relays.
    async fn forward_evacuations(&self, socket: &UdpSocket) {
        let now = self.shared.now();
        let gateways = self.announcer.directory.lock().active_gateways(now);
        let cut_off = self.shared.cut_off(&gateways);
        if cut_off.is_empty() {
            return;
        }
        let revisions = self.shared.own_revisions();
        let ages = self.shared.confirmation_ages();
        let evacuations = self.shared.evacuations_to_forward();
        if evacuations.is_some() {
            self.shared.record_forward();
            let (runners, routing) = (None, None);
            let changes = StoreChanges { revisions, runners, routing, evacuations, ages };
            self.send_message(socket, Message::StoreChanges(changes), &cut_off).await;
        }
    }

    /// Forwards each change, and each confirmation of the store, while this gateway is a relay.
    pub(crate) async fn forward_changes(&self, socket: &UdpSocket) {
        let mut forwarded_version = 0;
        loop {
            self.shared.forward_due.notified().await;
            if !self.shared.forwards_changes() {
                self.forward_evacuations(socket).await;
                continue;
            }
            let after = self.forwarded_revision.load(Ordering::Relaxed);
            let delta = self.shared.delta_since(&DeltaRequest { after, page_after: None });
            let now = self.shared.now();
            let gateways = self.announcer.directory.lock().active_gateways(now);
            let listeners = self.shared.listeners(&gateways);
            if listeners.is_empty() {
                continue;
            }
            let runners = delta.filter(|it| it.revision > after && !it.changes.is_empty());
            // Also after a restore of the store, which begins a new history without `after`.
            self.forwarded_revision.store(self.shared.recorded_revision(), Ordering::Relaxed);
            let revisions = self.shared.own_revisions();
            let ages = self.shared.confirmation_ages();
            let routing = self.unsent_routing_change(&mut forwarded_version);
            let evacuations = self.shared.evacuations_to_forward();
            self.shared.record_forward();
            let changes = StoreChanges { revisions, runners, routing, evacuations, ages };
            self.send_message(socket, Message::StoreChanges(changes), &listeners).await;
        }
    }
}
