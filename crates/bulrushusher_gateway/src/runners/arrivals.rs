//! Pays for the arrivals of a request at runners from the retry budget of its service.

use std::sync::Arc;

use bulrushusher_forward::RequestArrivals;
use bulrushusher_world::ServiceName;
use parking_lot::Mutex;

use crate::shared::SharedState;

/// The arrivals of one request, and the retries that are reserved for it. Its lock is taken before
/// those of [`SharedState`]. Reserved retries that were not spent are released on drop.
#[derive(Debug)]
pub(crate) struct PaidArrivals {
    shared: Arc<SharedState>,
    service: ServiceName,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    arrivals: RequestArrivals,
    /// Retries reserved for sends to come.
    reserved: u32,
}

impl PaidArrivals {
    pub(crate) fn new(shared: Arc<SharedState>, service: ServiceName) -> PaidArrivals {
        PaidArrivals { shared, service, state: Mutex::default() }
    }

    /// Reserves what the next `sends` of the request cost. Returns false if the budget does not allow
    /// it; nothing more is reserved then.
    pub(crate) fn reserve(&self, sends: u32) -> bool {
        let mut state = self.state.lock();
        let missing = state.arrivals.unpaid_after(sends).saturating_sub(state.reserved);
        let is_reserved = self.shared.reserve_retries(&self.service, missing);
        if is_reserved {
            state.reserved += missing;
        }
        is_reserved
    }

    /// Releases what is reserved and not spent.
    pub(crate) fn release(&self) {
        let reserved = std::mem::take(&mut self.state.lock().reserved);
        self.shared.release_retries(&self.service, reserved);
    }

    /// Records a send whose bytes are written next, and pays for it if it is beyond the first.
    /// Returns the number of arrivals beyond the first; `None` if the budget does not allow the send.
    pub(crate) fn record(&self) -> Option<u32> {
        let mut state = self.state.lock();
        if state.arrivals.unpaid_after(1) > 0 {
            let is_reserved = state.reserved > 0;
            state.reserved -= u32::from(is_reserved);
            if !self.shared.spend_retry(&self.service, is_reserved) {
                return None;
            }
            state.arrivals.pay();
        }
        state.arrivals.record();
        Some(state.arrivals.retries())
    }

    /// Number of arrivals beyond the first.
    pub(crate) fn retries(&self) -> u32 {
        self.state.lock().arrivals.retries()
    }

    /// Takes back a send of which nothing was written. What was paid for it covers the next one.
    pub(crate) fn withdraw(&self) {
        self.state.lock().arrivals.withdraw();
    }

    /// Records that a runner has prefilled the prompt.
    pub(crate) fn accept_prefill(&self) {
        self.state.lock().arrivals.accept_prefill();
    }

    /// Number of sends for a prefill and for the run after it. The first prefill that a runner accepts
    /// is free.
    pub(crate) fn sends_with_prefill(&self) -> u32 {
        match self.state.lock().arrivals.is_prefilled() {
            true => 2,
            false => 1,
        }
    }
}

impl Drop for PaidArrivals {
    fn drop(&mut self) {
        self.release();
    }
}
