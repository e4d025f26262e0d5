//! Entries and ends of the log of a batch job.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log_entry::LogEntry;
use super::term::OwnershipTerm;
use crate::ItemResult;

/// Maximum size of the entries in one message between stores, in bytes. A single larger entry makes a message
/// by itself.
pub(super) const MAX_MESSAGE_ENTRY_BYTES: usize = 1024 * 1024;
/// Maximum size of the entries in the reply to a claim, in bytes. Stores claim many batch jobs at the same time, and
/// larger logs are fetched one after the other.
pub(super) const MAX_PROMISE_ENTRY_BYTES: usize = 64 * 1024;
/// Size of an entry in bytes without its body or result: host and path, versions, and the lengths of all fields.
pub(super) const ENTRY_OVERHEAD_BYTES: usize = 64;

/// A batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubmittedJob {
    /// The `Host` header of the submission.
    pub host: Arc<str>,
    /// The path of the submission.
    pub path: Arc<str>,
    /// The body as it was received: the JSON of a [`Job`](crate::Job).
    pub body: Bytes,
    /// Number of items in the job.
    pub total: u32,
}

/// One entry of the log of a batch job. The first entry of each log is [`Entry::Job`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// The batch job as it was submitted.
    Job(SubmittedJob),
    /// The result of an item. Trainers read the results in the order of the log.
    Result(ItemResult),
    /// Marks that the trainer ended the batch job.
    End,
}

impl Entry {
    /// Returns about how many bytes the entry takes in a message or on a disk; never much less than it does.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let content = match self {
            Self::Job(submitted) => submitted.body.len(),
            Self::Result(result) => {
                result.id.len() + result.text.len() + result.grade.as_ref().map_or(0, String::len)
            }
            Self::End => 0,
        };
        content + ENTRY_OVERHEAD_BYTES
    }
}

/// Returns the size of all `entries` in bytes, see [`Entry::size_bytes`].
pub(super) fn size_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(LogEntry::size_bytes).sum()
}

/// Returns the first entries, as many as one message may contain: at most [`MAX_MESSAGE_ENTRY_BYTES`], or one
/// entry if it is larger.
pub(super) fn message_prefix(entries: &[LogEntry]) -> &[LogEntry] {
    let mut bytes = 0;
    let exceeds_limit = |entry: &LogEntry| {
        bytes += entry.size_bytes();
        bytes > MAX_MESSAGE_ENTRY_BYTES
    };
    let count = entries.iter().position(exceeds_limit).unwrap_or(entries.len());
    &entries[..count.max(1).min(entries.len())]
}

/// The end of a log. The greater of two log ends belongs to the more advanced log: the one with the higher
/// term, or with equal terms the longer one. The derived order relies on the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LogEnd {
    /// The term under which the log was last written.
    pub accepted: OwnershipTerm,
    /// Number of entries of the log.
    pub length: usize,
}
