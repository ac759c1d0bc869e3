//! Passes the store's changes on to gateways that do not watch it, and hears them from those that do.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use bulrushusher_forward::{DeltaRequest, PageOutcome, RunnerDelta, SeenRevisions};
use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::dialect::{PlatformStore, Topic};
use crate::knowledge::ToldRouting;
use crate::peers::report_codec::Word;
use crate::peers::speaking::Peers;

/// How often it is looked who watches the store, and what was missed.
const LOOK_EVERY: Millis = Millis(100);

/// How long a change may be known to others before a relay is asked for it: relays tell it themselves, and
/// a gateway that watches hears of it within such a time.
const ASK_AFTER: Millis = Millis(250);

/// Time between two questions to relays: an answer comes within some milliseconds.
const ASK_AGAIN: Millis = Millis(150);

/// Questions without an answer after which the store itself is asked.
const MOST_ASKED: u32 = 6;

/// What a relay passes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoreNews {
    /// The last changes that it knows.
    pub news: SeenRevisions,
    /// What changed in the list of runners.
    pub runners: Option<RunnerDelta>,
    /// What the last change of the configuration was.
    pub routing: Option<ToldRouting>,
}

/// A change that others know and this gateway does not.
#[derive(Clone, Copy, Debug, Default)]
struct Behind {
    since: Option<Millis>,
    asked_at: Option<Millis>,
    asked: u32,
}

impl<S: PlatformStore> Peers<S> {
    /// Looks who watches the store, and asks relays for what was missed.
    pub(crate) async fn keep_up(&self, socket: &UdpSocket) {
        let mut behind = Behind::default();
        loop {
            tokio::time::sleep(LOOK_EVERY.duration()).await;
            self.knowledge.update_relays();
            if !self.knowledge.tells() {
                // What came before this gateway is a relay is for others to tell.
                self.told_store.store(self.knowledge.logged_revision(), Ordering::Relaxed);
            }
            let Some(change) = self.knowledge.runners_missed() else {
                behind = Behind::default();
                continue;
            };
            let now = self.knowledge.now();
            let since = *behind.since.get_or_insert(now);
            let is_asked = behind.asked_at.is_some_and(|at| now.since(at) < ASK_AGAIN);
            if now.since(since) < ASK_AFTER || is_asked {
                continue;
            }
            if behind.asked >= MOST_ASKED {
                log::info!("relays: no answer asked={} revision={change}", behind.asked);
                self.knowledge.store_due.notify_one();
                behind = Behind::default();
                continue;
            }
            behind.asked += 1;
            behind.asked_at = Some(now);
            self.ask_a_relay(socket, change).await;
        }
    }

    async fn ask_a_relay(&self, socket: &UdpSocket, change: u64) {
        let relays = self.knowledge.relays_that_know(change);
        let nth = (self.knowledge.draw() * relays.len() as f64) as usize;
        let Some(relay) = relays.get(nth) else { return };
        let address = self.announcer.known.lock().address_of(relay);
        let Some(address) = address else { return };
        let after = self.knowledge.news_seen(Topic::Runners);
        log::info!("relays: asked name={relay} after={after} revision={change}");
        let req = DeltaRequest { after, page_after: None };
        self.write(socket, Word::AskRunners(req), &[address]).await;
    }

    /// Answers a gateway that missed changes of the list of runners.
    pub(crate) async fn answer_delta(
        &self,
        socket: &UdpSocket,
        req: &DeltaRequest,
        to: SocketAddr,
    ) {
        let news = self.knowledge.news_told();
        let word = match self.knowledge.delta(req) {
            None => Word::NotRemembered,
            runners => Word::Store(StoreNews { news, runners, routing: None }),
        };
        self.write(socket, word, &[to]).await;
    }

    /// Takes in what a relay passes on.
    pub(crate) async fn hear_store(&self, socket: &UdpSocket, told: StoreNews, from: SocketAddr) {
        if let Some(page) = told.runners {
            match self.knowledge.sort_delta(page) {
                PageOutcome::Apply(delta) => self.intake.take_delta(delta),
                PageOutcome::Missing(req) => {
                    self.write(socket, Word::AskRunners(req), &[from]).await;
                }
                PageOutcome::Known => {}
                PageOutcome::OtherEra => self.knowledge.store_due.notify_one(),
            }
        }
        if let Some(change) = told.routing {
            self.knowledge.take_routing_change(change);
        }
        self.knowledge.hear_store_news(told.news);
    }

    /// The last change of the configuration, unless it was told before.
    fn routing_to_tell(&self, told_version: &mut u64) -> Option<ToldRouting> {
        let change = self.knowledge.routing_change()?;
        let version = change.delta.version;
        let is_new = std::mem::replace(told_version, version) != version;
        is_new.then_some(change)
    }

    /// Passes each change on, while this gateway is a relay.
    pub(crate) async fn tell_store(&self, socket: &UdpSocket) {
        let mut told_version = 0;
        loop {
            self.knowledge.tell_due.notified().await;
            if !self.knowledge.tells() {
                continue;
            }
            let after = self.told_store.load(Ordering::Relaxed);
            let delta = self.knowledge.delta(&DeltaRequest { after, page_after: None });
            let now = self.knowledge.now();
            let known = self.announcer.known.lock().active_gateways(now);
            let listeners = self.knowledge.listeners(&known);
            if listeners.is_empty() {
                continue;
            }
            let runners = delta.filter(|it| it.revision > after && !it.changes.is_empty());
            if let Some(delta) = &runners {
                self.told_store.store(delta.revision, Ordering::Relaxed);
            }
            let news = self.knowledge.news_told();
            let routing = self.routing_to_tell(&mut told_version);
            self.write(socket, Word::Store(StoreNews { news, runners, routing }), &listeners).await;
        }
    }
}
