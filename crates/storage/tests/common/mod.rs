//! Helpers shared by the storage tests.
#![allow(dead_code, reason = "each test program uses some of the helpers")]

use std::path::Path;
use std::sync::Arc;

use storage::simulated::SimulatedDisk;
use storage::{FileSystem, Position, Ring, RingIdentity, RingOptions, StorageError};

/// Directory of the ring on the simulated disk.
pub const DIRECTORY: &str = "ring";
/// Options of a ring so small that it wraps around often.
pub const OPTIONS: RingOptions = RingOptions { segment_bytes: 512, segments: 4 };

/// Recovered records with their positions, oldest first.
pub type Records = Vec<(Position, Vec<u8>)>;

/// Opens the ring and collects its records; returns an error if that fails.
pub fn try_open(file_system: Arc<dyn FileSystem>) -> Result<(Ring, Records, RingIdentity), StorageError> {
    let mut records = Vec::new();
    let mut visitor = |position, record| records.push((position, record));
    let (ring, identity) = Ring::open(file_system, Path::new(DIRECTORY), OPTIONS, &mut visitor)?;
    Ok((ring, records, identity))
}

/// Opens the ring and collects its records; panics if that fails.
pub fn open(disk: &SimulatedDisk) -> (Ring, Records, RingIdentity) {
    try_open(disk.file_system()).expect("the ring opens")
}

/// Opens the ring and returns the contents of its records; panics if that fails.
pub fn contents(disk: &SimulatedDisk) -> Vec<Vec<u8>> {
    let (_, records, _) = open(disk);
    records.into_iter().map(|(_, record)| record).collect()
}

/// Appends one record and returns its outcome.
pub fn append(ring: &mut Ring, record: &[u8]) -> Result<Position, StorageError> {
    ring.append(&[record]).pop().expect("one outcome")
}

/// Appends a record of `length` equal bytes; panics if it does not become durable.
pub fn append_filled(ring: &mut Ring, byte: u8, length: usize) -> Position {
    append(ring, &vec![byte; length]).expect("the record is durable")
}
