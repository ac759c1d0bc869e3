//! Updates on this gateway's plain calls, where gateways share them: small datagrams between the full
//! reports.

use tokio::net::UdpSocket;

use crate::dialect::PlatformStore;
use crate::peers::report_codec::Message;
use crate::peers::reporting::{MAX_REPORT_INTERVAL, PeerMessenger};

impl<S: PlatformStore> PeerMessenger<S> {
    /// Sends an update when one is due, and at the latest after [`MAX_REPORT_INTERVAL`].
    pub(super) async fn send_call_updates(&self, socket: &UdpSocket) {
        let mut sent_at = self.shared.now();
        loop {
            let interval = self.shared.call_report_interval().unwrap_or(MAX_REPORT_INTERVAL);
            let due = self.shared.call_report_due.notified();
            tokio::time::timeout(interval.duration(), due).await.ok();
            let is_overdue = self.shared.now().since(sent_at) >= MAX_REPORT_INTERVAL;
            if !is_overdue && !self.shared.is_call_report_due() {
                continue;
            }
            sent_at = self.shared.now();
            let Some(update) = self.shared.call_update() else { continue };
            self.sent.lock().calls_sent_at = sent_at;
            let peers = self.announcer.directory.lock().active_addresses(sent_at);
            self.send_message(socket, Message::Calls(update), &peers).await;
        }
    }
}
