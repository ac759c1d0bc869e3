//! Which requests and connections a process still accepts during a graceful shutdown.

use bulrushusher_time::Millis;

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownConfig {
    /// Time between the signal and the kill.
    pub grace: Millis,
    /// How long new connections are accepted: until the load balancer has had two failed health
    /// checks.
    pub accept_for: Millis,
    /// Safety margin between the expected end of a request and the kill.
    pub margin: Millis,
}

/// Time before the kill that is reserved for writing final answers and exiting: ten times what it
/// takes.
const FINAL_ANSWER_MARGIN: Millis = Millis(300);

/// A shutdown in progress.
///
/// ```
/// use bulrushusher_forward::{Shutdown, ShutdownConfig};
/// use bulrushusher_time::Millis;
/// let cfg = ShutdownConfig {
///     grace: Millis(8_000),
///     accept_for: Millis(3_000),
///     margin: Millis(1_000),
/// };
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
    /// Starts a shutdown whose signal came at `began`.
    pub fn new(cfg: ShutdownConfig, began: Millis) -> Shutdown {
        Shutdown { cfg, began }
    }

    /// True when a request that takes `expected` can end before the kill.
    pub fn can_finish(&self, now: Millis, expected: Millis) -> bool {
        now.plus(expected).plus(self.cfg.margin) <= self.kill()
    }

    /// True while new connections are accepted.
    pub fn accepts(&self, now: Millis) -> bool {
        now.since(self.began) < self.cfg.accept_for
    }

    /// When unanswered requests are given up: an answer that says so reaches the caller, while a
    /// connection that is cut does not tell it anything.
    pub fn final_answer_deadline(&self) -> Millis {
        self.kill().since(FINAL_ANSWER_MARGIN)
    }

    /// When the process will be killed.
    pub fn kill(&self) -> Millis {
        self.began.plus(self.cfg.grace)
    }
}
