//! Limits of a store that are set by the operators.

use std::time::Duration;

/// Limits of a store that are set by the operators.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Minimum time after the submission of a batch job during which its results can be read.
    pub result_retention: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
}
