//! How fast versions are rolled out.

use std::time::Duration;

/// Limits and delays of a [`Planner`](crate::Planner).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// So many servers may always load at once.
    pub min_concurrent_loads: usize,
    /// One in so many servers may load at once, if that is more than `min_concurrent_loads`.
    pub servers_per_load: usize,
    /// Expected duration of a load, without the time for running requests to complete.
    pub load_duration: Duration,
    /// How long after the expected end of a load a report is requested to confirm it.
    pub confirmation_delay: Duration,
    /// Maximum age of the values in a report. A report that was requested sooner after an order proves nothing about
    /// the order.
    pub max_report_age: Duration,
    /// Delay between the first two reports about one order; later delays grow.
    pub initial_report_interval: Duration,
    /// Maximum delay between two reports about one order.
    pub max_report_interval: Duration,
    /// Delay after a failed call; it doubles with each further failure.
    pub initial_retry_delay: Duration,
    /// Maximum delay after a failed call.
    pub max_retry_delay: Duration,
    /// A call without an outcome counts as failed after this time.
    pub call_timeout: Duration,
    /// An order that waits for running requests counts as a load for at most this time; then other servers may load.
    pub max_drain_time: Duration,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            min_concurrent_loads: 3,
            servers_per_load: 3,
            load_duration: Duration::from_millis(400),
            confirmation_delay: Duration::from_millis(250),
            max_report_age: Duration::from_millis(500),
            initial_report_interval: Duration::from_millis(300),
            max_report_interval: Duration::from_millis(700),
            initial_retry_delay: Duration::from_millis(500),
            max_retry_delay: Duration::from_secs(4),
            call_timeout: Duration::from_secs(3),
            max_drain_time: Duration::from_secs(10),
        }
    }
}
