//! Runners that start again under the identity that they had.

use bulrushusher_forward::{Runner, RunnerListDiff, StartStatus, StartTime};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use super::Knowledge;

/// A start that lies further ahead than this is not a runner's own word: clocks differ by seconds.
/// Taken as true, it would make every word of the runner's own an earlier one.
const MOST_AHEAD: Millis = Millis(3_600_000);

impl Knowledge {
    /// Takes in a runner's entry.
    pub(crate) fn put_runner(&self, runner: Runner) -> StartStatus {
        if self.is_impossible(runner.born) {
            self.drop_runner(&runner.id);
            return StartStatus::Missing;
        }
        let (id, born) = (runner.id.clone(), runner.born);
        let news = self.with_runners(|runners, _| runners.members.put(runner));
        self.take_in_start(&id, born, news);
        news
    }

    /// Takes in a whole list of runners.
    pub(crate) fn put_all_runners(&self, mut listed: Vec<Runner>) -> RunnerListDiff {
        let impossible = |runner: &Runner| self.is_impossible(runner.born);
        let dropped: Vec<RunnerId> =
            listed.iter().filter(|runner| impossible(runner)).map(|r| r.id.clone()).collect();
        listed.retain(|runner| !impossible(runner));
        let starts: Vec<(RunnerId, Option<StartTime>)> =
            listed.iter().map(|runner| (runner.id.clone(), runner.born)).collect();
        let news = self.with_runners(|runners, now| runners.members.replace_all(listed, now));
        dropped.iter().for_each(|id| self.drop_runner(id));
        for (id, born) in &starts {
            let is_later = news.restarted.contains(id);
            let start = if is_later { StartStatus::Newer } else { StartStatus::Current };
            self.take_in_start(id, *born, start);
        }
        news
    }

    /// A runner told its start itself, perhaps before its entry does.
    pub(crate) fn hear_start(&self, id: &RunnerId, born: Option<StartTime>) -> StartStatus {
        if self.is_impossible(born) {
            return StartStatus::Missing;
        }
        let news = self.with_runners(|runners, _| runners.members.record_start(id, born));
        self.take_in_start(id, born, news);
        news
    }

    /// An entry names no runner to use, whatever was known of it. What the runner asked for stays: its entry may
    /// come back, and a later start owes nothing of it anyway.
    pub(crate) fn drop_runner(&self, id: &RunnerId) {
        self.with_runners(|runners, _| {
            runners.members.forget(id);
            runners.loads.forget(id);
        });
        self.forget_run_ends(id);
    }

    /// True when a later start of the runner is known: what is held there is gone.
    pub(crate) fn is_past(&self, runner: &Runner) -> bool {
        self.with_runners(|runners, _| runners.members.is_superseded(runner))
    }

    /// Drops what was believed of the start before.
    fn take_in_start(&self, id: &RunnerId, born: Option<StartTime>, news: StartStatus) {
        if born.is_some() && matches!(news, StartStatus::Current | StartStatus::Newer) {
            self.runs.lock().record_start(id, born);
        }
        if news != StartStatus::Newer {
            return;
        }
        self.with_runners(|runners, _| runners.loads.forget(id));
        self.forget_run_ends(id);
        for changing in self.changing.lock().values_mut() {
            changing.retain(|runner| runner != id);
        }
        self.report_due.notify_one();
        log::info!(
            "runners: started again id={id} born={} dropped=\"what was believed before\"",
            born.map_or(0, |born| born.0),
        );
    }

    fn is_impossible(&self, born: Option<StartTime>) -> bool {
        born.is_some_and(|born| born.0 > self.now().plus(MOST_AHEAD).0)
    }
}
