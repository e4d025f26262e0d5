//! Queries on the entries of a batch job's log.

use std::sync::Arc;

use batch::{Entry, ItemResult, Job, SubmittedJob};

/// The results among `entries`, in the order in which they were appended.
pub(super) fn results(entries: &[Arc<Entry>]) -> impl Iterator<Item = &ItemResult> {
    entries.iter().filter_map(|entry| match &**entry {
        Entry::Result(result) => Some(result),
        Entry::Job(_) | Entry::End => None,
    })
}

/// The batch job as it was submitted, which is the first entry of its log.
pub(super) fn submitted_job(entries: &[Arc<Entry>]) -> Option<&SubmittedJob> {
    match &**entries.first()? {
        Entry::Job(submitted) => Some(submitted),
        Entry::Result(_) | Entry::End => None,
    }
}

/// Whether the trainer ended the batch job.
pub(super) fn is_ended(entries: &[Arc<Entry>]) -> bool {
    entries.last().is_some_and(|entry| matches!(**entry, Entry::End))
}

/// Whether `entries` make `wanted` superfluous: an item has one result, and a batch job is submitted and ended once.
pub(super) fn contains(entries: &[Arc<Entry>], entry: &Entry) -> bool {
    match entry {
        Entry::Result(result) => results(entries).any(|other| other.id == result.id),
        Entry::End => is_ended(entries),
        Entry::Job(_) => !entries.is_empty(),
    }
}

/// Whether an entry may stand in the log of `job`: a result must be of one of its items.
pub(super) fn belongs_to(job: &Job, entry: &Entry) -> bool {
    match entry {
        Entry::Result(result) => job.items.iter().any(|item| item.id == result.id),
        Entry::Job(_) | Entry::End => true,
    }
}
