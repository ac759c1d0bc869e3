//! Admission control of an agent: a limited number of concurrency slots and a bounded queue.
//!
//! [`AdmissionController`] does no I/O and reads no clock: the agent passes in events with the
//! current time, and executes the [`AdmissionAction`]s that it gets back. A granted slot is a
//! reservation with a time-to-live measured by the agent's own clock, so an entry that was paused
//! cannot use an expired reservation.

mod controller;
mod refusal;

pub use controller::{
    AdmissionAction, AdmissionConfig, AdmissionController, Grant, ReservationId, SlotRequest,
    SlotRequestId,
};
pub use refusal::Refusal;

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{
        AdmissionAction, AdmissionConfig, AdmissionController, Grant, Refusal, ReservationId,
        SlotRequest, SlotRequestId,
    };
}
