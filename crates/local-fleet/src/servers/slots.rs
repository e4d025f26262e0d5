//! Admission to a server: a limited number of requests runs concurrently, and a few are queued.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The load that a server reports, as text `running,queued,slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: usize,
    /// Queued requests.
    pub queued: usize,
    /// Requests that may run concurrently.
    pub slots: usize,
}

impl fmt::Display for ServerLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.running, self.queued, self.slots)
    }
}

/// All slots are in use and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// The slots of a server. Clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    queued: Arc<AtomicUsize>,
    slots: usize,
    max_queued: usize,
}

/// A slot that a request occupies until this is dropped.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Counts a queued request until it runs or its caller disconnects.
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
    /// Slots for `slots` concurrent requests, with a queue of `max_queued`.
    #[must_use]
    pub fn new(slots: usize, max_queued: usize) -> Self {
        let free = Arc::new(Semaphore::new(slots));
        Self { free, queued: Arc::new(AtomicUsize::new(0)), slots, max_queued }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// At once, when the queue is full.
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

    /// The present load.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        let running = self.slots - self.free.available_permits();
        ServerLoad { running, queued: self.queued.load(Ordering::Relaxed), slots: self.slots }
    }
}
