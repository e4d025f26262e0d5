//! Where the entries of a log stand in the records of the journal.

use std::io;
use std::ops::Range;
use std::sync::Arc;

use batch::{Entry, LoadError, LogEntry, Record, StoredEntry};
use storage::{RecordLocation, RecordSource};

/// The encoded form of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EncodedForm {
    /// Length in bytes.
    bytes: u64,
    /// CRC-32 of the bytes.
    checksum: u32,
}

/// An entry, and where it stands in the content of a journal record.
#[derive(Debug)]
pub(super) struct PlacedEntry {
    pub entry: LogEntry,
    range: Range<u64>,
    checksum: u32,
}

/// The entries of the records of batch jobs that are written as one record of the journal.
#[derive(Debug, Default)]
pub(super) struct RecordLayout {
    pub entries: Vec<PlacedEntry>,
    /// Length of the content of the journal record in bytes.
    pub length: u64,
}

impl RecordLayout {
    /// Returns the layout of the encoded form of `records`. Blocks on the disk only for entries that are neither
    /// in memory nor stored by a [`JournalEntry`].
    ///
    /// # Errors
    ///
    /// Fails if the content of an entry cannot be read.
    pub fn of(records: &[Record]) -> Result<Self, LoadError> {
        let mut layout = Self { entries: Vec::new(), length: rpc::encoded_length(&records.len()) as u64 };
        for record in records {
            layout.add(record)?;
        }
        Ok(layout)
    }

    /// Adds a record. Its entries are its last field, so that they stand at its end.
    fn add(&mut self, record: &Record) -> Result<(), LoadError> {
        let entries = record.entries();
        self.length += rpc::encoded_length(&record.without_entries()) as u64;
        if entries.is_empty() {
            return Ok(());
        }
        self.length += rpc::encoded_length(&entries.len()) as u64;
        self.length -= rpc::encoded_length(&0_usize) as u64;
        for entry in entries {
            let EncodedForm { bytes, checksum } = encoded_form(entry)?;
            let range = self.length..self.length + bytes;
            self.length = range.end;
            self.entries.push(PlacedEntry { entry: entry.clone(), range, checksum });
        }
        Ok(())
    }
}

impl PlacedEntry {
    /// Records that the entry is stored in the journal record at `location`. Returns whether it was not stored
    /// before.
    pub fn set_stored(&self, source: &Arc<dyn RecordSource>, location: &RecordLocation) -> bool {
        let stored = JournalEntry {
            source: Arc::clone(source),
            location: location.clone(),
            range: self.range.clone(),
            checksum: self.checksum,
        };
        self.entry.set_stored(Arc::new(stored))
    }
}

/// An entry in a record of the journal.
struct JournalEntry {
    source: Arc<dyn RecordSource>,
    location: RecordLocation,
    range: Range<u64>,
    checksum: u32,
}

impl StoredEntry for JournalEntry {
    fn load(&self) -> Result<Entry, LoadError> {
        let read = self.source.read(&self.location, self.range.clone());
        let bytes = read.map_err(|error| LoadError(error.to_string()))?;
        if crc32fast::hash(&bytes) != self.checksum {
            return Err(LoadError("its bytes have changed".to_owned()));
        }
        rpc::decode(&bytes).map_err(|error| LoadError(error.to_string()))
    }

    fn read(&self, range: Range<u64>) -> Result<Vec<u8>, LoadError> {
        let (start, end) = (self.range.start + range.start, self.range.start + range.end);
        if end > self.range.end {
            return Err(LoadError("it is shorter than expected".to_owned()));
        }
        self.source.read(&self.location, start..end).map_err(|error| LoadError(error.to_string()))
    }

    fn encoded_form(&self) -> (u64, u32) {
        (self.range.end - self.range.start, self.checksum)
    }
}

/// Returns the encoded form of an entry. One that is stored is not read for it.
fn encoded_form(entry: &LogEntry) -> Result<EncodedForm, LoadError> {
    if let Some(stored) = entry.stored() {
        let (bytes, checksum) = stored.encoded_form();
        return Ok(EncodedForm { bytes, checksum });
    }
    let mut digest = Digest { bytes: 0, checksum: crc32fast::Hasher::new() };
    rpc::encode_into(&*entry.load()?, &mut digest).map_err(|error| LoadError(error.to_string()))?;
    Ok(EncodedForm { bytes: digest.bytes, checksum: digest.checksum.finalize() })
}

/// Writer that keeps only the length and the checksum of what is written.
struct Digest {
    bytes: u64,
    checksum: crc32fast::Hasher,
}

impl io::Write for Digest {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len() as u64;
        self.checksum.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
