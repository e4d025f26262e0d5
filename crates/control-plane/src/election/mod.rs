//! The leader lease of this process and its fencing token.
//!
//! Owns [`Leadership`], which only [`LeaderElection`] and [`Leadership::resign`] write; the singleton roles of the
//! leader (reading the platform's list, reconciliation, orders to servers) ask it for the fencing token before each
//! step. The lease protocol itself is in the crate `lease`; [`QuorumService`] serves its grantor beside the acceptor
//! of the same disk.

mod campaign;
mod fencing;
mod leadership;
mod lease_calls;
mod quorum_service;

use std::time::Duration;

use lease::GrantorId;
use state::ControlState;

pub use campaign::LeaderElection;
pub use fencing::OrderGap;
pub(crate) use fencing::ORDER_TIMEOUT;
pub use leadership::Leadership;
pub use quorum_service::QuorumService;

/// How long a grant of the leader lease is valid.
pub const LEASE_TTL: Duration = Duration::from_millis(1500);

/// The grantors of the lease, which are the acceptors of the register.
fn grantors_of(state: &ControlState) -> Vec<GrantorId> {
    state.acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect()
}
