//! The stores that replicate a batch job, and majorities of them.

use super::term::StoreId;

/// The stores that replicate one batch job.
///
/// While the store set changes, a claim needs promises from majorities of both the current and the previous
/// set. An entry is committed once a majority of the current set has accepted it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// Replicas under the current store set.
    pub current: Vec<StoreId>,
    /// Replicas under the previous store set; empty unless a change of the store set is in progress.
    pub previous: Vec<StoreId>,
}

impl ReplicaSet {
    /// Iterates over the stores of both sets, current ones first. A store that is in both sets is returned
    /// twice.
    pub(super) fn iter(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.current.iter().chain(&self.previous).copied()
    }

    pub(super) fn is_current(&self, store: StoreId) -> bool {
        self.current.contains(&store)
    }

    /// Whether `holds` is true for a majority of the current set.
    pub(super) fn current_majority(&self, holds: impl Fn(StoreId) -> bool) -> bool {
        is_majority(&self.current, holds)
    }

    /// Whether `holds` is true for a majority of the current set and, during a change, also of the previous
    /// set.
    pub(super) fn joint_majority(&self, holds: impl Fn(StoreId) -> bool) -> bool {
        let previous = self.previous.is_empty() || is_majority(&self.previous, &holds);
        previous && is_majority(&self.current, &holds)
    }

    /// Returns the greatest length that the logs of a majority of the current set reach. `length_at` returns
    /// the length of a store's log.
    pub(super) fn majority_length(&self, length_at: impl Fn(StoreId) -> usize) -> usize {
        let mut lengths: Vec<usize> = self.current.iter().map(|&store| length_at(store)).collect();
        lengths.sort_unstable_by_key(|&length| std::cmp::Reverse(length));
        let majority_index = lengths.len() / 2;
        lengths.get(majority_index).copied().unwrap_or(0)
    }
}

fn is_majority(stores: &[StoreId], holds: impl Fn(StoreId) -> bool) -> bool {
    stores.iter().filter(|&&store| holds(store)).count() > stores.len() / 2
}
