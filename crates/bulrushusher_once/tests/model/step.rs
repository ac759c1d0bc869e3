//! The steps of the fuzzed world, and how often each is taken.

use proptest::prelude::*;

use super::SKEW;

/// One thing that happens. Numbers are taken modulo what there is.
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
    /// A message arrives; its answer comes back, or not.
    Deliver {
        message: usize,
        answered: bool,
    },
    /// A message's sender stops waiting; the message may still arrive.
    GiveUp {
        message: usize,
    },
    Drop {
        message: usize,
    },
    /// A settled attempt orders its run; or a pausing one goes on.
    GoOn {
        attempt: usize,
        executor: usize,
    },
    /// An attempt without an answer to its order finds out.
    FindOut {
        attempt: usize,
    },
    RestartAgent {
        agent: usize,
    },
    RestartEntry {
        entry: usize,
    },
    /// The members of the list change.
    NewList {
        members: usize,
    },
    EntryLearns {
        entry: usize,
        skip: bool,
    },
    AgentLearns {
        agent: usize,
        skip: bool,
    },
    AskPeers {
        agent: usize,
    },
    Finish {
        agent: usize,
        whole: bool,
    },
    Pass {
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
        2 => which.clone().prop_map(|message| Step::GiveUp { message }),
        1 => which.clone().prop_map(|message| Step::Drop { message }),
        10 => (which.clone(), which.clone())
            .prop_map(|(attempt, executor)| Step::GoOn { attempt, executor }),
        1 => which.clone().prop_map(|attempt| Step::FindOut { attempt }),
        1 => which.clone().prop_map(|agent| Step::RestartAgent { agent }),
        1 => which.clone().prop_map(|entry| Step::RestartEntry { entry }),
        2 => which.clone().prop_map(|members| Step::NewList { members }),
        3 => (which.clone(), any::<bool>())
            .prop_map(|(entry, skip)| Step::EntryLearns { entry, skip }),
        4 => (which.clone(), any::<bool>())
            .prop_map(|(agent, skip)| Step::AgentLearns { agent, skip }),
        3 => which.clone().prop_map(|agent| Step::AskPeers { agent }),
        1 => (which, any::<bool>()).prop_map(|(agent, whole)| Step::Finish { agent, whole }),
        4 => prop_oneof![4 => 0..120_u64, 1 => 0..3_000_u64].prop_map(|ms| Step::Pass { ms }),
    ]
}
