//! Errors of the storage.

use std::fmt;
use std::io;

/// Why a record is not durable, or a journal can't be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The disk is full. The same append may succeed once there is space.
    NoSpace,
    /// Every segment holds records that were not released.
    RingFull,
    /// The record does not fit into a segment.
    RecordTooLarge {
        /// The length of the record in bytes.
        length: usize,
        /// The length of the longest record that fits, in bytes.
        limit: usize,
    },
    /// A ring needs at least two segments, each with room for a record, and their number and size must fit into 32
    /// bits.
    InvalidOptions,
    /// The files were written with other options.
    OptionsChanged {
        /// The size of a segment on the disk, in bytes.
        segment_bytes: u64,
        /// The number of segments on the disk.
        segments: u64,
    },
    /// Records are missing that were durable.
    Corrupt {
        /// The segment in which they are missing, counted from the first one ever written.
        segment: u64,
    },
    /// An operation of the disk failed.
    Disk {
        /// The kind of the I/O error.
        kind: io::ErrorKind,
        /// The message of the I/O error.
        message: String,
    },
    /// The writer of the journal has ended.
    Closed,
}

impl fmt::Display for StorageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSpace => write!(formatter, "the disk is full"),
            Self::RingFull => write!(formatter, "every segment holds records that were not released"),
            Self::RecordTooLarge { length, limit } => {
                write!(formatter, "a record of {length} bytes exceeds the limit of {limit}")
            }
            Self::InvalidOptions => write!(formatter, "a ring needs two segments with room for a record"),
            Self::OptionsChanged { segment_bytes, segments } => {
                write!(formatter, "the ring on the disk has {segments} segments of {segment_bytes} bytes")
            }
            Self::Corrupt { segment } => {
                write!(formatter, "durable records of segment {segment} are missing")
            }
            Self::Disk { message, .. } => write!(formatter, "the disk failed: {message}"),
            Self::Closed => write!(formatter, "the journal is closed"),
        }
    }
}

impl std::error::Error for StorageError {}

impl From<io::Error> for StorageError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::NoSpace,
            kind => Self::Disk { kind, message: error.to_string() },
        }
    }
}
