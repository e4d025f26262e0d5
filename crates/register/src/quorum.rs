//! Majorities of a set of acceptors.

use std::collections::HashSet;

use crate::{Incarnation, Member};

/// Returns the number of acceptors that form a majority of `count`.
pub(crate) fn majority_size(count: usize) -> usize {
    count / 2 + 1
}

/// Returns whether `votes` contains a majority of `members`. An empty set of members has no majority.
pub(crate) fn has_majority(members: &[Member], votes: &HashSet<Incarnation>) -> bool {
    let count = members.iter().filter(|member| votes.contains(&member.incarnation)).count();
    count >= majority_size(members.len())
}

/// Returns whether the members that are not in `rejections` are too few for a majority of `members`.
pub(crate) fn is_majority_impossible(members: &[Member], rejections: &HashSet<Incarnation>) -> bool {
    let remaining = members.iter().filter(|member| !rejections.contains(&member.incarnation)).count();
    remaining < majority_size(members.len())
}
