//! Majorities of a set of acceptors.

use std::collections::HashSet;

use crate::{Incarnation, Member};

/// How many of `count` acceptors are a majority.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Whether a majority of `members` is among `votes`. An empty set of members has no majority.
pub(crate) fn has_majority(members: &[Member], votes: &HashSet<Incarnation>) -> bool {
    let count = members.iter().filter(|member| votes.contains(&member.incarnation)).count();
    count >= majority(members.len())
}

/// Whether so many of `members` are among `rejections` that the others are no majority.
pub(crate) fn is_majority_impossible(members: &[Member], rejections: &HashSet<Incarnation>) -> bool {
    let remaining = members.iter().filter(|member| !rejections.contains(&member.incarnation)).count();
    remaining < majority(members.len())
}
