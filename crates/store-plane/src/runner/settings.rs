//! Limits and timeouts of the runner.

use std::time::Duration;

/// Part of the memory of the process for the output cache, at most.
const OUTPUT_CACHE_DIVISOR: usize = 32;
/// Part of the memory of the process for requests in flight and for results that are not committed yet.
const IN_FLIGHT_DIVISOR: usize = 8;

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
    /// Maximum memory of the requests in flight and of the results that are not committed yet, in bytes. A single
    /// larger request is sent by itself.
    pub max_bytes_in_flight: usize,
}

impl RunnerSettings {
    /// Returns the default settings, for a process that may use `memory_bytes`.
    #[must_use]
    pub fn for_memory(memory_bytes: usize) -> Self {
        let default = Self::default();
        Self {
            output_cache_bytes: default.output_cache_bytes.min(memory_bytes / OUTPUT_CACHE_DIVISOR),
            max_bytes_in_flight: memory_bytes / IN_FLIGHT_DIVISOR,
            ..default
        }
    }
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
            max_bytes_in_flight: 32 * 1024 * 1024,
        }
    }
}
