//! Which machines count as failed, as the operators count them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Machines that count as failed, each until it has returned and caught up.
#[derive(Default)]
pub(super) struct FailureBudget {
    failed_until: BTreeMap<usize, Duration>,
}

impl FailureBudget {
    /// Counts a machine as failed until `until` at least.
    pub(super) fn record(&mut self, machine: usize, until: Duration) {
        let failed_until = self.failed_until.entry(machine).or_default();
        *failed_until = until.max(*failed_until);
    }

    /// How many machines count as failed at `now`.
    pub(super) fn failed_at(&self, now: Duration) -> usize {
        self.failed_until.values().filter(|until| **until > now).count()
    }
}
