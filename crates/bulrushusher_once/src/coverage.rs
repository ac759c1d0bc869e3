//! When a process that remembers nothing of a key may say that it never saw it.

use bulrushusher_time::Millis;
use bulrushusher_world::RequestKey;
use uuid::Uuid;

/// The time in a key that is a UUIDv7, as Unix time; `None` for other keys.
///
/// ```
/// use bulrushusher_once::key_time;
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::RequestKey;
/// let key = RequestKey::try_from("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").unwrap();
/// assert_eq!(key_time(&key), Some(Millis(1_645_557_742_000)));
/// assert_eq!(key_time(&RequestKey::try_from("order-7").unwrap()), None);
/// ```
pub fn key_time(key: &RequestKey) -> Option<Millis> {
    let uuid = Uuid::try_parse(key.as_str()).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Millis(seconds * 1000 + u64::from(nanos) / 1_000_000))
}

/// What a process can say of a key that it has no record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The key is younger than this process's memory: no record means never seen.
    Covered,
    /// The key may be older than this process's memory, or its time lies in the future.
    InDoubt,
    /// The key is older than the retry horizon; records of it may have been dropped.
    TooOld,
}

/// The rule by which a process vouches.
#[derive(Clone, Copy, Debug)]
pub struct RecordCoverage {
    /// When this process's memory began, Unix time.
    pub since: Millis,
    /// The largest difference between two clocks.
    pub skew: Millis,
    /// How long callers may retry a key; records are kept this long and twice the skew.
    pub horizon: Millis,
}

impl RecordCoverage {
    /// Whether "no record" means "never seen" for a key of that time.
    ///
    /// A key without a time is vouched for once the memory is older than the horizon.
    ///
    /// ```
    /// use bulrushusher_once::{KeyAge, RecordCoverage};
    /// use bulrushusher_time::Millis;
    /// let coverage = RecordCoverage { since: Millis(5_000), skew: Millis(100), horizon: Millis(60_000) };
    /// assert_eq!(coverage.key_age(Some(Millis(5_101)), Millis(5_200)), KeyAge::Covered);
    /// assert_eq!(coverage.key_age(Some(Millis(5_100)), Millis(5_200)), KeyAge::InDoubt);
    /// assert_eq!(coverage.key_age(None, Millis(5_200)), KeyAge::InDoubt);
    /// ```
    pub fn key_age(&self, time: Option<Millis>, now: Millis) -> KeyAge {
        let Some(time) = time else {
            let full_memory = now.since(self.since) > self.retention();
            return if full_memory { KeyAge::Covered } else { KeyAge::InDoubt };
        };
        if time.plus(self.horizon).plus(self.skew) < now {
            return KeyAge::TooOld;
        }
        let from_the_future = time > now.plus(self.skew);
        let before_memory = time <= self.since.plus(self.skew);
        if from_the_future || before_memory { KeyAge::InDoubt } else { KeyAge::Covered }
    }

    /// How long a record must be kept.
    pub fn retention(&self) -> Millis {
        self.horizon.plus(self.skew).plus(self.skew)
    }
}
