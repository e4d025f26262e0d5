//! A disk in memory that fails or stalls on demand.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};

use store_plane::{Appended, JournalFailed, RecordJournal};

/// A disk is full with this many records.
const DISK_CAPACITY: f64 = 100.0;

/// What a disk does with records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Works,
    Fails,
    Stalls,
}

/// A disk in memory; it survives the process.
#[derive(Clone, Default)]
pub struct MemoryDisk {
    records: Arc<Mutex<BTreeMap<u64, Vec<u8>>>>,
    written: Arc<AtomicU64>,
    mode: Arc<AtomicU8>,
}

impl MemoryDisk {
    /// How many records were written, and how many of them are kept.
    pub fn written_and_kept(&self) -> (u64, usize) {
        (self.written.load(Ordering::SeqCst), self.records.lock().unwrap().len())
    }

    /// All records that are kept, oldest first.
    pub fn recover(&self) -> Vec<(u64, Vec<u8>)> {
        let records = self.records.lock().unwrap();
        records.iter().map(|(position, record)| (*position, record.clone())).collect()
    }

    pub fn set_mode(&self, mode: DiskMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }
}

impl RecordJournal for MemoryDisk {
    fn append(&self, record: Vec<u8>) -> Appended {
        let mode = self.mode.load(Ordering::SeqCst);
        if mode == DiskMode::Fails as u8 {
            return Box::pin(async { Err(JournalFailed) });
        }
        if mode == DiskMode::Stalls as u8 {
            return Box::pin(std::future::pending());
        }
        let mut records = self.records.lock().unwrap();
        let position = self.written.fetch_add(1, Ordering::SeqCst) + 1;
        records.insert(position, record);
        Box::pin(async move { Ok(position) })
    }

    fn release(&self, before: u64) {
        let mut records = self.records.lock().unwrap();
        *records = records.split_off(&before);
    }

    fn fill(&self) -> f64 {
        self.records.lock().unwrap().len() as f64 / DISK_CAPACITY
    }
}
