//! Reports this gateway's requests at runners to the other gateways, and receives their reports.
//!
//! Reports are hints; the responses of the runners are authoritative. Most reports are deltas. Full
//! reports follow periodically, and at once for a peer that missed some. Gateways discover each
//! other by their announcements in the store, and also report to every gateway that they receive a
//! datagram from.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bulrushusher_accounts::UsageReport;
use bulrushusher_forward::{DeltaOutcome, FarReports, GatewayDelta, GatewayReport};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_routing::CrashUpdate;
use bulrushusher_time::Millis;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::dialect::PlatformStore;
use crate::peers::announcing::Announcer;
use crate::peers::peer_names::PeerNames;
use crate::peers::report_codec::{self, Datagram, Message};
use crate::shared::SharedState;
use crate::store::intake::Intake;

/// Minimum time between two reports, so that the placements of a burst share a few datagrams.
const MIN_REPORT_INTERVAL: Millis = Millis(8);

/// Maximum time between two reports, so that peers see that this gateway is live.
pub(super) const MAX_REPORT_INTERVAL: Millis = Millis(700);

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
pub(super) const MAX_DATAGRAM: usize = 60_000;

/// The task that communicates with the peers.
#[derive(Debug)]
pub(crate) struct PeerMessenger<S> {
    pub announcer: Arc<Announcer<S>>,
    pub shared: Arc<SharedState>,
    pub intake: Arc<Intake>,
    pub sent: parking_lot::Mutex<SentReports>,
    /// Names of the senders of datagrams.
    pub names: parking_lot::Mutex<PeerNames>,
    /// Addresses of the gateways of other regions.
    pub far_peers: parking_lot::Mutex<HashSet<SocketAddr>>,
    /// Notified when a report to them may be due.
    pub far_due: Notify,
    pub metrics: Arc<GatewayMetrics>,
    /// Revision up to which this gateway has forwarded changes of the runner list.
    pub forwarded_revision: AtomicU64,
}

impl<S: PlatformStore> PeerMessenger<S> {
    /// Sends and receives until dropped.
    pub(crate) async fn run(self, socket: Arc<UdpSocket>) {
        tokio::join!(
            self.discover(&socket),
            self.receive(&socket),
            self.send_reports(&socket),
            self.send_far_reports(&socket),
            self.send_call_updates(&socket),
            self.send_crash_updates(&socket),
            self.announcer.keep_announced(),
            self.follow_relays(&socket),
            self.forward_changes(&socket),
            self.send_stream_records(&socket),
        );
    }

    /// Discovers peers by their announcements, and sends each new one a full report. A gateway that
    /// has just started requests one from the first few.
    async fn discover(&self, socket: &UdpSocket) {
        for nth in 0.. {
            let discovered = self.announcer.read(nth).await;
            self.update_far_peers();
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
            self.update_far_peers();
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
                Ok(Datagram { from: name, message }) => {
                    let name = self.names.lock().resolve(&name, from);
                    let Some(name) = name else {
                        self.request_full(socket, from).await;
                        continue;
                    };
                    self.handle_message(socket, &name, message, from).await;
                    self.record_sender(socket, &name, from).await;
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
                if self.shared.apply_delta(name, delta) == DeltaOutcome::Gap {
                    self.request_full(socket, from).await;
                }
            }
            Message::Calls(update) => {
                if self.shared.merge_call_update(name, &update) == DeltaOutcome::Gap {
                    self.request_full(socket, from).await;
                }
            }
            Message::RequestFull => self.send_full_report(socket, from).await,
            Message::CrashUpdate(update) => {
                let reply = self.shared.apply_crash_update(name, &update);
                if !reply.is_empty() {
                    self.send_message(socket, Message::CrashReply(reply), &[from]).await;
                }
            }
            Message::CrashReply(reply) => self.shared.apply_crash_reply(name, &reply),
            Message::StoreChanges(update) => {
                self.apply_store_changes(socket, name, update, from).await;
            }
            Message::RequestRunners(req) => self.send_delta(socket, &req, from).await,
            Message::HistoryGone => self.shared.store_poll_due.notify_one(),
            Message::KeepStream(record) => {
                let key = record.key;
                self.shared.keep_stream(record);
                self.send_message(socket, Message::StreamKept(key), &[from]).await;
            }
            Message::StreamKept(key) => self.shared.confirm_stream(key),
            Message::FindStream(key) => {
                if let Some(record) = self.shared.find_stream(key) {
                    self.send_message(socket, Message::StreamFound(record), &[from]).await;
                }
            }
            Message::StreamFound(record) => self.shared.keep_stream(record),
            Message::FindVersions => {
                let recorded = self.shared.recorded_versions();
                if !recorded.is_empty() {
                    self.send_message(socket, Message::VersionsRecorded(recorded), &[from]).await;
                }
            }
            Message::VersionsRecorded(recorded) => self.shared.learn_recorded_versions(recorded),
        }
    }

    /// Requests a full report, unless one was requested from the peer a moment ago.
    async fn request_full(&self, socket: &UdpSocket, peer: SocketAddr) {
        let now = self.shared.now();
        let is_due =
            claim_interval(&mut self.sent.lock().requested_at, peer, FULL_REQUEST_INTERVAL, now);
        if is_due {
            self.send_message(socket, Message::RequestFull, &[peer]).await;
        }
    }

    /// Sends the last report in full to a peer that missed it.
    async fn send_full_report(&self, socket: &UdpSocket, to: SocketAddr) {
        let now = self.shared.now();
        let report = {
            let mut sent = self.sent.lock();
            let is_due = claim_interval(&mut sent.resent_at, to, FULL_RESEND_INTERVAL, now);
            let last = if self.is_far(to) { sent.far.last() } else { sent.report.as_ref() };
            last.cloned().filter(|_| is_due)
        };
        if let Some(mut report) = report {
            report.spends = self.shared.resync_usage();
            report.calls = self.shared.last_call_report();
            self.send_message(socket, Message::Full(report), &[to]).await;
        }
    }

    async fn send_reports(&self, socket: &UdpSocket) {
        let incarnation = self.shared.now().0;
        let mut sequence = 0;
        loop {
            // The first report is sent at once, so that newly discovered peers can receive it.
            let is_changed = sequence == 0 || self.wait_until_due().await;
            let report = self.shared.report(incarnation, sequence + 1);
            let Some(message) = self.next_message(report, is_changed) else { continue };
            sequence += 1;
            let peers = match message {
                // Full reports also go to gateways that were unreachable, so that they reconnect.
                Message::Full(_) => self.announcer.directory.lock().all_addresses(),
                _ => self.active_peers().0,
            };
            self.send_message(socket, message, &peers).await;
            tokio::time::sleep(MIN_REPORT_INTERVAL.duration()).await;
        }
    }

    /// Waits until a report is due: after a change, and at the latest after
    /// [`MAX_REPORT_INTERVAL`]. Returns whether something has changed.
    async fn wait_until_due(&self) -> bool {
        let changed = self.shared.report_due.notified();
        tokio::time::timeout(MAX_REPORT_INTERVAL.duration(), changed).await.is_ok()
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

    /// The message for a report: a delta, or a full report if one is due. `None` if nothing is due
    /// and updates on plain calls show the peers that this gateway is live.
    fn next_message(&self, mut report: GatewayReport, is_changed: bool) -> Option<Message> {
        let now = self.shared.now();
        let mut sent = self.sent.lock();
        let is_due = now.since(sent.full_sent_at) >= FULL_REPORT_INTERVAL
            || self.shared.take_full_call_report_due();
        report.spends = self.shared.take_usage(is_due || sent.report.is_none());
        let are_calls_recent = now.since(sent.calls_sent_at) < MAX_REPORT_INTERVAL;
        if !is_due && !is_changed && are_calls_recent && sent.repeats(&report) {
            return None;
        }
        let before = sent.report.replace(report.clone());
        match before.filter(|_| !is_due) {
            Some(before) => {
                if self.shared.cfg().topology.has_many_regions() {
                    sent.far.record_change(&report, now);
                    self.far_due.notify_one();
                }
                Some(Message::Delta(GatewayDelta::between(&before, &report)))
            }
            None => {
                sent.far.record_full(&report, now);
                report.speeds = self.shared.take_speed_reports();
                report.calls = self.shared.call_report();
                sent.full_sent_at = now;
                sent.resent_at.clear();
                sent.requested_at.clear();
                Some(Message::Full(report))
            }
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
    /// What was sent to gateways of other regions.
    pub(super) far: FarReports,
    /// When an update on plain calls was sent.
    pub(super) calls_sent_at: Millis,
    /// Peers that requested a full report since, and when it was sent.
    resent_at: BTreeMap<SocketAddr, Millis>,
    /// Peers that a full report was requested from since, and when.
    requested_at: BTreeMap<SocketAddr, Millis>,
}

impl SentReports {
    /// True if a report tells nothing that the last one did not.
    fn repeats(&self, report: &GatewayReport) -> bool {
        let Some(last) = &self.report else { return false };
        let (sequence, spends) = (last.sequence, last.spends.clone());
        report.spends == UsageReport::default()
            && GatewayReport { sequence, spends, ..report.clone() } == *last
    }
}
