//! Cold runners: which they are, and what this gateway may send them.

use bulrushusher_forward::{BackPressureError, KnownGateways, Runner, SendKind, StartTime};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use super::SharedState;

/// Delay up to which the log reports that a runner became cold or warm. A check for each entry would
/// go through all runners for each runner of a list.
const LOG_INTERVAL: Millis = Millis(500);

impl SharedState {
    /// Applies the services of the configuration and the settings to the limits on cold runners.
    pub(super) fn update_cold_services(&self) {
        let (routing, limit, now) = (self.routing(), self.cfg.load().cold_limit, self.now());
        if let Some(routing) = routing {
            self.pressure.lock().cold.set_services(routing.services(), limit, now);
        }
    }

    /// Sets the gateways that share cold runners and the retry budget with this one.
    pub(crate) fn set_known_gateways(&self, gateways: KnownGateways) {
        let now = self.now();
        *self.known_gateways.lock() = gateways.clone();
        self.pressure.lock().cold.set_gateways(gateways, now);
    }

    /// Records for how long a runner is cold according to its entry.
    pub(super) fn observe_cold(&self, runner: &Runner) {
        let now = self.now();
        self.pressure.lock().cold.observe(runner, now);
    }

    /// Records a start of a runner that is known before its entry.
    pub(super) fn observe_cold_start(&self, id: &RunnerId, born: Option<StartTime>) {
        let now = self.now();
        self.pressure.lock().cold.observe_start(id, born, now);
    }

    /// Records a request whose bytes are written next.
    ///
    /// # Errors
    ///
    /// [`BackPressureError::Cold`]: the request must not be sent.
    pub(crate) fn record_send(
        &self,
        runner: &Runner,
        kind: SendKind,
    ) -> Result<(), BackPressureError> {
        let now = self.now();
        self.pressure.lock().cold.record_send(runner, kind, now)
    }

    /// Logs when runners become cold or warm, until the gateway stops.
    pub(crate) async fn watch_cold_runners(&self) {
        loop {
            tokio::time::sleep(LOG_INTERVAL.duration()).await;
            self.log_cold_changes();
        }
    }

    /// Logs the runners that became cold or warm.
    fn log_cold_changes(&self) {
        let now = self.now();
        let changes = self.pressure.lock().cold.take_changes(now);
        for change in changes {
            match change.cold_for {
                Some(left) => log::info!(
                    "runners: cold id={} for_ms={} sends={}",
                    change.runner,
                    left.0,
                    change.is_sharer
                ),
                None => log::info!("runners: warm id={}", change.runner),
            }
        }
    }
}
