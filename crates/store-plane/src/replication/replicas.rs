//! Which stores keep a batch job.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use membership::rendezvous_score;
use state::{StoreMember, StoreSet};

/// Batch jobs are dealt to one group of copies for each so many stores. The members of a group share all that it keeps,
/// and its first store runs all of its items, so that a group must not become too large for one machine.
const STORES_PER_GROUP: usize = 16;

/// The stores that keep a batch job: those of its group, chosen by rendezvous hashing with zones spread.
///
/// They stand in the order in which they are asked and may own it. All batch jobs of a group share its order, and thus
/// their owner: one owner of many batch jobs knows the load of their servers by its own sends, can let the urgent ones go
/// first, and keeps its connections in use.
#[must_use]
pub fn replicas_of<'a>(set: &'a StoreSet, job: &str) -> Vec<&'a StoreMember> {
    let group = group_of(set, job);
    let mut candidates: Vec<&StoreMember> = set.members.iter().collect();
    candidates.sort_by_cached_key(|store| Reverse(rendezvous_score(&store.member.name, &group)));
    let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut copies = Vec::with_capacity(set.replication_factor);
    while copies.len() < set.replication_factor && !candidates.is_empty() {
        let used = |store: &StoreMember| in_zone.get(store.zone.as_str()).copied().unwrap_or(0);
        let least = candidates.iter().map(|store| used(store)).min().unwrap_or(0);
        let next = candidates.iter().position(|store| used(store) == least).unwrap_or(0);
        let store = candidates.remove(next);
        *in_zone.entry(&store.zone).or_default() += 1;
        copies.push(store);
    }
    copies
}

/// The name of the group of a batch job. The number of groups follows the number of stores that there should be, which
/// stays while machines come and go.
fn group_of(set: &StoreSet, job: &str) -> String {
    let groups = set.target_size.div_ceil(STORES_PER_GROUP).max(1);
    let best = (0..groups).max_by_key(|group| rendezvous_score(&format!("group-{group}"), job));
    format!("owner-{}", best.unwrap_or(0))
}
