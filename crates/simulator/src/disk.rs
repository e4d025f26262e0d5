//! Duration of the syncs of a simulated disk.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

/// Range of the duration of one sync, in microseconds.
const SYNC_DURATION_MICROS: std::ops::Range<u64> = 200..6_000;
/// Time between two checks whether a stalled disk works again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delays the syncs of one machine's disk. All clones share one state.
#[derive(Clone, Default)]
pub(crate) struct SyncDelay {
    is_stalled: Arc<AtomicBool>,
}

impl SyncDelay {
    /// Stalls the disk, or ends the stall. While the disk is stalled, no sync completes and nothing becomes
    /// durable.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        self.is_stalled.store(is_stalled, Ordering::Relaxed);
    }

    /// Waits for the random duration of one sync, and until the disk is not stalled.
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
