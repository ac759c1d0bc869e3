//! Decides which new connections of callers are accepted while the process is overloaded.
//!
//! A caller whose connection is closed before its request was read tries another gateway; a request
//! that was read and answered too late may not be repeated. So a gateway reads no more than it can
//! serve, and learns how much that is from its own lateness: the time from the accept of a connection
//! until its task first runs. If even the least lateness within an interval is above the target, there
//! is a standing queue, and the accepted share shrinks; a burst that is worked off in time does not
//! count. Connections that are already open are not touched.

use bulrushusher_time::Millis;

/// When connections are turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceptGateConfig {
    /// Standing lateness of the process above which fewer connections are accepted.
    pub target: Millis,
    /// Time between two changes of the accepted share.
    pub interval: Millis,
    /// Factor of the accepted share after an interval with a standing queue.
    pub decrease: f64,
    /// Increase of the accepted share after any other interval.
    pub increase: f64,
    /// Lower bound of the accepted share, so that the end of the overload is noticed.
    pub min_share: f64,
}

impl Default for AcceptGateConfig {
    /// A plain call has a target of some hundreds of ms, of which a tenth is lost at most.
    fn default() -> AcceptGateConfig {
        AcceptGateConfig {
            target: Millis(30),
            interval: Millis(100),
            decrease: 0.6,
            increase: 0.05,
            min_share: 0.02,
        }
    }
}

/// The share of new connections that a process accepts.
///
/// ```
/// use bulrushusher_forward::{AcceptGate, AcceptGateConfig};
/// use bulrushusher_time::Millis;
/// let mut gate = AcceptGate::new(AcceptGateConfig::default(), Millis(0));
/// assert!(gate.admit(Millis(0)));
/// // Connections wait for 400 ms until they are served.
/// for n in 0..50 {
///     gate.record_lateness(Millis(400), Millis(n * 10));
/// }
/// assert!(gate.share() < 0.2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AcceptGate {
    cfg: AcceptGateConfig,
    share: f64,
    /// Accepted connections that are due, in fractions of one.
    credit: f64,
    interval_began: Millis,
    /// Least lateness in the present interval; `None` if no connection was served in it.
    least: Option<Millis>,
}

impl AcceptGate {
    /// A gate that accepts all connections.
    pub fn new(cfg: AcceptGateConfig, now: Millis) -> AcceptGate {
        AcceptGate { cfg, share: 1.0, credit: 0.0, interval_began: now, least: None }
    }

    /// Decides on a new connection. Returns true if it is to be served.
    pub fn admit(&mut self, now: Millis) -> bool {
        self.end_interval(now);
        self.credit = (self.credit + self.share).min(1.0);
        let is_due = self.credit >= 1.0 - f64::EPSILON;
        if is_due {
            self.credit -= 1.0;
        }
        is_due
    }

    /// Records the time from the accept of a connection until its task first ran.
    pub fn record_lateness(&mut self, lateness: Millis, now: Millis) {
        self.least = Some(self.least.map_or(lateness, |least| least.min(lateness)));
        self.end_interval(now);
    }

    /// The accepted share of new connections; 1 without overload.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Ends the present interval, and those since in which nothing happened.
    fn end_interval(&mut self, now: Millis) {
        let intervals = now.since(self.interval_began).0 / self.cfg.interval.0.max(1);
        if intervals == 0 {
            return;
        }
        let is_late = self.least.is_some_and(|least| least > self.cfg.target);
        let calm = match is_late {
            true => {
                self.share = (self.share * self.cfg.decrease).max(self.cfg.min_share);
                intervals - 1
            }
            false => intervals,
        };
        self.share = (self.share + calm as f64 * self.cfg.increase).min(1.0);
        self.interval_began = now;
        self.least = None;
    }
}
