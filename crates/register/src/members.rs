//! Majorities, and changes of the acceptors.

use std::collections::HashSet;

use crate::{Incarnation, Member};

/// How many of `count` acceptors are a majority.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Whether `votes` hold a majority of `members`. An empty set of members has none.
pub(crate) fn has_majority(members: &[Member], votes: &HashSet<Incarnation>) -> bool {
    let given = members.iter().filter(|member| votes.contains(&member.incarnation)).count();
    given >= majority(members.len())
}

/// Whether the members outside of `refusals` are too few for a majority.
pub(crate) fn is_blocked(members: &[Member], refusals: &HashSet<Incarnation>) -> bool {
    let left = members.iter().filter(|member| !refusals.contains(&member.incarnation)).count();
    left < majority(members.len())
}

fn incarnations(members: &[Member]) -> HashSet<Incarnation> {
    members.iter().map(|member| member.incarnation).collect()
}

/// Whether both sets name the same disks, whatever their order and addresses.
pub fn same_members(left: &[Member], right: &[Member]) -> bool {
    incarnations(left) == incarnations(right)
}

/// Whether the acceptors may change in one step: at most one is added, at most one is removed (so one may take the
/// place of another), none stands twice and one is left at least.
///
/// Such a step is committed by majorities of both sets. More than one of each would be as safe, but would make the
/// step wait for several machines that are new.
pub fn can_change(from: &[Member], to: &[Member]) -> bool {
    let (before, after) = (incarnations(from), incarnations(to));
    let (added, removed) = (after.difference(&before).count(), before.difference(&after).count());
    !to.is_empty() && after.len() == to.len() && added <= 1 && removed <= 1
}

/// The members with one more.
pub fn with_member(members: &[Member], added: Member) -> Vec<Member> {
    let mut changed = without_member(members, added.incarnation);
    changed.push(added);
    changed
}

/// The members with one in the place of another.
pub fn with_replaced(members: &[Member], removed: Incarnation, added: Member) -> Vec<Member> {
    with_member(&without_member(members, removed), added)
}

/// The members without one.
pub fn without_member(members: &[Member], removed: Incarnation) -> Vec<Member> {
    members.iter().filter(|member| member.incarnation != removed).cloned().collect()
}

/// The next step from the `current` acceptors to the `wanted` ones; `None` when they are the same already.
///
/// A new acceptor takes the place of one that is not wanted, if there is one. Otherwise adds before it removes: a
/// set that shrinks first would need acceptors that may be the next to fail.
pub fn next_members(current: &[Member], wanted: &[Member]) -> Option<Vec<Member>> {
    let (present, kept) = (incarnations(current), incarnations(wanted));
    let added = wanted.iter().find(|member| !present.contains(&member.incarnation));
    let removed = current.iter().find(|member| !kept.contains(&member.incarnation));
    match (added, removed) {
        (Some(added), Some(removed)) => Some(with_replaced(current, removed.incarnation, added.clone())),
        (Some(added), None) => Some(with_member(current, added.clone())),
        (None, Some(removed)) if current.len() > 1 => Some(without_member(current, removed.incarnation)),
        (None, _) => None,
    }
}
