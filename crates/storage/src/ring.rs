//! [`Ring`]: appends records to a ring of files. All its calls are synchronous and block on the disk.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;

use crate::format::{ChainEnd, RecordPart, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::layout::{Position, RingDirectory, RingOptions};
use crate::part_writer::{OpenPart, PartSink, PartWriter};
use crate::record_content::RecordContent;
use crate::record_location::{Extent, RecordLocation};
use crate::recovered_record::RecordVisitor;
use crate::recovery::{recover, LiveSegment, RingState};
use crate::tail::{StagedRecords, Tail};
use crate::{FileSystem, StorageError};

/// Length of a record from which on it is written in parts if it does not fit behind the last one, so that no
/// large part of a segment stays empty.
const MIN_SPLIT_BYTES: usize = 4096;
/// Size of the staged parts of a long record above which they are written, before all of it is staged.
const MAX_STAGED_PART_BYTES: usize = 1024 * 1024;
/// Sequence number of the first record of a new ring. No record has number 0.
const FIRST_SEQUENCE: u64 = 1;

/// Result of an append: the location of the record, which is then durable, or the reason why it is not.
pub(crate) type AppendOutcome = Result<RecordLocation, StorageError>;

/// Fill level of a ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RingUsage {
    /// Bytes of the older segments that cannot be reused yet and of the written part of the newest one.
    pub used_bytes: u64,
    /// Size of all segments together in bytes, including those not created yet.
    pub capacity_bytes: u64,
}

/// Identity of an opened ring, and whether the ring is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingIdentity {
    /// Random number drawn when the ring was created. It stays the same until the disk is lost or the ring is
    /// set aside.
    pub incarnation: u64,
    /// Whether this open created the ring because the directory contained none.
    pub is_new: bool,
}

/// An open ring of files. Its calls block on the disk; [`Journal`](crate::Journal) moves them to a thread.
pub struct Ring {
    directory: RingDirectory,
    incarnation: u64,
    /// Segments that cannot be reused yet, oldest first; never empty.
    segments: VecDeque<LiveSegment>,
    tail: Tail,
    /// End of the chain of durable records.
    chain: ChainEnd,
    /// Random number of the records written from now on. A new one is drawn at each open and after each
    /// failed write, so that bytes left by a failed write never appear to follow the records that overwrite
    /// them.
    generation: u64,
    /// Records before this position are no longer needed.
    released: Position,
    staged: StagedRecords,
}

/// Progress of one call of [`Ring::append`].
struct AppendBatch {
    /// Outcomes of the records processed so far, in the order of the records.
    outcomes: Vec<AppendOutcome>,
    /// Failure to write records or to begin a segment; all later records of the batch fail with this error.
    failure: Option<StorageError>,
}

impl AppendBatch {
    fn with_capacity(records: usize) -> Self {
        Self { outcomes: Vec::with_capacity(records), failure: None }
    }

    /// Replaces the last `count` successful outcomes by `error`: their records were staged, but not written.
    fn fail_staged(&mut self, count: usize, error: &StorageError) {
        let staged = self.outcomes.iter_mut().rev().filter(|outcome| outcome.is_ok()).take(count);
        for outcome in staged {
            *outcome = Err(error.clone());
        }
    }
}

impl Ring {
    /// Opens or creates the ring in a directory and passes the contents of its records to `visitor`, oldest
    /// first.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Ring::open_with`].
    pub fn open(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        visitor: &mut dyn FnMut(Position, Vec<u8>),
    ) -> Result<(Self, RingIdentity), StorageError> {
        Self::open_with(file_system, directory, options, &mut |mut record| {
            visitor(record.location().position, record.read_content()?);
            Ok(())
        })
    }

    /// Does the same as [`Ring::open`], but passes records that the visitor reads itself.
    ///
    /// # Errors
    ///
    /// Fails if the options are invalid or differ from those of the existing ring, if durable records are
    /// missing, if the disk fails, or with the errors of `visitor`.
    pub fn open_with(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        visitor: RecordVisitor<'_>,
    ) -> Result<(Self, RingIdentity), StorageError> {
        let directory = RingDirectory::create(file_system, directory, options)?;
        let recovered = recover(&directory, visitor)?;
        let is_new = recovered.is_none();
        let state = match recovered {
            Some(state) => state,
            None => create(&directory)?,
        };
        directory.sync()?;
        let identity = RingIdentity { incarnation: state.incarnation, is_new };
        Ok((Self::from_state(directory, state), identity))
    }

    fn from_state(directory: RingDirectory, state: RingState) -> Self {
        let mut ring = Self {
            generation: directory.random(),
            directory,
            incarnation: state.incarnation,
            segments: state.segments.into(),
            tail: Tail::new(state.file, state.offset),
            chain: state.chain,
            released: Position(0),
            staged: StagedRecords::new(state.chain),
        };
        ring.release(Position(state.released));
        ring
    }

    /// Appends records, makes them durable and returns one outcome per record, in the same order. A record
    /// that is too long fails alone. If the ring is full or the disk fails, all records not yet written fail.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Vec<Result<Position, StorageError>> {
        let contents: Vec<&[u8]> = records.iter().map(AsRef::as_ref).collect();
        let contents: Vec<&dyn RecordContent> =
            contents.iter().map(|content| content as &dyn RecordContent).collect();
        let outcomes = self.append_contents(&contents).into_iter();
        outcomes.map(|outcome| outcome.map(|location| location.position)).collect()
    }

    /// Does the same as [`append`](Self::append) for records that are encoded while they are written.
    pub(crate) fn append_contents(&mut self, records: &[&dyn RecordContent]) -> Vec<AppendOutcome> {
        let mut batch = AppendBatch::with_capacity(records.len());
        for record in records {
            let outcome = match &batch.failure {
                Some(error) => Err(error.clone()),
                None => self.stage(*record, &mut batch),
            };
            batch.outcomes.push(outcome);
        }
        // On failure, the outcomes of the staged records contain the error.
        let _ = self.flush(&mut batch);
        batch.outcomes
    }

    /// Declares that the records before `position` are no longer needed. A segment can be reused once all its
    /// records are released.
    pub fn release(&mut self, position: Position) {
        self.released = self.released.max(position);
        while self.segments.get(1).is_some_and(|second| second.first_sequence <= self.released.0) {
            self.segments.pop_front();
        }
    }

    /// Returns how full the ring is.
    pub fn usage(&self) -> RingUsage {
        let options = self.directory.options();
        let full_segments = self.segments.len().saturating_sub(1) as u64;
        RingUsage {
            used_bytes: full_segments * options.segment_bytes + self.tail.offset,
            capacity_bytes: options.segments as u64 * options.segment_bytes,
        }
    }

    /// Stages a record. If it does not fit into the newest segment, first writes the staged records and
    /// begins the next segment. A long record is staged in parts.
    fn stage(&mut self, record: &dyn RecordContent, batch: &mut AppendBatch) -> AppendOutcome {
        let options = self.directory.options();
        let (length, limit) = (record.length(), options.max_record_bytes());
        if length > limit {
            return Err(StorageError::RecordTooLarge { length, limit });
        }
        let is_split = length >= MIN_SPLIT_BYTES && self.content_space().is_some_and(|space| length > space);
        let staged = if is_split || length > options.max_part_bytes() {
            self.stage_parts(record, batch)
        } else {
            self.stage_complete(record, batch)
        };
        staged.inspect_err(|error| batch.failure = Some(error.clone()))
    }

    /// Stages a record that fits into one segment.
    fn stage_complete(&mut self, record: &dyn RecordContent, batch: &mut AppendBatch) -> AppendOutcome {
        if self.content_space().is_none_or(|space| record.length() > space) {
            self.flush_and_begin_segment(batch)?;
        }
        let part = self.begin_part(record.length());
        let written = record.write_to(&mut self.staged.bytes);
        let length = (self.staged.bytes.len() - part.start - RECORD_HEADER_BYTES) as u64;
        if let Err(error) = written {
            self.staged.bytes.truncate(part.start);
            return Err(error.into());
        }
        self.staged.finish(part.start, self.generation, RecordPart::Complete);
        let extent = Extent { segment: part.segment, offset: part.offset, length };
        Ok(RecordLocation::new(part.position, vec![extent]))
    }

    /// Begins a record or part in the newest segment, which has `space` bytes for its content.
    fn begin_part(&mut self, space: usize) -> OpenPart {
        let position = Position(self.staged.chain.next_sequence);
        let segment = self.segments.back().map_or(0, |newest| newest.index);
        let start = self.staged.begin();
        let offset = self.tail.end() + (start + RECORD_HEADER_BYTES) as u64;
        OpenPart { position, segment, offset, start, space }
    }

    /// Stages a long record: fills the newest segment, and further ones, with its parts, and writes them as
    /// they become complete. The position is that of the first part. Nothing is staged if the ring has too
    /// little space for all parts, so that a record that fails takes no space from those that free some.
    fn stage_parts(&mut self, record: &dyn RecordContent, batch: &mut AppendBatch) -> AppendOutcome {
        if record.length() > self.free_content_bytes() {
            return Err(StorageError::RingFull);
        }
        let mut writer = PartWriter::new(SegmentParts { ring: self, batch }, record.length());
        let written = record.write_to(&mut writer);
        let outcome = writer.finish(written);
        if let Err(error) = &outcome {
            self.drop_incomplete_record(batch, error);
        }
        outcome
    }

    /// Drops what was staged or written since the last sync after a record of which only some parts were. The
    /// records of the batch that were staged before it fail as well, with the same error.
    fn drop_incomplete_record(&mut self, batch: &mut AppendBatch, error: &StorageError) {
        self.tail.unsynced = 0;
        self.generation = self.directory.random();
        batch.fail_staged(self.staged.count, error);
        self.staged.clear(self.chain);
    }

    /// Returns how many bytes of a record fit into the newest segment after the staged records; `None` if no
    /// record can be added to it.
    fn content_space(&self) -> Option<usize> {
        let end = self.tail.end() + (self.staged.bytes.len() + RECORD_HEADER_BYTES) as u64;
        let space = self.directory.options().segment_bytes.checked_sub(end)?;
        (!self.tail.is_sealed).then_some(space as usize)
    }

    /// Returns how many bytes of a record, written in parts, fit into the segments that are free.
    fn free_content_bytes(&self) -> usize {
        let options = self.directory.options();
        let free_segments = options.segments.saturating_sub(self.segments.len());
        let space = self.content_space().map_or(0, |space| space + RECORD_HEADER_BYTES);
        options.content_bytes_in(space) + free_segments * options.content_bytes_in_segment()
    }

    fn flush_and_begin_segment(&mut self, batch: &mut AppendBatch) -> Result<(), StorageError> {
        self.flush(batch)?;
        self.begin_segment()
    }

    /// Writes and syncs the staged records. On failure, replaces their outcomes by the error.
    fn flush(&mut self, batch: &mut AppendBatch) -> Result<(), StorageError> {
        if self.staged.bytes.is_empty() && self.tail.unsynced == 0 {
            return Ok(());
        }
        let written = self.write_staged().and_then(|()| self.tail.sync());
        match &written {
            Ok(()) => self.chain = self.staged.chain,
            Err(error) => {
                self.tail.unsynced = 0;
                self.generation = self.directory.random();
                batch.fail_staged(self.staged.count, error);
            }
        }
        self.staged.clear(self.chain);
        written
    }

    /// Writes the staged bytes without a sync.
    fn write_staged(&mut self) -> Result<(), StorageError> {
        if !self.staged.bytes.is_empty() {
            self.tail.write(&self.staged.bytes)?;
            self.staged.clear_bytes();
        }
        Ok(())
    }

    /// Begins the next segment. Its header and all records of the earlier segments are durable before the
    /// first record is written to it.
    fn begin_segment(&mut self) -> Result<(), StorageError> {
        if self.segments.len() >= self.directory.options().segments {
            return Err(StorageError::RingFull);
        }
        self.tail.is_sealed = true;
        let index = self.segments.back().map_or(0, |newest| newest.index + 1);
        let header = self.directory.header(self.incarnation, index, self.chain, self.released.0);
        let file = self.directory.begin_segment(&header)?;
        self.segments.push_back(LiveSegment { index, first_sequence: self.chain.next_sequence });
        self.tail = Tail::empty(file);
        self.release(self.released);
        Ok(())
    }
}

/// The segments of a ring, as the parts of a long record are written to them.
struct SegmentParts<'a> {
    ring: &'a mut Ring,
    batch: &'a mut AppendBatch,
}

impl PartSink for SegmentParts<'_> {
    fn begin(&mut self) -> Result<OpenPart, StorageError> {
        let max_part_bytes = self.ring.directory.options().max_part_bytes();
        let space = match self.ring.content_space().filter(|space| *space > 0) {
            Some(space) => space.min(max_part_bytes),
            None => {
                self.ring.flush_and_begin_segment(self.batch)?;
                max_part_bytes
            }
        };
        Ok(self.ring.begin_part(space))
    }

    fn extend(&mut self, content: &[u8]) {
        self.ring.staged.bytes.extend_from_slice(content);
    }

    fn finish(&mut self, part: &OpenPart, kind: RecordPart) -> Result<(), StorageError> {
        self.ring.staged.finish(part.start, self.ring.generation, kind);
        if self.ring.staged.bytes.len() < MAX_STAGED_PART_BYTES {
            return Ok(());
        }
        self.ring.write_staged()
    }
}

/// Creates the first segment of a new ring and draws the incarnation.
fn create(directory: &RingDirectory) -> Result<RingState, StorageError> {
    let chain = ChainEnd { next_sequence: FIRST_SEQUENCE, generation: 0 };
    let header = directory.header(directory.random(), 0, chain, 0);
    let file = directory.begin_segment(&header)?;
    Ok(RingState {
        incarnation: header.incarnation,
        segments: vec![LiveSegment { index: header.index, first_sequence: FIRST_SEQUENCE }],
        chain,
        offset: SEGMENT_HEADER_BYTES as u64,
        released: header.released,
        file,
    })
}
