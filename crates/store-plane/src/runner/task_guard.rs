//! A guard that ties a spawned task to the value that holds it.

use tokio::task::AbortHandle;

/// Aborts a spawned task when dropped.
#[derive(Debug)]
pub(super) struct TaskGuard(pub AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
