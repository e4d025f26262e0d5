//! Placement by rendezvous hashing.
//!
//! All processes that know the same members agree on every ranking. When a member joins or leaves, only the positions
//! that it takes or held change.

use std::cmp::Reverse;

use crate::hash::{hash, score_of_hashes};

/// Makes the keys of monitoring differ from all others.
const MONITOR_KEY_SALT: u64 = 0x6d6f_6e69_746f_7231;

/// The `count` members that rank first for the key, the highest score first. The order of `members` does not matter.
#[must_use]
pub fn rendezvous<'a, Name: AsRef<str>>(key: &[u8], members: &'a [Name], count: usize) -> Vec<&'a Name> {
    ranking(hash(key), members.iter(), count)
}

/// The peers that monitor `peer`: `count` of the other members, or all of them if there are fewer.
#[must_use]
pub fn monitors<'a, Name: AsRef<str>>(peer: &str, members: &'a [Name], count: usize) -> Vec<&'a Name> {
    let others = members.iter().filter(|member| member.as_ref() != peer);
    ranking(monitor_key(peer), others, count)
}

/// The peers that `monitor` monitors: those that have it among their [`monitors`].
#[must_use]
pub fn monitored_by<'a, Name: AsRef<str>>(monitor: &str, members: &'a [Name], count: usize) -> Vec<&'a Name> {
    let others = members.iter().filter(|member| member.as_ref() != monitor);
    others.filter(|peer| is_monitor(monitor, peer.as_ref(), members, count)).collect()
}

/// Whether fewer than `count` members rank before `monitor` for `peer`.
fn is_monitor<Name: AsRef<str>>(monitor: &str, peer: &str, members: &[Name], count: usize) -> bool {
    let key = monitor_key(peer);
    let own_rank = rank(key, monitor);
    let others = members.iter().map(AsRef::as_ref).filter(|member| *member != peer && *member != monitor);
    others.filter(|member| rank(key, member) < own_rank).take(count).count() < count
}

fn monitor_key(peer: &str) -> u64 {
    hash(peer.as_bytes()) ^ MONITOR_KEY_SALT
}

/// The `count` members that rank first for the hashed key.
fn ranking<'a, Name: AsRef<str>>(
    key: u64,
    members: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<&'a Name> {
    let mut ranked: Vec<&Name> = members.collect();
    ranked.sort_by_cached_key(|member| {
        let (score, name) = rank(key, member.as_ref());
        (score, name.to_owned())
    });
    ranked.truncate(count);
    ranked
}

/// The sort key of a member: the lowest ranks first. Names break ties between equal scores.
fn rank(key: u64, member: &str) -> (Reverse<u64>, &str) {
    (Reverse(score_of_hashes(key, hash(member.as_bytes()))), member)
}
