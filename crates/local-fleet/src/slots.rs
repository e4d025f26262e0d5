//! Slots of a server: requests that run at once, and a few that wait.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How full a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Requests that may run at once.
    pub slots: usize,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.running, self.waiting, self.slots)
    }
}

/// All slots are taken and as many requests wait as may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The slots of a server.
#[derive(Clone, Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
    slots: usize,
    waiting_most: usize,
}

/// A slot that a request holds.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// A request that waits is counted until it runs or its caller goes away.
struct Waiting(Arc<AtomicUsize>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// `slots` requests run at once, `waiting_most` more wait.
    #[must_use]
    pub fn new(slots: usize, waiting_most: usize) -> Self {
        let free = Arc::new(Semaphore::new(slots));
        Self { free, waiting: Arc::new(AtomicUsize::new(0)), slots, waiting_most }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// At once, when no more may wait.
    pub async fn enter(&self) -> Result<Slot, Full> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        if self.waiting.load(Ordering::Relaxed) >= self.waiting_most {
            return Err(Full);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(Arc::clone(&self.waiting));
        let permit = Arc::clone(&self.free).acquire_owned().await.map_err(|_| Full)?;
        Ok(Slot { _permit: permit })
    }

    /// How full they are.
    #[must_use]
    pub fn load(&self) -> Load {
        let running = self.slots - self.free.available_permits();
        Load { running, waiting: self.waiting.load(Ordering::Relaxed), slots: self.slots }
    }
}
