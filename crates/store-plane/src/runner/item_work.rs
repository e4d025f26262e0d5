//! What is known of an item while it has no result: its output so far, its failures, and the backoff between attempts.

use std::time::Duration;

use super::ports::ItemProgress;
use super::task_guard::TaskGuard;

/// First pause after an attempt without progress; it doubles with each further one in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
/// Longest pause after an attempt without progress.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// More doublings than these are not computed: the backoff has reached [`MAX_BACKOFF`] by then.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Rejections in a row after which an output is begun again instead of continued: no server can continue it.
const MAX_REJECTIONS_BEFORE_RESTART: u32 = 3;
/// Longest pause after a rejection: what one server says of itself does not bind the others.
const MAX_REJECTION_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a rejection where the server asked for less.
const MAX_REJECTION_BACKOFF: Duration = Duration::from_millis(120);

/// The state of an item that has no result yet.
#[derive(Debug, Default)]
pub(super) struct ItemWork {
    /// The events to continue from.
    pub progress: ItemProgress,
    /// Responses with status 500 to the item.
    pub internal_errors: u32,
    /// Responses with status 500 to its reward call.
    pub reward_internal_errors: u32,
    /// Runs in a row that no server accepted.
    pub consecutive_rejections: u32,
    /// Runs or reward calls in a row that made no progress; 1 after a run that was interrupted but made some.
    pub attempts_without_progress: u32,
    /// The request in flight.
    pub task: Option<TaskGuard>,
}

impl ItemWork {
    /// The pause before the next attempt.
    pub fn backoff(&self) -> Duration {
        backoff_after(self.attempts_without_progress)
    }

    /// The events so far can't become a valid output: the next run begins again. Returns the pause before it.
    pub fn restart(&mut self) -> Duration {
        self.progress = ItemProgress::default();
        self.attempts_without_progress += 1;
        self.backoff()
    }

    /// The next run continues from these events. Returns the pause before it.
    pub fn resume_from(&mut self, progress: ItemProgress) -> Duration {
        let has_advanced = progress.events.len() > self.progress.events.len();
        self.attempts_without_progress = if has_advanced { 1 } else { self.attempts_without_progress + 1 };
        self.progress = progress;
        self.backoff()
    }

    /// No server accepted the item. Returns the pause before the next run.
    pub fn on_rejection(&mut self, retry_after: Duration) -> Duration {
        self.consecutive_rejections += 1;
        if self.consecutive_rejections > MAX_REJECTIONS_BEFORE_RESTART {
            self.progress = ItemProgress::default();
        }
        let backoff = backoff_after(self.consecutive_rejections).min(MAX_REJECTION_BACKOFF);
        retry_after.min(MAX_REJECTION_PAUSE).max(backoff)
    }
}

/// The exponential backoff after so many failures in a row.
fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF)
}
