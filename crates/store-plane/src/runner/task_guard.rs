//! A guard that ends a spawned task together with the value that contains the guard.

use tokio::task::AbortHandle;

/// Guard of a spawned task, which is aborted when the guard is dropped.
#[derive(Debug)]
pub(super) struct TaskGuard(pub AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
