//! Changes of the set of acceptors, one step at a time.

use std::collections::HashSet;

use crate::{Incarnation, Member};

/// Whether both sets name the same disks, whatever their order and addresses.
pub fn same_members(left: &[Member], right: &[Member]) -> bool {
    incarnations(left) == incarnations(right)
}

/// Whether the acceptors may change from one set to the other in one step.
///
/// A step adds at most one member and removes at most one, so that one member may replace another. It names no
/// member twice and leaves at least one. Majorities of both sets commit it. Larger steps would be as safe, but would
/// wait for several machines that are new.
pub fn is_single_step(from: &[Member], to: &[Member]) -> bool {
    let (before, after) = (incarnations(from), incarnations(to));
    let has_duplicates = after.len() != to.len();
    let added = after.difference(&before).count();
    let removed = before.difference(&after).count();
    !to.is_empty() && !has_duplicates && added <= 1 && removed <= 1
}

/// The members with `added`, which replaces an entry of the same incarnation.
pub fn with_member(members: &[Member], added: Member) -> Vec<Member> {
    let mut changed = without_member(members, added.incarnation);
    changed.push(added);
    changed
}

/// The members with `added` in place of the member of incarnation `removed`.
pub fn with_member_replaced(members: &[Member], removed: Incarnation, added: Member) -> Vec<Member> {
    with_member(&without_member(members, removed), added)
}

/// The members without the one of incarnation `removed`.
pub fn without_member(members: &[Member], removed: Incarnation) -> Vec<Member> {
    members.iter().filter(|member| member.incarnation != removed).cloned().collect()
}

/// The acceptors after the next step from `current` towards `target`; `None` if no step is left to take.
///
/// A new acceptor replaces one that is not in the target set, if there is one. Otherwise a step adds before it
/// removes: a set that shrank first would depend on acceptors that may be the next to fail. The last acceptor is
/// never removed.
pub fn next_step(current: &[Member], target: &[Member]) -> Option<Vec<Member>> {
    let (present, kept) = (incarnations(current), incarnations(target));
    let added = target.iter().find(|member| !present.contains(&member.incarnation));
    let removed = current.iter().find(|member| !kept.contains(&member.incarnation));
    match (added, removed) {
        (Some(added), Some(removed)) => {
            Some(with_member_replaced(current, removed.incarnation, added.clone()))
        }
        (Some(added), None) => Some(with_member(current, added.clone())),
        (None, Some(removed)) if current.len() > 1 => Some(without_member(current, removed.incarnation)),
        (None, _) => None,
    }
}

fn incarnations(members: &[Member]) -> HashSet<Incarnation> {
    members.iter().map(|member| member.incarnation).collect()
}
