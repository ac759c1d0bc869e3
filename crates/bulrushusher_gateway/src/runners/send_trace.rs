//! What a request to a runner was decided by, for its log line.

use std::fmt;
use std::sync::OnceLock;

use bulrushusher_time::Millis;

use crate::shared::ListEvidence;

/// Traces a request from the choice of its runner to the moment at which it is sent.
#[derive(Debug)]
pub(crate) struct SendTrace {
    chosen_at: Millis,
    sent: OnceLock<Sent>,
}

#[derive(Debug)]
struct Sent {
    /// Time between the choice of the runner and the send.
    waited: Millis,
    evidence: ListEvidence,
}

impl SendTrace {
    /// Starts a trace when a runner is chosen.
    pub(crate) fn new(chosen_at: Millis) -> SendTrace {
        SendTrace { chosen_at, sent: OnceLock::new() }
    }

    /// Records that the request is sent now. A repeat on another connection keeps the first record.
    pub(crate) fn record_sent(&self, now: Millis, evidence: ListEvidence) {
        let waited = now.since(self.chosen_at);
        self.sent.get_or_init(|| Sent { waited, evidence });
    }

    /// Time between the choice of the runner and the send; `None` if nothing was sent.
    pub(crate) fn waited(&self) -> Option<Millis> {
        self.sent.get().map(|sent| sent.waited)
    }
}

impl fmt::Display for SendTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(Sent { waited, evidence }) = self.sent.get() else {
            return f.write_str("sent=false");
        };
        let age = evidence.age.map_or("unknown".to_owned(), |age| age.0.to_string());
        write!(
            f,
            "sent=true send_wait_ms={} list_revision={} list_age_ms={age} list_source={} \
             entry_revision={} entry_age_ms={}",
            waited.0,
            evidence.revision,
            evidence.source,
            evidence.entry_revision,
            evidence.entry_age.0,
        )
    }
}
