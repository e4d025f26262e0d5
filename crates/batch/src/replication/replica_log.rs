//! The log of one batch job as one store keeps it.

use std::sync::Arc;

use super::log::{Entry, LogEnd};
use super::term::OwnershipTerm;

/// The log of one batch job as one store keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLog {
    /// Lower terms are rejected. Never below `accepted`.
    pub promised: OwnershipTerm,
    /// The term under which the log was last written.
    pub accepted: OwnershipTerm,
    /// The entries.
    pub entries: Vec<Arc<Entry>>,
}

impl ReplicaLog {
    pub(super) fn end(&self) -> LogEnd {
        LogEnd { accepted: self.accepted, length: self.entries.len() }
    }

    /// Truncates the log to `start` entries and extends it under `term`.
    pub(super) fn write(&mut self, term: OwnershipTerm, start: usize, entries: Vec<Arc<Entry>>) {
        self.entries.truncate(start);
        self.entries.extend(entries);
        self.accepted = term;
        self.promised = self.promised.max(term);
    }

    /// What a log with this end lacks if this one is more advanced: index of the first entry, and the entries.
    pub(super) fn entries_ahead_of(&self, other: LogEnd) -> (usize, Vec<Arc<Entry>>) {
        if self.end() <= other {
            return (self.entries.len(), Vec::new());
        }
        let start = if self.accepted == other.accepted { other.length } else { 0 };
        (start, self.entries[start..].to_vec())
    }
}
