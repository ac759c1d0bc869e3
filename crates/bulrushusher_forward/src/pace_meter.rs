//! Measures the generation rate of a run from the events of its stream.

use bulrushusher_time::Millis;

/// Minimum length of a measurement: some events even at a slow runner, and several measurements
/// in a generation of two seconds.
const MIN_LENGTH: Millis = Millis(500);

/// Gap after which a measurement is started anew on routes without a gap target.
const MAX_GAP: Millis = Millis(300);

/// Measures the generation rate of one run, repeatedly. Preempted runs generate nothing, so a
/// measurement with a gap beyond the route's gap target is discarded.
///
/// ```
/// use bulrushusher_forward::PaceMeter;
/// use bulrushusher_time::Millis;
/// let mut meter = PaceMeter::new(Millis(300));
/// let paces: Vec<f64> = (0..=20)
///     .filter_map(|event| meter.record(event * 80, Millis(event * 50)))
///     .collect();
/// assert_eq!(paces, [1.6, 1.6]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PaceMeter {
    max_gap: Millis,
    /// Tokens and time at the start of the measurement.
    start: Option<(u64, Millis)>,
    last: Millis,
}

impl PaceMeter {
    /// Creates a meter for a route with this gap target; zero for no target.
    pub fn new(gap_target: Millis) -> PaceMeter {
        let max_gap = if gap_target > Millis(0) { gap_target } else { MAX_GAP };
        PaceMeter { max_gap, start: None, last: Millis(0) }
    }

    /// Discards the current measurement: something other than the runner delays the events.
    pub fn restart(&mut self) {
        self.start = None;
    }

    /// Records that `generated` tokens had arrived at `now`. Returns the rate in tokens per ms when
    /// a measurement is complete.
    pub fn record(&mut self, generated: u64, now: Millis) -> Option<f64> {
        let gap = now.since(std::mem::replace(&mut self.last, now));
        let Some((tokens, at)) = self.start.filter(|_| gap <= self.max_gap) else {
            self.start = Some((generated, now));
            return None;
        };
        let length = now.since(at);
        if length < MIN_LENGTH || generated <= tokens {
            return None;
        }
        self.start = Some((generated, now));
        Some((generated - tokens) as f64 / length.0 as f64)
    }
}
