//! Entries of an adopted log that a replica keeps until the append that completes them.

use super::log_entry::LogEntry;
use super::term::OwnershipTerm;

/// Entries that an owner has sent ahead of an append, since the log that it adopted is too large for one
/// message. They are in memory only: after a restart of the store, the owner sends them again.
#[derive(Clone, Debug)]
pub(super) struct StagedEntries {
    /// The owner's term.
    pub term: OwnershipTerm,
    /// Index of the first entry in the owner's log.
    pub start: usize,
    /// The entries, without a gap.
    pub entries: Vec<LogEntry>,
}

impl StagedEntries {
    /// Returns the index after the last entry.
    pub fn end(&self) -> usize {
        self.start + self.entries.len()
    }

    /// Whether entries under `term` that begin at `start` follow these or overlap them, so that there is no
    /// gap in between.
    pub fn can_precede(&self, term: OwnershipTerm, start: usize) -> bool {
        self.term == term && (self.start..=self.end()).contains(&start)
    }

    /// Adds the entries that begin at `start`, which [`Self::can_precede`] has to allow. Under one term the
    /// owner's log only grows, so entries that are staged already are skipped.
    pub fn add(&mut self, start: usize, entries: Vec<LogEntry>) {
        let staged = self.end() - start;
        self.entries.extend(entries.into_iter().skip(staged));
    }
}
