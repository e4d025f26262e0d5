//! Recovers the batch jobs of a store from its journal while the journal is read.

use std::io;
use std::sync::Arc;

use batch::{LogEntry, Record, Replicas};
use rpc::DecodeError;
use storage::{Position, RecordLocation, RecordSource, RecoveredRecord, StorageError};

use super::record_layout::RecordLayout;
use super::state::DurablePositions;

/// The batch jobs that the records of a journal contain. The contents of their entries stay on the disk.
pub struct StoreRecovery {
    source: Arc<dyn RecordSource>,
    replicas: Replicas,
    positions: DurablePositions,
    first_unreadable: Option<(Position, DecodeError)>,
}

impl StoreRecovery {
    /// Creates a recovery that has read no record. `source` reads the contents of the entries later.
    #[must_use]
    pub fn new(source: Arc<dyn RecordSource>) -> Self {
        Self {
            source,
            replicas: Replicas::default(),
            positions: DurablePositions::default(),
            first_unreadable: None,
        }
    }

    /// Adds the next record of the journal.
    ///
    /// # Errors
    ///
    /// Returns the errors of the disk. A record that cannot be decoded is no error, see
    /// [`first_unreadable`](Self::first_unreadable).
    pub fn add(&mut self, mut record: RecoveredRecord<'_>) -> Result<(), StorageError> {
        let (location, length) = (record.location().clone(), record.content_length());
        self.add_content(&location, &mut record, length)
    }

    /// Does the same as [`add`](Self::add) for a record of `length` bytes at `location` that `content` reads.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`add`](Self::add).
    pub fn add_content(
        &mut self,
        location: &RecordLocation,
        content: &mut dyn io::Read,
        length: usize,
    ) -> Result<(), StorageError> {
        let records: Vec<Record> = match rpc::decode_from(content, length) {
            Ok(records) => records,
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                self.first_unreadable.get_or_insert((location.position, DecodeError));
                return Ok(());
            }
            Err(error) => return Err(error.into()),
        };
        let layout = RecordLayout::of(&records).map_err(io::Error::other)?;
        for placed in &layout.entries {
            placed.set_stored(&self.source, location);
            placed.entry.evict();
        }
        self.positions.record(&records, location.position.0);
        records.into_iter().for_each(|record| self.replicas.replay(record));
        Ok(())
    }

    /// Returns the position of the first record that could not be decoded, with the error; `None` if all could
    /// be. A different build may have written it, or the disk may have corrupted it.
    #[must_use]
    pub fn first_unreadable(&self) -> Option<(Position, DecodeError)> {
        self.first_unreadable
    }

    /// Returns the number of batch jobs and the size of their entries in bytes.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let logs = self.replicas.logs();
        let bytes = logs.map(|(_, log)| log.entries.iter().map(LogEntry::size_bytes).sum::<usize>()).sum();
        (self.replicas.logs().count(), bytes)
    }

    /// Returns the recovered replicas, where their records stand, and the source of their contents.
    pub(super) fn into_parts(self) -> (Replicas, DurablePositions, Arc<dyn RecordSource>) {
        (self.replicas, self.positions, self.source)
    }
}
