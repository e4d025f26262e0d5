//! Requests of an owner to the replicas of its batch job, and the replies of the replicas.

use serde::{Deserialize, Serialize};

use super::log::size_bytes;
use super::log_entry::LogEntry;
use super::term::OwnershipTerm;

/// A request of an owner to a store about one batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Asks the store to reject lower terms from now on, and to return its log if it is more advanced than
    /// the claimant's.
    Prepare {
        /// The claimant's term.
        term: OwnershipTerm,
        /// The term under which the claimant's own log was last written.
        accepted: OwnershipTerm,
        /// Number of entries in the claimant's own log.
        length: usize,
    },
    /// Asks the store to truncate its log to `start` entries and to extend it by `entries`.
    ///
    /// The first append under a term completes everything up to the end of the log that the owner adopted:
    /// its entries follow those that were sent ahead by [`ReplicaRequest::Stage`]. An append fits if the
    /// store's log, followed by the staged entries, has at least `start` entries and was last written under
    /// `term` or `adopted`, or if `start` is 0.
    Append {
        /// The owner's term.
        term: OwnershipTerm,
        /// The term of the log that the owner adopted when it was elected.
        adopted: OwnershipTerm,
        /// Number of entries that precede `entries`.
        start: usize,
        /// The entries to write.
        entries: Vec<LogEntry>,
    },
    /// Asks the store for the state of its log. The store promises nothing.
    Query,
    /// Asks the store to delete the batch job, because other stores replicate it now or because it has ended.
    Delete {
        /// The owner's term.
        term: OwnershipTerm,
    },
    /// Asks the store to keep entries of the adopted log in memory until an [`ReplicaRequest::Append`] under
    /// the same term follows, since they are too large for one message. The store's log does not change, so
    /// that it never has only a part of an adopted log.
    Stage {
        /// The owner's term.
        term: OwnershipTerm,
        /// The term of the log that the owner adopted when it was elected.
        adopted: OwnershipTerm,
        /// Number of entries that precede `entries`, among them those staged before.
        start: usize,
        /// The entries to keep.
        entries: Vec<LogEntry>,
    },
    /// Asks the store, which has promised the claimant's term, for entries of its log that were too large for
    /// the [`ReplicaReply::Promised`].
    Fetch {
        /// The claimant's term.
        term: OwnershipTerm,
        /// The term under which the store's log was last written.
        accepted: OwnershipTerm,
        /// Index of the first entry to return.
        start: usize,
    },
}

impl ReplicaRequest {
    /// Returns the entries that the request contains, to replace them by equal ones.
    pub fn entries_mut(&mut self) -> Option<&mut Vec<LogEntry>> {
        match self {
            Self::Append { entries, .. } | Self::Stage { entries, .. } => Some(entries),
            Self::Prepare { .. } | Self::Query | Self::Delete { .. } | Self::Fetch { .. } => None,
        }
    }

    /// Returns the size of the entries that the request contains, see [`Entry::size_bytes`](super::Entry).
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Append { entries, .. } | Self::Stage { entries, .. } => size_bytes(entries),
            Self::Prepare { .. } | Self::Query | Self::Delete { .. } | Self::Fetch { .. } => 0,
        }
    }
}

impl ReplicaReply {
    /// Returns the entries that the reply contains, to replace them by equal ones.
    pub fn entries_mut(&mut self) -> Option<&mut Vec<LogEntry>> {
        match self {
            Self::Promised { entries, .. } | Self::Fetched { entries, .. } => Some(entries),
            _ => None,
        }
    }
}

/// The reply of a store to a [`ReplicaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// The store promises to reject lower terms.
    Promised {
        /// The promised term, which is the claimant's.
        term: OwnershipTerm,
        /// The term under which the store's log was last written.
        accepted: OwnershipTerm,
        /// Number of entries in the store's log.
        length: usize,
        /// Index of the first of `entries` in the store's log.
        start: usize,
        /// The entries that the claimant lacks. Empty if the claimant's log is at least as advanced, or if they
        /// are too large for one message; the claimant then sends [`ReplicaRequest::Fetch`].
        entries: Vec<LogEntry>,
    },
    /// The first `length` entries of the store's log equal those of the owner's log.
    Appended {
        /// The owner's term.
        term: OwnershipTerm,
        /// Number of entries that the logs have in common.
        length: usize,
    },
    /// The append was not applied, the entries were not staged or cannot be fetched: the store's log is too
    /// short for it, or was last written under another term.
    LogMismatch {
        /// The owner's term.
        term: OwnershipTerm,
        /// The term under which the store's log was last written.
        accepted: OwnershipTerm,
        /// Number of entries in the store's log.
        length: usize,
    },
    /// The request was rejected, because the store had promised a higher term or rejects the epoch of the
    /// request's term.
    Rejected {
        /// The highest term that the store has promised; at least the lowest term of the store's epoch.
        promised: OwnershipTerm,
    },
    /// The reply to [`ReplicaRequest::Query`].
    Status {
        /// The highest term that the store has promised; at least the lowest term of the store's epoch.
        promised: OwnershipTerm,
        /// Number of entries in the store's log.
        length: usize,
    },
    /// The store has deleted the batch job.
    Deleted {
        /// The owner's term.
        term: OwnershipTerm,
    },
    /// The reply to [`ReplicaRequest::Stage`].
    Staged {
        /// The owner's term.
        term: OwnershipTerm,
        /// Number of entries of the owner's log that the store has, in its own log or staged.
        length: usize,
    },
    /// The reply to [`ReplicaRequest::Fetch`].
    Fetched {
        /// The claimant's term.
        term: OwnershipTerm,
        /// The term under which the store's log was last written.
        accepted: OwnershipTerm,
        /// Index of the first of `entries` in the store's log.
        start: usize,
        /// The entries from there on, as many as one message may contain.
        entries: Vec<LogEntry>,
    },
}
