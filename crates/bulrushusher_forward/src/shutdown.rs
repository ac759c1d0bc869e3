//! What a stopping process still accepts.

use bulrushusher_time::Millis;

/// Bounds of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownConfig {
    /// Time between the signal and the kill.
    pub grace: Millis,
    /// How long new connections are still taken: until the balancer has missed two probes.
    pub accept_for: Millis,
    /// Time kept between the expected end of a request and the kill.
    pub margin: Millis,
}

/// Time before the kill in which answers are written, and the process ends: ten times what it takes.
const LAST_ANSWERS: Millis = Millis(300);

/// A shutdown that began.
///
/// ```
/// use bulrushusher_forward::{Shutdown, ShutdownConfig};
/// use bulrushusher_time::Millis;
/// let cfg = ShutdownConfig { grace: Millis(8_000), accept_for: Millis(3_000), margin: Millis(1_000) };
/// let stop = Shutdown::new(cfg, Millis(0));
/// assert!(stop.can_finish(Millis(2_000), Millis(4_000)));
/// assert!(!stop.can_finish(Millis(4_000), Millis(4_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    cfg: ShutdownConfig,
    began: Millis,
}

impl Shutdown {
    /// The signal came at `began`.
    pub fn new(cfg: ShutdownConfig, began: Millis) -> Shutdown {
        Shutdown { cfg, began }
    }

    /// True when a request that takes `expected` can end before the kill.
    pub fn can_finish(&self, now: Millis, expected: Millis) -> bool {
        now.plus(expected).plus(self.cfg.margin) <= self.kill()
    }

    /// True while new connections are still taken.
    pub fn accepts(&self, now: Millis) -> bool {
        now.since(self.began) < self.cfg.accept_for
    }

    /// When requests that still have no answer are given up: an answer that says so reaches the
    /// caller, which a connection that is cut does not.
    pub fn last_answers(&self) -> Millis {
        self.kill().since(LAST_ANSWERS)
    }

    /// When the process will be killed.
    pub fn kill(&self) -> Millis {
        self.began.plus(self.cfg.grace)
    }
}
