//! When a caller's connection may be closed because it is idle or its request head is too slow.

use bulrushusher_time::Millis;
use derive_more::Display;

use crate::CallerLimits;

/// Time that an idle connection is kept beyond its idle timeout, so that a request that was sent at the
/// last moment is still read.
const IDLE_SLACK: Millis = Millis(500);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has been read since then.
    Idle { since: Millis },
    /// The first byte of an incomplete head was read then.
    ReadingHead { since: Millis },
    /// Requests are being served.
    Serving { requests: u32 },
    /// It is being closed, and takes no request.
    Closing,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for too long.
    #[display("idle for too long")]
    Idle,
    /// A request head was too slow.
    #[display("head too slow")]
    SlowHead,
    /// The gateway stops, and nothing is in flight on the connection.
    #[display("the gateway stops")]
    Stopping,
}

impl CloseReason {
    /// The reason's label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::SlowHead => "slow_head",
            CloseReason::Stopping => "stopping",
        }
    }
}

/// Time that callers may take, by the configurations that they may still know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum time from the first byte of a request head to its end.
    pub header_timeout: Millis,
    /// Maximum time without a byte between two requests.
    pub idle_timeout: Millis,
}

/// The state of a caller's connection. All of its changes are made under one lock, so that "it is due"
/// and "it is being closed" are one step.
///
/// ```
/// use bulrushusher_forward::{CloseReason, ConnectionLimits, ConnectionState};
/// use bulrushusher_time::Millis;
/// let limits = ConnectionLimits { header_timeout: Millis(700), idle_timeout: Millis(1_000) };
/// let mut state = ConnectionState::new(Millis(0));
/// assert_eq!(state.close_reason(&limits, Millis(1_500)), None);
/// assert_eq!(state.close_reason(&limits, Millis(1_501)), Some(CloseReason::Idle));
/// // A request has arrived meanwhile.
/// assert_eq!(state.close_if_due(&limits, Millis(1_501), true), None);
/// state.begin_request();
/// assert_eq!(state.close_if_due(&limits, Millis(9_000), false), None);
/// state.end_request(Millis(9_000));
/// assert_eq!(state.close_if_due(&limits, Millis(10_501), false), Some(CloseReason::Idle));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    phase: Phase,
    /// True if the connection was kept for unread bytes, and nothing was read since.
    was_spared: bool,
}

impl ConnectionState {
    /// A connection that was accepted at `now`.
    pub fn new(now: Millis) -> ConnectionState {
        ConnectionState { phase: Phase::Idle { since: now }, was_spared: false }
    }

    /// Records that bytes were read.
    pub fn record_bytes(&mut self, now: Millis) {
        self.was_spared = false;
        if let Phase::Idle { .. } = self.phase {
            self.phase = Phase::ReadingHead { since: now };
        }
    }

    /// Records a complete head.
    pub fn begin_request(&mut self) {
        let serving = match self.phase {
            Phase::Serving { requests } => requests,
            Phase::Idle { .. } | Phase::ReadingHead { .. } | Phase::Closing => 0,
        };
        self.phase = Phase::Serving { requests: serving + 1 };
    }

    /// Records the end of a response.
    pub fn end_request(&mut self, now: Millis) {
        if let Phase::Serving { requests } = self.phase {
            self.phase = match requests {
                0 | 1 => Phase::Idle { since: now },
                more => Phase::Serving { requests: more - 1 },
            };
        }
    }

    /// True if no byte of a request has been read since the last response.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle { .. })
    }

    /// True if a request is being served.
    pub fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Serving { .. })
    }

    /// Time for which the connection has been idle; `None` if it is not.
    pub fn idle_time(&self, now: Millis) -> Option<Millis> {
        match self.phase {
            Phase::Idle { since } => Some(now.since(since)),
            Phase::ReadingHead { .. } | Phase::Serving { .. } | Phase::Closing => None,
        }
    }

    /// Why the connection is due to be closed, if it is.
    pub fn close_reason(&self, limits: &ConnectionLimits, now: Millis) -> Option<CloseReason> {
        match self.phase {
            Phase::Idle { since } => {
                let kept = limits.idle_timeout.plus(IDLE_SLACK);
                (now.since(since) > kept).then_some(CloseReason::Idle)
            }
            Phase::ReadingHead { since } => {
                (now.since(since) > limits.header_timeout).then_some(CloseReason::SlowHead)
            }
            Phase::Serving { .. } | Phase::Closing => None,
        }
    }

    /// Begins to close the connection if it is due. It is spared once if bytes wait to be read: the
    /// process may have been too late for them. If they still wait at the next check, they are not read
    /// because the caller does not read its responses. Returns the reason if it is to be closed.
    pub fn close_if_due(
        &mut self,
        limits: &ConnectionLimits,
        now: Millis,
        has_unread: bool,
    ) -> Option<CloseReason> {
        let reason = self.close_reason(limits, now)?;
        if has_unread && !std::mem::replace(&mut self.was_spared, true) {
            return None;
        }
        self.phase = Phase::Closing;
        Some(reason)
    }

    /// Begins to close the connection of a gateway that stops, if it is idle and no byte waits to be
    /// read.
    pub fn close_if_idle(&mut self, has_unread: bool) -> Option<CloseReason> {
        if !self.is_idle() || has_unread {
            return None;
        }
        self.phase = Phase::Closing;
        Some(CloseReason::Stopping)
    }
}

/// The limits that apply to connections when the configuration changes. A caller whose last response
/// came just before an idle timeout was shortened may act on the longer one, so that stays in force
/// for as long as it lasts.
///
/// ```
/// use bulrushusher_forward::{CallerLimits, LimitHistory};
/// use bulrushusher_time::Millis;
/// let limits = |idle_timeout| CallerLimits {
///     header_bytes: 16_384,
///     body_bytes: 1 << 20,
///     header_timeout: Millis(700),
///     idle_timeout,
/// };
/// let mut history = LimitHistory::default();
/// history.update(&limits(Millis(5_000)), Millis(0));
/// let shortened = history.update(&limits(Millis(1_000)), Millis(100));
/// assert_eq!(shortened.idle_timeout, Millis(5_000));
/// let later = history.update(&limits(Millis(1_000)), Millis(6_000));
/// assert_eq!(later.idle_timeout, Millis(1_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitHistory {
    current: Option<Millis>,
    /// Longer idle timeouts of before, and until when callers may act on each.
    former: Vec<(Millis, Millis)>,
}

impl LimitHistory {
    /// Records the limits of the configuration in force, and returns those that apply at `now`.
    pub fn update(&mut self, limits: &CallerLimits, now: Millis) -> ConnectionLimits {
        let current = limits.idle_timeout;
        if let Some(before) = self.current.replace(current).filter(|before| *before != current) {
            self.former.push((before, now.plus(before).plus(IDLE_SLACK)));
        }
        self.former.retain(|(timeout, until)| *timeout > current && *until > now);
        let former = self.former.iter().map(|(timeout, _)| *timeout);
        let idle_timeout = former.fold(current, Millis::max);
        ConnectionLimits { header_timeout: limits.header_timeout, idle_timeout }
    }
}
