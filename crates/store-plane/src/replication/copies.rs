//! Which stores keep a batch job.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use membership::rendezvous_score;
use state::{StoreMember, StoreSet};

/// Orders the copies of all batch jobs alike, so that batch jobs that share copies share an owner.
const OWNER_KEY: &str = "owner";

/// The stores that keep a batch job, chosen by rendezvous hashing with zones spread.
///
/// They stand in the order in which they are asked and may own it. The order is the same for all batch jobs: one
/// owner of many batch jobs knows the load of their servers by its own sends, and keeps its connections in use.
/// With more stores than copies the first store of all owns the part of the batch jobs that it keeps.
#[must_use]
pub fn copies_of<'a>(set: &'a StoreSet, job: &str) -> Vec<&'a StoreMember> {
    let mut candidates: Vec<&StoreMember> = set.members.iter().collect();
    candidates.sort_by_cached_key(|store| Reverse(rendezvous_score(&store.member.station, job)));
    let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut copies = Vec::with_capacity(set.copies);
    while copies.len() < set.copies && !candidates.is_empty() {
        let used = |store: &StoreMember| in_zone.get(store.zone.as_str()).copied().unwrap_or(0);
        let least = candidates.iter().map(|store| used(store)).min().unwrap_or(0);
        let next = candidates.iter().position(|store| used(store) == least).unwrap_or(0);
        let store = candidates.remove(next);
        *in_zone.entry(&store.zone).or_default() += 1;
        copies.push(store);
    }
    copies.sort_by_cached_key(|store| Reverse(rendezvous_score(&store.member.station, OWNER_KEY)));
    copies
}
