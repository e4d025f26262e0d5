//! Placement: determines which stores keep a batch job.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use batch::StoreId;
use membership::rendezvous_score;
use state::{ControlState, StoreMember, StoreSet};

/// Number of stores of the target size for each replica group. A replica group is a list of replicas that
/// many batch jobs share. Its first store runs the items of all of these batch jobs, so their load must not
/// become too large for one machine.
const STORES_PER_GROUP: usize = 16;

/// Returns the stores that keep a batch job: the members of its replica group, which are selected by
/// rendezvous hashing and spread over zones.
///
/// The stores are in the order in which they are called and take the batch job over. All batch jobs of a
/// group have the same order and thus the same owner. An owner of many batch jobs sees the load of their
/// servers from its own requests, can start the most urgent items first, and reuses its connections.
#[must_use]
pub fn replicas_of<'a>(set: &'a StoreSet, job: &str) -> Vec<&'a StoreMember> {
    let group = group_of(set, job);
    let mut candidates: Vec<&StoreMember> = set.members.iter().collect();
    candidates.sort_by_cached_key(|store| Reverse(rendezvous_score(&store.member.name, &group)));
    let mut replicas_in_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut replicas = Vec::with_capacity(set.replication_factor);
    while replicas.len() < set.replication_factor && !candidates.is_empty() {
        let used = |store: &StoreMember| replicas_in_zone.get(store.zone.as_str()).copied().unwrap_or(0);
        let least_used = candidates.iter().map(|store| used(store)).min().unwrap_or(0);
        let next = candidates.iter().position(|store| used(store) == least_used).unwrap_or(0);
        let store = candidates.remove(next);
        *replicas_in_zone.entry(&store.zone).or_default() += 1;
        replicas.push(store);
    }
    replicas
}

/// Returns the ids of the stores of [`replicas_of`], in the same order.
pub(super) fn replica_ids(set: &StoreSet, job: &str) -> Vec<StoreId> {
    replicas_of(set, job).iter().map(|store| store.member.incarnation.0).collect()
}

/// Returns the present store set, and the previous one while batch jobs are migrated from it.
pub(super) fn store_sets(control: &ControlState) -> impl Iterator<Item = &StoreSet> {
    [Some(&control.stores), control.previous_stores.as_ref()].into_iter().flatten()
}

/// Returns the name of the replica group of a batch job. The number of groups depends on the target number of
/// stores, which does not change when machines fail or are replaced.
fn group_of(set: &StoreSet, job: &str) -> String {
    let groups = set.target_size.div_ceil(STORES_PER_GROUP).max(1);
    let best = (0..groups).max_by_key(|group| rendezvous_score(&format!("group-{group}"), job));
    format!("owner-{}", best.unwrap_or(0))
}
