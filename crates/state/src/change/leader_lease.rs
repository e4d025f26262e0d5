//! The leader lease, its fencing token, and when its holder may send orders to servers.

use std::time::Duration;

use super::successor;
use crate::ControlState;

/// The leader lease from the point of view of its holder.
///
/// All times are on the holder's own monotonic clock, as durations since the start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// The fencing token that was issued for this lease.
    fence: u64,
    /// The lease is valid before this time.
    expires_at: Duration,
    /// No orders before this time: those of another leader may still arrive at the servers.
    orders_allowed_from: Duration,
    /// Whether the register names this member as the issuer of orders.
    is_order_issuer: bool,
}

impl LeaderLease {
    /// The lease of a member that has just raised the fencing token, with `state` as the result.
    ///
    /// Where another member may have sent orders, this one sends none for the duration `order_gap`; and none before
    /// `not_before`, when an order that an earlier incarnation of its process has sent can no longer arrive.
    #[must_use]
    pub fn acquired(
        state: &ControlState,
        holder: &str,
        now: Duration,
        expires_at: Duration,
        order_gap: Duration,
        not_before: Duration,
    ) -> Self {
        let delay = if may_issue_orders_immediately(state, holder) { Duration::ZERO } else { order_gap };
        Self {
            fence: state.fence,
            expires_at,
            orders_allowed_from: (now + delay).max(not_before),
            is_order_issuer: state.order_issuer.as_deref() == Some(holder),
        }
    }

    /// This lease, whose holder had the lease `earlier` before and lost it. If nobody raised the fencing token between
    /// the two, nobody else sent orders, and the delay before the first order counts from the earlier lease.
    #[must_use]
    pub fn continuing(self, earlier: Self) -> Self {
        if self.fence != earlier.fence + 1 {
            return self;
        }
        Self { orders_allowed_from: self.orders_allowed_from.min(earlier.orders_allowed_from), ..self }
    }

    /// The same lease with a later expiry; `None` where it has expired before it was renewed.
    #[must_use]
    pub fn renewed(self, now: Duration, expires_at: Duration) -> Option<Self> {
        self.fence_at(now).map(|_| Self { expires_at: expires_at.max(self.expires_at), ..self })
    }

    /// The fencing token, while the lease is valid.
    #[must_use]
    pub fn fence_at(&self, now: Duration) -> Option<u64> {
        (now < self.expires_at).then_some(self.fence)
    }

    /// The fencing token for orders to servers, once no order of another member can still arrive and the register names
    /// this member as their issuer.
    #[must_use]
    pub fn fence_for_orders_at(&self, now: Duration) -> Option<u64> {
        self.fence_at(now).filter(|_| self.is_order_issuer && now >= self.orders_allowed_from)
    }

    /// The fencing token for [`with_order_issuer`], once that change is due.
    #[must_use]
    pub fn order_issuer_due(&self, now: Duration) -> Option<u64> {
        self.fence_at(now).filter(|_| !self.is_order_issuer && now >= self.orders_allowed_from)
    }

    /// When [`LeaderLease::order_issuer_due`] becomes due; `None` when it is due already or not needed.
    #[must_use]
    pub fn order_issuer_due_at(&self, now: Duration) -> Option<Duration> {
        (now < self.orders_allowed_from && !self.is_order_issuer).then_some(self.orders_allowed_from)
    }

    /// When orders become allowed without any further change of the register; `None` when they are allowed already or
    /// the register does not name this member yet.
    #[must_use]
    pub fn orders_allowed_at(&self, now: Duration) -> Option<Duration> {
        (now < self.orders_allowed_from && self.is_order_issuer).then_some(self.orders_allowed_from)
    }

    /// Records that the register names the holder of this fencing token as the issuer of orders.
    pub fn record_order_issuer(&mut self, fence: u64) {
        self.is_order_issuer |= self.fence == fence;
    }
}

/// Another process has raised the fencing token since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Superseded;

/// Issues the next fencing token to a new leader, if `seen`, the token that it saw while it had the lease, is still the
/// latest.
///
/// A raise that is carried out late, by a leader whose lease has expired, must not supersede the next leader.
///
/// # Errors
///
/// When another token was issued since.
pub fn with_raised_fence(state: &ControlState, holder: &str, seen: u64) -> Result<ControlState, Superseded> {
    if state.fence != seen {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.fence += 1;
    next.fence_owner = Some(holder.to_owned());
    Ok(next)
}

/// Whether a leader may send orders to servers without a delay: no other member may have sent any.
#[must_use]
pub fn may_issue_orders_immediately(state: &ControlState, holder: &str) -> bool {
    state.order_issuer.as_deref().is_none_or(|issuer| issuer == holder)
}

/// Names the leader with this fencing token as the issuer of orders from now on.
///
/// # Errors
///
/// When the token was raised since.
pub fn with_order_issuer(state: &ControlState, holder: &str, fence: u64) -> Result<ControlState, Superseded> {
    if state.fence != fence {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.order_issuer = Some(holder.to_owned());
    Ok(next)
}
