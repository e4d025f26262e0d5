//! What a store writes to its journal.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::log::Entry;
use super::term::OwnershipTerm;
use crate::JobId;

/// A change of a [`Replicas`](super::Replicas) that must be durable before the reply that reports it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Terms of epochs below this one are rejected.
    Epoch(u64),
    /// A promise to the claimant of a batch job.
    Promise {
        /// The batch job.
        job: JobId,
        /// Lower terms are rejected.
        term: OwnershipTerm,
    },
    /// The log is truncated to `start` entries and extended.
    Append {
        /// The batch job.
        job: JobId,
        /// The term promised and accepted by this write.
        term: OwnershipTerm,
        /// Number of entries that stay.
        start: usize,
        /// The entries that follow them.
        entries: Vec<Arc<Entry>>,
    },
    /// Everything that the store keeps of a batch job.
    Snapshot {
        /// The batch job.
        job: JobId,
        /// Lower terms are rejected.
        promised: OwnershipTerm,
        /// The term under which the log was last written.
        accepted: OwnershipTerm,
        /// The complete log.
        entries: Vec<Arc<Entry>>,
    },
    /// The batch job is deleted.
    Delete {
        /// The batch job.
        job: JobId,
    },
}

impl Record {
    /// The batch job that the record is about; `None` if it is about all of them.
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
