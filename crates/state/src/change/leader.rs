//! Changes by the holder of the leader lease.

use std::time::Duration;

use super::successor;
use crate::ControlState;

/// The leader lease as its holder has it, on the holder's own steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    fence: u64,
    until: Duration,
    orders_from: Duration,
    /// The register holds that this station sends orders.
    is_order_holder: bool,
}

impl LeaderLease {
    /// The lease of a station that has just raised the fencing token to what `state` holds. Where another station
    /// may have sent orders, this one sends none for the time `between_holders`; and none before `earliest`, when an
    /// order that an earlier life of its process has sent can no longer arrive.
    #[must_use]
    pub fn won(
        state: &ControlState,
        station: &str,
        now: Duration,
        until: Duration,
        between_holders: Duration,
        earliest: Duration,
    ) -> Self {
        let wait =
            if may_issue_orders_immediately(state, station) { Duration::ZERO } else { between_holders };
        let is_order_holder = state.order_issuer.as_deref() == Some(station);
        Self { fence: state.fence, until, orders_from: (now + wait).max(earliest), is_order_holder }
    }

    /// This lease, where its station held `earlier` before and lost it. If nobody raised the fencing token between the
    /// two, nobody else sent orders, and the wait goes on from where it began.
    #[must_use]
    pub fn following(self, earlier: Self) -> Self {
        if self.fence != earlier.fence + 1 {
            return self;
        }
        Self { orders_from: self.orders_from.min(earlier.orders_from), ..self }
    }

    /// The same lease until a later moment; `None` where it has run out before it was renewed.
    #[must_use]
    pub fn renewed(self, now: Duration, until: Duration) -> Option<Self> {
        self.fence_at(now).map(|_| Self { until: until.max(self.until), ..self })
    }

    /// The fencing token, while the lease is held.
    #[must_use]
    pub fn fence_at(&self, now: Duration) -> Option<u64> {
        (now < self.until).then_some(self.fence)
    }

    /// The fencing token for orders to servers: no other station can have sent any within the time between holders,
    /// and the register holds that this one does.
    #[must_use]
    pub fn order_fence_at(&self, now: Duration) -> Option<u64> {
        self.fence_at(now).filter(|_| self.is_order_holder && now >= self.orders_from)
    }

    /// The fencing token with which [`with_order_holder`] is due.
    #[must_use]
    pub fn order_issuer_due(&self, now: Duration) -> Option<u64> {
        self.fence_at(now).filter(|_| !self.is_order_holder && now >= self.orders_from)
    }

    /// When [`HeldLease::order_holder_due`] will first be due; `None` when it is already, or is not needed.
    #[must_use]
    pub fn order_issuer_due_at(&self, now: Duration) -> Option<Duration> {
        (now < self.orders_from && !self.is_order_holder).then_some(self.orders_from)
    }

    /// When orders may first be sent, where nothing else is missing.
    #[must_use]
    pub fn orders_allowed_at(&self, now: Duration) -> Option<Duration> {
        (now < self.orders_from && self.is_order_holder).then_some(self.orders_from)
    }

    /// The register holds that the holder of this fencing token sends orders.
    pub fn record_order_issuer(&mut self, fence: u64) {
        self.is_order_holder |= self.fence == fence;
    }
}

/// Another process has raised the fencing token since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Superseded;

/// A new holder of the lease raises the fencing token above `seen`, the one that it saw while it held the lease.
///
/// A raise that is carried out late, by a holder whose lease has ended, must not supersede the next holder.
///
/// # Errors
///
/// When another token was handed out since.
pub fn with_fence(state: &ControlState, station: &str, seen: u64) -> Result<ControlState, Superseded> {
    if state.fence != seen {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.fence += 1;
    next.fence_owner = Some(station.to_owned());
    Ok(next)
}

/// Whether the holder of the lease may send orders to servers without waiting: no other station may have sent any.
#[must_use]
pub fn may_issue_orders_immediately(state: &ControlState, station: &str) -> bool {
    state.order_issuer.as_deref().is_none_or(|holder| holder == station)
}

/// The holder of the lease with this fencing token notes that it sends orders from now on.
///
/// # Errors
///
/// When the token was raised since.
pub fn with_order_issuer(
    state: &ControlState,
    station: &str,
    fence: u64,
) -> Result<ControlState, Superseded> {
    if state.fence != fence {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.order_issuer = Some(station.to_owned());
    Ok(next)
}
