//! Queries on the entries of a batch job's log, which need not be in memory.

use std::sync::Arc;

use batch::{EntryKind, ItemId, JobOutline, LogEntry};

/// Returns the results among `entries`, in the order in which they were appended, with the ids of their items.
pub(super) fn results(entries: &[LogEntry]) -> impl Iterator<Item = (&ItemId, &LogEntry)> {
    entries.iter().filter_map(|entry| match entry.kind() {
        EntryKind::Result { id } => Some((id, entry)),
        EntryKind::Job { .. } | EntryKind::End => None,
    })
}

/// Returns the ids of the items that have results among `entries`.
pub(super) fn items_with_results(entries: &[LogEntry]) -> Vec<ItemId> {
    results(entries).map(|(id, _)| Arc::clone(id)).collect()
}

/// Returns the number of items of the batch job that was submitted with the first entry of its log; `None` if
/// the log is empty.
pub(super) fn item_count(entries: &[LogEntry]) -> Option<u32> {
    match entries.first()?.kind() {
        EntryKind::Job { total } => Some(*total),
        EntryKind::Result { .. } | EntryKind::End => None,
    }
}

/// Returns whether each item of the batch job has a result among `entries`: a log has one result for each item,
/// behind the submission.
pub(super) fn has_all_results(entries: &[LogEntry]) -> bool {
    let results = entries.len() - usize::from(is_ended(entries));
    item_count(entries).is_some_and(|items| results > items as usize)
}

/// Returns whether the trainer has ended the batch job: the end is the last entry of a log.
pub(super) fn is_ended(entries: &[LogEntry]) -> bool {
    entries.last().is_some_and(|entry| *entry.kind() == EntryKind::End)
}

/// Returns whether `entries` make the addition of `entry` redundant: a log has one result for each item, one
/// submission and one end.
pub(super) fn contains(entries: &[LogEntry], entry: &LogEntry) -> bool {
    match entry.kind() {
        EntryKind::Result { id } => results(entries).any(|(other, _)| other == id),
        EntryKind::End => is_ended(entries),
        EntryKind::Job { .. } => !entries.is_empty(),
    }
}

/// Returns whether the log of `job` may contain an entry: a result must belong to one of the job's items.
pub(super) fn belongs_to(job: &JobOutline, entry: &LogEntry) -> bool {
    match entry.kind() {
        EntryKind::Result { id } => job.item(id).is_some(),
        EntryKind::Job { .. } | EntryKind::End => true,
    }
}
