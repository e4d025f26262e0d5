//! Options of an attempt: the headers that it adds to the request, and its time limits.

use std::time::Duration;

use tokio::time::Instant;

/// The headers that an attempt adds to a request, and its time limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOptions {
    /// The time by which the attempt must be complete, including the body of the response.
    pub(crate) deadline: Instant,
    /// The only version of the weights that may process the request; `None` keeps the client's requirement.
    pub(crate) expected_version: Option<u64>,
    /// The id of the event after which the stream continues; `None` keeps the client's, if any.
    pub(crate) last_event_id: Option<u64>,
    /// The maximum time between two chunks of the response; `None` if only the deadline limits it. The head
    /// may take a multiple of it, see [`Self::idle_deadline`].
    pub(crate) idle_timeout: Option<Duration>,
}

impl AttemptOptions {
    /// Creates options with a deadline only.
    pub(crate) fn with_deadline(deadline: Instant) -> Self {
        Self { deadline, expected_version: None, last_event_id: None, idle_timeout: None }
    }

    /// Returns the time at which the attempt fails if the server sends nothing from now on: after
    /// `idle_timeouts` times the idle timeout, but not after the deadline.
    pub(super) fn idle_deadline(&self, idle_timeouts: u32) -> Instant {
        let end = self.idle_timeout.map(|timeout| Instant::now() + timeout * idle_timeouts);
        end.map_or(self.deadline, |end| end.min(self.deadline))
    }
}
