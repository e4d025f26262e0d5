//! Limits and delays of a rollout.

use std::time::Duration;

/// Limits and delays by which a [`Planner`](crate::Planner) sends orders, requests reports and retries calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Number of servers that may always load at the same time, however few servers there are.
    pub min_concurrent_loads: usize,
    /// Number of servers per permitted concurrent load: one in this many servers may load at the same time,
    /// rounded up, if that is more than `min_concurrent_loads`.
    pub servers_per_load: usize,
    /// Expected duration of a load, not counting the time that a server first waits for running requests to
    /// complete.
    pub load_duration: Duration,
    /// Delay between the expected end of a load and the request for the report that confirms it.
    pub confirmation_delay: Duration,
    /// Maximum age of the values in a report. A report that is requested sooner than this after an order may
    /// show the state before the order.
    pub max_report_age: Duration,
    /// Delay between the first two reports about one order. Each further delay is longer, up to
    /// `max_report_interval`.
    pub initial_report_interval: Duration,
    /// Maximum delay between two reports about one order.
    pub max_report_interval: Duration,
    /// Delay after a failed call. It doubles with each consecutive failure.
    pub initial_retry_delay: Duration,
    /// Maximum delay after a failed call.
    pub max_retry_delay: Duration,
    /// Time after which a request for a report without an outcome counts as failed. A server also counts as
    /// loading for this time after an order was sent, unless the outcome of the order is known earlier.
    pub report_timeout: Duration,
    /// Time after which an order without an outcome becomes indeterminate. Until then the server gets no further
    /// order, because the first one might arrive after it. It exceeds twice the duration of an ordinary partition:
    /// TCP retransmits a segment at intervals that double, so it can arrive that much later.
    pub order_timeout: Duration,
    /// Maximum time for which a server that drains running requests before its load counts as loading. Other
    /// servers may load afterwards.
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
            report_timeout: Duration::from_secs(3),
            order_timeout: Duration::from_secs(12),
            max_drain_time: Duration::from_secs(10),
        }
    }
}
