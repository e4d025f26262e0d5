//! The groups of a batch job: items that share a prompt, which the trainer uses together or not at all.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ItemIndex, ItemPhase};
use crate::Job;

/// Index of a group in the order of the first items of the groups.
pub(super) type GroupIndex = usize;

/// Items that share a group.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Longest first, so that the group does not wait for a long item that was started late.
    items: Vec<ItemIndex>,
    /// Number of items whose result is not recorded.
    unrecorded: usize,
    /// Number of items whose output is not complete.
    ungenerated_items: usize,
}

impl Group {
    fn add(&mut self, item: ItemIndex) {
        self.items.push(item);
        self.unrecorded += 1;
        self.ungenerated_items += 1;
    }

    /// Whether all its results are recorded.
    pub fn is_complete(&self) -> bool {
        self.unrecorded == 0
    }

    /// Number of items whose output is not complete.
    pub fn ungenerated_items(&self) -> usize {
        self.ungenerated_items
    }

    /// Updates the counts after an item of the group went from one phase to another.
    pub fn on_phase_change(&mut self, before: ItemPhase, after: ItemPhase) {
        self.ungenerated_items += usize::from(before.is_generated());
        self.ungenerated_items -= usize::from(after.is_generated());
        self.unrecorded -= usize::from(after == ItemPhase::Recorded);
    }

    pub fn is_started(&self, phases: &[ItemPhase]) -> bool {
        self.items.iter().any(|&item| !matches!(phases[item], ItemPhase::Pending(_)))
    }

    /// The longest item that may start at `now`.
    pub fn next_item(&self, phases: &[ItemPhase], now: Duration) -> Option<ItemIndex> {
        let may_start =
            |item: &ItemIndex| matches!(phases[*item], ItemPhase::Pending(not_before) if not_before <= now);
        self.items.iter().copied().find(may_start)
    }
}

/// The groups of a job, and the group of each item. An item without a group is a group of its own.
pub(super) fn group_items(job: &Job) -> (Vec<Group>, Vec<GroupIndex>) {
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
