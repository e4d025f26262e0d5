//! The changes of a control state, as pure functions: each gives the state that follows, or says why there is none.
//!
//! Whoever proposes a change hands one of these to the register, which may call it several times. So each must
//! give the same outcome for the same state, and must see when it was made already.

mod leader;
mod members;
mod operator;
mod upkeep;

pub use leader::{may_issue_orders_immediately, with_fence, with_order_issuer, LeaderLease, Superseded};
pub use members::{
    choose_first, first_state, with_acceptor, with_standby, with_store, without_acceptor, without_store,
    AlreadyMember, NoVacancy, StillRequired,
};
pub use operator::{
    change_digest, with_configuration, with_draining, with_version, ChangeKind, ChangeRejected,
};
pub use upkeep::{next_reconciliation, Observation, QuorumMargin, Reachability};

use crate::ControlState;

/// A copy to be changed, with the next revision.
fn successor(state: &ControlState) -> ControlState {
    ControlState { revision: state.revision + 1, ..state.clone() }
}
