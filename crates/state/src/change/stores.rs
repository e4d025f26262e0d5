//! Membership of the store set, as far as the machines change it themselves.

use register::Member;

use super::{successor, AlreadyMember, StillRequired};
use crate::{ControlState, StoreMember};

/// Adds a machine that lost its disk to the store set again, in place of its former incarnation; registers any other
/// machine as one that waits until the leader adds it.
///
/// While a migration from the previous set is under way, only a former incarnation is replaced, and the previous set
/// stays. That is safe: replicas are placed by member name, so the replicas of a batch job differ by such replacements
/// only, and no former incarnation replies any more. A majority of the replicas before, all of them survivors,
/// intersects a majority of the replicas of any step since in a survivor: of n replicas of which d were replaced, the
/// first is one of n - d, and the second has more than n / 2 - d of these.
///
/// # Errors
///
/// When it is a member or waits already, or when the machine is being drained.
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

/// Removes a store whose process shuts down gracefully, if there are more stores than intended: another one has
/// replaced it. Otherwise it stays a member, since it is expected to return.
///
/// # Errors
///
/// When it is required or no store, or while a migration is under way.
pub fn without_store(state: &ControlState, member: &Member) -> Result<ControlState, StillRequired> {
    let position = state.stores.members.iter().position(|store| store.member == *member);
    let may_leave = state.previous_stores.is_none() && state.has_surplus_store();
    let position = position.filter(|_| may_leave).ok_or(StillRequired)?;
    let mut next = successor(state);
    next.migrate_stores(|members| drop(members.remove(position)));
    Ok(next)
}
