//! The steps of the simulation and their relative frequencies.

use proptest::prelude::*;

use super::SKEW;

/// One event. Indices are taken modulo the number of items.
#[derive(Clone, Debug)]
pub enum Step {
    NewKey {
        skew: u64,
        timeless: bool,
        random: u64,
    },
    Start {
        entry: usize,
        key: usize,
        executor: usize,
    },
    /// A message arrives; its reply arrives too if `answered`.
    Deliver {
        message: usize,
        answered: bool,
    },
    /// The sender of a message times out; the message may still arrive.
    Timeout {
        message: usize,
    },
    Drop {
        message: usize,
    },
    /// A settled attempt sends its order, or a paused one starts its next round.
    Proceed {
        attempt: usize,
        executor: usize,
    },
    /// An attempt without a reply to its order checks the outcome at the agent.
    CheckOutcome {
        attempt: usize,
    },
    RestartAgent {
        agent: usize,
    },
    RestartEntry {
        entry: usize,
    },
    /// The endpoint list changes.
    NewList {
        members: usize,
    },
    EntryGetsList {
        entry: usize,
        skip: bool,
    },
    AgentGetsList {
        agent: usize,
        skip: bool,
    },
    PollPeers {
        agent: usize,
    },
    Finish {
        agent: usize,
        whole: bool,
    },
    Advance {
        ms: u64,
    },
}

pub fn step() -> impl Strategy<Value = Step> {
    let which = 0..64_usize;
    prop_oneof![
        2 => (0..=2 * SKEW, prop::bool::weighted(0.1), any::<u64>())
            .prop_map(|(skew, timeless, random)| Step::NewKey { skew, timeless, random }),
        6 => (which.clone(), which.clone(), which.clone())
            .prop_map(|(entry, key, executor)| Step::Start { entry, key, executor }),
        24 => (which.clone(), prop::bool::weighted(0.85))
            .prop_map(|(message, answered)| Step::Deliver { message, answered }),
        2 => which.clone().prop_map(|message| Step::Timeout { message }),
        1 => which.clone().prop_map(|message| Step::Drop { message }),
        10 => (which.clone(), which.clone())
            .prop_map(|(attempt, executor)| Step::Proceed { attempt, executor }),
        1 => which.clone().prop_map(|attempt| Step::CheckOutcome { attempt }),
        1 => which.clone().prop_map(|agent| Step::RestartAgent { agent }),
        1 => which.clone().prop_map(|entry| Step::RestartEntry { entry }),
        2 => which.clone().prop_map(|members| Step::NewList { members }),
        3 => (which.clone(), any::<bool>())
            .prop_map(|(entry, skip)| Step::EntryGetsList { entry, skip }),
        4 => (which.clone(), any::<bool>())
            .prop_map(|(agent, skip)| Step::AgentGetsList { agent, skip }),
        3 => which.clone().prop_map(|agent| Step::PollPeers { agent }),
        1 => (which, any::<bool>()).prop_map(|(agent, whole)| Step::Finish { agent, whole }),
        4 => prop_oneof![4 => 0..120_u64, 1 => 0..3_000_u64].prop_map(|ms| Step::Advance { ms }),
    ]
}
