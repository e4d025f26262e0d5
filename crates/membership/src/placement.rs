//! Placement by rendezvous hashing.
//!
//! All processes with the same set of members compute the same ranking for a key. A member that joins or
//! leaves does not change the relative order of the other members.

use std::cmp::Reverse;

use crate::hash::{hash, score_of_hashes};

/// Value that is XORed with the hash of a monitored peer's name, so that the peer and a placement key of the
/// same name get unrelated rankings.
const MONITOR_KEY_SALT: u64 = 0x6d6f_6e69_746f_7231;

/// Returns the first `count` members in the ranking for the key, by descending score.
///
/// Returns all members if there are fewer than `count`. The order of `members` does not matter.
#[must_use]
pub fn rendezvous<'a, Name: AsRef<str>>(key: &[u8], members: &'a [Name], count: usize) -> Vec<&'a Name> {
    ranking(hash(key), members.iter(), count)
}

/// Returns the members that monitor `peer`: `count` of the other members, or all of them if there are fewer.
#[must_use]
pub fn monitors<'a, Name: AsRef<str>>(peer: &str, members: &'a [Name], count: usize) -> Vec<&'a Name> {
    let others = members.iter().filter(|member| member.as_ref() != peer);
    ranking(monitor_key(peer), others, count)
}

/// Returns the peers that `monitor` has to monitor: each peer whose [`monitors`] include it.
#[must_use]
pub fn monitored_by<'a, Name: AsRef<str>>(monitor: &str, members: &'a [Name], count: usize) -> Vec<&'a Name> {
    let others = members.iter().filter(|member| member.as_ref() != monitor);
    others.filter(|peer| is_monitor(monitor, peer.as_ref(), members, count)).collect()
}

/// Returns whether `monitor` is one of the `count` monitors of `peer`. It is if fewer than `count` other
/// members rank before it, which can be counted without sorting.
fn is_monitor<Name: AsRef<str>>(monitor: &str, peer: &str, members: &[Name], count: usize) -> bool {
    let key = monitor_key(peer);
    let monitor_rank = rank(key, monitor);
    let others = members.iter().map(AsRef::as_ref).filter(|member| *member != peer && *member != monitor);
    others.filter(|member| rank(key, member) < monitor_rank).take(count).count() < count
}

/// Returns the hashed key by which the monitors of `peer` are ranked.
fn monitor_key(peer: &str) -> u64 {
    hash(peer.as_bytes()) ^ MONITOR_KEY_SALT
}

/// Returns the first `count` members in the ranking for the hashed key.
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

/// Returns the sort key of a member, by which the highest score sorts first. Equal scores sort by name.
fn rank(key: u64, member: &str) -> (Reverse<u64>, &str) {
    (Reverse(score_of_hashes(key, hash(member.as_bytes()))), member)
}
