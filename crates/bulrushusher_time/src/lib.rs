//! One small clock type, in milliseconds.
//!
//! Decisions take a [`Millis`] and never read a clock; daemons own a [`Clock`] and hand its reading
//! in. Use [`Clock::manual`] in tests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a length of time, in whole milliseconds.
///
/// As a point in time it counts from the Unix epoch.
///
/// ```
/// use bulrushusher_time::Millis;
/// assert_eq!(Millis(250).plus(Millis(50)), Millis(300));
/// assert_eq!(Millis(50).since(Millis(250)), Millis(0));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The largest value; as a point in time, "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Adds a length of time; stops at [`Millis::MAX`].
    #[must_use]
    pub fn plus(self, length: Millis) -> Millis {
        Millis(self.0.saturating_add(length.0))
    }

    /// The length of time since `earlier`; zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// A share of the length, or some times it, in whole milliseconds.
    ///
    /// ```
    /// # use bulrushusher_time::Millis;
    /// assert_eq!(Millis(250).share(0.5), Millis(125));
    /// ```
    #[must_use]
    pub fn share(self, share: f64) -> Millis {
        Millis((self.0 as f64 * share) as u64)
    }

    /// The same length as a [`Duration`].
    ///
    /// ```
    /// # use bulrushusher_time::Millis;
    /// assert_eq!(Millis(1500).duration().as_secs_f64(), 1.5);
    /// ```
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(length: Duration) -> Millis {
        Millis(u64::try_from(length.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A clock that never goes back: the Unix time at start plus the time since. Time for which the machine
/// was suspended counts too, so that nothing outlives its lease by standing still.
///
/// ```
/// use bulrushusher_time::{Clock, Millis};
/// let clock = Clock::manual(Millis(10));
/// clock.advance(Millis(5));
/// assert_eq!(clock.now(), Millis(15));
/// ```
#[derive(Clone, Debug)]
pub enum Clock {
    /// Reads the machine's clock.
    System {
        /// Unix time at `origin`.
        start: Millis,
        /// Time since the machine was booted, when the clock was made.
        origin: Millis,
    },
    /// Moves only by [`Clock::advance`].
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that reads the machine's time.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::System { start: unix.into(), origin: since_boot() }
    }

    /// A clock for tests, standing at `now` until advanced.
    pub fn manual(now: Millis) -> Clock {
        Clock::Manual(Arc::new(AtomicU64::new(now.0)))
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        match self {
            Clock::System { start, origin } => start.plus(since_boot().since(*origin)),
            Clock::Manual(now) => Millis(now.load(Ordering::SeqCst)),
        }
    }

    /// Moves a manual clock on by `length`; does nothing to a system clock.
    pub fn advance(&self, length: Millis) {
        if let Clock::Manual(now) = self {
            now.fetch_add(length.0, Ordering::SeqCst);
        }
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::system()
    }
}

/// Time since the machine was booted, suspended or not.
fn since_boot() -> Millis {
    let at = clock_gettime(ClockId::Boottime);
    let ms = at.tv_sec.saturating_mul(1_000).saturating_add(at.tv_nsec / 1_000_000);
    Millis(u64::try_from(ms).unwrap_or_default())
}
