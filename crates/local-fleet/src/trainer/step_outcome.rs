//! The outcome of one training step.

use std::fmt;
use std::time::Duration;

use super::step_plan::ItemGroup;

/// The outcome of a training step; its text form is printed during a run.
#[derive(Clone, Debug)]
pub struct StepOutcome {
    /// Number of the step, from 0.
    pub step: u64,
    /// Number of groups that were complete at the end of the step.
    pub complete_groups: usize,
    /// Number of complete groups that the step needed.
    pub required_groups: usize,
    /// Whether the required number of groups was complete, and with them all groups carried over from the
    /// previous step.
    pub is_done: bool,
    /// Number of results that were read.
    pub results: usize,
    /// Time from the submission until the required groups were complete or the step timed out.
    pub duration: Duration,
    /// Groups that were not complete at the end of the step.
    pub incomplete_groups: Vec<ItemGroup>,
}

impl fmt::Display for StepOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_done { "done" } else { "NOT DONE" };
        write!(
            f,
            "step {} {state}: {} whole groups of {} wanted, {} results in {:.2?}",
            self.step, self.complete_groups, self.required_groups, self.results, self.duration
        )
    }
}
