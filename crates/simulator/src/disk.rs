//! How long the syncs of a simulated disk take.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

/// The time of one sync, in microseconds.
const SYNC_DURATION_MICROS: std::ops::Range<u64> = 200..6_000;
/// How often a stalled disk is polled.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The speed of one machine's disk. Clones are the same.
#[derive(Clone, Default)]
pub(crate) struct SyncDelay {
    is_stalled: Arc<AtomicBool>,
}

impl SyncDelay {
    /// Stalls the disk, or lets it continue. While it is stalled, nothing becomes durable.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        self.is_stalled.store(is_stalled, Ordering::Relaxed);
    }

    /// Waits as long as the next sync takes.
    pub(crate) fn wait_for_sync(&self) -> BoxFuture<'static, ()> {
        let is_stalled = Arc::clone(&self.is_stalled);
        Box::pin(async move {
            tokio::time::sleep(Duration::from_micros(fastrand::u64(SYNC_DURATION_MICROS))).await;
            while is_stalled.load(Ordering::Relaxed) {
                tokio::time::sleep(STALL_POLL_INTERVAL).await;
            }
        })
    }
}
