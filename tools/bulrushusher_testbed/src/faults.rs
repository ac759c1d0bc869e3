//! Faults that can be injected into a run.

use std::time::Duration;

use bulrushusher_standin::engine::Faults;
use bulrushusher_standin::store::StoreFaults;
use bulrushusher_time::Millis;
use bulrushusher_world::Role;
use derive_more::{Display, Error};

use crate::testbed::{Testbed, TestbedError};

/// A fault, injected once after about a third of the run, or into a share of the requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed and restarted 800 ms later.
    #[display("entry-crash")]
    EntryCrash,
    /// A decode engine is killed and restarted 800 ms later.
    #[display("runner-crash")]
    RunnerCrash,
    /// The agent of a decode engine is killed and restarted with empty memory 400 ms later.
    #[display("agent-restart")]
    AgentRestart,
    /// The store is unavailable for a third of the run.
    #[display("store-outage")]
    StoreOutage,
    /// Open connections to two agents are blackholed permanently.
    #[display("silent-connection")]
    SilentConnection,
    /// KV transfers out of a prefill engine stall for longer than it holds its results.
    #[display("stalled-transfer")]
    StalledTransfer,
    /// One caller in ten disconnects in the middle of its answer.
    #[display("client-cancel")]
    ClientCancel,
    /// An entry is paused for longer than every TTL.
    #[display("paused-entry")]
    PausedEntry,
    /// One in five requests with a key is sent to two entries at once.
    #[display("duplicate-requests")]
    DuplicateRequests,
}

/// The text is not the name of a fault.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown fault `{name}`; expected one of {known}")]
pub struct UnknownFault {
    name: String,
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
            name: text.to_owned(),
            known: Fault::ALL.map(|fault| fault.to_string()).join(", "),
        })
    }
}

/// Delay before a killed process is restarted.
const DOWNTIME: Duration = Duration::from_millis(800);
/// Duration of an entry's pause: longer than the TTL of reservations.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Duration of a transfer stall: longer than a prefill result is held.
const STALL: Duration = Duration::from_millis(1_500);

/// Injects a fault and reverts it where it is temporary. `run_duration` is the duration of the run.
///
/// # Errors
/// [`TestbedError`] if a process cannot be restarted.
pub async fn inject(
    fault: Fault,
    testbed: &mut Testbed,
    run_duration: Duration,
) -> Result<(), TestbedError> {
    match fault {
        Fault::EntryCrash => {
            let last = testbed.entries.len() - 1;
            testbed.entries[last].kill();
            tokio::time::sleep(DOWNTIME).await;
            testbed.entries[last].restart().await
        }
        Fault::RunnerCrash => {
            let at = testbed.runners_with_role(Role::Decode)[0];
            testbed.runners[at].kill_target();
            tokio::time::sleep(DOWNTIME).await;
            testbed.runners[at].restart_target().await
        }
        Fault::AgentRestart => {
            let at = testbed.runners_with_role(Role::Decode)[1];
            testbed.runners[at].kill_agent();
            tokio::time::sleep(DOWNTIME / 2).await;
            testbed.runners[at].restart_agent().await
        }
        Fault::StoreOutage => {
            testbed.store.set_faults(StoreFaults {
                outage: true,
                slow: Millis(0),
                lose_replies: 0,
            });
            tokio::time::sleep(run_duration / 3).await;
            testbed.store.set_faults(StoreFaults::default());
            Ok(())
        }
        Fault::SilentConnection => {
            testbed.runners[testbed.runners_with_role(Role::Decode)[2]]
                .blackhole_open_connections();
            testbed.runners[testbed.runners_with_role(Role::Service)[0]]
                .blackhole_open_connections();
            Ok(())
        }
        Fault::StalledTransfer => {
            let at = testbed.runners_with_role(Role::Prefill)[0];
            testbed.runners[at].set_faults(Faults { stalled_link: true, ..Faults::default() });
            tokio::time::sleep(STALL).await;
            testbed.runners[at].set_faults(Faults::default());
            Ok(())
        }
        Fault::PausedEntry => {
            testbed.entries[0].pause(PAUSE);
            Ok(())
        }
        // Applied to a share of the requests when the load is sent; see `run`.
        Fault::ClientCancel | Fault::DuplicateRequests => Ok(()),
    }
}
