//! The leader lease of this process and its fencing token.
//!
//! This module owns [`Leadership`], which only [`LeaderElection`] and [`Leadership::resign`] write. The tasks
//! of the leader (reading the platform's list, reconciliation, orders to servers) request the fencing token
//! from it before each step. The order dispatcher counts its pending orders in it. The crate `lease` implements
//! the lease protocol; [`QuorumService`] runs its grantor together with the acceptor of the same disk.

mod campaign;
mod fencing;
mod leadership;
mod lease_calls;
mod quorum_service;

use std::time::Duration;

use lease::GrantorId;
use state::ControlState;

pub use campaign::LeaderElection;
pub use fencing::{OrderGap, ORDER_DELIVERY_TIMEOUT};
pub(crate) use leadership::PendingOrder;
pub use leadership::{Leadership, RELEASE_TIMEOUT};
pub use quorum_service::QuorumService;

/// Time for which a grant of the leader lease is valid.
pub const LEASE_TTL: Duration = Duration::from_millis(1500);

/// Returns the grantors of the lease, which are the acceptors of the register.
fn grantors_of(state: &ControlState) -> Vec<GrantorId> {
    state.acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect()
}
