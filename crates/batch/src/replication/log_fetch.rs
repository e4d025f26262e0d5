//! The log that a claimant fetches from a replica in several messages.

use super::log::LogEnd;
use super::log_entry::LogEntry;
use super::messages::ReplicaRequest;
use super::term::{OwnershipTerm, StoreId};

/// The log of a replica that is more advanced than the claimant's and too large for one message. It does not
/// change while it is fetched, since the replica has promised the claimant's term.
#[derive(Clone, Debug)]
pub(super) struct LogFetch {
    /// The replica that is asked for the entries.
    pub source: StoreId,
    /// End of the complete log.
    pub end: LogEnd,
    /// Index of the first of `entries`. The entries before it are those of the claimant's log.
    pub start: usize,
    /// The entries that have arrived.
    pub entries: Vec<LogEntry>,
}

impl LogFetch {
    /// Begins to fetch the log with the end `end`. `own_end` is the end of the claimant's log: logs that were
    /// last written under the same term begin with the same entries.
    pub fn new(source: StoreId, end: LogEnd, own_end: LogEnd) -> Self {
        let start = if end.accepted == own_end.accepted { own_end.length.min(end.length) } else { 0 };
        Self { source, end, start, entries: Vec::new() }
    }

    /// Returns the request for the next entries.
    pub fn request(&self, term: OwnershipTerm) -> ReplicaRequest {
        ReplicaRequest::Fetch { term, accepted: self.end.accepted, start: self.next_index() }
    }

    /// Adds entries of a log that was last written under `accepted`, of which the first has the index
    /// `start`. Ignores them unless they follow those that have arrived.
    pub fn add(&mut self, accepted: OwnershipTerm, start: usize, entries: Vec<LogEntry>) {
        if accepted == self.end.accepted && start == self.next_index() {
            self.entries.extend(entries);
        }
    }

    /// Whether all entries have arrived.
    pub fn is_complete(&self) -> bool {
        self.next_index() >= self.end.length
    }

    fn next_index(&self) -> usize {
        self.start + self.entries.len()
    }
}
