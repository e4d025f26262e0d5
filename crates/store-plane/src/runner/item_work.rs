//! The state of an item without a result: its output so far, its failures, and the backoff between attempts.

use std::time::Duration;

use super::memory::MemoryShare;
use super::ports::ItemProgress;
use super::task_guard::TaskGuard;

/// Pause after the first attempt without progress; it doubles with each consecutive one.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
/// Longest pause after an attempt without progress.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Upper bound on the doublings that are computed: the backoff has reached [`MAX_BACKOFF`] by then.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Number of consecutive rejections up to which the next run continues the output. After more, the item
/// starts over, since probably no server can continue the output.
const MAX_REJECTIONS_BEFORE_RESTART: u32 = 3;
/// Longest pause after a rejection, even if the server specified a longer one: other servers may accept the
/// item earlier.
const MAX_REJECTION_PAUSE: Duration = Duration::from_millis(500);
/// Longest backoff after rejections; the pause is only longer if the server specified a longer one.
const MAX_REJECTION_BACKOFF: Duration = Duration::from_millis(120);

/// The state of an item that has no result yet; reset to the default once it has one.
#[derive(Debug, Default)]
pub(super) struct ItemWork {
    /// The valid events generated so far, from which the next run continues; empty if it starts over.
    pub progress: ItemProgress,
    /// Number of runs that failed with status 500.
    pub internal_errors: u32,
    /// Number of responses with status 500 to the item's reward call.
    pub reward_internal_errors: u32,
    /// Number of consecutive runs that no server accepted.
    pub consecutive_rejections: u32,
    /// Number of consecutive runs or reward calls without progress. It is 1 after an interrupted run that
    /// made progress, so that the next run waits for the shortest backoff.
    pub attempts_without_progress: u32,
    /// The memory of the complete output, while it is graded.
    pub output_share: Option<MemoryShare>,
    /// The task of the run or reward call in flight; replacing or dropping it cancels the request.
    pub task: Option<TaskGuard>,
}

impl ItemWork {
    /// Returns the pause before the next attempt after attempts without progress.
    pub fn backoff(&self) -> Duration {
        backoff_after(self.attempts_without_progress)
    }

    /// Discards events that can't become a valid output, so that the next run starts over. Returns the pause
    /// before it.
    pub fn restart(&mut self) -> Duration {
        self.progress = ItemProgress::default();
        self.attempts_without_progress += 1;
        self.backoff()
    }

    /// Stores the events of an interrupted run, so that the next run continues from them. Returns the pause
    /// before it.
    pub fn resume_from(&mut self, progress: ItemProgress) -> Duration {
        let has_advanced = progress.events.len() > self.progress.events.len();
        self.attempts_without_progress = if has_advanced { 1 } else { self.attempts_without_progress + 1 };
        self.progress = progress;
        self.backoff()
    }

    /// Handles a run that no server accepted. Returns the pause before the next run; `retry_after` is the
    /// pause that the executor reported.
    pub fn on_rejection(&mut self, retry_after: Duration) -> Duration {
        self.consecutive_rejections += 1;
        if self.consecutive_rejections > MAX_REJECTIONS_BEFORE_RESTART {
            self.progress = ItemProgress::default();
        }
        let backoff = backoff_after(self.consecutive_rejections).min(MAX_REJECTION_BACKOFF);
        retry_after.min(MAX_REJECTION_PAUSE).max(backoff)
    }
}

/// Returns the exponential backoff after `failures` consecutive failures.
fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF)
}
