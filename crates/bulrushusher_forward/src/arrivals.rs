//! The arrivals of one request at the runners of its service.

/// Counts the arrivals of one request at runners, refused ones too. Each arrival beyond the first is
/// a retry and must be paid for, except for the first prefill that a runner accepted, which is not
/// counted. What was paid for that prefill covers the next arrival.
///
/// ```
/// use bulrushusher_forward::RequestArrivals;
/// let mut arrivals = RequestArrivals::default();
/// arrivals.record();
/// arrivals.accept_prefill();
/// arrivals.record();
/// assert_eq!(arrivals.retries(), 0, "one prefill and one run");
/// assert_eq!(arrivals.unpaid_after(1), 1);
/// arrivals.pay();
/// arrivals.record();
/// assert_eq!((arrivals.retries(), arrivals.unpaid_after(0)), (1, 0));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestArrivals {
    counted: u32,
    paid: u32,
    is_prefilled: bool,
}

impl RequestArrivals {
    /// Records a send. A prefill counts until a runner has accepted it.
    pub fn record(&mut self) {
        self.counted += 1;
    }

    /// Takes back a send of which nothing was written.
    pub fn withdraw(&mut self) {
        self.counted = self.counted.saturating_sub(1);
    }

    /// Records that a runner has prefilled the prompt.
    pub fn accept_prefill(&mut self) {
        if !std::mem::replace(&mut self.is_prefilled, true) {
            self.withdraw();
        }
    }

    /// True if a runner has prefilled the prompt.
    pub fn is_prefilled(&self) -> bool {
        self.is_prefilled
    }

    /// Records that one arrival beyond the first was paid for.
    pub fn pay(&mut self) {
        self.paid += 1;
    }

    /// Arrivals beyond the first that nothing was paid for, after `sends` more.
    pub fn unpaid_after(&self, sends: u32) -> u32 {
        (self.counted + sends).saturating_sub(1 + self.paid)
    }

    /// Number of arrivals beyond the first.
    pub fn retries(&self) -> u32 {
        self.counted.saturating_sub(1)
    }
}
