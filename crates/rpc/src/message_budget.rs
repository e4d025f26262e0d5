//! [`MessageBudget`]: bounds the memory of the messages that are handled at the same time.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length up to which a message takes nothing from a budget.
const SMALL_MESSAGE_BYTES: usize = 64 * 1024;
/// Unit in which a budget is counted.
const BYTES_PER_PERMIT: usize = 1024;
/// Maximum time that a message waits for its part of the budget.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A number of bytes that the messages which are handled at the same time may take together. A message that is
/// longer than the budget is handled by itself. Messages of up to 64 KiB are not counted. Clones share the
/// budget.
#[derive(Clone, Debug)]
pub struct MessageBudget {
    permits: Arc<Semaphore>,
    max_permits: usize,
}

/// A part of a budget, which is returned when this is dropped.
#[derive(Debug)]
pub struct BudgetShare {
    _permit: Option<OwnedSemaphorePermit>,
}

impl MessageBudget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let max_permits = (bytes / BYTES_PER_PERMIT).clamp(1, Semaphore::MAX_PERMITS);
        Self { permits: Arc::new(Semaphore::new(max_permits)), max_permits }
    }

    /// Waits until a message of `bytes` may be handled, in the order of the calls. Returns `None` if that is not
    /// so after two seconds.
    pub async fn acquire(&self, bytes: usize) -> Option<BudgetShare> {
        if bytes <= SMALL_MESSAGE_BYTES {
            return Some(BudgetShare { _permit: None });
        }
        let permits = u32::try_from((bytes / BYTES_PER_PERMIT).min(self.max_permits)).unwrap_or(u32::MAX);
        let acquired = Arc::clone(&self.permits).acquire_many_owned(permits);
        let permit = tokio::time::timeout(MAX_WAIT, acquired).await.ok()?.ok()?;
        Some(BudgetShare { _permit: Some(permit) })
    }
}
