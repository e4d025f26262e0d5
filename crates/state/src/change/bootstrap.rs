//! Initial state of a system, and the selection of the initial value that its acceptors accept.

use register::{Member, Versioned};

use crate::{ControlState, StoreMember, StoreSet, INITIAL_REVISION};

/// Returns the state of a system that starts for the first time; `None` if there are no acceptors.
///
/// `tolerated_failures` is the number n of failed machines that the system must tolerate. The intended number
/// of replicas of each batch job is 2n + 1. The intended numbers of acceptors and of stores are 2n + 1 too,
/// or larger if more machines are given. While there are fewer machines, all of them are used.
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

/// Selects the initial value that a coordinator offers to the acceptors: the value with the highest ballot
/// that an acceptor has accepted from an earlier coordinator, or `proposed` if there is none.
///
/// `accepted` contains one element for each acceptor of `proposed` that replied: the value that it has
/// accepted, if any. Returns `None` unless a majority has replied, so that a value that a majority has
/// accepted is always found.
#[must_use]
pub fn select_initial_value(
    proposed: Versioned<ControlState>,
    accepted: Vec<Option<Versioned<ControlState>>>,
) -> Option<Versioned<ControlState>> {
    if accepted.len() * 2 <= proposed.value.acceptors.len() {
        return None;
    }
    let earlier = accepted.into_iter().flatten().max_by_key(|value| value.ballot);
    Some(earlier.unwrap_or(proposed))
}
