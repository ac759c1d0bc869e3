//! Reports this gateway's requests at runners to the other gateways, and receives their reports.
//!
//! Reports are hints; the responses of the runners are authoritative. Most reports are deltas. Full
//! reports follow periodically, and at once for a peer that missed some. Gateways discover each
//! other by their announcements in the store, and also report to every gateway that they receive a
//! datagram from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bulrushusher_forward::{DeltaOutcome, GatewayDelta, GatewayReport};
use bulrushusher_routing::CrashUpdate;
use bulrushusher_time::Millis;
use tokio::net::UdpSocket;

use crate::dialect::PlatformStore;
use crate::peers::announcing::Announcer;
use crate::peers::report_codec::{self, Datagram, Message};
use crate::shared::SharedState;
use crate::store::intake::Intake;

/// Minimum time between two reports, so that the placements of a burst share a few datagrams.
const MIN_REPORT_INTERVAL: Millis = Millis(8);

/// Maximum time between two reports, so that peers see that this gateway is live.
const MAX_REPORT_INTERVAL: Millis = Millis(700);

/// Time between two full reports. Meanwhile the peers' estimates of runs are off by some tens of
/// tokens.
const FULL_REPORT_INTERVAL: Millis = Millis(1_000);

/// Minimum time between two requested full reports to one peer, which may miss several reports
/// together.
const FULL_RESEND_INTERVAL: Millis = Millis(100);

/// Minimum time between two requests for a full report to one peer. It arrives within some
/// milliseconds, unless the link is so congested that another request makes it worse.
const FULL_REQUEST_INTERVAL: Millis = Millis(200);

/// Number of peers that a starting gateway requests a full report from. Some of them may have just
/// started too, and not know the usage of client accounts either.
const FIRST_REQUESTS: usize = 4;

/// Number of times that a crash update is sent. With 10 % datagram loss, one in a thousand peers
/// receives none of three; it then learns of the crash from the store and the replies of peers.
const CRASH_UPDATE_SENDS: u32 = 3;

/// Time between these sends: longer than a burst that congests a link for a moment.
const CRASH_RESEND_INTERVAL: Millis = Millis(300);

/// Maximum datagram size in bytes, for a report with some hundreds of runs.
const MAX_DATAGRAM: usize = 60_000;

/// The task that communicates with the peers.
#[derive(Debug)]
pub(crate) struct PeerMessenger<S> {
    pub announcer: Arc<Announcer<S>>,
    pub shared: Arc<SharedState>,
    pub intake: Arc<Intake>,
    pub sent: parking_lot::Mutex<SentReports>,
    /// Revision up to which this gateway has forwarded changes of the runner list.
    pub forwarded_revision: AtomicU64,
}

impl<S: PlatformStore> PeerMessenger<S> {
    /// Sends and receives until dropped.
    pub(crate) async fn run(self, socket: UdpSocket) {
        tokio::join!(
            self.discover(&socket),
            self.receive(&socket),
            self.send_reports(&socket),
            self.send_crash_updates(&socket),
            self.announcer.keep_announced(),
            self.follow_relays(&socket),
            self.forward_changes(&socket),
        );
    }

    /// Discovers peers by their announcements, and sends each new one a full report. A gateway that
    /// has just started requests one from the first few.
    async fn discover(&self, socket: &UdpSocket) {
        for nth in 0.. {
            let discovered = self.announcer.read(nth).await;
            if self.shared.needs_usage() {
                let asked = &discovered[..discovered.len().min(FIRST_REQUESTS)];
                self.send_message(socket, Message::RequestFull, asked).await;
            }
            for address in discovered {
                self.send_full_report(socket, address).await;
            }
        }
    }

    /// Sends a full report to a newly discovered peer. It is sent to this peer only: sending it to
    /// all would make the datagrams between starting gateways grow with the square of their number.
    async fn record_sender(&self, socket: &UdpSocket, name: &str, address: SocketAddr) {
        let now = self.shared.now();
        if self.announcer.directory.lock().record_message(name, address, now) {
            log::info!("peers: found name={name} address={address}");
            self.announcer.publish_known_gateways();
            self.send_full_report(socket, address).await;
        }
    }

    async fn receive(&self, socket: &UdpSocket) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let (len, from) = match socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    log::debug!("peers: cannot receive cause=\"{e}\"");
                    tokio::time::sleep(MIN_REPORT_INTERVAL.duration()).await;
                    continue;
                }
            };
            match report_codec::decode(&buf[..len]) {
                Ok(datagram) => {
                    self.handle_message(socket, &datagram.from, datagram.message, from).await;
                    self.record_sender(socket, &datagram.from, from).await;
                }
                Err(e) => log::debug!("peers: datagram ignored from={from} cause=\"{e}\""),
            }
        }
    }

    async fn handle_message(
        &self,
        socket: &UdpSocket,
        name: &str,
        message: Message,
        from: SocketAddr,
    ) {
        match message {
            Message::Full(report) => self.shared.merge_report(name, report),
            Message::Delta(delta) => {
                if self.shared.apply_delta(name, delta) == DeltaOutcome::Gap
                    && self.may_request_full(from)
                {
                    self.send_message(socket, Message::RequestFull, &[from]).await;
                }
            }
            Message::RequestFull => self.send_full_report(socket, from).await,
            Message::CrashUpdate(update) => {
                let reply = self.shared.apply_crash_update(name, &update);
                if !reply.is_empty() {
                    self.send_message(socket, Message::CrashReply(reply), &[from]).await;
                }
            }
            Message::CrashReply(update) => {
                self.shared.apply_crash_update(name, &update);
            }
            Message::StoreChanges(update) => {
                self.apply_store_changes(socket, name, update, from).await;
            }
            Message::RequestRunners(req) => self.send_delta(socket, &req, from).await,
            Message::HistoryGone => self.shared.store_poll_due.notify_one(),
        }
    }

    /// True if no full report was requested from the peer a moment ago.
    fn may_request_full(&self, peer: SocketAddr) -> bool {
        let now = self.shared.now();
        claim_interval(&mut self.sent.lock().requested_at, peer, FULL_REQUEST_INTERVAL, now)
    }

    /// Sends the last report in full to a peer that missed it.
    async fn send_full_report(&self, socket: &UdpSocket, to: SocketAddr) {
        let now = self.shared.now();
        let report = {
            let mut sent = self.sent.lock();
            let is_due = claim_interval(&mut sent.resent_at, to, FULL_RESEND_INTERVAL, now);
            sent.report.clone().filter(|_| is_due)
        };
        if let Some(mut report) = report {
            report.spends = self.shared.resync_usage();
            self.send_message(socket, Message::Full(report), &[to]).await;
        }
    }

    async fn send_reports(&self, socket: &UdpSocket) {
        let incarnation = self.shared.now().0;
        let mut sequence = 0;
        loop {
            // The first report is sent at once, so that newly discovered peers can receive it.
            if sequence > 0 {
                self.wait_until_due().await;
            }
            sequence += 1;
            let message = self.next_message(self.shared.report(incarnation, sequence));
            let peers = {
                let directory = self.announcer.directory.lock();
                match message {
                    // Full reports also go to gateways that were unreachable, so that they
                    // reconnect.
                    Message::Full(_) => directory.all_addresses(),
                    _ => directory.active_addresses(self.shared.now()),
                }
            };
            self.send_message(socket, message, &peers).await;
            tokio::time::sleep(MIN_REPORT_INTERVAL.duration()).await;
        }
    }

    /// Waits until a report is due: after a change, while a pool of plain calls is busy, and at the
    /// latest after [`MAX_REPORT_INTERVAL`].
    async fn wait_until_due(&self) {
        let began = self.shared.now();
        loop {
            let left = MAX_REPORT_INTERVAL.since(self.shared.now().since(began));
            let interval = self.shared.call_report_interval().unwrap_or(MAX_REPORT_INTERVAL);
            let changed = self.shared.report_due.notified();
            let wait = interval.min(left).duration();
            let is_changed = tokio::time::timeout(wait, changed).await.is_ok();
            if is_changed || interval >= left || self.shared.is_call_report_due() {
                return;
            }
        }
    }

    /// Sends updates on requests that crash runners, at once and then repeatedly, since datagrams
    /// may be lost.
    async fn send_crash_updates(&self, socket: &UdpSocket) {
        let mut update = CrashUpdate::default();
        let mut sends_left = 0;
        loop {
            let due = self.shared.crash_update_due.notified();
            match sends_left {
                0 => due.await,
                _ => drop(tokio::time::timeout(CRASH_RESEND_INTERVAL.duration(), due).await),
            }
            let new = self.shared.take_crash_update();
            if !new.is_empty() {
                sends_left = CRASH_UPDATE_SENDS;
            }
            update.merge(new);
            let peers = self.announcer.directory.lock().all_addresses();
            self.send_message(socket, Message::CrashUpdate(update.clone()), &peers).await;
            sends_left = sends_left.saturating_sub(1);
            if sends_left == 0 {
                update = CrashUpdate::default();
            }
        }
    }

    /// The message for a report: a delta, or a full report if one is due.
    fn next_message(&self, mut report: GatewayReport) -> Message {
        let now = self.shared.now();
        let mut sent = self.sent.lock();
        let is_due = now.since(sent.full_sent_at) >= FULL_REPORT_INTERVAL;
        report.spends = self.shared.take_usage(is_due || sent.report.is_none());
        let before = sent.report.replace(report.clone());
        match before.filter(|_| !is_due) {
            Some(before) => Message::Delta(GatewayDelta::between(&before, &report)),
            None => {
                report.speeds = self.shared.take_speed_reports();
                sent.full_sent_at = now;
                sent.resent_at.clear();
                sent.requested_at.clear();
                Message::Full(report)
            }
        }
    }

    pub(super) async fn send_message(
        &self,
        socket: &UdpSocket,
        message: Message,
        to: &[SocketAddr],
    ) {
        let from = self.shared.cfg().name.to_string();
        match report_codec::encode(&Datagram { from, message }) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => send_to_all(socket, &bytes, to).await,
            Ok(bytes) => log::warn!(
                "peers: message exceeds the datagram size limit, not sent bytes={}",
                bytes.len()
            ),
            Err(e) => log::error!("peers: message cannot be encoded cause=\"{e}\""),
        }
    }
}

/// Records a send to a peer, unless one was recorded within `interval`. Returns whether it did.
fn claim_interval(
    last_at: &mut BTreeMap<SocketAddr, Millis>,
    peer: SocketAddr,
    interval: Millis,
    now: Millis,
) -> bool {
    let is_over = last_at.get(&peer).is_none_or(|at| now.since(*at) >= interval);
    if is_over {
        last_at.insert(peer, now);
    }
    is_over
}

/// The last report, and what was sent since the last full one.
#[derive(Debug, Default)]
pub(crate) struct SentReports {
    report: Option<GatewayReport>,
    full_sent_at: Millis,
    /// Peers that requested a full report since, and when it was sent.
    resent_at: BTreeMap<SocketAddr, Millis>,
    /// Peers that a full report was requested from since, and when.
    requested_at: BTreeMap<SocketAddr, Millis>,
}

async fn send_to_all(socket: &UdpSocket, bytes: &[u8], peers: &[SocketAddr]) {
    for peer in peers {
        if let Err(e) = socket.send_to(bytes, peer).await {
            log::debug!("peers: cannot send peer={peer} cause=\"{e}\"");
        }
    }
}
