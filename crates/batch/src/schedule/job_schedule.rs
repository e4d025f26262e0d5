//! The schedule of one batch job: the phase of each item, and the item to start next.

use std::time::Duration;

use super::groups::{group_items, Group, GroupIndex};
use super::{ItemIndex, ItemPhase};
use crate::JobOutline;

/// Trainers put groups that they carry over from an earlier batch job first. At most the number of required
/// groups divided by this may be carried over.
const CARRIED_OVER_DIVISOR: usize = 2;

/// The item of a batch job that is to be started next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemCandidate {
    /// Index of the item in its batch job.
    pub index: ItemIndex,
    /// Whether the trainer waits for the group of the item. If not, the item may use idle capacity only.
    pub needed: bool,
}

/// Schedule of the items of one batch job: their phases, and the selection of the next item to start.
#[derive(Debug)]
pub struct JobSchedule {
    groups: Vec<Group>,
    /// Index in `groups` of the group that each item belongs to, by item index.
    group_of_item: Vec<GroupIndex>,
    /// Phase of each item, by item index.
    phases: Vec<ItemPhase>,
    /// Number of complete groups that the trainer requires; at most the number of groups.
    required_groups: usize,
    /// Number of groups whose results are all recorded.
    complete_groups: usize,
    /// Number of items in the phase [`ItemPhase::Streaming`].
    streaming: usize,
    /// Number of items in the phase [`ItemPhase::Recorded`].
    recorded: usize,
}

/// The groups that are not complete, in the order in which they are started.
struct GroupRanking {
    groups: Vec<GroupIndex>,
    /// Number of groups at the front of `groups` that the trainer waits for.
    needed: usize,
}

impl JobSchedule {
    /// Creates the schedule of a batch job of which no item was started.
    #[must_use]
    pub fn new(job: &JobOutline) -> Self {
        let (groups, group_of_item) = group_items(job);
        let required_groups = job.required_groups.map_or(groups.len(), |required| required as usize);
        Self {
            required_groups: required_groups.min(groups.len()),
            groups,
            group_of_item,
            phases: vec![ItemPhase::Pending(Duration::ZERO); job.items.len()],
            complete_groups: 0,
            streaming: 0,
            recorded: 0,
        }
    }

    /// Returns the phase of an item.
    #[must_use]
    pub fn phase(&self, index: ItemIndex) -> ItemPhase {
        self.phases[index]
    }

    /// Sets the phase of an item. An item in the phase [`ItemPhase::Recorded`] keeps it.
    pub fn set_phase(&mut self, index: ItemIndex, phase: ItemPhase) {
        let before = self.phases[index];
        if before == ItemPhase::Recorded {
            return;
        }
        self.phases[index] = phase;
        self.streaming -= usize::from(before == ItemPhase::Streaming);
        self.streaming += usize::from(phase == ItemPhase::Streaming);
        let group = &mut self.groups[self.group_of_item[index]];
        group.on_phase_change(before, phase);
        if phase == ItemPhase::Recorded {
            self.recorded += 1;
            self.complete_groups += usize::from(group.is_complete());
        }
    }

    /// Returns the number of items whose text a server is generating.
    #[must_use]
    pub fn streaming(&self) -> usize {
        self.streaming
    }

    /// Returns the number of groups whose results are all recorded.
    #[must_use]
    pub fn complete_groups(&self) -> usize {
        self.complete_groups
    }

    /// Whether the results of all items are recorded.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.recorded == self.phases.len()
    }

    /// Returns the item to start next at `now`; `None` if no item may start.
    #[must_use]
    pub fn next_item(&self, now: Duration) -> Option<ItemCandidate> {
        let ranking = self.rank_groups();
        ranking.groups.iter().enumerate().find_map(|(rank, &group)| {
            let index = self.groups[group].next_item(&self.phases, now)?;
            Some(ItemCandidate { index, needed: rank < ranking.needed })
        })
    }

    /// Returns the number of items that the trainer waits for and whose text is not complete.
    #[must_use]
    pub fn needed_remaining(&self) -> usize {
        let ranking = self.rank_groups();
        let needed = ranking.groups.iter().take(ranking.needed);
        needed.map(|&group| self.groups[group].ungenerated_items()).sum()
    }

    /// Returns the earliest time after `now` at which a pending item may start; `None` if no item waits for
    /// its retry.
    #[must_use]
    pub fn next_retry(&self, now: Duration) -> Option<Duration> {
        let start_after_now = |phase: &ItemPhase| match *phase {
            ItemPhase::Pending(not_before) if not_before > now => Some(not_before),
            _ => None,
        };
        self.phases.iter().filter_map(start_after_now).min()
    }

    /// Ranks the groups that are not complete. Groups that may be carried over from an earlier batch job come
    /// first, and the trainer waits for them even if enough other groups are complete.
    fn rank_groups(&self) -> GroupRanking {
        let max_carried_over = self.required_groups / CARRIED_OVER_DIVISOR;
        let is_open = |group: &GroupIndex| !self.groups[*group].is_complete();
        let mut groups: Vec<GroupIndex> = (0..max_carried_over).filter(is_open).collect();
        let carried_over = groups.len();
        groups.extend((max_carried_over..self.groups.len()).filter(is_open));
        groups[carried_over..].sort_by_key(|&group| self.group_rank(group));
        let needed = self.required_groups.saturating_sub(self.complete_groups).max(carried_over);
        GroupRanking { groups, needed }
    }

    /// Returns the sort key of a group: started groups come first, by ascending number of items whose text is
    /// not complete; then the other groups in the order of the job.
    fn group_rank(&self, index: GroupIndex) -> (bool, usize, GroupIndex) {
        let group = &self.groups[index];
        let is_started = group.is_started(&self.phases);
        (!is_started, if is_started { group.ungenerated_items() } else { 0 }, index)
    }
}
