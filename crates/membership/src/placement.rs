//! Placement by rendezvous hashing.
//!
//! All processes that know the same members agree on every ranking. When a member joins or leaves, only the
//! places that it takes or held change.

use std::cmp::Reverse;

use crate::hash::{hash, score};

/// Sets the keys of monitoring apart from all others.
const MONITOR_KEY: u64 = 0x6d6f_6e69_746f_7231;

/// The first `count` members for the key, best first. The order of `members` doesn't matter.
#[must_use]
pub fn rendezvous<'a, Name: AsRef<str>>(key: &[u8], members: &'a [Name], count: usize) -> Vec<&'a Name> {
    ranking(hash(key), members.iter(), count)
}

/// The peers that monitor `of`: `count` of the members, or all where there are fewer.
#[must_use]
pub fn monitors<'a, Name: AsRef<str>>(of: &str, members: &'a [Name], count: usize) -> Vec<&'a Name> {
    let peers = members.iter().filter(|peer| peer.as_ref() != of);
    ranking(hash(of.as_bytes()) ^ MONITOR_KEY, peers, count)
}

/// The peers that `monitor` monitors: those that have it among their [`monitors`].
#[must_use]
pub fn monitored_by<'a, Name: AsRef<str>>(monitor: &str, members: &'a [Name], count: usize) -> Vec<&'a Name> {
    let peers = members.iter().filter(|peer| peer.as_ref() != monitor);
    peers.filter(|peer| is_monitor(monitor, peer.as_ref(), members, count)).collect()
}

/// Whether fewer than `count` members stand before `monitor` in the ranking for `of`.
fn is_monitor<Name: AsRef<str>>(monitor: &str, of: &str, members: &[Name], count: usize) -> bool {
    let key = hash(of.as_bytes()) ^ MONITOR_KEY;
    let own = rank(key, monitor);
    let peers = members.iter().map(AsRef::as_ref).filter(|peer| *peer != of && *peer != monitor);
    peers.filter(|peer| rank(key, peer) < own).take(count).count() < count
}

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

/// Lower is better; names break ties.
fn rank(key: u64, member: &str) -> (Reverse<u64>, &str) {
    (Reverse(score(key, hash(member.as_bytes()))), member)
}
