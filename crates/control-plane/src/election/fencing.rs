//! The fencing token of a leader, and the delay between the orders of two leaders.

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

/// How long an order to a server may take. No order of a leader arrives later than this after its last one was sent, so
/// a new leader waits for it.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long the previous issuer of orders may take to reply to a ping.
const PREVIOUS_ISSUER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a change of the register may take.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1000);

/// What must lie between the orders of two leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGap {
    /// The time between the last order of one leader and the first of the next.
    pub between_leaders: Duration,
    /// Servers reject orders with a lower fencing token than they have seen. Then the time must be kept only where the
    /// previous leader still runs undisturbed.
    pub is_fence_checked: bool,
}

/// Issues fencing tokens to this process, and decides when it may send orders.
pub(super) struct Fencing {
    pub(super) member_name: String,
    pub(super) order_gap: OrderGap,
    pub(super) leadership: Arc<Leadership>,
    pub(super) proposer: Arc<Proposer>,
    pub(super) client: rpc::Client,
}

impl Fencing {
    /// The lease was acquired or renewed until `expires_at`. Raises the fencing token where it was acquired.
    pub(super) async fn on_lease_granted(&self, expires_at: Duration) {
        let earlier = self.leadership.lease();
        if let Some(renewed) = earlier.and_then(|lease| lease.renewed(self.leadership.now(), expires_at)) {
            self.leadership.set_lease(Some(renewed));
            return;
        }
        let Some(value) = self.raise_fence(expires_at).await else { return };
        let state = &value.value;
        let delay = self.delay_before_orders(state).await;
        let order_delay_ms = delay.as_millis() as u64;
        log::info!(fence = state.fence, order_delay_ms; "lease acquired");
        let now = self.leadership.now();
        let lease = LeaderLease::acquired(state, &self.member_name, now, expires_at, delay, ORDER_TIMEOUT);
        self.leadership.set_lease(Some(earlier.map_or(lease, |earlier| lease.continuing(earlier))));
        self.leadership.notify_if_orders_allowed();
    }

    /// Names this member in the register as the issuer of orders, once that is due. Only then does it send any, so that
    /// a later leader can see whether it must wait for this one.
    pub(super) async fn record_order_issuer(&self) {
        let due = self.leadership.lease().and_then(|lease| lease.order_issuer_due(self.leadership.now()));
        let Some(fence) = due else { return };
        let decide = |state: &ControlState| with_order_issuer(state, &self.member_name, fence);
        if self.proposer.change(Instant::now() + CHANGE_TIMEOUT, decide).await.is_ok() {
            self.leadership.record_order_issuer(fence);
            self.leadership.notify_if_orders_allowed();
        }
    }

    /// Raises the fencing token for the lease that expires at `expires_at`. Each attempt is conditional on the token that
    /// was seen while the lease was valid, so that one that is carried out after its expiry changes nothing.
    async fn raise_fence(&self, expires_at: Duration) -> Option<Versioned<ControlState>> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let seen = self.leadership.latest_fence();
            if self.leadership.now() >= expires_at || Instant::now() >= deadline {
                return None;
            }
            let decide = |state: &ControlState| with_raised_fence(state, &self.member_name, seen);
            match self.proposer.change(deadline, decide).await {
                Ok(value) => return Some(value),
                Err(ChangeFailure::Rejected(Superseded)) => {}
                Err(ChangeFailure::OutcomeUnknown) => return None,
            }
        }
    }

    /// How long this leader must wait before it sends orders.
    async fn delay_before_orders(&self, state: &ControlState) -> Duration {
        let is_immediate = may_issue_orders_immediately(state, &self.member_name)
            || self.order_gap.is_fence_checked && self.is_previous_issuer_unreachable(state).await;
        if is_immediate {
            Duration::ZERO
        } else {
            self.order_gap.between_leaders + ORDER_TIMEOUT
        }
    }

    /// Whether the member that may have sent orders last does not reply, or does not run undisturbed.
    async fn is_previous_issuer_unreachable(&self, state: &ControlState) -> bool {
        let Some(previous) = &state.order_issuer else { return true };
        let mut members = state.acceptors.iter().chain(&state.standbys);
        let Some(member) = members.find(|member| member.name == *previous) else { return true };
        let reply = ping_address(&self.client, member, PREVIOUS_ISSUER_TIMEOUT).await;
        !reply.is_some_and(|reply| reply.is_stable)
    }
}
