//! A simulated file: its visible and durable content, and its unsynced changes.

use std::path::Path;

use super::write_faults::{PendingWrite, WriteFaultModel, WriteOutcome};

/// Size of the pages in which space is allocated.
const PAGE_BYTES: u64 = 4096;

/// Content of a file. The file is zero from the end of `bytes` to `length`; that part allocates no space.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    bytes: Vec<u8>,
    length: u64,
}

impl Content {
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Returns the allocated space in bytes, a multiple of [`PAGE_BYTES`].
    pub(super) fn allocated(&self) -> u64 {
        (self.bytes.len() as u64).next_multiple_of(PAGE_BYTES)
    }

    /// Reads up to the end of the content and returns the number of bytes read.
    pub(super) fn read(&self, offset: u64, buffer: &mut [u8]) -> usize {
        let count = self.length.saturating_sub(offset).min(buffer.len() as u64) as usize;
        let stored = self.bytes.get(offset as usize..).unwrap_or_default();
        let copied = stored.len().min(count);
        buffer[..copied].copy_from_slice(&stored[..copied]);
        buffer[copied..count].fill(0);
        count
    }

    pub(super) fn write(&mut self, offset: u64, bytes: &[u8]) {
        let (start, end) = (offset as usize, offset as usize + bytes.len());
        if self.bytes.len() < end {
            self.bytes.resize(end, 0);
        }
        self.bytes[start..end].copy_from_slice(bytes);
        self.length = self.length.max(end as u64);
    }

    pub(super) fn set_length(&mut self, length: u64) {
        self.bytes.truncate(length as usize);
        self.length = length;
    }
}

/// A change of a file that was not synced yet.
#[derive(Clone, Debug)]
enum UnsyncedChange {
    Write { offset: u64, bytes: Vec<u8> },
    SetLength(u64),
}

impl UnsyncedChange {
    fn apply(&self, content: &mut Content) {
        match self {
            Self::Write { offset, bytes } => content.write(*offset, bytes),
            Self::SetLength(length) => content.set_length(*length),
        }
    }

    fn apply_outcome(&self, content: &mut Content, outcome: WriteOutcome) {
        match (self, outcome) {
            (_, WriteOutcome::Lost) | (Self::SetLength(_), WriteOutcome::Torn(_)) => {}
            (_, WriteOutcome::Complete) => self.apply(content),
            (Self::Write { offset, bytes }, WriteOutcome::Torn(ranges)) => {
                for range in ranges {
                    content.write(offset + range.start as u64, &bytes[range]);
                }
            }
        }
    }

    fn pending<'a>(&self, path: &'a Path) -> PendingWrite<'a> {
        match self {
            Self::Write { offset, bytes } => PendingWrite { path, offset: *offset, length: bytes.len() },
            Self::SetLength(length) => PendingWrite { path, offset: *length, length: 0 },
        }
    }
}

/// A file: the content that processes read, the durable content, and the unsynced changes that lead from the
/// durable to the visible content.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredFile {
    visible: Content,
    durable: Content,
    changes: Vec<UnsyncedChange>,
    /// Whether the file itself, apart from its content, survives a loss of power.
    pub(super) is_name_durable: bool,
}

impl StoredFile {
    pub(super) fn visible(&self) -> &Content {
        &self.visible
    }

    pub(super) fn write(&mut self, offset: u64, bytes: &[u8]) {
        self.change(UnsyncedChange::Write { offset, bytes: bytes.to_vec() });
    }

    pub(super) fn set_length(&mut self, length: u64) {
        self.change(UnsyncedChange::SetLength(length));
    }

    fn change(&mut self, change: UnsyncedChange) {
        change.apply(&mut self.visible);
        self.changes.push(change);
    }

    pub(super) fn sync(&mut self) {
        for change in self.changes.drain(..) {
            change.apply(&mut self.durable);
        }
        self.is_name_durable = true;
    }

    pub(super) fn pending<'a>(&'a self, path: &'a Path) -> impl Iterator<Item = PendingWrite<'a>> {
        self.changes.iter().map(move |change| change.pending(path))
    }

    /// Applies a loss of power to the file; returns false if the file does not survive.
    pub(super) fn lose_power(&mut self, path: &Path, faults: &mut dyn WriteFaultModel) -> bool {
        if !self.is_name_durable && !faults.keeps_name(path) {
            return false;
        }
        for change in self.changes.drain(..) {
            let outcome = faults.write_outcome(&change.pending(path));
            change.apply_outcome(&mut self.durable, outcome);
        }
        self.visible = self.durable.clone();
        self.is_name_durable = true;
        true
    }

    /// Flips all bits of the byte at `offset`, in the visible and in the durable content.
    pub(super) fn corrupt(&mut self, offset: u64) {
        let mut byte = [0];
        self.visible.read(offset, &mut byte);
        let flipped = [!byte[0]];
        self.visible.write(offset, &flipped);
        self.durable.write(offset, &flipped);
    }
}
