//! A batch job that a node has accepted, with the results that were read.

use std::time::{Duration, Instant};

use super::result_history::ResultHistory;
use super::step_outcome::StepOutcome;
use super::step_plan::StepPlan;

/// An accepted batch job and the history of its results.
#[derive(Debug)]
pub(super) struct SubmittedJob {
    pub(super) plan: StepPlan,
    pub(super) history: ResultHistory,
    /// Time at which the submission started.
    pub(super) submitted: Instant,
    /// Time at which the submission was acknowledged.
    pub(super) accepted: Instant,
}

impl SubmittedJob {
    pub(super) fn new(plan: StepPlan, submitted: Instant, accepted: Instant) -> Self {
        let history = ResultHistory::new(plan.job.items.len());
        Self { plan, history, submitted, accepted }
    }

    /// Returns whether all groups that were carried over are complete, and at least `required_groups` groups
    /// in total.
    pub(super) fn has_required_groups(&self, required_groups: usize) -> bool {
        let complete = self.plan.complete_groups(self.history.ids());
        complete.iter().take(self.plan.carried_groups).all(|is_complete| *is_complete)
            && count_true(&complete) >= required_groups
    }

    pub(super) fn outcome(
        &self,
        step: u64,
        required_groups: usize,
        is_done: bool,
        duration: Duration,
    ) -> StepOutcome {
        let complete = self.plan.complete_groups(self.history.ids());
        let groups = self.plan.groups.iter().zip(&complete);
        let incomplete = groups.filter(|(_, is_complete)| !**is_complete).map(|(group, _)| group.clone());
        StepOutcome {
            step,
            complete_groups: count_true(&complete),
            required_groups,
            is_done,
            results: self.history.count(),
            duration,
            incomplete_groups: incomplete.collect(),
        }
    }
}

fn count_true(flags: &[bool]) -> usize {
    flags.iter().filter(|flag| **flag).count()
}
