//! Changes by the holder of the leader lease.

use super::successor;
use crate::ControlState;

/// Another process has raised the fencing token since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Superseded;

/// A new holder of the lease raises the fencing token.
#[must_use]
pub fn with_fence(state: &ControlState, station: &str) -> ControlState {
    let mut next = successor(state);
    next.fence += 1;
    next.fence_holder = Some(station.to_owned());
    next
}

/// Whether the holder of the lease may send orders to servers without waiting: no other station may have sent any.
#[must_use]
pub fn may_order_at_once(state: &ControlState, station: &str) -> bool {
    state.order_holder.as_deref().is_none_or(|holder| holder == station)
}

/// The holder of the lease with this fencing token notes that it sends orders from now on.
///
/// # Errors
///
/// When the token was raised since.
pub fn with_order_holder(
    state: &ControlState,
    station: &str,
    fence: u64,
) -> Result<ControlState, Superseded> {
    if state.fence != fence {
        return Err(Superseded);
    }
    let mut next = successor(state);
    next.order_holder = Some(station.to_owned());
    Ok(next)
}
