//! Changes of the set of acceptors, one step at a time.

use std::collections::HashSet;

use crate::{Incarnation, Member};

/// Returns whether both sets contain the same incarnations. Order, names and addresses are not compared.
pub fn same_members(left: &[Member], right: &[Member]) -> bool {
    incarnations(left) == incarnations(right)
}

/// Returns whether the acceptors may be changed from one set to the other in one step.
///
/// A step adds at most one member and removes at most one, so a step can replace one member by another. The
/// resulting set contains no member twice and is not empty. A step is committed by majorities of both sets.
/// Larger steps would be as safe, but their commit would have to wait for several new machines.
pub fn is_single_step(from: &[Member], to: &[Member]) -> bool {
    let (before, after) = (incarnations(from), incarnations(to));
    let has_duplicates = after.len() != to.len();
    let added = after.difference(&before).count();
    let removed = before.difference(&after).count();
    !to.is_empty() && !has_duplicates && added <= 1 && removed <= 1
}

/// Returns the members with `added` at the end. An earlier entry with the same incarnation is removed.
pub fn with_member(members: &[Member], added: Member) -> Vec<Member> {
    let mut changed = without_member(members, added.incarnation);
    changed.push(added);
    changed
}

/// Returns the members without the member of incarnation `removed`, and with `added` at the end.
pub fn with_member_replaced(members: &[Member], removed: Incarnation, added: Member) -> Vec<Member> {
    with_member(&without_member(members, removed), added)
}

/// Returns the members without the member of incarnation `removed`.
pub fn without_member(members: &[Member], removed: Incarnation) -> Vec<Member> {
    members.iter().filter(|member| member.incarnation != removed).cloned().collect()
}

/// Returns the acceptors after the next step from `current` towards `target`; `None` if no step remains.
///
/// A step replaces an acceptor that is not in the target set by a new one, as long as there are both. After
/// that the remaining new acceptors are added, or the remaining old ones removed. Additions never wait for
/// removals: a set that shrank first would depend on acceptors that may be the next to fail. The last
/// acceptor is never removed.
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
