//! Whether a pool of plain calls is so full that gateways should share their calls, as seen by one
//! gateway from its own calls.

use bulrushusher_time::Millis;

/// Parameters of a [`SharingNeed`].
#[derive(Clone, Copy, Debug)]
pub struct SharingNeedConfig {
    /// Number of slots for each gateway from which a gateway's own calls show the load.
    pub max_slots_per_gateway: f64,
    /// Time constant of the mean number of calls in flight.
    pub memory: Millis,
    /// Utilization of the pool from which sharing is needed.
    pub start_share: f64,
    /// Utilization below which it is no longer needed.
    pub stop_share: f64,
    /// Refusals by full runners within `refusal_window` that show the need too.
    pub refusals: usize,
    /// See `refusals`.
    pub refusal_window: Millis,
    /// Time without any sign of the need after which sharing ends.
    pub keep: Millis,
    /// Time after which the need that a peer reported no longer counts; it is in each full report.
    pub peer_lifetime: Millis,
}

impl Default for SharingNeedConfig {
    /// With four slots a gateway has several calls in flight on average in a full pool. Over a
    /// second the mean of one call in flight varies by a quarter, and the gateway that sees most
    /// decides for all, so sharing begins at 0.8 and ends below 0.5. One refusal may have another
    /// cause. Bursts last some seconds and often repeat. Two of a peer's full reports may be lost.
    fn default() -> SharingNeedConfig {
        SharingNeedConfig {
            max_slots_per_gateway: 4.0,
            memory: Millis(1_000),
            start_share: 0.8,
            stop_share: 0.5,
            refusals: 2,
            refusal_window: Millis(2_000),
            keep: Millis(5_000),
            peer_lifetime: Millis(4_500),
        }
    }
}

/// Slots and gateways of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolSize {
    /// Slots of all runners.
    pub slots: u64,
    /// Gateways including this one; they are assumed to have as many calls each.
    pub gateways: usize,
}

/// The calls of one gateway to a plain service, and whether they show that sharing is needed.
///
/// ```
/// use bulrushusher_forward::{PoolSize, SharingNeed, SharingNeedConfig};
/// use bulrushusher_time::Millis;
/// let size = PoolSize { slots: 36, gateways: 27 };
/// let mut need = SharingNeed::new(SharingNeedConfig::default());
/// assert!(!need.is_needed(size, Millis(0)));
/// need.begin(Millis(0));
/// need.begin(Millis(0));
/// assert!(need.is_needed(size, Millis(900)), "two calls at each of 27 gateways");
/// need.end(Millis(900));
/// need.end(Millis(900));
/// assert!(need.is_needed(size, Millis(5_000)), "a further burst may follow");
/// assert!(!need.is_needed(size, Millis(9_000)));
/// ```
#[derive(Clone, Debug)]
pub struct SharingNeed {
    cfg: SharingNeedConfig,
    in_flight: u32,
    mean: f64,
    at: Millis,
    refused_at: Vec<Millis>,
    /// Time of the last sign, while sharing is needed.
    seen_at: Option<Millis>,
}

impl SharingNeed {
    /// Creates the state of a service without calls.
    pub fn new(cfg: SharingNeedConfig) -> SharingNeed {
        let (mean, at, refused_at) = (0.0, Millis(0), Vec::new());
        SharingNeed { cfg, in_flight: 0, mean, at, refused_at, seen_at: None }
    }

    /// Records a call that is sent to a runner.
    pub fn begin(&mut self, now: Millis) {
        self.advance(now);
        self.in_flight += 1;
    }

    /// Records the end of a call.
    pub fn end(&mut self, now: Millis) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a runner refused a call because it is full.
    pub fn record_refusal(&mut self, now: Millis) {
        let window = self.cfg.refusal_window;
        self.refused_at.retain(|at| now.since(*at) < window);
        self.refused_at.push(now);
    }

    fn advance(&mut self, now: Millis) {
        let age = now.since(self.at).0 as f64;
        let level = f64::from(self.in_flight);
        self.mean = level + (self.mean - level) * (-age / self.cfg.memory.0 as f64).exp();
        self.at = self.at.max(now);
    }

    /// True while sharing is needed, and for [`SharingNeedConfig::keep`] after the last sign.
    pub fn is_needed(&mut self, size: PoolSize, now: Millis) -> bool {
        self.advance(now);
        if !self.cfg.applies_to(size) {
            self.seen_at = None;
            return false;
        }
        let utilization = self.mean * size.gateways as f64 / size.slots.max(1) as f64;
        let window = self.cfg.refusal_window;
        let refusals = self.refused_at.iter().filter(|at| now.since(**at) < window).count();
        let is_seen = match self.seen_at {
            None => utilization >= self.cfg.start_share || refusals >= self.cfg.refusals,
            Some(_) => utilization >= self.cfg.stop_share || refusals > 0,
        };
        if is_seen {
            self.seen_at = Some(now);
        }
        self.seen_at = self.seen_at.filter(|at| now.since(*at) < self.cfg.keep);
        self.seen_at.is_some()
    }
}

impl SharingNeedConfig {
    /// True if gateways may share the calls of such a pool when that is needed.
    pub fn applies_to(&self, size: PoolSize) -> bool {
        size.gateways > 1 && (size.slots as f64) < self.max_slots_per_gateway * size.gateways as f64
    }
}
