//! Whether the gateway is stopping.

use std::sync::Arc;

use bulrushusher_forward::{Shutdown, ShutdownConfig};
use bulrushusher_time::{Clock, Millis};
use tokio::sync::watch;

/// Shared by everything that acts differently once a signal to stop has come.
#[derive(Clone, Debug)]
pub(crate) struct Lifecycle {
    tx: Arc<watch::Sender<Option<Shutdown>>>,
}

impl Lifecycle {
    pub(crate) fn new() -> Lifecycle {
        Lifecycle { tx: Arc::new(watch::Sender::new(None)) }
    }

    /// The signal came.
    pub(crate) fn stop(&self, cfg: ShutdownConfig, now: Millis) -> Shutdown {
        let shutdown = Shutdown::new(cfg, now);
        self.tx.send_replace(Some(shutdown));
        shutdown
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.tx.borrow().is_some()
    }

    /// Waits until the gateway is stopping and requests without an answer are to be given up.
    pub(crate) async fn last_answers(&self, clock: &Clock) {
        let mut rx = self.tx.subscribe();
        let stopping = rx.wait_for(Option::is_some).await.ok().and_then(|shutdown| *shutdown);
        // The sender lives as long as this.
        let Some(shutdown) = stopping else { return };
        let left = shutdown.final_answer_deadline().since(clock.now());
        tokio::time::sleep(left.duration()).await;
    }

    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        *self.tx.borrow()
    }
}
