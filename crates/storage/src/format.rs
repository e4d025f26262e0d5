//! Binary format of a segment: a header, followed by records without gaps.
//!
//! Each record contains its sequence number, the *generation* of its writer (a random number drawn at each
//! open of the ring and after each failed write) and the generation of the previous record. The records thus
//! form a chain, which bytes left from an earlier use of the file cannot continue. All integers are
//! little-endian.
//!
//! A record that is longer than a segment is written as several [parts](RecordPart), each with a header and a
//! sequence number of its own.

/// Length of the header of a segment, including its checksum.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 64;
/// Length of the header of a record; the content of the record follows it.
pub(crate) const RECORD_HEADER_BYTES: usize = 32;

/// The first bytes of each segment. The last of them is the version of the format.
const MAGIC: u64 = u64::from_le_bytes(*b"ringseg1");
const CHECKSUM_BYTES: usize = 4;
/// Bit of the length field of a record: the content continues that of the previous record.
const CONTINUES_PREVIOUS: u32 = 1 << 31;
/// Bit of the length field of a record: the next record continues the content.
const CONTINUED_BY_NEXT: u32 = 1 << 30;
/// Maximum length of the content of a record or part in bytes; the remaining bits of the length field.
pub(crate) const MAX_CONTENT_BYTES: usize = CONTINUED_BY_NEXT as usize - 1;
const SEGMENT_CHECKSUM_OFFSET: usize = SEGMENT_HEADER_BYTES - CHECKSUM_BYTES;

/// End of a chain of records: what the header of the next record must contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChainEnd {
    /// Sequence number of the next record.
    pub next_sequence: u64,
    /// Generation of the last record; 0 if there is none.
    pub generation: u64,
}

/// Decoded header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    /// Random number drawn when the ring was created. Segments with another number belong to another ring.
    pub incarnation: u64,
    /// Number of the segment, counted from the first one ever written.
    pub index: u64,
    /// End of the chain of records before this segment.
    pub chain: ChainEnd,
    /// Records below this sequence number were released before this segment was begun.
    pub released: u64,
    /// Size of each segment of the ring in bytes.
    pub segment_bytes: u64,
    /// Number of segments of the ring.
    pub segments: u32,
}

impl SegmentHeader {
    pub(crate) fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        let fields = [
            MAGIC,
            self.incarnation,
            self.index,
            self.chain.next_sequence,
            self.chain.generation,
            self.released,
            self.segment_bytes,
        ];
        for (target, field) in bytes.chunks_exact_mut(8).zip(fields) {
            target.copy_from_slice(&field.to_le_bytes());
        }
        bytes[56..60].copy_from_slice(&self.segments.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..SEGMENT_CHECKSUM_OFFSET]);
        bytes[SEGMENT_CHECKSUM_OFFSET..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a header; `None` if its checksum or its magic number is wrong.
    pub(crate) fn decode(bytes: &[u8; SEGMENT_HEADER_BYTES]) -> Option<Self> {
        let checksum = crc32fast::hash(&bytes[..SEGMENT_CHECKSUM_OFFSET]);
        let is_valid = read_u32(bytes, SEGMENT_CHECKSUM_OFFSET) == checksum && read_u64(bytes, 0) == MAGIC;
        is_valid.then(|| Self {
            incarnation: read_u64(bytes, 8),
            index: read_u64(bytes, 16),
            chain: ChainEnd { next_sequence: read_u64(bytes, 24), generation: read_u64(bytes, 32) },
            released: read_u64(bytes, 40),
            segment_bytes: read_u64(bytes, 48),
            segments: read_u32(bytes, 56),
        })
    }
}

/// Which part of a record the content after a record header is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordPart {
    /// All of a record.
    Complete,
    /// The first of several parts.
    First,
    /// A part between the first and the last one.
    Middle,
    /// The last of several parts.
    Last,
}

impl RecordPart {
    /// Returns the part that a piece of a record is.
    pub(crate) fn new(is_first: bool, is_last: bool) -> Self {
        match (is_first, is_last) {
            (true, true) => Self::Complete,
            (true, false) => Self::First,
            (false, false) => Self::Middle,
            (false, true) => Self::Last,
        }
    }

    /// Whether a record begins with this part.
    pub(crate) fn is_first(self) -> bool {
        matches!(self, Self::Complete | Self::First)
    }

    /// Whether a record ends with this part.
    pub(crate) fn is_last(self) -> bool {
        matches!(self, Self::Complete | Self::Last)
    }

    fn from_length_field(field: u32) -> Self {
        Self::new(field & CONTINUES_PREVIOUS == 0, field & CONTINUED_BY_NEXT == 0)
    }

    /// Returns the bits of the length field that encode this part.
    fn bits(self) -> u32 {
        let previous = if self.is_first() { 0 } else { CONTINUES_PREVIOUS };
        let next = if self.is_last() { 0 } else { CONTINUED_BY_NEXT };
        previous | next
    }
}

/// Decoded header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    /// CRC-32 of the rest of the header and of the content.
    checksum: u32,
    /// Length of the content in bytes.
    pub length: u32,
    /// Which part of a record the content is.
    pub part: RecordPart,
    sequence: u64,
    pub generation: u64,
    previous_generation: u64,
}

impl RecordHeader {
    /// Decodes a header without verifying its checksum, which also covers the content.
    pub(crate) fn decode(bytes: &[u8; RECORD_HEADER_BYTES]) -> Self {
        let length_field = read_u32(bytes, 4);
        Self {
            checksum: read_u32(bytes, 0),
            length: length_field & MAX_CONTENT_BYTES as u32,
            part: RecordPart::from_length_field(length_field),
            sequence: read_u64(bytes, 8),
            generation: read_u64(bytes, 16),
            previous_generation: read_u64(bytes, 24),
        }
    }

    /// Returns whether this is the header of the next record of the chain. Does not verify the checksum.
    pub(crate) fn continues(&self, chain: ChainEnd) -> bool {
        self.sequence == chain.next_sequence && self.previous_generation == chain.generation
    }

    /// Returns whether the checksum matches this header and `content`.
    pub(crate) fn verifies(&self, content: &[u8]) -> bool {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.encode()[CHECKSUM_BYTES..]);
        hasher.update(content);
        hasher.finalize() == self.checksum
    }

    fn encode(&self) -> [u8; RECORD_HEADER_BYTES] {
        let mut bytes = [0; RECORD_HEADER_BYTES];
        bytes[0..4].copy_from_slice(&self.checksum.to_le_bytes());
        bytes[4..8].copy_from_slice(&(self.length | self.part.bits()).to_le_bytes());
        bytes[8..16].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.generation.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.previous_generation.to_le_bytes());
        bytes
    }
}

/// Appends space for the header of a record, or of a part of one, to `buffer`. The content is appended behind
/// it, and then [`finish_record`] is called.
pub(crate) fn begin_record(buffer: &mut Vec<u8>) {
    buffer.extend_from_slice(&[0; RECORD_HEADER_BYTES]);
}

/// Writes the header of a record that begins at `start` and whose content ends with `buffer`. Returns the new
/// end of the chain.
pub(crate) fn finish_record(
    buffer: &mut [u8],
    start: usize,
    chain: ChainEnd,
    generation: u64,
    part: RecordPart,
) -> ChainEnd {
    let header = RecordHeader {
        checksum: 0,
        length: (buffer.len() - start - RECORD_HEADER_BYTES) as u32,
        part,
        sequence: chain.next_sequence,
        generation,
        previous_generation: chain.generation,
    };
    buffer[start..start + RECORD_HEADER_BYTES].copy_from_slice(&header.encode());
    let checksum = crc32fast::hash(&buffer[start + CHECKSUM_BYTES..]);
    buffer[start..start + CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    ChainEnd { next_sequence: chain.next_sequence + 1, generation }
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut field = [0; 4];
    field.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(field)
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut field = [0; 8];
    field.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(field)
}

#[cfg(test)]
#[path = "../tests/golden/format.rs"]
mod golden_format;
