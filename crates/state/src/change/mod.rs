//! The changes of a control state, as pure functions: each returns the next state, or the reason why there is none.
//!
//! A proposer passes one of these functions to the register, which may call it several times. So each must return the
//! same result for the same state, and must recognize a state in which its change was made already.

mod acceptors;
mod bootstrap;
mod leader_lease;
mod operator;
mod reachability;
mod reconcile;
mod stores;

pub use acceptors::{with_acceptor, with_standby, without_acceptor, NoVacancy};
pub use bootstrap::{choose_initial_value, initial_state};
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

/// The machine is a member already, or registered as one that waits, or is being drained: there is nothing to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyMember;

/// The machine stays as it is: it is no member, or cannot be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillRequired;

/// A copy to be changed, with the next revision.
fn successor(state: &ControlState) -> ControlState {
    ControlState { revision: state.revision + 1, ..state.clone() }
}
