//! Reports to gateways of other regions, which are sent less often than those inside the region.

use bulrushusher_time::Millis;

use crate::{GatewayDelta, GatewayReport};

/// Time between two deltas to gateways of other regions. They are 30 ms away, and a change in one
/// region matters little in the others: their runners are used only when the own region is full.
const FAR_REPORT_INTERVAL: Millis = Millis(150);

/// The stream of reports to gateways of other regions.
///
/// Its deltas build on the last report that was sent in this stream, and skip those between. A
/// receiver that has missed one detects the gap and requests a full report.
///
/// ```
/// use bulrushusher_forward::{FarReports, GatewayReport};
/// use bulrushusher_time::Millis;
/// let report = |sequence| GatewayReport { sequence, ..GatewayReport::default() };
/// let mut far = FarReports::default();
/// far.record_full(&report(1), Millis(0));
/// far.record_change(&report(2), Millis(1_000));
/// assert_eq!(far.wait(Millis(1_000)), Some(Millis(0)), "the first one after a quiet time");
/// assert_eq!(far.take_delta(Millis(1_000)).unwrap().skipped, 0);
/// far.record_change(&report(3), Millis(1_008));
/// far.record_change(&report(4), Millis(1_016));
/// assert_eq!(far.wait(Millis(1_016)), Some(Millis(134)));
/// assert_eq!(far.take_delta(Millis(1_150)).unwrap().skipped, 1);
/// assert_eq!(far.wait(Millis(1_150)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FarReports {
    sent: Option<GatewayReport>,
    sent_at: Millis,
    /// The latest report, until it is sent.
    next: Option<GatewayReport>,
    is_urgent: bool,
}

impl FarReports {
    /// Records a full report that was sent to all gateways.
    pub fn record_full(&mut self, report: &GatewayReport, now: Millis) {
        *self =
            FarReports { sent: Some(report.clone()), sent_at: now, next: None, is_urgent: false };
    }

    /// Records a report of which a delta was sent inside the region. Quota use that is due and
    /// drain notices are sent at once: they bound what other gateways may do. A delta that is not
    /// sent at once therefore skips no quota use.
    pub fn record_change(&mut self, report: &GatewayReport, now: Millis) {
        let Some(sent) = &self.sent else { return };
        let is_urgent = !report.spends.accounts.is_empty() || report.leaving != sent.leaving;
        self.is_urgent |= is_urgent || now.since(self.sent_at) >= FAR_REPORT_INTERVAL;
        self.next = Some(report.clone());
    }

    /// Time until a delta is due; `None` while there is nothing to send.
    pub fn wait(&self, now: Millis) -> Option<Millis> {
        self.next.as_ref()?;
        let left = FAR_REPORT_INTERVAL.since(now.since(self.sent_at));
        Some(if self.is_urgent { Millis(0) } else { left })
    }

    /// The delta from the last report that was sent to the latest one.
    pub fn take_delta(&mut self, now: Millis) -> Option<GatewayDelta> {
        let next = self.next.take()?;
        let delta = GatewayDelta::between(self.sent.as_ref()?, &next);
        self.sent = Some(next);
        (self.sent_at, self.is_urgent) = (now, false);
        Some(delta)
    }

    /// The last report that was sent, for a gateway that has missed it.
    pub fn last(&self) -> Option<&GatewayReport> {
        self.sent.as_ref()
    }
}
