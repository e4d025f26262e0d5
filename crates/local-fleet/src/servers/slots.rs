//! Admission control of a server: limits for the numbers of running and queued requests.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The load that a server reports; its text form is `running,queued,slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
}

impl fmt::Display for ServerLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.running, self.queued, self.slots)
    }
}

/// Error for a request that is not admitted because all slots are in use and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// The slots and the queue of a server. Clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    queued: Arc<AtomicUsize>,
    slots: usize,
    max_queued: usize,
}

/// A slot that a request occupies; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Counts one queued request; it is dropped, and the request no longer counted, when the request gets a slot
/// or its caller disconnects.
struct QueuedRequest(Arc<AtomicUsize>);

impl QueuedRequest {
    fn new(queued: &Arc<AtomicUsize>) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(queued))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Returns `slots` free slots with an empty queue for at most `max_queued` requests.
    #[must_use]
    pub fn new(slots: usize, max_queued: usize) -> Self {
        let free = Arc::new(Semaphore::new(slots));
        Self { free, queued: Arc::new(AtomicUsize::new(0)), slots, max_queued }
    }

    /// Occupies a slot; waits in the queue if none is free.
    ///
    /// # Errors
    ///
    /// Without waiting, when no slot is free and the queue is full.
    pub async fn acquire(&self) -> Result<Slot, QueueFull> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        if self.queued.load(Ordering::Relaxed) >= self.max_queued {
            return Err(QueueFull);
        }
        let _queued = QueuedRequest::new(&self.queued);
        let permit = Arc::clone(&self.free).acquire_owned().await.map_err(|_| QueueFull)?;
        Ok(Slot { _permit: permit })
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        let running = self.slots - self.free.available_permits();
        ServerLoad { running, queued: self.queued.load(Ordering::Relaxed), slots: self.slots }
    }
}
