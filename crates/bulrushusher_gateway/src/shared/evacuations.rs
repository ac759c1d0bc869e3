//! Data centres that must get no new work.

use bulrushusher_forward::{
    EvacuationDiff, EvacuationSet, EvacuationUpdate, Runner, SeenRevisions, Stage, era_of,
};
use bulrushusher_time::Millis;

use super::{ConfirmationAges, SharedState};
use crate::dialect::Topic;
use crate::runners::destination::Destination;

/// Maximum number of data centres that relays forward. More objects, which other clients may write,
/// would not fit into a datagram; the other gateways then read them from the store.
const MAX_FORWARDED: usize = 64;

impl SharedState {
    /// Time within which a data centre must get no more work; `None` where there are no evacuations.
    pub(crate) fn evacuation_bound(&self) -> Option<Millis> {
        self.evacuation_bound
    }

    /// True once the evacuations are known, or where there are none.
    pub(super) fn knows_evacuations(&self) -> bool {
        self.evacuation_bound.is_none()
            || self.with_runners(|runners, _| runners.directory.evacuations().listed().is_some())
    }

    /// Applies what `source` sent about evacuations. Returns which began and ended.
    pub(crate) fn update_evacuations(
        &self,
        update: EvacuationUpdate,
        source: &str,
    ) -> EvacuationDiff {
        let (is_first, diff, set) = self.with_runners(|runners, _| {
            let is_first = runners.directory.evacuations().listed().is_none();
            let diff = runners.directory.update_evacuations(update);
            let set = runners.directory.evacuations().listed().cloned().unwrap_or_default();
            (is_first, diff, set)
        });
        let (revision, count) = (set.revision, set.data_centres.len());
        for (event, names) in [("began", &diff.began), ("ended", &diff.ended)] {
            for name in names {
                log::info!(
                    "evacuations: {event} data_centre={name} evacuated={count} \
                     revision={revision} source={source}"
                );
            }
        }
        // Those of the first list may be old.
        if !is_first && !diff.began.is_empty() {
            *self.evacuated_at.lock() = Some(self.now());
        }
        diff
    }

    /// The set for gateways that do not watch the store; `None` before the first list.
    pub(crate) fn evacuations_to_forward(&self) -> Option<EvacuationSet> {
        let set = self
            .with_runners(|runners, _| runners.directory.evacuations().listed().cloned())
            .filter(|set| set.data_centres.len() <= MAX_FORWARDED);
        set.filter(|_| self.evacuation_bound.is_some())
    }

    /// Applies the set of a relay, and takes over when the store confirmed it.
    pub(crate) fn apply_relayed_evacuations(
        &self,
        relay: &str,
        set: EvacuationSet,
        revisions: SeenRevisions,
        ages: &ConfirmationAges,
    ) {
        if self.evacuation_bound.is_none() {
            return;
        }
        let (revision, source) = (set.revision, format!("relay:{relay}"));
        self.update_evacuations(EvacuationUpdate::Relayed(set), &source);
        let own = self.with_runners(|runners, _| {
            runners.directory.evacuations().listed().map(|set| set.revision)
        });
        if own.is_none_or(|own| era_of(own) != era_of(revision)) {
            return;
        }
        self.record_revisions(Topic::Evacuations, revision, revisions.evacuations);
        self.record_evacuations_confirmed(relay, ages);
    }

    /// True while the runner's data centre must get no new work.
    pub(crate) fn is_evacuated(&self, runner: &Runner) -> bool {
        self.with_runners(|runners, _| runners.directory.is_evacuated(runner))
    }

    /// True if only evacuated data centres have runners for the request. Prefill runners elsewhere are
    /// of no use without a decode runner.
    pub(crate) fn has_only_evacuated(&self, to: &Destination) -> bool {
        self.with_runners(|runners, now| {
            let directory = &runners.directory;
            if directory.evacuations().is_empty() {
                return false;
            }
            let may_run = |r: &&Runner| {
                r.stage != Some(Stage::Prefill) && self.permits_place(&to.residency, &r.data_centre)
            };
            let mut runners = directory.staying(&to.service, now).filter(may_run).peekable();
            runners.peek().is_some() && runners.all(|runner| directory.is_evacuated(runner))
        })
    }

    /// When this gateway last learned of an evacuation that began while it ran.
    pub(crate) fn last_evacuation(&self) -> Option<Millis> {
        *self.evacuated_at.lock()
    }

    /// Number of evacuated data centres; `None` where there are no evacuations.
    pub(crate) fn evacuated_count(&self) -> Option<usize> {
        self.evacuation_bound?;
        let set = |set: &EvacuationSet| set.data_centres.len();
        Some(
            self.with_runners(|runners, _| runners.directory.evacuations().listed().map_or(0, set)),
        )
    }
}
