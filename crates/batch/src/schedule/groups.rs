//! Groups of a batch job. The items of a group share a prompt, and the trainer uses all of them or none.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ItemIndex, ItemPhase};
use crate::JobOutline;

/// Index of a group. Groups are numbered in the order in which their first items occur in the batch job.
pub(super) type GroupIndex = usize;

/// The items of one group, and counts of those that are not finished.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Items by descending number of tokens, so that the group does not wait for a long item that was started
    /// late.
    items: Vec<ItemIndex>,
    /// Number of items whose result is not recorded.
    unrecorded_items: usize,
    /// Number of items whose text is not complete.
    ungenerated_items: usize,
}

impl Group {
    fn add(&mut self, item: ItemIndex) {
        self.items.push(item);
        self.unrecorded_items += 1;
        self.ungenerated_items += 1;
    }

    /// Whether the results of all items of the group are recorded.
    pub fn is_complete(&self) -> bool {
        self.unrecorded_items == 0
    }

    /// Returns the number of items whose text is not complete.
    pub fn ungenerated_items(&self) -> usize {
        self.ungenerated_items
    }

    /// Updates the counts after the phase of one item of the group changed from `before` to `after`.
    pub fn on_phase_change(&mut self, before: ItemPhase, after: ItemPhase) {
        self.ungenerated_items += usize::from(before.is_generated());
        self.ungenerated_items -= usize::from(after.is_generated());
        self.unrecorded_items -= usize::from(after == ItemPhase::Recorded);
    }

    /// Whether at least one item of the group is in another phase than [`ItemPhase::Pending`].
    pub fn is_started(&self, phases: &[ItemPhase]) -> bool {
        self.items.iter().any(|&item| !matches!(phases[item], ItemPhase::Pending(_)))
    }

    /// Returns the pending item with the most tokens among those that may start at `now`.
    pub fn next_item(&self, phases: &[ItemPhase], now: Duration) -> Option<ItemIndex> {
        let may_start =
            |item: &ItemIndex| matches!(phases[*item], ItemPhase::Pending(not_before) if not_before <= now);
        self.items.iter().copied().find(may_start)
    }
}

/// Returns the groups of a job, and the group of each item. An item without a group name forms a group by
/// itself.
pub(super) fn group_items(job: &JobOutline) -> (Vec<Group>, Vec<GroupIndex>) {
    let mut by_name: HashMap<Arc<str>, GroupIndex> = HashMap::new();
    let mut groups: Vec<Group> = Vec::new();
    let mut group_of_item = Vec::with_capacity(job.items.len());
    for (index, item) in job.items.iter().enumerate() {
        let new_group = groups.len();
        let group = match &item.group {
            Some(name) => *by_name.entry(Arc::clone(name)).or_insert(new_group),
            None => new_group,
        };
        if group == new_group {
            groups.push(Group::default());
        }
        groups[group].add(index);
        group_of_item.push(group);
    }
    for group in &mut groups {
        group.items.sort_by_key(|&item| Reverse(job.items[item].tokens));
    }
    (groups, group_of_item)
}
