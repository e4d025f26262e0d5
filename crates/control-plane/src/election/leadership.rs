//! Leadership of this process, which all its parts share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use state::change::LeaderLease;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use crate::ViewCell;

/// Maximum time for which [`Leadership::resign`] waits until the grantors were notified of the release.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Leader lease of this process while it has one, and the stage of its participation in the election.
pub struct Leadership {
    /// Origin of the monotonic clock on which the lease is measured.
    started_at: Instant,
    view: Arc<ViewCell>,
    lease: Mutex<Option<LeaderLease>>,
    stage: watch::Sender<ElectionStage>,
    orders_allowed: Notify,
    /// Number of orders that this process has sent and whose outcome is pending, of all terms.
    pending_orders: watch::Sender<usize>,
}

/// Stage of the participation of this process in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ElectionStage {
    /// The process is a candidate or the leader.
    Running,
    /// The process sends no more orders. A leader renews its lease until the outcome of each order is known.
    AwaitingOrderOutcomes,
    /// The process must release the lease and withdraw from the election.
    Resigning,
    /// The process has released the lease and withdrawn.
    Resigned,
}

impl Leadership {
    /// Creates the leadership of a process that is not the leader yet. `view` contains the highest fencing
    /// token that is known to have been issued to any process.
    #[must_use]
    pub fn new(view: Arc<ViewCell>) -> Self {
        Self {
            started_at: Instant::now(),
            view,
            lease: Mutex::new(None),
            stage: watch::Sender::new(ElectionStage::Running),
            orders_allowed: Notify::new(),
            pending_orders: watch::Sender::new(0),
        }
    }

    /// Returns the fencing token while the lease is valid and no higher token is known to have been issued.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.lease()?.fence_at(self.now()).filter(|fence| !self.is_outdated(*fence))
    }

    /// Returns the fencing token for orders to servers: the one of [`Leadership::fence`], once no order of
    /// another leader can arrive any more, and until [`Leadership::resign`] is called.
    #[must_use]
    pub fn fence_for_orders(&self) -> Option<u64> {
        let is_running = *self.stage.borrow() == ElectionStage::Running;
        let lease = self.lease().filter(|_| is_running)?;
        lease.fence_for_orders_at(self.now()).filter(|fence| !self.is_outdated(*fence))
    }

    /// Counts an order as pending, which the caller sends now with the token of
    /// [`Leadership::fence_for_orders`]. The caller keeps the returned value until the outcome is known.
    pub(crate) fn begin_order(self: &Arc<Self>) -> PendingOrder {
        self.pending_orders.send_modify(|pending| *pending += 1);
        PendingOrder { leadership: Arc::clone(self) }
    }

    /// Releases the lease before the process shuts down, so that the next leader need not wait until it
    /// expires. No further orders are sent.
    ///
    /// An order whose outcome is unknown may still be on its way to the server. If the lease were released,
    /// it could arrive after an order of the next leader, and take the server back to an older version. So the
    /// lease is kept until the outcome of each order is known, for at most `max_order_wait`.
    ///
    /// Returns once the grantors were notified of the release, or [`RELEASE_TIMEOUT`] after it.
    pub async fn resign(&self, max_order_wait: Duration) {
        let mut stage = self.stage.subscribe();
        // One receiver is the subscription above. A running election has another one.
        let is_election_running = self.stage.receiver_count() > 1;
        if !is_election_running {
            self.set_lease(None);
            return;
        }
        self.await_order_outcomes(max_order_wait).await;
        self.set_lease(None);
        self.stage.send_replace(ElectionStage::Resigning);
        let resigned = stage.wait_for(|stage| *stage == ElectionStage::Resigned);
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, resigned).await;
    }

    /// Waits until no order is pending, for at most `max_wait`. Meanwhile no further order is sent.
    async fn await_order_outcomes(&self, max_wait: Duration) {
        self.stage.send_replace(ElectionStage::AwaitingOrderOutcomes);
        let mut pending_orders = self.pending_orders.subscribe();
        let pending = *pending_orders.borrow_and_update();
        if pending == 0 {
            return;
        }
        let max_wait_ms = max_wait.as_millis() as u64;
        log::info!(pending, max_wait_ms; "keeping the lease until the outcome of all orders is known");
        let all_outcomes = pending_orders.wait_for(|pending| *pending == 0);
        if tokio::time::timeout(max_wait, all_outcomes).await.is_err() {
            let pending = *self.pending_orders.borrow();
            log::warn!(pending; "releasing the lease although the outcome of some orders is unknown");
        }
    }

    /// Waits until [`Leadership::fence_for_orders`] may have become available.
    pub(crate) async fn orders_allowed(&self) {
        self.orders_allowed.notified().await;
    }

    /// Notifies the task that waits to send orders, if orders are allowed.
    pub(super) fn notify_if_orders_allowed(&self) {
        if self.fence_for_orders().is_some() {
            self.orders_allowed.notify_one();
        }
    }

    /// Returns whether the lease is valid, but a higher fencing token than that of the lease has been issued.
    pub(super) fn is_superseded(&self) -> bool {
        let fence = self.lease().and_then(|lease| lease.fence_at(self.now()));
        fence.is_some_and(|fence| self.is_outdated(fence))
    }

    /// Returns the present time on the monotonic clock of the lease.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the lease as it was acquired or renewed last. It may have expired.
    pub(super) fn lease(&self) -> Option<LeaderLease> {
        *self.lock()
    }

    pub(super) fn set_lease(&self, lease: Option<LeaderLease>) {
        *self.lock() = lease;
    }

    /// Records that the register names the leader with this fencing token as the issuer of orders.
    pub(super) fn record_order_issuer(&self, fence: u64) {
        if let Some(lease) = self.lock().as_mut() {
            lease.record_order_issuer(fence);
        }
    }

    /// Returns a receiver of the stage for the election. While the receiver exists, [`Leadership::resign`]
    /// waits for the election to end.
    pub(super) fn subscribe_stage(&self) -> watch::Receiver<ElectionStage> {
        self.stage.subscribe()
    }

    /// Reports that the election has ended, so that [`Leadership::resign`] returns.
    pub(super) fn set_resigned(&self) {
        self.stage.send_replace(ElectionStage::Resigned);
    }

    /// Returns the highest fencing token that is known to have been issued to any process.
    pub(super) fn latest_fence(&self) -> u64 {
        self.view.view().control.fence
    }

    fn is_outdated(&self, fence: u64) -> bool {
        self.latest_fence() > fence
    }

    fn lock(&self) -> MutexGuard<'_, Option<LeaderLease>> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An order to a server whose outcome is unknown. While it exists, [`Leadership::resign`] keeps the lease.
pub(crate) struct PendingOrder {
    leadership: Arc<Leadership>,
}

impl Drop for PendingOrder {
    fn drop(&mut self) {
        self.leadership.pending_orders.send_modify(|pending| *pending -= 1);
    }
}
