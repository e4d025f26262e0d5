//! The entries of logs whose contents are in memory although they are on the disk.

use std::collections::VecDeque;

use batch::LogEntry;

/// A cache of the entries that were written or read last, bounded by memory. The entry that was added first is
/// evicted first.
pub(crate) struct EntryCache {
    /// The entries in the order in which they were added.
    entries: VecDeque<LogEntry>,
    /// Size of all entries in bytes.
    bytes: usize,
    max_bytes: usize,
}

impl EntryCache {
    /// Creates an empty cache whose entries take `max_bytes` of memory at most.
    pub fn new(max_bytes: usize) -> Self {
        Self { entries: VecDeque::new(), bytes: 0, max_bytes }
    }

    /// Adds a durable entry whose content is in memory, and evicts the oldest ones beyond the limit.
    pub fn insert(&mut self, entry: LogEntry) {
        self.bytes += entry.size_bytes();
        self.entries.push_back(entry);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bytes -= oldest.size_bytes();
            oldest.evict();
        }
    }
}
