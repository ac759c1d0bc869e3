//! Names of peers, by the addresses of their datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of names that are kept; ten times the design size of a fleet.
const MAX_NAMES: usize = 4_096;

/// Names of the gateways that datagrams were received from, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerNames(HashMap<SocketAddr, Arc<str>>);

impl PeerNames {
    /// The name of a datagram's sender. `None` for a datagram without a name from an address that
    /// has sent none with a name.
    pub(super) fn resolve(&mut self, name: &str, address: SocketAddr) -> Option<Arc<str>> {
        let known = self.0.get(&address).cloned();
        if name.is_empty() || known.as_deref() == Some(name) {
            return known;
        }
        if self.0.len() >= MAX_NAMES {
            self.0.clear();
        }
        let name: Arc<str> = name.into();
        self.0.insert(address, name.clone());
        Some(name)
    }
}
