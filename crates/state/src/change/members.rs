//! Who is an acceptor of the register, and who keeps batch jobs.

use register::{with_member, with_replaced, without_member, Member, Versioned};

use super::successor;
use crate::{ControlState, StoreMember, StoreSet, FIRST_REVISION};

/// There is nothing to change, now or for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyMember;

/// The state of a system that starts for the first time; `None` without any acceptor.
#[must_use]
pub fn first_state(
    acceptors: Vec<Member>,
    stores: Vec<StoreMember>,
    machines_lost: usize,
) -> Option<ControlState> {
    if acceptors.is_empty() {
        return None;
    }
    let stores = StoreSet { epoch: 1, wanted: stores.len(), members: stores, copies: 2 * machines_lost + 1 };
    Some(ControlState {
        revision: FIRST_REVISION,
        acceptors_since: FIRST_REVISION,
        acceptors_wanted: acceptors.len(),
        acceptors,
        stores,
        ..ControlState::default()
    })
}

/// The first value that a collector offers, after `shown` is what its acceptors hold: what an earlier collector began
/// with, otherwise its `own`. `None` unless a majority answers, so that a value that a majority has taken is found.
#[must_use]
pub fn choose_first(
    own: Versioned<ControlState>,
    shown: Vec<Option<Versioned<ControlState>>>,
) -> Option<Versioned<ControlState>> {
    if shown.len() * 2 <= own.value.acceptors.len() {
        return None;
    }
    let standing = shown.into_iter().flatten().max_by_key(|standing| standing.ballot);
    Some(standing.unwrap_or(own))
}

/// Adds an acceptor in one step: in the place of its former self where its disk was lost, otherwise in the place of
/// one that the holder of the lease has noted as lost, otherwise beside the others.
///
/// # Errors
///
/// When it is one already.
pub fn with_acceptor(state: &ControlState, member: &Member) -> Result<ControlState, AlreadyMember> {
    if state.acceptors.contains(member) {
        return Err(AlreadyMember);
    }
    let mut next = successor(state);
    let is_former = |other: &&Member| other.station == member.station;
    let is_lost = |other: &&Member| state.lost_acceptors.contains(&other.incarnation);
    let acceptors = state.acceptors.iter();
    let replaced = acceptors.clone().find(is_former).or_else(|| acceptors.clone().find(is_lost));
    next.set_acceptors(match replaced {
        Some(replaced) => with_replaced(&state.acceptors, replaced.incarnation, member.clone()),
        None => with_member(&state.acceptors, member.clone()),
    });
    Ok(next)
}

/// An acceptor stays: there are no more than wanted, or it is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillWanted;

/// An acceptor whose process ends in good order leaves, if there are more than wanted: another one has come in its
/// place. Otherwise it is expected back.
///
/// # Errors
///
/// When it is wanted, or is no acceptor.
pub fn without_acceptor(state: &ControlState, member: &Member) -> Result<ControlState, StillWanted> {
    if state.acceptors.len() <= state.acceptors_wanted || !state.acceptors.contains(member) {
        return Err(StillWanted);
    }
    let mut next = successor(state);
    next.set_acceptors(without_member(&state.acceptors, member.incarnation));
    Ok(next)
}

/// Adds a machine to the store set, in the place of its former self where its disk was lost.
///
/// While everything is still on its way from the set before, only a former self is replaced, and the set before
/// stays. That is safe: copies are chosen by station, so the copies of a batch job differ by such replacements only,
/// and no former self answers any more. A majority of the copies before, all of them survivors, meets a majority of
/// the copies of any step since in a survivor: of n copies of which d were replaced, the first is one of n - d, and
/// the second has more than n / 2 - d of these.
///
/// # Errors
///
/// When it is a member, when the set before has not moved everything yet, or when the machine is being emptied.
pub fn with_store(state: &ControlState, member: &StoreMember) -> Result<ControlState, AlreadyMember> {
    let is_former = |other: &StoreMember| other.member.station == member.member.station;
    let is_emptied = state.draining.contains_key(&member.member.station);
    if state.stores.members.contains(member) || is_emptied {
        return Err(AlreadyMember);
    }
    let mut next = successor(state);
    if state.previous_stores.is_none() {
        next.previous_stores = Some(state.stores.clone());
    } else if !state.stores.members.iter().any(is_former) {
        return Err(AlreadyMember);
    }
    next.stores.epoch += 1;
    next.stores.members.retain(|other| !is_former(other));
    next.stores.members.push(member.clone());
    Ok(next)
}
