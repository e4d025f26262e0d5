//! The order in which the items of batch jobs are started.
//!
//! [`JobSchedule`] tracks the items of one batch job and names its next one; [`Precedence`] compares the next items
//! of several batch jobs. Times are durations since an origin that the caller chooses; nothing here does I/O.

mod groups;
mod job_schedule;
mod precedence;

pub use job_schedule::{ItemCandidate, JobSchedule};
pub use precedence::{JobForecast, Precedence, Urgency};

use std::time::Duration;

/// Index of an item in the list of items of its batch job.
pub type ItemIndex = usize;

/// How far an item has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It is to be started, but not before this time.
    Pending(Duration),
    /// A server generates its text.
    Streaming,
    /// Its text is complete and is being graded.
    Grading,
    /// Its result is in the log, or about to be appended to it.
    Recorded,
}

impl ItemPhase {
    fn is_generated(self) -> bool {
        matches!(self, Self::Grading | Self::Recorded)
    }
}
