//! Order in which the items of batch jobs are run.
//!
//! [`JobOrder`] keeps account of one batch job and names its next item; [`Precedence`] compares the next items of
//! several batch jobs. Times are spans since an origin that the caller chooses; nothing here does I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Job;

/// Results that are read within this time after the due time still earn their full worth.
const DUE_TOLERANCE: Duration = Duration::from_millis(700);
/// At most one in this many of the wanted groups may be carried over from an earlier batch job.
const CARRIED_SHARE: usize = 2;

/// Where an item stands in the list of items of its batch job.
pub type ItemIndex = usize;

/// How far an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It is to be started, but not before this time.
    Waiting(Duration),
    /// A server makes its text.
    Streaming,
    /// Its text is whole and waits for its grade.
    Grading,
    /// Its result is listed, or on its way into the log.
    Listed,
}

/// The item that a batch job would start next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemCandidate {
    /// The item.
    pub index: ItemIndex,
    /// Whether the trainer waits for its group; otherwise it is worth idle capacity only.
    pub needed: bool,
}

/// Items that share a group.
#[derive(Debug)]
struct Group {
    /// Longest first, so that the group does not wait for a long item that began late.
    items: Vec<ItemIndex>,
    /// Items that are not listed.
    missing: usize,
    /// Items whose text is not whole.
    unfinished: usize,
}

impl Group {
    fn is_whole(&self) -> bool {
        self.missing == 0
    }

    fn is_begun(&self, phases: &[ItemPhase]) -> bool {
        self.items.iter().any(|&item| !matches!(phases[item], ItemPhase::Waiting(_)))
    }

    fn next_item(&self, phases: &[ItemPhase], now: Duration) -> Option<ItemIndex> {
        let ready = |item: &ItemIndex| matches!(phases[*item], ItemPhase::Waiting(from) if from <= now);
        self.items.iter().copied().find(ready)
    }
}

/// Account of the items of one batch job.
#[derive(Debug)]
pub struct JobOrder {
    groups: Vec<Group>,
    group_of: Vec<usize>,
    phases: Vec<ItemPhase>,
    wanted: usize,
    whole: usize,
    streaming: usize,
    listed: usize,
}

impl JobOrder {
    /// The account of a batch job of which nothing has run.
    #[must_use]
    pub fn new(job: &Job) -> Self {
        let (groups, group_of) = group_items(job);
        let wanted = job.wanted.map_or(groups.len(), |wanted| wanted as usize);
        Self {
            wanted: wanted.min(groups.len()),
            groups,
            group_of,
            phases: vec![ItemPhase::Waiting(Duration::ZERO); job.items.len()],
            whole: 0,
            streaming: 0,
            listed: 0,
        }
    }

    /// How far an item is.
    #[must_use]
    pub fn phase(&self, index: ItemIndex) -> ItemPhase {
        self.phases[index]
    }

    /// Notes how far an item is. A listed item stays listed.
    pub fn set_phase(&mut self, index: ItemIndex, phase: ItemPhase) {
        let before = self.phases[index];
        if before == ItemPhase::Listed {
            return;
        }
        self.phases[index] = phase;
        self.streaming -= usize::from(before == ItemPhase::Streaming);
        self.streaming += usize::from(phase == ItemPhase::Streaming);
        self.account_group(index, before, phase);
    }

    fn account_group(&mut self, index: ItemIndex, before: ItemPhase, after: ItemPhase) {
        let group = &mut self.groups[self.group_of[index]];
        group.unfinished += usize::from(has_whole_text(before));
        group.unfinished -= usize::from(has_whole_text(after));
        if after == ItemPhase::Listed {
            self.listed += 1;
            group.missing -= 1;
            self.whole += usize::from(group.is_whole());
        }
    }

    /// Items whose text a server makes now.
    #[must_use]
    pub fn streaming(&self) -> usize {
        self.streaming
    }

    /// Whole groups.
    #[must_use]
    pub fn complete_groups(&self) -> usize {
        self.whole
    }

    /// Whether all items are listed.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.listed == self.phases.len()
    }

    /// The item to start next at `now`, if any may start.
    #[must_use]
    pub fn next(&self, now: Duration) -> Option<ItemCandidate> {
        let (ranked, needed) = self.ranked_groups();
        ranked.iter().enumerate().find_map(|(rank, &group)| {
            let index = self.groups[group].next_item(&self.phases, now)?;
            Some(ItemCandidate { index, needed: rank < needed })
        })
    }

    /// Items that the trainer waits for and whose text is not whole.
    #[must_use]
    pub fn needed_left(&self) -> usize {
        let (ranked, needed) = self.ranked_groups();
        ranked.iter().take(needed).map(|&group| self.groups[group].unfinished).sum()
    }

    /// The next time after `now` at which a waiting item may start.
    #[must_use]
    pub fn next_retry(&self, now: Duration) -> Option<Duration> {
        let later = |phase: &ItemPhase| match *phase {
            ItemPhase::Waiting(from) if from > now => Some(from),
            _ => None,
        };
        self.phases.iter().filter_map(later).min()
    }

    /// Groups that are not whole in the order in which they are run, and how many of them the trainer waits for.
    fn ranked_groups(&self) -> (Vec<usize>, usize) {
        let carried_most = self.wanted / CARRIED_SHARE;
        let open = |group: &usize| !self.groups[*group].is_whole();
        let mut ranked: Vec<usize> = (0..carried_most).filter(open).collect();
        let carried = ranked.len();
        ranked.extend((carried_most..self.groups.len()).filter(open));
        ranked[carried..].sort_by_key(|&group| self.group_rank(group));
        let needed = self.wanted.saturating_sub(self.whole).max(carried);
        (ranked, needed)
    }

    /// Groups that are begun come first, those nearest to being whole before others, then in the order of the job.
    fn group_rank(&self, index: usize) -> (bool, usize, usize) {
        let group = &self.groups[index];
        let begun = group.is_begun(&self.phases);
        (!begun, if begun { group.unfinished } else { 0 }, index)
    }
}

fn has_whole_text(phase: ItemPhase) -> bool {
    matches!(phase, ItemPhase::Grading | ItemPhase::Listed)
}

/// Groups in the order of their first items, and the group of each item. An item without group is one by itself.
fn group_items(job: &Job) -> (Vec<Group>, Vec<usize>) {
    let mut by_name: HashMap<Arc<str>, usize> = HashMap::new();
    let mut groups: Vec<Group> = Vec::new();
    let mut group_of = Vec::with_capacity(job.items.len());
    for (index, item) in job.items.iter().enumerate() {
        let fresh = groups.len();
        let group = match &item.group {
            Some(name) => *by_name.entry(Arc::clone(name)).or_insert(fresh),
            None => fresh,
        };
        if group == fresh {
            groups.push(Group { items: Vec::new(), missing: 0, unfinished: 0 });
        }
        groups[group].items.push(index);
        groups[group].missing += 1;
        groups[group].unfinished += 1;
        group_of.push(group);
    }
    for group in &mut groups {
        group.items.sort_by_key(|&item| std::cmp::Reverse(job.items[item].tokens));
    }
    (groups, group_of)
}

/// What a start is worth; the smaller class goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The trainer waits for it and it can still be in time.
    InTime,
    /// The trainer waits for it, but its due time is over.
    Late,
    /// Nobody waits for it.
    Surplus,
}

/// What the rest of a batch job takes, as far as is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// When it is due.
    pub due: Duration,
    /// Items that the trainer waits for and whose text is not whole.
    pub needed_left: usize,
    /// Items that stream already.
    pub streaming: usize,
    /// When an item that starts now is presumably finished.
    pub item_finished: Duration,
    /// When the last of the needed items is presumably finished, if nothing else is run.
    pub all_finished: Duration,
}

/// Orders the next items of several batch jobs; the smallest starts first.
///
/// Among batch jobs that have time enough, the one with the least left goes first: trainers go on soonest so. One
/// that may come too late goes before these, the earliest due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// What the start is worth.
    pub urgency: Urgency,
    /// Whether the batch job has time enough.
    pub has_time: bool,
    /// Needed items left, where there is time enough.
    pub left: usize,
    /// When the batch job is due.
    pub due: Duration,
    /// Of two that are alike so far, the one with fewer streaming items goes first.
    pub streaming: usize,
}

impl Precedence {
    /// The precedence of the next item of a batch job with this outlook.
    #[must_use]
    pub fn new(candidate: ItemCandidate, outlook: Outlook) -> Self {
        let urgency = match candidate.needed {
            false => Urgency::Surplus,
            true if outlook.item_finished <= outlook.due + DUE_TOLERANCE => Urgency::InTime,
            true => Urgency::Late,
        };
        let has_time = urgency == Urgency::InTime && outlook.all_finished <= outlook.due;
        let left = if has_time { outlook.needed_left } else { 0 };
        Self { urgency, has_time, left, due: outlook.due, streaming: outlook.streaming }
    }
}
