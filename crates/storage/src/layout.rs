//! The files of a ring: their number, size and names, and access to their headers.
//!
//! A ring is a directory of files of equal size. Its segments are numbered consecutively from 0 and numbers
//! are never reused. Segment `index` is stored in the file `ring-{index % segments}`, so each file is
//! overwritten once its records are released.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::format::{ChainEnd, SegmentHeader, MAX_CONTENT_BYTES, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::{File, FileSystem, StorageError};

/// Length above which a record is written in parts of this length, so that only a part of it has to be in memory
/// at once when it is written or read.
const MAX_PART_BYTES: usize = 1024 * 1024;

/// Number and size of the files of a ring. An existing ring can only be opened with the options it was
/// created with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingOptions {
    /// Size of each file in bytes, at most 1 GiB. A record that is longer than 1 MiB, or does not fit into one
    /// file, is written in parts.
    pub segment_bytes: u64,
    /// Number of files, at least two. Each is created when it is first needed.
    pub segments: usize,
}

impl RingOptions {
    /// Returns the maximum length of a record in bytes. It may fill all segments but one, in which the oldest
    /// records that are still needed may be.
    pub fn max_record_bytes(&self) -> usize {
        self.content_bytes_in_segment() * self.segments.saturating_sub(1)
    }

    /// Returns how many bytes of a record in parts fit into an empty segment.
    pub(crate) fn content_bytes_in_segment(&self) -> usize {
        self.content_bytes_in((self.segment_bytes as usize).saturating_sub(SEGMENT_HEADER_BYTES))
    }

    /// Returns how many bytes of a record in parts fit into `space` bytes of a segment. Each part has a header.
    pub(crate) fn content_bytes_in(&self, space: usize) -> usize {
        let part = RECORD_HEADER_BYTES + self.max_part_bytes();
        space / part * self.max_part_bytes() + (space % part).saturating_sub(RECORD_HEADER_BYTES)
    }

    /// Returns the maximum length of a record, or of a part of one, that is written in one piece.
    pub(crate) fn max_part_bytes(&self) -> usize {
        self.max_content_bytes().clamp(1, MAX_PART_BYTES)
    }

    /// Returns how many bytes of a record fit into one segment: its size without the two headers.
    fn max_content_bytes(&self) -> usize {
        (self.segment_bytes as usize).saturating_sub(SEGMENT_HEADER_BYTES + RECORD_HEADER_BYTES)
    }

    fn validate(&self) -> Result<(), StorageError> {
        let is_usable = self.segments >= 2
            && (1..=MAX_CONTENT_BYTES).contains(&self.max_content_bytes())
            && u32::try_from(self.segments).is_ok();
        is_usable.then_some(()).ok_or(StorageError::InvalidOptions)
    }
}

/// Sequence number of a record. Each record of a ring has a greater one than all records before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position(pub u64);

/// Directory that contains the files of a ring.
#[derive(Clone)]
pub(crate) struct RingDirectory {
    file_system: Arc<dyn FileSystem>,
    path: PathBuf,
    options: RingOptions,
}

impl RingDirectory {
    /// Validates the options and creates the directory if it does not exist.
    pub fn create(
        file_system: Arc<dyn FileSystem>,
        path: &Path,
        options: RingOptions,
    ) -> Result<Self, StorageError> {
        options.validate()?;
        file_system.create_directory(path)?;
        Ok(Self::new(file_system, path, options))
    }

    /// Creates a handle to a directory that exists, or is created later.
    pub fn new(file_system: Arc<dyn FileSystem>, path: &Path, options: RingOptions) -> Self {
        Self { file_system, path: path.to_owned(), options }
    }

    pub fn options(&self) -> RingOptions {
        self.options
    }

    /// Draws a random number from the file system.
    pub fn random(&self) -> u64 {
        self.file_system.random()
    }

    /// Syncs the directory, so that the names of its files are durable.
    pub fn sync(&self) -> Result<(), StorageError> {
        Ok(self.file_system.sync_directory(&self.path)?)
    }

    pub fn open_segment(&self, index: u64) -> Result<Box<dyn File>, StorageError> {
        Ok(self.open_file(index)?)
    }

    /// Opens the file of a segment, with the error of the file system.
    pub fn open_file(&self, index: u64) -> io::Result<Box<dyn File>> {
        let slot = (index % self.options.segments as u64) as usize;
        self.file_system.open(&self.path.join(segment_name(slot)))
    }

    /// Reads the header of each file; `None` for a file that does not exist or has no valid header.
    pub fn read_headers(&self) -> Result<Vec<Option<SegmentHeader>>, StorageError> {
        let names = self.file_system.list(&self.path)?;
        let mut headers = Vec::with_capacity(self.options.segments);
        for name in (0..self.options.segments).map(segment_name) {
            let header = if names.contains(&name) {
                read_header(self.file_system.open(&self.path.join(name))?.as_mut())?
            } else {
                None
            };
            headers.push(header);
        }
        Ok(headers)
    }

    /// Begins a segment: writes its header and makes the header and the name of the file durable.
    pub fn begin_segment(&self, header: &SegmentHeader) -> Result<Box<dyn File>, StorageError> {
        let mut file = self.open_segment(header.index)?;
        let is_new = file.length()? != self.options.segment_bytes;
        if is_new {
            file.set_length(self.options.segment_bytes)?;
        }
        file.write_at(0, &header.encode())?;
        file.sync()?;
        if is_new {
            self.sync()?;
        }
        Ok(file)
    }

    /// Builds the header of segment `index` from the arguments and the options of the ring.
    pub fn header(&self, incarnation: u64, index: u64, chain: ChainEnd, released: u64) -> SegmentHeader {
        SegmentHeader {
            incarnation,
            index,
            chain,
            released,
            segment_bytes: self.options.segment_bytes,
            segments: self.options.segments as u32,
        }
    }
}

/// Prefix of the name of each file; the number of the file follows.
const SEGMENT_NAME_PREFIX: &str = "ring-";

fn segment_name(slot: usize) -> String {
    format!("{SEGMENT_NAME_PREFIX}{slot:03}")
}

/// Returns whether a file of this name belongs to a ring.
pub(crate) fn is_segment_name(name: &str) -> bool {
    name.starts_with(SEGMENT_NAME_PREFIX)
}

fn read_header(file: &mut dyn File) -> Result<Option<SegmentHeader>, StorageError> {
    let mut bytes = [0; SEGMENT_HEADER_BYTES];
    let count = file.read_at(0, &mut bytes)?;
    Ok((count == SEGMENT_HEADER_BYTES).then(|| SegmentHeader::decode(&bytes)).flatten())
}
