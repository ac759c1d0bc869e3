//! How fresh a gateway's knowledge of the store is, by what peers tell.
//!
//! Gateways that wait for changes on connections of their own hear of one at the same time. So while
//! many wait, each may wait for long: a connection that has gone silent shows when a peer knows of a
//! change that it did not bring, and on the whole somebody is answered as often as a gateway alone
//! would be.

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

/// What a gateway knows of the store: the revision of each topic's last change, with its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsSeen {
    /// The configuration's last change.
    pub configuration: u64,
    /// The last change of a runner's entry.
    pub runners: u64,
    /// Version of the configuration.
    pub version: u64,
}

impl NewsSeen {
    /// The later of both.
    #[must_use]
    pub fn max(self, other: NewsSeen) -> NewsSeen {
        NewsSeen {
            configuration: self.configuration.max(other.configuration),
            runners: self.runners.max(other.runners),
            version: self.version.max(other.version),
        }
    }
}

/// How long a gateway waits for changes.
#[derive(Clone, Copy, Debug)]
pub struct NewsConfig {
    /// Fewest peers that must be heard for a longer wait.
    pub least_peers: usize,
    /// Answers that all gateways together get in the time that one alone waits.
    pub answers_a_wait: f64,
    /// The longest wait.
    pub longest: Millis,
    /// Time for which a peer may know more before an own connection is taken as silent.
    pub behind_for: Millis,
}

impl Default for NewsConfig {
    /// With a peer or two, whoever is cut off together hears nothing. Four answers in the time of
    /// one: gateways do not wait at even distances. The longest wait bounds what is lost when a
    /// store is silent for all. Changes reach gateways some tens of milliseconds apart, and after
    /// each a gateway asks nothing for a twentieth of the time to be in force.
    fn default() -> NewsConfig {
        NewsConfig {
            least_peers: 3,
            answers_a_wait: 4.0,
            longest: Millis(10_000),
            behind_for: Millis(250),
        }
    }
}

impl NewsConfig {
    /// How long to wait for changes, while `peers` are heard; one that hears none waits for `alone`.
    ///
    /// ```
    /// use bulrushusher_forward::NewsConfig;
    /// use bulrushusher_time::Millis;
    /// let cfg = NewsConfig::default();
    /// assert_eq!(cfg.wait(Millis(1_000), 2), Millis(1_000));
    /// assert_eq!(cfg.wait(Millis(1_000), 4), Millis(1_250));
    /// assert_eq!(cfg.wait(Millis(2_000), 299), Millis(10_000));
    /// ```
    pub fn wait(&self, alone: Millis, peers: usize) -> Millis {
        if peers < self.least_peers {
            return alone;
        }
        let shared = alone.0 as f64 * (peers + 1) as f64 / self.answers_a_wait;
        Millis(shared as u64).min(self.longest).max(alone)
    }
}
