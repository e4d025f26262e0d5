//! [`RunnerMemory`]: bounds the memory of the requests and results that the runner holds at the same time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Counter of the bytes of the requests in flight and of the results that are not committed yet.
#[derive(Debug)]
pub(super) struct RunnerMemory {
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
pub(super) struct MemoryShare {
    used_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

impl RunnerMemory {
    /// Creates a counter of which [`has_space_for`](Self::has_space_for) allows `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { used_bytes: Arc::default(), max_bytes }
    }

    /// Whether a request of `bytes` may start. A request that is larger than the limit may start by itself.
    pub fn has_space_for(&self, bytes: usize) -> bool {
        let used = self.used_bytes.load(Ordering::Relaxed);
        used == 0 || used + bytes <= self.max_bytes
    }

    /// Counts `bytes`, whether there is space for them or not.
    pub fn take(&self, bytes: usize) -> MemoryShare {
        self.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        MemoryShare { used_bytes: Arc::clone(&self.used_bytes), bytes }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
