//! An agent's decisions on its places: who gets one, who waits, whose grant lapsed, who is refused.
//!
//! A [`Gate`] does no I/O and reads no clock: the agent hands it events and a `Millis`, and carries
//! out the [`GateAction`]s it returns. A grant is a reservation with a time-to-live on the agent's
//! own clock, so a paused entry cannot use an old one.

mod gate;
mod refusal;

pub use gate::{Ask, AskId, Gate, GateAction, GateConfig, Grant, ReservationId};
pub use refusal::Refusal;

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{Ask, AskId, Gate, GateAction, GateConfig, Grant, Refusal, ReservationId};
}
