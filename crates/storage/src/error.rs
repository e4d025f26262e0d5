//! Errors of rings and journals.

use std::fmt;
use std::io;

/// Reason why a record could not be made durable, or why a ring could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The disk or the quota is full. The same append may succeed once space is freed.
    NoSpace,
    /// Every segment contains records that were not released. The same append may succeed after a release.
    RingFull,
    /// The record is longer than the ring allows.
    RecordTooLarge {
        /// Length of the rejected record in bytes.
        length: usize,
        /// Maximum length of a record in bytes, see
        /// [`RingOptions::max_record_bytes`](crate::RingOptions::max_record_bytes).
        limit: usize,
    },
    /// The options are invalid: a ring needs at least two segments, each with space for a record and not
    /// larger than 1 GiB, and their number must fit into 32 bits.
    InvalidOptions,
    /// The ring on the disk was created with other options than it was opened with.
    OptionsChanged {
        /// Size of a segment of the ring on the disk, in bytes.
        segment_bytes: u64,
        /// Number of segments of the ring on the disk.
        segments: u64,
    },
    /// Records that were durable are missing or damaged.
    Corrupt {
        /// Number of the segment with the missing records, counted from the first one ever written.
        segment: u64,
    },
    /// An operation of the disk failed.
    Disk {
        /// Kind of the I/O error, for callers that distinguish between failures.
        kind: io::ErrorKind,
        /// Text of the I/O error, for logs.
        message: String,
    },
    /// The writer of the journal ended without an outcome of the append. The record may be durable.
    Closed,
}

impl fmt::Display for StorageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSpace => write!(formatter, "no space is left on the disk or in the quota"),
            Self::RingFull => {
                write!(formatter, "the ring is full: every segment contains records that were not released")
            }
            Self::RecordTooLarge { length, limit } => {
                write!(formatter, "a record of {length} bytes exceeds the limit of {limit} bytes")
            }
            Self::InvalidOptions => write!(
                formatter,
                "invalid options: a ring needs two or more segments with space for a record, each of 1 GiB at most"
            ),
            Self::OptionsChanged { segment_bytes, segments } => {
                write!(
                    formatter,
                    "options differ from the ring on the disk: {segments} segments of {segment_bytes} bytes"
                )
            }
            Self::Corrupt { segment } => {
                write!(formatter, "durable records of segment {segment} are missing")
            }
            Self::Disk { message, .. } => write!(formatter, "a disk operation failed: {message}"),
            Self::Closed => write!(formatter, "the writer of the journal has ended"),
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
