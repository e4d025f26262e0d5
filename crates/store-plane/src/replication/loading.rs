//! Loads the contents of entries from the disk, without blocking the process.

use std::sync::Arc;

use batch::{Entry, LoadError, LogEntry, ReplicaReply, ReplicaRequest};
use tokio::sync::oneshot;

use super::node::StoreNode;

impl StoreNode {
    /// Returns entries with the same contents, all of them in memory.
    ///
    /// # Errors
    ///
    /// Fails if a content cannot be read.
    pub async fn load_entries(&self, entries: Vec<LogEntry>) -> Result<Vec<LogEntry>, LoadError> {
        if entries.iter().all(|entry| entry.resident().is_some()) {
            // One that is evicted meanwhile must stay in memory here.
            return entries.iter().map(|entry| entry.load().map(LogEntry::from)).collect();
        }
        let (sender, loaded) = oneshot::channel();
        self.journal.run_read(Box::new(move || {
            let contents = entries.iter().map(|entry| entry.load().map(LogEntry::from)).collect();
            // Sending fails if nobody waits any more.
            let _ = sender.send(contents);
        }));
        loaded.await.unwrap_or_else(|_| Err(LoadError("the reader of the disk has ended".to_owned())))
    }

    /// Keeps the contents of entries in memory that [`load_entries`](Self::load_entries) has returned, as long as the
    /// cache has space.
    pub fn cache_loaded(&self, entries: Vec<LogEntry>, loaded: &[LogEntry]) {
        if entries.iter().all(|entry| entry.resident().is_some()) {
            return;
        }
        let mut state = self.lock();
        for (entry, loaded) in entries.into_iter().zip(loaded) {
            if let Some(content) = loaded.resident() {
                state.durability.cache_loaded(entry, content);
            }
        }
    }

    /// Returns the content of an entry.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read.
    pub async fn load_entry(&self, entry: LogEntry) -> Result<Arc<Entry>, LoadError> {
        let loaded = self.load_entries(vec![entry]).await?;
        loaded.first().map_or_else(|| Err(LoadError("no entry was loaded".to_owned())), LogEntry::load)
    }

    /// Returns the request with all of its entries in memory, so that it can be encoded; `None` if one cannot be
    /// read.
    pub async fn load_request(&self, mut request: ReplicaRequest) -> Option<ReplicaRequest> {
        if let Some(entries) = request.entries_mut() {
            *entries = self.load_or_log(std::mem::take(entries)).await?;
        }
        Some(request)
    }

    /// Returns the reply with all of its entries in memory, so that it can be encoded; `None` if one cannot be
    /// read.
    pub async fn load_reply(&self, mut reply: ReplicaReply) -> Option<ReplicaReply> {
        if let Some(entries) = reply.entries_mut() {
            *entries = self.load_or_log(std::mem::take(entries)).await?;
        }
        Some(reply)
    }

    async fn load_or_log(&self, entries: Vec<LogEntry>) -> Option<Vec<LogEntry>> {
        let loaded = self.load_entries(entries).await;
        loaded.inspect_err(|error| log::error!("{error}")).ok()
    }
}
