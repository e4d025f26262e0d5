//! A disk in memory that fails or stalls if a test requires it.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};

use storage::{Extent, Position, ReadTask, RecordContent, RecordLocation, RecordSource, RingUsage};
use store_plane::{Appended, JournalFailed, RecordJournal, StoreRecovery};

/// Size of the records with which a disk counts as full, in bytes, unless a test sets another one. It accepts more.
const DISK_CAPACITY_BYTES: u64 = 1_000_000_000;

/// Behaviour of a disk when a record is appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    /// The record is durable at once.
    Works,
    /// The append fails.
    Fails,
    /// The append never completes, and nothing is written.
    Stalls,
}

/// A disk in memory. Its records are kept when the process of a store ends. Clones share them.
#[derive(Clone)]
pub struct MemoryDisk {
    /// The records that were not released, by position.
    records: Arc<Mutex<BTreeMap<u64, Vec<u8>>>>,
    /// Number of records written so far; also the position of the newest one.
    written: Arc<AtomicU64>,
    mode: Arc<AtomicU8>,
    capacity_bytes: Arc<AtomicU64>,
    /// Number of times that the content of a record was read again.
    reads: Arc<AtomicU64>,
}

impl Default for MemoryDisk {
    fn default() -> Self {
        let capacity_bytes = Arc::new(AtomicU64::new(DISK_CAPACITY_BYTES));
        Self {
            records: Arc::default(),
            written: Arc::default(),
            mode: Arc::default(),
            capacity_bytes,
            reads: Arc::default(),
        }
    }
}

impl MemoryDisk {
    /// Sets the size of the records with which the disk counts as full.
    pub fn set_capacity(&self, bytes: u64) {
        self.capacity_bytes.store(bytes, Ordering::SeqCst);
    }

    /// Returns the number of records that were written, and the number of those that were not released.
    pub fn written_and_kept(&self) -> (u64, usize) {
        (self.written.load(Ordering::SeqCst), self.records.lock().unwrap().len())
    }

    /// Returns the number of times that the content of a record was read again.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    /// Recovers the batch jobs of all records that were not released.
    pub fn recover(&self) -> StoreRecovery {
        let mut recovery = StoreRecovery::new(Arc::new(self.clone()));
        for (position, record) in self.records.lock().unwrap().iter() {
            let added = recovery.add_content(&location(*position, record), &mut &**record, record.len());
            added.expect("memory can be read");
        }
        recovery
    }

    pub fn set_mode(&self, mode: DiskMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }
}

/// Returns the location of a record: its content is the segment that has its position as number.
fn location(position: u64, record: &[u8]) -> RecordLocation {
    let extent = Extent { segment: position, offset: 0, length: record.len() as u64 };
    RecordLocation::new(Position(position), vec![extent])
}

impl RecordSource for MemoryDisk {
    fn read(&self, location: &RecordLocation, range: Range<u64>) -> io::Result<Vec<u8>> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        let records = self.records.lock().unwrap();
        let record = records.get(&location.position.0).ok_or(io::ErrorKind::NotFound)?;
        Ok(record[range.start as usize..range.end as usize].to_vec())
    }
}

impl RecordJournal for MemoryDisk {
    fn append(&self, content: Box<dyn RecordContent>) -> Appended {
        let mode = self.mode.load(Ordering::SeqCst);
        if mode == DiskMode::Fails as u8 {
            return Box::pin(async { Err(JournalFailed) });
        }
        if mode == DiskMode::Stalls as u8 {
            return Box::pin(std::future::pending());
        }
        let mut record = Vec::new();
        content.write_to(&mut record).expect("a vector can be written");
        assert_eq!(record.len(), content.length(), "a record is as long as it reports");
        let mut records = self.records.lock().unwrap();
        let position = self.written.fetch_add(1, Ordering::SeqCst) + 1;
        let location = location(position, &record);
        records.insert(position, record);
        Box::pin(async move { Ok(location) })
    }

    fn source(&self) -> Arc<dyn RecordSource> {
        Arc::new(self.clone())
    }

    fn run_read(&self, task: ReadTask) {
        task();
    }

    fn release(&self, before: u64) {
        let mut records = self.records.lock().unwrap();
        *records = records.split_off(&before);
    }

    fn usage(&self) -> RingUsage {
        let records = self.records.lock().unwrap();
        let used_bytes = records.values().map(|record| record.len() as u64).sum();
        RingUsage { used_bytes, capacity_bytes: self.capacity_bytes.load(Ordering::SeqCst) }
    }
}
