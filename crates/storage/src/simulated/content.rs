//! The bytes of a simulated file.

use std::path::Path;

use super::{PendingWrite, WriteFaultModel, WriteOutcome};

const PAGE_BYTES: u64 = 4096;

/// Bytes with a length; what lies behind the bytes is zero and takes no space.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    bytes: Vec<u8>,
    length: u64,
}

impl Content {
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Space on the disk.
    pub(super) fn allocated(&self) -> u64 {
        (self.bytes.len() as u64).next_multiple_of(PAGE_BYTES)
    }

    pub(super) fn read(&self, offset: u64, buffer: &mut [u8]) -> usize {
        let count = self.length.saturating_sub(offset).min(buffer.len() as u64) as usize;
        let held = self.bytes.get(offset as usize..).unwrap_or_default();
        let copied = held.len().min(count);
        buffer[..copied].copy_from_slice(&held[..copied]);
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

/// A change that no sync covers.
#[derive(Clone, Debug)]
enum Change {
    Write { offset: u64, bytes: Vec<u8> },
    SetLength(u64),
}

impl Change {
    fn apply(&self, content: &mut Content) {
        match self {
            Self::Write { offset, bytes } => content.write(*offset, bytes),
            Self::SetLength(length) => content.set_length(*length),
        }
    }

    fn apply_fate(&self, content: &mut Content, fate: WriteOutcome) {
        match (self, fate) {
            (_, WriteOutcome::Absent) | (Self::SetLength(_), WriteOutcome::Torn(_)) => {}
            (_, WriteOutcome::Present) => self.apply(content),
            (Self::Write { offset, bytes }, WriteOutcome::Torn(parts)) => {
                for part in parts {
                    content.write(offset + part.start as u64, &bytes[part]);
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

/// A file: what programs see, what is durable, and what lies between.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredFile {
    seen: Content,
    durable: Content,
    changes: Vec<Change>,
    pub(super) is_name_durable: bool,
}

impl StoredFile {
    pub(super) fn seen(&self) -> &Content {
        &self.seen
    }

    pub(super) fn write(&mut self, offset: u64, bytes: &[u8]) {
        self.change(Change::Write { offset, bytes: bytes.to_vec() });
    }

    pub(super) fn set_length(&mut self, length: u64) {
        self.change(Change::SetLength(length));
    }

    fn change(&mut self, change: Change) {
        change.apply(&mut self.seen);
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

    /// Leaves what a loss of power leaves; false if the file is gone.
    pub(super) fn lose_power(&mut self, path: &Path, fates: &mut dyn WriteFaultModel) -> bool {
        if !self.is_name_durable && !fates.keeps_name(path) {
            return false;
        }
        for change in self.changes.drain(..) {
            let fate = fates.write(&change.pending(path));
            change.apply_fate(&mut self.durable, fate);
        }
        self.seen = self.durable.clone();
        self.is_name_durable = true;
        true
    }

    /// Changes a byte behind the back of all programs.
    pub(super) fn corrupt(&mut self, offset: u64) {
        let mut byte = [0];
        self.seen.read(offset, &mut byte);
        let flipped = [!byte[0]];
        self.seen.write(offset, &flipped);
        self.durable.write(offset, &flipped);
    }
}
