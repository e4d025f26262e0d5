//! Which stores keep a batch job.

use std::cmp::Reverse;
use std::collections::HashMap;

use batch::rendezvous_score;
use state::{StoreMember, StoreSet};

/// The stores that keep a batch job, in the order in which they are asked: by rendezvous hashing, zones spread.
#[must_use]
pub fn copies_of<'a>(set: &'a StoreSet, job: &str) -> Vec<&'a StoreMember> {
    let mut candidates: Vec<&StoreMember> = set.members.iter().collect();
    candidates.sort_by_cached_key(|store| Reverse(rendezvous_score(&store.member.station, job)));
    let mut in_zone: HashMap<&str, usize> = HashMap::new();
    let mut copies = Vec::with_capacity(set.copies);
    while copies.len() < set.copies && !candidates.is_empty() {
        let used = |store: &StoreMember| in_zone.get(store.zone.as_str()).copied().unwrap_or(0);
        let least = candidates.iter().map(|store| used(store)).min().unwrap_or(0);
        let next = candidates.iter().position(|store| used(store) == least).unwrap_or(0);
        let store = candidates.remove(next);
        *in_zone.entry(&store.zone).or_default() += 1;
        copies.push(store);
    }
    copies
}
