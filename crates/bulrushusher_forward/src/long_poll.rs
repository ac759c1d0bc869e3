//! Long-poll duration for store changes, and detection of dead watch connections through peers.
//!
//! Gateways that watch the store on separate connections learn of a change at about the same
//! time. A dead connection thus shows when a peer has seen a revision that the connection did not
//! deliver. The more gateways watch, the longer each long poll may last: together they still get
//! answers at least as often as a single gateway would.

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

/// Latest store revisions that a gateway has seen, by topic. Each is combined with the era (the
/// number of times the store was restored), see [`crate::revision_in_era`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRevisions {
    /// Revision of the last configuration change.
    pub configuration: u64,
    /// Revision of the last change of a runner entry.
    pub runners: u64,
    /// Revision of the last change of an evacuation.
    pub evacuations: u64,
    /// Version of the configuration.
    pub version: u64,
}

impl SeenRevisions {
    /// The later revision of each topic.
    #[must_use]
    pub fn max(self, other: SeenRevisions) -> SeenRevisions {
        SeenRevisions {
            configuration: self.configuration.max(other.configuration),
            runners: self.runners.max(other.runners),
            evacuations: self.evacuations.max(other.evacuations),
            version: self.version.max(other.version),
        }
    }
}

/// Limits of the duration of a long poll.
#[derive(Clone, Copy, Debug)]
pub struct LongPollConfig {
    /// Minimum number of live peers for a longer poll.
    pub min_peers: usize,
    /// Number of long polls that the store should answer, over all gateways together, in the time
    /// that the poll of a gateway without peers lasts (`alone` in [`LongPollConfig::wait`]).
    pub answers_per_wait: f64,
    /// Maximum poll duration.
    pub max_wait: Millis,
    /// How long a peer may be ahead before this gateway's own connection counts as dead.
    pub behind_grace: Millis,
}

impl Default for LongPollConfig {
    /// With one or two peers, all may be behind the same partition. Four answers per poll duration
    /// allow for polls that are unevenly spread. The maximum bounds the delay when the store is
    /// silent for all gateways. Changes reach gateways some tens of milliseconds apart, and after
    /// each change a gateway pauses for a twentieth of the time within which changes must be in
    /// force.
    fn default() -> LongPollConfig {
        LongPollConfig {
            min_peers: 3,
            answers_per_wait: 4.0,
            max_wait: Millis(10_000),
            behind_grace: Millis(250),
        }
    }
}

impl LongPollConfig {
    /// Poll duration with `peers` live peers; `alone` is the duration for a gateway without peers.
    ///
    /// ```
    /// use bulrushusher_forward::LongPollConfig;
    /// use bulrushusher_time::Millis;
    /// let cfg = LongPollConfig::default();
    /// assert_eq!(cfg.wait(Millis(1_000), 2), Millis(1_000));
    /// assert_eq!(cfg.wait(Millis(1_000), 4), Millis(1_250));
    /// assert_eq!(cfg.wait(Millis(2_000), 299), Millis(10_000));
    /// ```
    pub fn wait(&self, alone: Millis, peers: usize) -> Millis {
        if peers < self.min_peers {
            return alone;
        }
        let shared = alone.0 as f64 * (peers + 1) as f64 / self.answers_per_wait;
        Millis(shared as u64).min(self.max_wait).max(alone)
    }
}
