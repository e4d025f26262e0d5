//! The interface between the replication and the disk: an append-only ring of records.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use storage::{ReadTask, RecordContent, RecordLocation, RecordSource, RingUsage};

/// Error of an append: the record could not be made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalFailed;

impl fmt::Display for JournalFailed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the record could not be made durable")
    }
}

impl std::error::Error for JournalFailed {}

/// The future of an append; returns the location of the record once it is durable.
pub type Appended = Pin<Box<dyn Future<Output = Result<RecordLocation, JournalFailed>> + Send>>;

/// A ring of records on a disk. The positions of appended records increase.
pub trait RecordJournal: Send + Sync + 'static {
    /// Appends a record; records are written in the order of the calls. The future completes when it is
    /// durable.
    fn append(&self, record: Box<dyn RecordContent>) -> Appended;

    /// Returns the source from which records are read again. Its reads block.
    fn source(&self) -> Arc<dyn RecordSource>;

    /// Runs a task that reads from the source, where it does not block the caller.
    fn run_read(&self, task: ReadTask);

    /// Frees the space of all records before a position.
    fn release(&self, before: u64);

    /// Returns how full the ring is.
    fn usage(&self) -> RingUsage;
}

impl RecordJournal for storage::Journal {
    fn append(&self, record: Box<dyn RecordContent>) -> Appended {
        let appended = self.append_content(record);
        Box::pin(async move {
            appended.await.map_err(|error| {
                log::error!("failed to append to the journal of batch jobs: {error}");
                JournalFailed
            })
        })
    }

    fn source(&self) -> Arc<dyn RecordSource> {
        Arc::new(self.reader())
    }

    fn run_read(&self, task: ReadTask) {
        Self::run_read(self, task);
    }

    fn release(&self, before: u64) {
        Self::release(self, storage::Position(before));
    }

    fn usage(&self) -> RingUsage {
        Self::usage(self)
    }
}
