//! Requests of an owner to the replicas of its batch job, and their replies.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::log::Entry;
use super::term::OwnershipTerm;

/// A request of an owner to a store about one batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Promise to reject lower terms, and return the log if it is more advanced than the claimant's.
    Prepare {
        /// The claimant's term.
        term: OwnershipTerm,
        /// The term under which the claimant's own log was last written.
        accepted: OwnershipTerm,
        /// Number of entries in the claimant's own log.
        length: usize,
    },
    /// Truncate the log to `start` entries and extend it.
    ///
    /// The first append under a term carries everything up to the end of the log that the owner adopted. An append fits
    /// if the store's log has at least `start` entries and was last written under `term` or `adopted`, or if `start` is
    /// 0.
    Append {
        /// The owner's term.
        term: OwnershipTerm,
        /// The term of the log that the owner adopted when it was elected.
        adopted: OwnershipTerm,
        /// Number of entries that precede `entries`.
        start: usize,
        /// The entries to write.
        entries: Vec<Arc<Entry>>,
    },
    /// Report the state of the log; promises nothing.
    Query,
    /// Delete the batch job: its new replica set has all of it, or it is over.
    Delete {
        /// The owner's term.
        term: OwnershipTerm,
    },
}

/// The reply of a store to a [`ReplicaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// The promise is given.
    Promised {
        /// The term promised.
        term: OwnershipTerm,
        /// The term under which the store's log was last written.
        accepted: OwnershipTerm,
        /// Number of entries in the store's log.
        length: usize,
        /// Index of the first of `entries` in the store's log.
        start: usize,
        /// The entries that the claimant lacks; empty if its log is as advanced.
        entries: Vec<Arc<Entry>>,
    },
    /// The store's log equals the owner's up to this length.
    Appended {
        /// The owner's term.
        term: OwnershipTerm,
        /// Number of entries.
        length: usize,
    },
    /// The append does not fit the store's log.
    LogMismatch {
        /// The owner's term.
        term: OwnershipTerm,
        /// The term under which the store's log was last written.
        accepted: OwnershipTerm,
        /// Number of entries in the store's log.
        length: usize,
    },
    /// A higher term was promised.
    Rejected {
        /// The term that was promised.
        promised: OwnershipTerm,
    },
    /// The answer to a query.
    Status {
        /// The term promised.
        promised: OwnershipTerm,
        /// Number of entries in the store's log.
        length: usize,
    },
    /// The batch job is deleted.
    Deleted {
        /// The owner's term.
        term: OwnershipTerm,
    },
}
