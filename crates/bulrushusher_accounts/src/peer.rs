//! State of another gateway, taken from its reports.

use std::collections::HashMap;

use bulrushusher_time::Millis;

use crate::report::{AccountId, UsageCounter};

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Identifies the start of the gateway; its counters restart at zero with a new one.
    pub incarnation: u64,
    pub last_report_at: Millis,
    /// Last reported [`UsageCounter::used`] of each account.
    used: HashMap<AccountId, u64>,
    /// True once an account that is missing in `used` is known to have had no usage. Incremental
    /// reports list only some accounts, so the first one of a gateway does not show this.
    pub is_complete: bool,
}

impl Peer {
    /// A gateway whose first report is being merged. All usage of one that has just started is
    /// new.
    pub(crate) fn new(incarnation: u64, has_just_started: bool) -> Peer {
        Peer {
            incarnation,
            last_report_at: Millis(0),
            used: HashMap::new(),
            is_complete: has_just_started,
        }
    }

    /// Stores a counter. Returns the value from which it has grown, or `None` if that is unknown:
    /// the counter then is a baseline, and its usage may be older than this gateway.
    pub(crate) fn update(&mut self, counter: &UsageCounter) -> Option<u64> {
        let before = self.used.insert(counter.account, counter.used);
        before.or(self.is_complete.then_some(0))
    }
}
