//! Fencing token of a leader, and the delay between the orders of two leaders.

use std::sync::Arc;
use std::time::Duration;

use register::Versioned;
use state::change::{
    may_issue_orders_immediately, with_order_issuer, with_raised_fence, LeaderLease, Superseded,
};
use state::ControlState;
use tokio::time::Instant;

use super::Leadership;
use crate::liveness::ping_address;
use crate::{ChangeFailure, Proposer};

/// Maximum time from the check of the lease for an order until the order arrives or is dropped: the time to
/// establish a connection, and the time for which TCP retransmits the order, also if the process has ended.
/// A new leader waits for this time.
pub const ORDER_DELIVERY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time for the reply of the previous issuer of orders to a ping.
const PREVIOUS_ISSUER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time for which one change of the control state is retried.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay that is required between the orders of two leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGap {
    /// Minimum time between the last order of one leader and the first order of the next.
    pub between_leaders: Duration,
    /// Whether servers reject orders with a lower fencing token than they have received. If so, the delay is
    /// required only if the previous leader still runs and is stable.
    pub is_fence_checked: bool,
}

/// Steps after a lease was granted: raising the fencing token, and deciding when this process may send
/// orders.
pub(super) struct Fencing {
    pub(super) member_name: String,
    pub(super) order_gap: OrderGap,
    pub(super) leadership: Arc<Leadership>,
    pub(super) proposer: Arc<Proposer>,
    pub(super) client: rpc::Client,
}

impl Fencing {
    /// Handles a lease that was acquired or renewed until `expires_at`. Raises the fencing token if the lease
    /// was acquired.
    pub(super) async fn on_lease_granted(&self, expires_at: Duration) {
        let previous_lease = self.leadership.lease();
        if let Some(renewed) =
            previous_lease.and_then(|lease| lease.renewed(self.leadership.now(), expires_at))
        {
            self.leadership.set_lease(Some(renewed));
            return;
        }
        let Some(value) = self.raise_fence(expires_at).await else { return };
        let state = &value.value;
        let delay = self.delay_before_orders(state).await;
        let order_delay_ms = delay.as_millis() as u64;
        log::info!(fence = state.fence, order_delay_ms; "lease acquired");
        let now = self.leadership.now();
        let lease =
            LeaderLease::acquired(state, &self.member_name, now, expires_at, delay, ORDER_DELIVERY_TIMEOUT);
        self.leadership
            .set_lease(Some(previous_lease.map_or(lease, |previous_lease| lease.continuing(previous_lease))));
        self.leadership.notify_if_orders_allowed();
    }

    /// Records this member in the register as the issuer of orders, once that is due. The member sends no
    /// orders before, so that a later leader can determine whether it must wait for this one.
    pub(super) async fn record_order_issuer(&self) {
        let due = self.leadership.lease().and_then(|lease| lease.order_issuer_due(self.leadership.now()));
        let Some(fence) = due else { return };
        let decide = |state: &ControlState| with_order_issuer(state, &self.member_name, fence);
        if self.proposer.change(Instant::now() + CHANGE_TIMEOUT, decide).await.is_ok() {
            self.leadership.record_order_issuer(fence);
            self.leadership.notify_if_orders_allowed();
        }
    }

    /// Raises the fencing token for the lease that expires at `expires_at`. Each attempt is conditional on
    /// the token that was read while the lease was valid, so that an attempt that takes effect after the
    /// expiry changes nothing. Returns `None` if the lease expires or the change fails first.
    async fn raise_fence(&self, expires_at: Duration) -> Option<Versioned<ControlState>> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let known_fence = self.leadership.latest_fence();
            if self.leadership.now() >= expires_at || Instant::now() >= deadline {
                return None;
            }
            let decide = |state: &ControlState| with_raised_fence(state, &self.member_name, known_fence);
            match self.proposer.change(deadline, decide).await {
                Ok(value) => return Some(value),
                Err(ChangeFailure::Rejected(Superseded)) => {}
                Err(ChangeFailure::OutcomeUnknown) => return None,
            }
        }
    }

    /// Returns the time for which this leader must wait before it sends orders.
    async fn delay_before_orders(&self, state: &ControlState) -> Duration {
        let is_immediate = may_issue_orders_immediately(state, &self.member_name)
            || self.order_gap.is_fence_checked && self.is_previous_issuer_inactive(state).await;
        if is_immediate {
            Duration::ZERO
        } else {
            self.order_gap.between_leaders + ORDER_DELIVERY_TIMEOUT
        }
    }

    /// Returns whether the member that may have sent orders last is not recorded, is no longer an acceptor or
    /// a standby, does not reply or does not report itself as stable.
    async fn is_previous_issuer_inactive(&self, state: &ControlState) -> bool {
        let Some(previous) = &state.order_issuer else { return true };
        let mut members = state.acceptors.iter().chain(&state.standbys);
        let Some(member) = members.find(|member| member.name == *previous) else { return true };
        let reply = ping_address(&self.client, member, PREVIOUS_ISSUER_TIMEOUT).await;
        !reply.is_some_and(|reply| reply.is_stable)
    }
}
