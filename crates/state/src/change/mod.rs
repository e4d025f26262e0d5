//! Changes of the control state, as pure functions. Each function returns the next state, or the reason why
//! the change is not made.
//!
//! The proposer may call a function several times for one change. Each function must therefore return the
//! same result for the same state, and must recognize a state that already contains its change.

mod acceptors;
mod bootstrap;
mod leader_lease;
mod operator;
mod reachability;
mod reconcile;
mod stores;

pub use acceptors::{with_acceptor, with_standby, without_acceptor, NoVacancy};
pub use bootstrap::{initial_state, select_initial_value};
pub use leader_lease::{
    may_issue_orders_immediately, with_order_issuer, with_raised_fence, LeaderLease, Superseded,
};
pub use operator::{
    change_digest, with_configuration, with_draining, with_target_version, ChangeKind, ChangeRejected,
};
pub use reachability::{QuorumMargin, Reachability};
pub use reconcile::{next_reconciliation, Observation};
pub use stores::{with_store, without_store};

use crate::ControlState;

/// Reason why a machine is not added: it is a member already, waits to become one, is being drained or is
/// drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyMember;

/// Reason why a machine is not removed: it is not a member, or no other machine can replace it at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillRequired;

/// Returns a copy of a state with the next revision, to which a change is then applied.
fn successor(state: &ControlState) -> ControlState {
    ControlState { revision: state.revision + 1, ..state.clone() }
}
