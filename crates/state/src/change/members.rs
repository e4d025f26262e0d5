//! Who is an acceptor of the register, and who keeps batch jobs.

use register::{with_member, with_replaced, Incarnation, Member, Versioned};

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
    let copies = 2 * machines_lost + 1;
    let wanted = stores.len().max(copies);
    let stores = StoreSet { epoch: 1, target_size: wanted, members: stores, replication_factor: copies };
    Some(ControlState {
        revision: FIRST_REVISION,
        acceptors_since: FIRST_REVISION,
        target_acceptor_count: acceptors.len().max(copies),
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

/// There is no place for another acceptor: all that are wanted are there, and none of them is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoVacancy;

/// Makes a machine an acceptor in one step: in the place of its former self where its disk was lost, beside the others
/// where there are too few, otherwise in the place of one of those that are `gone`.
///
/// # Errors
///
/// When it is one already, or has to stand by.
pub fn with_acceptor(
    state: &ControlState,
    member: &Member,
    gone: &[Incarnation],
) -> Result<ControlState, NoVacancy> {
    if state.acceptors.contains(member) {
        return Err(NoVacancy);
    }
    let is_former = |other: &&Member| other.name == member.name;
    let is_gone = |other: &&Member| gone.contains(&other.incarnation);
    let acceptors = state.acceptors.iter();
    let is_too_few = state.acceptors.len() < state.target_acceptor_count;
    let replaced = match acceptors.clone().find(is_former) {
        Some(former) => Some(former),
        None if is_too_few => None,
        None => Some(acceptors.clone().find(is_gone).ok_or(NoVacancy)?),
    };
    let mut next = successor(state);
    next.set_acceptors(match replaced {
        Some(replaced) => with_replaced(&state.acceptors, replaced.incarnation, member.clone()),
        None => with_member(&state.acceptors, member.clone()),
    });
    Ok(next)
}

/// Notes that a machine waits to take the place of an acceptor that is gone.
///
/// # Errors
///
/// When it is an acceptor, or is noted already.
pub fn with_standby(state: &ControlState, member: &Member) -> Result<ControlState, AlreadyMember> {
    if state.acceptors.contains(member) || state.standbys.contains(member) {
        return Err(AlreadyMember);
    }
    let mut next = successor(state);
    next.standbys.retain(|other| other.name != member.name);
    next.standbys.push(member.clone());
    Ok(next)
}

/// An acceptor stays: it is none, or the standby is none any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillRequired;

/// An acceptor whose process ends in good order hands its place to a standby.
///
/// # Errors
///
/// When it is no acceptor, or the other one no standby.
pub fn without_acceptor(
    state: &ControlState,
    member: &Member,
    standby: &Member,
) -> Result<ControlState, StillRequired> {
    if !state.acceptors.contains(member) || !state.standbys.contains(standby) {
        return Err(StillRequired);
    }
    let mut next = successor(state);
    next.set_acceptors(with_replaced(&state.acceptors, member.incarnation, standby.clone()));
    Ok(next)
}

/// Takes a machine that lost its disk back into the store set, in the place of its former self; notes any other
/// machine as one that waits to be added.
///
/// While everything is still on its way from the set before, only a former self is replaced, and the set before
/// stays. That is safe: copies are chosen by station, so the copies of a batch job differ by such replacements only,
/// and no former self answers any more. A majority of the copies before, all of them survivors, meets a majority of
/// the copies of any step since in a survivor: of n copies of which d were replaced, the first is one of n - d, and
/// the second has more than n / 2 - d of these.
///
/// # Errors
///
/// When it is a member or is noted already, or when the machine is being emptied.
pub fn with_store(state: &ControlState, member: &StoreMember) -> Result<ControlState, AlreadyMember> {
    let is_former = |other: &StoreMember| other.member.name == member.member.name;
    let is_emptied = state.draining.contains_key(&member.member.name);
    let is_noted = state.joining_stores.contains(member);
    if state.stores.members.contains(member) || is_noted || is_emptied {
        return Err(AlreadyMember);
    }
    let mut next = successor(state);
    next.joining_stores.retain(|other| !is_former(other));
    if !state.stores.members.iter().any(is_former) {
        next.joining_stores.push(member.clone());
        return Ok(next);
    }
    next.previous_stores.get_or_insert_with(|| state.stores.clone());
    next.stores.epoch += 1;
    next.stores.members.retain(|other| !is_former(other));
    next.stores.members.push(member.clone());
    Ok(next)
}

/// A store whose process ends in good order leaves the store set if there are more than wanted: another one has come
/// in its place. Otherwise it is expected back.
///
/// # Errors
///
/// When it is wanted or no store, or while another move is under way.
pub fn without_store(state: &ControlState, member: &Member) -> Result<ControlState, StillRequired> {
    let position = state.stores.members.iter().position(|store| store.member == *member);
    let may_leave = state.previous_stores.is_none() && state.has_surplus_store();
    let position = position.filter(|_| may_leave).ok_or(StillRequired)?;
    let mut next = successor(state);
    next.move_stores(|members| drop(members.remove(position)));
    Ok(next)
}
