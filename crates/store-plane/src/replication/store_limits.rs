//! Limits that the operators' settings give.

use std::time::Duration;

/// Limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Results can be read for at least this long after the batch job was submitted.
    pub result_retention: Duration,
}
