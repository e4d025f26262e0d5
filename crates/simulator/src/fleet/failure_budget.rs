//! Machines that count as failed against the number of failures that the settings tolerate.

use std::collections::BTreeMap;
use std::time::Duration;

/// The machines that count as failed. A machine counts until the time for its return and its catch-up is
/// over.
#[derive(Default)]
pub(super) struct FailureBudget {
    /// The end of the latest failure of each machine, by index.
    failed_until: BTreeMap<usize, Duration>,
}

impl FailureBudget {
    /// Counts a machine as failed at least until `until`.
    pub(super) fn record(&mut self, machine: usize, until: Duration) {
        let failed_until = self.failed_until.entry(machine).or_default();
        *failed_until = until.max(*failed_until);
    }

    /// Returns the number of machines that count as failed at `now`.
    pub(super) fn failed_at(&self, now: Duration) -> usize {
        self.failed_until.values().filter(|until| **until > now).count()
    }
}
