//! The outcome of one training step.

use std::fmt;
use std::time::Duration;

use super::step_plan::ItemGroup;

/// The outcome of a training step.
#[derive(Clone, Debug)]
pub struct StepOutcome {
    /// The step, from 0.
    pub step: u64,
    /// Groups that were complete at its end.
    pub complete_groups: usize,
    /// Complete groups that it needed.
    pub required_groups: usize,
    /// The required groups were complete, and all groups that were carried over.
    pub is_done: bool,
    /// Results that were read.
    pub results: usize,
    /// From the submission to the last required result.
    pub duration: Duration,
    /// Groups that were not complete.
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
