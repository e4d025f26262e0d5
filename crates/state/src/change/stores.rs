//! Changes of the store set that store machines request themselves: joining, and leaving at a graceful
//! shutdown.

use register::Member;

use super::{successor, AlreadyMember, StillRequired};
use crate::{ControlState, StoreMember};

/// Adds a machine to the store set. A machine that lost its disk replaces its own former incarnation
/// immediately. Any other machine is registered as a joining store, which waits until the leader adds it.
///
/// While a migration is in progress, the replacement of a former incarnation keeps the previous set. This is
/// safe for the following reasons. Replicas are placed by member name, so the replicas of a batch job change
/// only by such replacements, and a former incarnation no longer replies. Let d of the n replicas of a job be
/// replaced. Of the original replicas, only the n - d that were not replaced still reply, so a majority of
/// the original replicas consists of more than n / 2 of these n - d. A majority of the replicas after any of
/// the replacements contains more than n / 2 - d of them. These are more than n - d in sum, so the two
/// majorities have a replica in common that was not replaced.
///
/// # Errors
///
/// [`AlreadyMember`] if the machine is a store or a joining store already, or if it is draining or drained.
pub fn with_store(state: &ControlState, member: &StoreMember) -> Result<ControlState, AlreadyMember> {
    let is_draining = state.draining.contains_key(&member.member.name);
    let is_waiting = state.joining_stores.contains(member);
    if state.stores.members.contains(member) || is_waiting || is_draining {
        return Err(AlreadyMember);
    }
    let is_former = |other: &StoreMember| other.member.name == member.member.name;
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

/// Removes a store whose process shuts down gracefully, if there are more stores than intended, because
/// another machine has then replaced it. Otherwise it remains a member, since it is expected to return.
///
/// # Errors
///
/// [`StillRequired`] if the store is needed, if the machine is not a store, or while a migration is in
/// progress.
pub fn without_store(state: &ControlState, member: &Member) -> Result<ControlState, StillRequired> {
    let position = state.stores.members.iter().position(|store| store.member == *member);
    let may_leave = state.previous_stores.is_none() && state.has_surplus_store();
    let position = position.filter(|_| may_leave).ok_or(StillRequired)?;
    let mut next = successor(state);
    next.migrate_stores(|members| drop(members.remove(position)));
    Ok(next)
}
