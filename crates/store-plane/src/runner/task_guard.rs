//! A task that ends with its owner.

use tokio::task::AbortHandle;

/// Aborts a task when dropped.
#[derive(Debug)]
pub(super) struct TaskGuard(pub AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
