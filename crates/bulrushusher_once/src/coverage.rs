//! When the absence of a record proves that a process never saw a key.

use bulrushusher_time::Millis;
use bulrushusher_world::RequestKey;
use uuid::Uuid;

/// The creation time embedded in a UUIDv7 key, as Unix time; `None` for other keys.
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

/// What the absence of a record means for a key of a given age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The key is younger than the process's records: if it has no record, the process never saw
    /// it.
    Covered,
    /// The key may be older than the process's records, or its time lies in the future.
    InDoubt,
    /// The key is older than the retry horizon; its records may have expired.
    TooOld,
}

/// The period that a process's records cover. A key created within it that has no record was never
/// seen by the process.
#[derive(Clone, Copy, Debug)]
pub struct RecordCoverage {
    /// When the process started to keep records, Unix time.
    pub since: Millis,
    /// Maximum clock skew between two processes.
    pub skew: Millis,
    /// How long callers may retry a key. Records are kept this long plus twice the skew.
    pub horizon: Millis,
}

impl RecordCoverage {
    /// Whether the absence of a record proves that the process never saw a key created at `time`.
    ///
    /// A key without a time is covered once records have been kept for longer than
    /// [`RecordCoverage::retention`].
    ///
    /// ```
    /// use bulrushusher_once::{KeyAge, RecordCoverage};
    /// use bulrushusher_time::Millis;
    /// let (since, skew, horizon) = (Millis(5_000), Millis(100), Millis(60_000));
    /// let coverage = RecordCoverage { since, skew, horizon };
    /// assert_eq!(coverage.key_age(Some(Millis(5_101)), Millis(5_200)), KeyAge::Covered);
    /// assert_eq!(coverage.key_age(Some(Millis(5_100)), Millis(5_200)), KeyAge::InDoubt);
    /// assert_eq!(coverage.key_age(None, Millis(5_200)), KeyAge::InDoubt);
    /// ```
    pub fn key_age(&self, time: Option<Millis>, now: Millis) -> KeyAge {
        let Some(time) = time else {
            let covers_retention = now.since(self.since) > self.retention();
            return if covers_retention { KeyAge::Covered } else { KeyAge::InDoubt };
        };
        if time.plus(self.horizon).plus(self.skew) < now {
            return KeyAge::TooOld;
        }
        let in_future = time > now.plus(self.skew);
        let before_coverage = time <= self.since.plus(self.skew);
        if in_future || before_coverage { KeyAge::InDoubt } else { KeyAge::Covered }
    }

    /// How long a record must be kept: the retry horizon plus twice the clock skew.
    pub fn retention(&self) -> Millis {
        self.horizon.plus(self.skew).plus(self.skew)
    }
}
