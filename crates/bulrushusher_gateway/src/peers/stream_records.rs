//! Sends the versions of this gateway's streams to the gateways that keep them, and asks for those of
//! callers that return.

use tokio::net::UdpSocket;

use crate::dialect::PlatformStore;
use crate::peers::report_codec::Message;
use crate::peers::reporting::PeerMessenger;
use crate::shared::KEEPERS;

/// Number of gateways that are asked for a stream: those that keep it, and as many again in case that
/// they know other gateways than its sender.
const ASKED: usize = 2 * KEEPERS;

impl<S: PlatformStore> PeerMessenger<S> {
    /// Sends records and questions when they are due.
    pub(super) async fn send_stream_records(&self, socket: &UdpSocket) {
        loop {
            let due = self.shared.stream_records_due.notified();
            match self.shared.time_until_stream_due() {
                Some(wait) => drop(tokio::time::timeout(wait.duration(), due).await),
                None => due.await,
            }
            let (records, asked) = self.shared.take_stream_messages();
            let now = self.shared.now();
            if self.shared.take_version_question() {
                let to = self.announcer.directory.lock().first_for("versions", ASKED, now);
                self.send_message(socket, Message::FindVersions, &to).await;
            }
            for record in records {
                let shard = record.key.shard().to_string();
                let to = self.announcer.directory.lock().first_for(&shard, KEEPERS, now);
                self.send_message(socket, Message::KeepStream(record), &to).await;
            }
            for key in asked {
                let shard = key.shard().to_string();
                let to = self.announcer.directory.lock().first_for(&shard, ASKED, now);
                self.send_message(socket, Message::FindStream(key), &to).await;
            }
        }
    }
}
