//! Leader lease, its fencing token, and the time from which its holder may send orders to servers.

use std::time::Duration;

use super::successor;
use crate::ControlState;

/// State that the holder of the leader lease keeps about the lease.
///
/// All times are durations since the start of the holder's process, measured by its monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// Fencing token that was issued for this lease.
    fence: u64,
    /// Time from which the lease is no longer valid.
    expires_at: Duration,
    /// Earliest time for orders. Earlier, orders of another leader or of a previous process of the holder may
    /// still arrive at the servers.
    orders_allowed_from: Duration,
    /// Whether the control state names the holder as the issuer of orders.
    is_order_issuer: bool,
}

impl LeaderLease {
    /// Returns the lease of a member that has just raised the fencing token. `state` is the resulting control
    /// state.
    ///
    /// If another member may have sent orders, the holder waits for the duration `order_gap` from `now`
    /// before it sends any. In any case it sends none before `not_before`, the time from which orders of an
    /// earlier process of the same member can no longer arrive.
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

    /// Returns this lease with the earlier of the two times from which orders are allowed, if this lease
    /// directly follows the lease `earlier` of the same holder. No other member has then raised the fencing
    /// token or sent orders since, so the delay that began with the earlier lease continues. Otherwise
    /// returns this lease unchanged.
    #[must_use]
    pub fn continuing(self, earlier: Self) -> Self {
        if self.fence != earlier.fence + 1 {
            return self;
        }
        Self { orders_allowed_from: self.orders_allowed_from.min(earlier.orders_allowed_from), ..self }
    }

    /// Returns the lease with the expiry `expires_at`, unless its present expiry is later; `None` if the
    /// lease has expired at `now`.
    #[must_use]
    pub fn renewed(self, now: Duration, expires_at: Duration) -> Option<Self> {
        self.fence_at(now).map(|_| Self { expires_at: expires_at.max(self.expires_at), ..self })
    }

    /// Returns the fencing token while the lease is valid; `None` after it has expired.
    #[must_use]
    pub fn fence_at(&self, now: Duration) -> Option<u64> {
        (now < self.expires_at).then_some(self.fence)
    }

    /// Returns the fencing token for orders to servers. `None` after the lease has expired, while orders of
    /// another member may still arrive, or while the control state does not name the holder as the issuer of
    /// orders.
    #[must_use]
    pub fn fence_for_orders_at(&self, now: Duration) -> Option<u64> {
        self.fence_at(now).filter(|_| self.is_order_issuer && now >= self.orders_allowed_from)
    }

    /// Returns the fencing token with which to make the change [`with_order_issuer`], once that change is
    /// due; `None` before, after the change was made, or after the lease has expired.
    #[must_use]
    pub fn order_issuer_due(&self, now: Duration) -> Option<u64> {
        self.fence_at(now).filter(|_| !self.is_order_issuer && now >= self.orders_allowed_from)
    }

    /// Returns the time at which the change [`with_order_issuer`] becomes due; `None` if it is due already or
    /// not needed.
    #[must_use]
    pub fn order_issuer_due_at(&self, now: Duration) -> Option<Duration> {
        (now < self.orders_allowed_from && !self.is_order_issuer).then_some(self.orders_allowed_from)
    }

    /// Returns the time from which orders are allowed without a further change of the control state; `None`
    /// if they are allowed already, or if the control state does not name the holder as the issuer of orders
    /// yet.
    #[must_use]
    pub fn orders_allowed_at(&self, now: Duration) -> Option<Duration> {
        (now < self.orders_allowed_from && self.is_order_issuer).then_some(self.orders_allowed_from)
    }

    /// Records that the control state names the holder of the fencing token `fence` as the issuer of orders.
    /// Ignored if this lease has another token.
    pub fn record_order_issuer(&mut self, fence: u64) {
        self.is_order_issuer |= self.fence == fence;
    }
}

/// Reason why a change is not made: another fencing token is the latest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Superseded;

/// Issues the next fencing token to a new leader. `seen` is the latest token that the leader read while it
/// held the lease. The change is made only if no other token was issued after `seen`: a change that arrives
/// late, from a leader whose lease has expired, must not supersede the next leader.
///
/// # Errors
///
/// [`Superseded`] if `seen` is not the latest token.
pub fn with_raised_fence(state: &ControlState, holder: &str, seen: u64) -> Result<ControlState, Superseded> {
    if state.fence != seen {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.fence += 1;
    next.fence_owner = Some(holder.to_owned());
    Ok(next)
}

/// Whether the leader `holder` may send orders to servers without a delay, because the control state names no
/// other member as the latest issuer of orders.
#[must_use]
pub fn may_issue_orders_immediately(state: &ControlState, holder: &str) -> bool {
    state.order_issuer.as_deref().is_none_or(|issuer| issuer == holder)
}

/// Names the leader with the fencing token `fence` as the issuer of orders.
///
/// # Errors
///
/// [`Superseded`] if `fence` is not the latest token.
pub fn with_order_issuer(state: &ControlState, holder: &str, fence: u64) -> Result<ControlState, Superseded> {
    if state.fence != fence {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.order_issuer = Some(holder.to_owned());
    Ok(next)
}
