//! What one attempt adds to a request, and how long it may take.

use std::time::Duration;

use tokio::time::Instant;

/// What one attempt adds to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOptions {
    /// When the attempt ends at the latest.
    pub(crate) deadline: Instant,
    /// The only version of the weights that may run the request.
    pub(crate) expected_version: Option<u64>,
    /// The stream is to continue after this event.
    pub(crate) last_event_id: Option<u64>,
    /// The attempt fails if the server sends nothing for this long; `None`: only the deadline counts.
    pub(crate) idle_timeout: Option<Duration>,
}

impl AttemptOptions {
    /// Adds nothing but a deadline.
    pub(crate) fn until(deadline: Instant) -> Self {
        Self { deadline, expected_version: None, last_event_id: None, idle_timeout: None }
    }

    /// When the attempt fails if the server sends nothing from now on: after so many idle timeouts, or at the
    /// deadline.
    pub(super) fn idle_deadline(&self, idle_timeouts: u32) -> Instant {
        let end = self.idle_timeout.map(|timeout| Instant::now() + timeout * idle_timeouts);
        end.map_or(self.deadline, |end| end.min(self.deadline))
    }
}
