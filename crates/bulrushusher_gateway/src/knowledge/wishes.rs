//! What runners ask for in their answers: a rate limit, no new work, or rest.

use std::collections::HashMap;

use bulrushusher_forward::Runner;
use bulrushusher_world::RunnerId;

use super::Knowledge;
use crate::dialect::RunnerWishes;

/// What the last answer of each runner asked for, where it asked for anything.
#[derive(Debug, Default)]
pub(super) struct KnownWishes {
    last: HashMap<RunnerId, RunnerWishes>,
}

impl Knowledge {
    /// Takes in what a runner's answer asks for; returns the kinds that it did not ask for before.
    pub(crate) fn hear_wishes(&self, runner: &Runner, wishes: RunnerWishes) -> Vec<&'static str> {
        let before = self.wishes.lock().replace(&runner.id, wishes);
        if before == wishes {
            return Vec::new();
        }
        log::info!(
            "runners: asks id={} rate_limit={} leaving={} rest_ms={}",
            runner.id,
            wishes.rate_limit.map_or("none".to_owned(), |limit| limit.to_string()),
            wishes.leaving,
            wishes.rest.map_or(0, |rest| rest.0),
        );
        let limit_is_new = wishes.rate_limit.is_some() && wishes.rate_limit != before.rate_limit;
        let leaving_is_new = wishes.leaving && !before.leaving;
        let kinds = [
            ("rate_limit", limit_is_new),
            ("leaving", leaving_is_new),
            ("rest", wishes.rest.is_some()),
        ];
        kinds.into_iter().filter(|(_, is_new)| *is_new).map(|(kind, _)| kind).collect()
    }
}

impl KnownWishes {
    /// Puts new wishes in place of those of before, which it returns.
    fn replace(&mut self, runner: &RunnerId, wishes: RunnerWishes) -> RunnerWishes {
        let before = match wishes == RunnerWishes::default() {
            true => self.last.remove(runner),
            false => self.last.insert(runner.clone(), wishes),
        };
        before.unwrap_or_default()
    }
}
