//! Limits and timeouts of the runner.

use std::time::Duration;

/// Limits and timeouts of a [`Runner`](super::Runner).
#[derive(Clone, Copy, Debug)]
pub struct RunnerSettings {
    /// Maximum number of items that run concurrently.
    pub max_concurrent_items: usize,
    /// Minimum capacity, in items, that must stay free for other stores when an item is started that no
    /// trainer waits for.
    pub min_surplus_reserve: usize,
    /// Shortest timeout of a run of an item, before it is doubled. Also the timeout before the first run has
    /// completed.
    pub min_run_timeout: Duration,
    /// Longest timeout of a run of an item.
    pub max_run_timeout: Duration,
    /// Timeout of one reward call.
    pub reward_timeout: Duration,
    /// Maximum memory of the output cache, in bytes.
    pub output_cache_bytes: usize,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            max_concurrent_items: 320,
            min_surplus_reserve: 48,
            min_run_timeout: Duration::from_secs(12),
            max_run_timeout: Duration::from_secs(20),
            reward_timeout: Duration::from_millis(1500),
            output_cache_bytes: 8 * 1024 * 1024,
        }
    }
}
