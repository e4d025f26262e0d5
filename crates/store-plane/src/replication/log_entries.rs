//! Queries on the entries of a batch job's log.

use std::sync::Arc;

use batch::{Entry, ItemResult, Job, SubmittedJob};

/// Returns the results among `entries`, in the order in which they were appended.
pub(super) fn results(entries: &[Arc<Entry>]) -> impl Iterator<Item = &ItemResult> {
    entries.iter().filter_map(|entry| match &**entry {
        Entry::Result(result) => Some(result),
        Entry::Job(_) | Entry::End => None,
    })
}

/// Returns the batch job as it was submitted, which is the first entry of its log; `None` if the log is
/// empty.
pub(super) fn submitted_job(entries: &[Arc<Entry>]) -> Option<&SubmittedJob> {
    match &**entries.first()? {
        Entry::Job(submitted) => Some(submitted),
        Entry::Result(_) | Entry::End => None,
    }
}

/// Returns whether the trainer has ended the batch job: the end is the last entry of a log.
pub(super) fn is_ended(entries: &[Arc<Entry>]) -> bool {
    entries.last().is_some_and(|entry| matches!(**entry, Entry::End))
}

/// Returns whether `entries` make the addition of `entry` redundant: a log has one result for each item, one
/// submission and one end.
pub(super) fn contains(entries: &[Arc<Entry>], entry: &Entry) -> bool {
    match entry {
        Entry::Result(result) => results(entries).any(|other| other.id == result.id),
        Entry::End => is_ended(entries),
        Entry::Job(_) => !entries.is_empty(),
    }
}

/// Returns whether the log of `job` may contain an entry: a result must belong to one of the job's items.
pub(super) fn belongs_to(job: &Job, entry: &Entry) -> bool {
    match entry {
        Entry::Result(result) => job.items.iter().any(|item| item.id == result.id),
        Entry::Job(_) | Entry::End => true,
    }
}
