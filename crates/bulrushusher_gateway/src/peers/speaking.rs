//! Tells the other gateways what this one has at runners, and hears the same of them.
//!
//! What they say are hints, and a runner's own word decides. Most reports tell what changed since the
//! one before; a whole one follows now and then, and at once to a peer that missed some. Gateways find
//! each other by their announcements in the store, and whoever is heard of is told too.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bulrushusher_forward::{DeltaOutcome, GatewayDelta, GatewayReport};
use bulrushusher_routing::CrashUpdate;
use bulrushusher_time::Millis;
use tokio::net::UdpSocket;

use crate::dialect::PlatformStore;
use crate::knowledge::Knowledge;
use crate::peers::announcing::Announcer;
use crate::peers::report_codec::{self, Datagram, Word};
use crate::store::intake::Intake;

/// Least time between two reports: a burst's placements go in a few datagrams.
const LEAST_GAP: Millis = Millis(8);

/// Longest time between two reports, so that peers know that this gateway lives.
const LONGEST_GAP: Millis = Millis(700);

/// How often a whole report is told: what peers reckon of runs meanwhile is off by some tens of tokens.
const WHOLE_EVERY: Millis = Millis(1_000);

/// Least time between two whole reports to one peer that asks: several reports may be missed together.
const ANSWER_AGAIN: Millis = Millis(100);

/// Least time between two requests to one peer for a whole report: it comes within some milliseconds, or
/// the link is so full that asking again makes it worse.
const ASK_AGAIN: Millis = Millis(200);

/// Times that a crash is told. Of three datagrams on a link that loses a tenth, one in a thousand peers
/// hears none; the store and the peers' answers tell it then.
const CRASHES_TOLD: u32 = 3;

/// Time between these: longer than a burst that fills a link for a moment.
const TELL_CRASHES_AGAIN: Millis = Millis(300);

/// Largest datagram; a report of some hundred runs.
const MAX_DATAGRAM: usize = 60_000;

/// The task that speaks with peers.
#[derive(Debug)]
pub(crate) struct Peers<S> {
    pub announcer: Arc<Announcer<S>>,
    pub knowledge: Arc<Knowledge>,
    pub intake: Arc<Intake>,
    pub last_told: parking_lot::Mutex<LastTold>,
    /// Revision up to which this gateway has passed changes of the runners' list on.
    pub told_store: AtomicU64,
}

impl<S: PlatformStore> Peers<S> {
    /// Speaks and listens until dropped.
    pub(crate) async fn speak(self, socket: UdpSocket) {
        tokio::join!(
            self.look(&socket),
            self.listen(&socket),
            self.tell(&socket),
            self.tell_crashes(&socket),
            self.announcer.keep_announced(),
            self.keep_up(&socket),
            self.tell_store(&socket),
        );
    }

    /// Finds peers by their announcements; each new one is told at once.
    async fn look(&self, socket: &UdpSocket) {
        for nth in 0.. {
            for address in self.announcer.look(nth).await {
                self.answer(socket, address).await;
            }
        }
    }

    /// Tells a peer that is new. It alone: to tell all others too would make starting gateways tell
    /// each other by the square of their number.
    async fn note_heard(&self, socket: &UdpSocket, name: &str, address: SocketAddr) {
        let now = self.knowledge.now();
        if self.announcer.known.lock().record_message(name, address, now) {
            log::info!("peers: found name={name} address={address}");
            self.answer(socket, address).await;
        }
    }

    async fn listen(&self, socket: &UdpSocket) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let (len, from) = match socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    log::debug!("peers: cannot receive cause=\"{e}\"");
                    tokio::time::sleep(LEAST_GAP.duration()).await;
                    continue;
                }
            };
            match report_codec::read(&buf[..len]) {
                Ok(datagram) => {
                    self.take_word(socket, &datagram.from, datagram.word, from).await;
                    self.note_heard(socket, &datagram.from, from).await;
                }
                Err(e) => log::debug!("peers: datagram passed over from={from} cause=\"{e}\""),
            }
        }
    }

    async fn take_word(&self, socket: &UdpSocket, name: &str, word: Word, from: SocketAddr) {
        match word {
            Word::Whole(report) => self.knowledge.hear_peer(name, report),
            Word::Changes(changes) => {
                if self.knowledge.hear_changes(name, changes) == DeltaOutcome::Gap
                    && self.may_ask(from)
                {
                    self.write(socket, Word::Missed, &[from]).await;
                }
            }
            Word::Missed => self.answer(socket, from).await,
            Word::Crashes(news) => {
                let beyond = self.knowledge.hear_crashes(name, &news);
                if !beyond.is_empty() {
                    self.write(socket, Word::CrashesBeyond(beyond), &[from]).await;
                }
            }
            Word::CrashesBeyond(news) => {
                self.knowledge.hear_crashes(name, &news);
            }
            Word::Store(news) => self.hear_store(socket, news, from).await,
            Word::AskRunners(req) => self.answer_delta(socket, &req, from).await,
            Word::NotRemembered => self.knowledge.store_due.notify_one(),
        }
    }

    /// True when a peer was not asked for a whole report a moment ago.
    fn may_ask(&self, peer: SocketAddr) -> bool {
        let now = self.knowledge.now();
        is_first_for(&mut self.last_told.lock().asked, peer, ASK_AGAIN, now)
    }

    /// Tells a peer that missed a report what was told last.
    async fn answer(&self, socket: &UdpSocket, to: SocketAddr) {
        let now = self.knowledge.now();
        let told = {
            let mut last = self.last_told.lock();
            let is_due = is_first_for(&mut last.answered, to, ANSWER_AGAIN, now);
            last.report.clone().filter(|_| is_due)
        };
        if let Some(mut report) = told {
            report.spends = self.knowledge.all_spends();
            self.write(socket, Word::Whole(report), &[to]).await;
        }
    }

    async fn tell(&self, socket: &UdpSocket) {
        let life = self.knowledge.now().0;
        let mut number = 0;
        loop {
            // The first report goes out at once: whoever is found is told it.
            if number > 0 {
                let changed = self.knowledge.report_due.notified();
                tokio::time::timeout(LONGEST_GAP.duration(), changed).await.ok();
            }
            number += 1;
            let word = self.next_word(self.knowledge.report(life, number));
            let peers = {
                let known = self.announcer.known.lock();
                match word {
                    // Whoever was cut off hears of this gateway again by a whole report.
                    Word::Whole(_) => known.all_addresses(),
                    _ => known.active_addresses(self.knowledge.now()),
                }
            };
            self.write(socket, word, &peers).await;
            tokio::time::sleep(LEAST_GAP.duration()).await;
        }
    }

    /// Tells of requests that crash runners, at once and then some times more, as a datagram may be lost.
    async fn tell_crashes(&self, socket: &UdpSocket) {
        let mut news = CrashUpdate::default();
        let mut times = 0;
        loop {
            let due = self.knowledge.crashes_due.notified();
            match times {
                0 => due.await,
                _ => drop(tokio::time::timeout(TELL_CRASHES_AGAIN.duration(), due).await),
            }
            let new = self.knowledge.take_crash_news();
            if !new.is_empty() {
                times = CRASHES_TOLD;
            }
            news.merge(new);
            let peers = self.announcer.known.lock().all_addresses();
            self.write(socket, Word::Crashes(news.clone()), &peers).await;
            times = times.saturating_sub(1);
            if times == 0 {
                news = CrashUpdate::default();
            }
        }
    }

    /// What is told of a report: what changed since the last one, or all of it when that is due.
    fn next_word(&self, mut report: GatewayReport) -> Word {
        let now = self.knowledge.now();
        let mut last = self.last_told.lock();
        let is_due = now.since(last.whole_at) >= WHOLE_EVERY;
        report.spends = self.knowledge.spends(is_due || last.report.is_none());
        let before = last.report.replace(report.clone());
        match before.filter(|_| !is_due) {
            Some(before) => Word::Changes(GatewayDelta::between(&before, &report)),
            None => {
                last.whole_at = now;
                last.answered.clear();
                last.asked.clear();
                Word::Whole(report)
            }
        }
    }

    pub(super) async fn write(&self, socket: &UdpSocket, word: Word, to: &[SocketAddr]) {
        let from = self.knowledge.cfg().name.to_string();
        match report_codec::write(&Datagram { from, word }) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => send(socket, &bytes, to).await,
            Ok(bytes) => log::warn!("peers: report too long bytes={}", bytes.len()),
            Err(e) => log::error!("peers: report cannot be written cause=\"{e}\""),
        }
    }
}

/// Notes a peer, unless that was done within `gap`.
fn is_first_for(
    noted: &mut BTreeMap<SocketAddr, Millis>,
    peer: SocketAddr,
    gap: Millis,
    now: Millis,
) -> bool {
    let is_first = noted.get(&peer).is_none_or(|at| now.since(*at) >= gap);
    if is_first {
        noted.insert(peer, now);
    }
    is_first
}

/// What was told last, and to whom again.
#[derive(Debug, Default)]
pub(crate) struct LastTold {
    report: Option<GatewayReport>,
    whole_at: Millis,
    /// Peers that asked since, and when they were answered.
    answered: BTreeMap<SocketAddr, Millis>,
    /// Peers that were asked since.
    asked: BTreeMap<SocketAddr, Millis>,
}

async fn send(socket: &UdpSocket, bytes: &[u8], peers: &[SocketAddr]) {
    for peer in peers {
        if let Err(e) = socket.send_to(bytes, peer).await {
            log::debug!("peers: not told peer={peer} cause=\"{e}\"");
        }
    }
}
