//! One store's replica of the log of a batch job.

use super::log::{size_bytes, LogEnd, MAX_PROMISE_ENTRY_BYTES};
use super::log_entry::LogEntry;
use super::term::OwnershipTerm;

/// One store's replica of the log of a batch job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLog {
    /// The highest promised term; lower terms are rejected. Never below `accepted`.
    pub promised: OwnershipTerm,
    /// The term under which the log was last written.
    pub accepted: OwnershipTerm,
    /// All entries, whether committed or not.
    pub entries: Vec<LogEntry>,
    /// Size of the contents of all entries in bytes.
    content_bytes: usize,
}

impl ReplicaLog {
    /// Creates a log from its complete state.
    pub(super) fn new(promised: OwnershipTerm, accepted: OwnershipTerm, entries: Vec<LogEntry>) -> Self {
        let content_bytes = content_bytes(&entries);
        Self { promised, accepted, entries, content_bytes }
    }

    /// Returns the size of the contents of all entries in bytes, see [`LogEntry::content_bytes`].
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.content_bytes
    }

    pub(super) fn end(&self) -> LogEnd {
        LogEnd { accepted: self.accepted, length: self.entries.len() }
    }

    /// Truncates the log to `start` entries and extends it by `entries` under `term`.
    pub(super) fn write(&mut self, term: OwnershipTerm, start: usize, entries: Vec<LogEntry>) {
        self.content_bytes -= content_bytes(&self.entries[start.min(self.entries.len())..]);
        self.content_bytes += content_bytes(&entries);
        self.entries.truncate(start);
        self.entries.extend(entries);
        self.accepted = term;
        self.promised = self.promised.max(term);
    }

    /// Returns how many of `entries`, the first of which has the index `start`, this log has there and on the disk.
    pub(super) fn stored_prefix<'a>(
        &self,
        start: usize,
        entries: impl IntoIterator<Item = &'a LogEntry>,
    ) -> usize {
        let own = self.entries.get(start..).unwrap_or_default();
        own.iter().zip(entries).take_while(|(own, entry)| entry.is_stored_as(own)).count()
    }

    /// Replaces the entries from `start` on by `entries`, which have the same contents, so that whoever has sent them
    /// needs no memory for them.
    pub(super) fn replace_stored(&mut self, start: usize, entries: &[LogEntry]) {
        for (own, entry) in self.entries[start..].iter_mut().zip(entries) {
            entry.use_stored(own);
            *own = entry.clone();
        }
    }

    /// Returns the entries that a log with the end `other` lacks, and the index of the first of them. Empty
    /// unless this log is more advanced, or if they are too large for the reply to a claim.
    pub(super) fn entries_ahead_of(&self, other: LogEnd) -> (usize, Vec<LogEntry>) {
        if self.end() <= other {
            return (self.entries.len(), Vec::new());
        }
        let start = if self.accepted == other.accepted { other.length } else { 0 };
        let entries = &self.entries[start..];
        if size_bytes(entries) > MAX_PROMISE_ENTRY_BYTES {
            return (start, Vec::new());
        }
        (start, entries.to_vec())
    }
}

fn content_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(LogEntry::content_bytes).sum()
}
