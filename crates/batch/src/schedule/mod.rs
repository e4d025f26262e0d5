//! The order in which the items of batch jobs are started.
//!
//! [`JobSchedule`] tracks the items of one batch job and selects the next one to start; [`Precedence`]
//! compares the next items of several batch jobs. Times are durations since an origin that the caller
//! defines. This module does no I/O.

mod groups;
mod job_schedule;
mod precedence;

pub use job_schedule::{ItemCandidate, JobSchedule};
pub use precedence::{JobForecast, Precedence, Urgency};

use std::time::Duration;

/// Index of an item in the list of items of its batch job.
pub type ItemIndex = usize;

/// Phase of an item, from its submission until its result is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// The item waits to be started, for the first time or after a failure. It may not start before this
    /// time.
    Pending(Duration),
    /// A server generates the text of the item.
    Streaming,
    /// The text is complete, and the reward request that grades it is running.
    Grading,
    /// The result of the item is in the log of the batch job, or is about to be appended to it.
    Recorded,
}

impl ItemPhase {
    /// Whether the text of the item is complete.
    fn is_generated(self) -> bool {
        matches!(self, Self::Grading | Self::Recorded)
    }
}
