//! The initial state of a system, and how its acceptors agree on one.

use register::{Member, Versioned};

use crate::{ControlState, StoreMember, StoreSet, INITIAL_REVISION};

/// The state of a system that starts for the first time; `None` without any acceptor.
///
/// `tolerated_failures` is the number of machines whose loss the system must survive: 2n + 1 acceptors and replicas
/// are aimed for, or all machines where there are fewer.
#[must_use]
pub fn initial_state(
    acceptors: Vec<Member>,
    stores: Vec<StoreMember>,
    tolerated_failures: usize,
) -> Option<ControlState> {
    if acceptors.is_empty() {
        return None;
    }
    let replication_factor = 2 * tolerated_failures + 1;
    let target_size = stores.len().max(replication_factor);
    Some(ControlState {
        revision: INITIAL_REVISION,
        acceptors_since: INITIAL_REVISION,
        target_acceptor_count: acceptors.len().max(replication_factor),
        acceptors,
        stores: StoreSet { epoch: 1, members: stores, replication_factor, target_size },
        ..ControlState::default()
    })
}

/// The initial value that a coordinator offers to the acceptors: one that an earlier coordinator has offered, otherwise
/// its `own`.
///
/// `accepted` are the replies of the acceptors of `own`, each with the value that it has accepted, if any. Returns
/// `None` unless a majority has replied, so that a value that a majority has accepted is always found.
#[must_use]
pub fn choose_initial_value(
    own: Versioned<ControlState>,
    accepted: Vec<Option<Versioned<ControlState>>>,
) -> Option<Versioned<ControlState>> {
    if accepted.len() * 2 <= own.value.acceptors.len() {
        return None;
    }
    let earlier = accepted.into_iter().flatten().max_by_key(|value| value.ballot);
    Some(earlier.unwrap_or(own))
}
