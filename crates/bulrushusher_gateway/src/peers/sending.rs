//! Sends datagrams to the gateways of the own region and of other regions.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::dialect::PlatformStore;
use crate::peers::report_codec::{self, Datagram, Message};
use crate::peers::reporting::{MAX_DATAGRAM, PeerMessenger};

impl<S: PlatformStore> PeerMessenger<S> {
    /// Determines which gateways are in other regions. One whose data centre or region is not known
    /// counts as one of the own region.
    pub(super) fn update_far_peers(&self) {
        let cfg = self.shared.cfg();
        let own = cfg.topology.region_of(&cfg.data_centre);
        let directory = self.announcer.directory.lock();
        let is_far = |data_centre| {
            let region = cfg.topology.region_of(data_centre);
            own.is_some() && region.is_some() && region != own
        };
        let far = directory.data_centres().filter(|(_, data_centre)| is_far(data_centre));
        *self.far_peers.lock() = far.map(|(address, _)| address).collect();
    }

    /// True if a gateway is in another region.
    pub(super) fn is_far(&self, peer: SocketAddr) -> bool {
        self.far_peers.lock().contains(&peer)
    }

    /// Addresses of the active gateways of the own region, and of other regions.
    pub(super) fn active_peers(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let active = self.announcer.directory.lock().active_addresses(self.shared.now());
        let far = self.far_peers.lock();
        active.into_iter().partition(|peer| !far.contains(peer))
    }

    /// Sends deltas to the gateways of other regions; see [`bulrushusher_forward::FarReports`].
    pub(super) async fn send_far_reports(&self, socket: &UdpSocket) {
        loop {
            let due = self.far_due.notified();
            let now = self.shared.now();
            let wait = self.sent.lock().far.wait(now);
            match wait {
                None => due.await,
                Some(left) if left.0 > 0 => {
                    tokio::time::timeout(left.duration(), due).await.ok();
                }
                Some(_) => {
                    let delta = self.sent.lock().far.take_delta(now);
                    if let Some(delta) = delta {
                        let (_, far) = self.active_peers();
                        self.send_message(socket, Message::Delta(delta), &far).await;
                    }
                }
            }
        }
    }

    pub(super) async fn send_message(
        &self,
        socket: &UdpSocket,
        message: Message,
        to: &[SocketAddr],
    ) {
        let from = match message {
            Message::Calls(_) => String::new(),
            _ => self.shared.cfg().name.to_string(),
        };
        match report_codec::encode(&Datagram { from, message }) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => {
                self.record_bytes(bytes.len(), to);
                send_to_all(socket, &bytes, to).await;
            }
            Ok(bytes) => log::warn!(
                "peers: message exceeds the datagram size limit, not sent bytes={}",
                bytes.len()
            ),
            Err(e) => log::error!("peers: message cannot be encoded cause=\"{e}\""),
        }
    }

    fn record_bytes(&self, size: usize, to: &[SocketAddr]) {
        let far = self.far_peers.lock();
        let other = to.iter().filter(|peer| far.contains(peer)).count();
        let own = to.len() - other;
        self.metrics.record_peer_bytes((own * size) as u64, (other * size) as u64);
    }
}

async fn send_to_all(socket: &UdpSocket, bytes: &[u8], peers: &[SocketAddr]) {
    for peer in peers {
        if let Err(e) = socket.send_to(bytes, peer).await {
            log::debug!("peers: cannot send peer={peer} cause=\"{e}\"");
        }
    }
}
