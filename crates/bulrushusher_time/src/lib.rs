//! Millisecond timestamps and durations, and a clock that can be replaced in tests.
//!
//! Decision logic takes the current time as a [`Millis`] argument and never reads a clock; daemons
//! own a [`Clock`] and pass its reading in. Tests use [`Clock::manual`].

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A timestamp or a duration, in whole milliseconds. A timestamp counts from the Unix epoch.
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
    /// The largest value; as a timestamp, "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Adds a duration; saturates at [`Millis::MAX`].
    #[must_use]
    pub fn plus(self, duration: Millis) -> Millis {
        Millis(self.0.saturating_add(duration.0))
    }

    /// The duration since `earlier`; saturates at zero.
    #[must_use]
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies the duration by `share`, which may exceed 1; rounds down to whole milliseconds.
    ///
    /// ```
    /// # use bulrushusher_time::Millis;
    /// assert_eq!(Millis(250).share(0.5), Millis(125));
    /// ```
    #[must_use]
    pub fn share(self, share: f64) -> Millis {
        Millis((self.0 as f64 * share) as u64)
    }

    /// Converts to a [`Duration`].
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
    fn from(duration: Duration) -> Millis {
        Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A monotonic clock: the Unix time at its creation plus the time elapsed since. Time during which
/// the machine was suspended counts, so that leases also expire while the machine is suspended.
///
/// ```
/// use bulrushusher_time::{Clock, Millis};
/// let clock = Clock::manual(Millis(10));
/// clock.advance(Millis(5));
/// assert_eq!(clock.now(), Millis(15));
/// ```
#[derive(Clone, Debug)]
pub enum Clock {
    /// Reads the system clock.
    System {
        /// Unix time when the clock was created.
        start: Millis,
        /// Time since boot when the clock was created.
        origin: Millis,
    },
    /// Moves only through [`Clock::advance`].
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a clock that reads the system time.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::System { start: unix.into(), origin: since_boot() }
    }

    /// Creates a clock for tests that stays at `now` until advanced.
    pub fn manual(now: Millis) -> Clock {
        Clock::Manual(Arc::new(AtomicU64::new(now.0)))
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        match self {
            Clock::System { start, origin } => start.plus(since_boot().since(*origin)),
            Clock::Manual(now) => Millis(now.load(Ordering::SeqCst)),
        }
    }

    /// Advances a manual clock by `duration`; no effect on a system clock.
    pub fn advance(&self, duration: Millis) {
        if let Clock::Manual(now) = self {
            now.fetch_add(duration.0, Ordering::SeqCst);
        }
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::system()
    }
}

/// Time since boot, including time suspended (`CLOCK_BOOTTIME`).
fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec.saturating_mul(1_000).saturating_add(time.tv_nsec / 1_000_000);
    Millis(u64::try_from(ms).unwrap_or_default())
}
