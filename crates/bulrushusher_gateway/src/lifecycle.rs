//! The gateway's shutdown state.

use std::sync::Arc;

use bulrushusher_forward::{Shutdown, ShutdownConfig};
use bulrushusher_time::{Clock, Millis};
use tokio::sync::watch;

/// The shutdown state, shared by all tasks that behave differently while the gateway stops.
#[derive(Clone, Debug)]
pub(crate) struct Lifecycle {
    tx: Arc<watch::Sender<Option<Shutdown>>>,
}

impl Lifecycle {
    pub(crate) fn new() -> Lifecycle {
        Lifecycle { tx: Arc::new(watch::Sender::new(None)) }
    }

    /// Starts the shutdown.
    pub(crate) fn stop(&self, cfg: ShutdownConfig, now: Millis) -> Shutdown {
        let shutdown = Shutdown::new(cfg, now);
        self.tx.send_replace(Some(shutdown));
        shutdown
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.tx.borrow().is_some()
    }

    /// Waits until the gateway is stopping and requests without a response must be given up.
    pub(crate) async fn final_answer_deadline(&self, clock: &Clock) {
        let mut rx = self.tx.subscribe();
        let stopping = rx.wait_for(Option::is_some).await.ok().and_then(|shutdown| *shutdown);
        // Never `None`, as the sender lives as long as `self`.
        let Some(shutdown) = stopping else { return };
        let remaining = shutdown.final_answer_deadline().since(clock.now());
        tokio::time::sleep(remaining.duration()).await;
    }

    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        *self.tx.borrow()
    }
}
