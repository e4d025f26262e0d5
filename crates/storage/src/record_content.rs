//! [`RecordContent`]: the content of a record that is appended.

use std::io;

/// The content of a record. It is written piece by piece, so that the encoded form of a long record need not be
/// in memory.
pub trait RecordContent: Send + Sync {
    /// Returns the number of bytes that [`write_to`](Self::write_to) writes.
    fn length(&self) -> usize;

    /// Writes the content.
    ///
    /// # Errors
    ///
    /// Returns the errors of `writer`; the content itself can always be encoded.
    fn write_to(&self, writer: &mut dyn io::Write) -> io::Result<()>;
}

impl RecordContent for Vec<u8> {
    fn length(&self) -> usize {
        self.len()
    }

    fn write_to(&self, writer: &mut dyn io::Write) -> io::Result<()> {
        writer.write_all(self)
    }
}

impl RecordContent for &[u8] {
    fn length(&self) -> usize {
        self.len()
    }

    fn write_to(&self, writer: &mut dyn io::Write) -> io::Result<()> {
        writer.write_all(self)
    }
}
