//! Records that a store writes to its journal.

use serde::{Deserialize, Serialize};

use super::log::size_bytes;
use super::log_entry::LogEntry;
use super::term::OwnershipTerm;
use crate::JobId;

/// A change of [`Replicas`](super::Replicas), which must be durable before a reply that depends on it is
/// sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Terms of epochs below this one are rejected, for every batch job.
    Epoch(u64),
    /// A promise to the claimant of a batch job.
    Promise {
        /// Identity of the batch job.
        job: JobId,
        /// The promised term; lower terms are rejected.
        term: OwnershipTerm,
    },
    /// The log of a batch job is truncated to `start` entries and extended by `entries`.
    Append {
        /// Identity of the batch job.
        job: JobId,
        /// The term of the owner, which the store promises and accepts by this record.
        term: OwnershipTerm,
        /// Number of entries that the log keeps.
        start: usize,
        /// The entries that follow the kept ones.
        entries: Vec<LogEntry>,
    },
    /// The complete state of a batch job; replaces all earlier records about it.
    Snapshot {
        /// Identity of the batch job.
        job: JobId,
        /// The promised term; lower terms are rejected.
        promised: OwnershipTerm,
        /// The term under which the log was last written.
        accepted: OwnershipTerm,
        /// All entries of the log.
        entries: Vec<LogEntry>,
    },
    /// The batch job is deleted.
    Delete {
        /// Identity of the batch job.
        job: JobId,
    },
}

impl Record {
    /// Returns the size of its entries in bytes, see [`Entry::size_bytes`](super::log::Entry::size_bytes).
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        size_bytes(self.entries())
    }

    /// Returns the entries that the record contains.
    #[must_use]
    pub fn entries(&self) -> &[LogEntry] {
        match self {
            Self::Append { entries, .. } | Self::Snapshot { entries, .. } => entries,
            Self::Epoch(_) | Self::Promise { .. } | Self::Delete { .. } => &[],
        }
    }

    /// Returns the record with no entries.
    #[must_use]
    pub fn without_entries(&self) -> Self {
        match self {
            Self::Append { job, term, start, .. } => {
                Self::Append { job: job.clone(), term: *term, start: *start, entries: Vec::new() }
            }
            Self::Snapshot { job, promised, accepted, .. } => Self::Snapshot {
                job: job.clone(),
                promised: *promised,
                accepted: *accepted,
                entries: Vec::new(),
            },
            Self::Epoch(_) | Self::Promise { .. } | Self::Delete { .. } => self.clone(),
        }
    }

    /// Returns the batch job that the record changes; `None` if it applies to all batch jobs.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Epoch(_) => None,
            Self::Promise { job, .. }
            | Self::Append { job, .. }
            | Self::Snapshot { job, .. }
            | Self::Delete { job } => Some(job),
        }
    }
}
