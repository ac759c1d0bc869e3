//! Faults that a run can be put under.

use std::time::Duration;

use bulrushusher_standin::engine::Faults;
use bulrushusher_standin::store::StoreFaults;
use bulrushusher_time::Millis;
use bulrushusher_world::Role;
use derive_more::{Display, Error};

use crate::bed::{Bed, BedError};

/// A fault, brought about once at about a third of the run (some in a share of the requests).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed, and started again a little later.
    #[display("entry-crash")]
    EntryCrash,
    /// A decode engine is killed, and started again a little later.
    #[display("runner-crash")]
    RunnerCrash,
    /// The agent beside a decode engine is killed, and started again with empty memory.
    #[display("agent-restart")]
    AgentRestart,
    /// The store is down for a third of the run.
    #[display("store-outage")]
    StoreOutage,
    /// Open connections to two agents go silent for good.
    #[display("silent-connection")]
    SilentConnection,
    /// Transfers out of a prefill engine stand still for longer than its results are held.
    #[display("stalled-transfer")]
    StalledTransfer,
    /// One caller in ten goes away in the middle of its answer.
    #[display("client-cancel")]
    ClientCancel,
    /// An entry is paused for longer than every time-to-live.
    #[display("paused-entry")]
    PausedEntry,
    /// One request with a key in five is sent to two entries at once.
    #[display("duplicate-requests")]
    DuplicateRequests,
}

/// The text names no fault.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{given}` is no fault; give one of {known}")]
pub struct UnknownFault {
    given: String,
    known: String,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 9] = [
        Fault::EntryCrash,
        Fault::RunnerCrash,
        Fault::AgentRestart,
        Fault::StoreOutage,
        Fault::SilentConnection,
        Fault::StalledTransfer,
        Fault::ClientCancel,
        Fault::PausedEntry,
        Fault::DuplicateRequests,
    ];
}

impl TryFrom<&str> for Fault {
    type Error = UnknownFault;
    fn try_from(text: &str) -> Result<Fault, UnknownFault> {
        let found = Fault::ALL.into_iter().find(|fault| fault.to_string() == text);
        found.ok_or_else(|| UnknownFault {
            given: text.to_owned(),
            known: Fault::ALL.map(|fault| fault.to_string()).join(", "),
        })
    }
}

/// How long a killed process stays away.
const DOWN: Duration = Duration::from_millis(800);
/// How long a paused entry stands still: longer than the reservations' time-to-live.
const PAUSE: Duration = Duration::from_millis(3_500);
/// How long a transfer stands still: longer than a prefill result is held.
const STALL: Duration = Duration::from_millis(1_500);

/// Brings one fault about, and undoes what is to be undone. `length` is the length of the run.
///
/// # Errors
/// [`BedError`] when a process cannot be started again.
pub async fn bring_about(fault: Fault, bed: &mut Bed, length: Duration) -> Result<(), BedError> {
    match fault {
        Fault::EntryCrash => {
            let last = bed.entries.len() - 1;
            bed.entries[last].kill();
            tokio::time::sleep(DOWN).await;
            bed.entries[last].restart().await
        }
        Fault::RunnerCrash => {
            let at = bed.of_role(Role::Decode)[0];
            bed.runners[at].kill_target();
            tokio::time::sleep(DOWN).await;
            bed.runners[at].restart_target().await
        }
        Fault::AgentRestart => {
            let at = bed.of_role(Role::Decode)[1];
            bed.runners[at].kill_agent();
            tokio::time::sleep(DOWN / 2).await;
            bed.runners[at].restart_agent().await
        }
        Fault::StoreOutage => {
            bed.store.set_faults(StoreFaults { outage: true, slow: Millis(0), lose_replies: 0 });
            tokio::time::sleep(length / 3).await;
            bed.store.set_faults(StoreFaults::default());
            Ok(())
        }
        Fault::SilentConnection => {
            bed.runners[bed.of_role(Role::Decode)[2]].silence();
            bed.runners[bed.of_role(Role::Service)[0]].silence();
            Ok(())
        }
        Fault::StalledTransfer => {
            let at = bed.of_role(Role::Prefill)[0];
            bed.runners[at].set_faults(Faults { stalled_link: true, ..Faults::default() });
            tokio::time::sleep(STALL).await;
            bed.runners[at].set_faults(Faults::default());
            Ok(())
        }
        Fault::PausedEntry => {
            bed.entries[0].pause(PAUSE);
            Ok(())
        }
        // In a share of the requests; see the load.
        Fault::ClientCancel | Fault::DuplicateRequests => Ok(()),
    }
}
