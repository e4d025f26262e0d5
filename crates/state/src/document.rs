//! Text of the operator's configuration: compressed, shared between clones, and compared by its digest.
//!
//! Each round of the register sends a complete control state, and the configuration is its largest part. The
//! configuration must therefore be small on the wire and cheap to clone and compare. Its text is decompressed
//! only when it is read.

use std::fmt;
use std::io::{Read, Write};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_128;

/// Maximum length of the decompressed text, in bytes. A longer text is truncated to this length and then
/// rejected, because its digest differs.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// Text that is stored and sent in compressed form. Clones share the text. Two documents are equal if their
/// digests are equal.
#[derive(Clone, Default)]
pub struct Document {
    content: Arc<Content>,
}

/// Data that all clones of a document share.
#[derive(Default)]
struct Content {
    /// 128-bit XXH3 digest of the text; 0 for the empty text.
    digest: u128,
    /// Text in deflate format; empty for the empty text.
    compressed: Bytes,
    /// Decompressed text; set by [`Document::new`] or by the first call of [`Document::text`].
    text: OnceLock<String>,
}

/// Error of a corrupt document, whose compressed bytes do not decompress to a text with its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentError;

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stored text cannot be unpacked")
    }
}

impl std::error::Error for DocumentError {}

impl Document {
    /// Compresses a text into a document.
    #[must_use]
    pub fn new(text: String) -> Self {
        if text.is_empty() {
            return Self::default();
        }
        let digest = xxh3_128(text.as_bytes());
        let compressed = compress(text.as_bytes()).into();
        Self { content: Arc::new(Content { digest, compressed, text: OnceLock::from(text) }) }
    }

    /// Returns the text. The first call on a received document decompresses it.
    ///
    /// # Errors
    ///
    /// [`DocumentError`] if the received bytes do not decompress to a text with the received digest.
    pub fn text(&self) -> Result<&str, DocumentError> {
        if let Some(text) = self.content.text.get() {
            return Ok(text);
        }
        let text = self.content.decompress()?;
        Ok(self.content.text.get_or_init(|| text))
    }

    /// Returns the size of the compressed text, in bytes.
    #[must_use]
    pub fn compressed_bytes(&self) -> usize {
        self.content.compressed.len()
    }
}

impl Content {
    fn decompress(&self) -> Result<String, DocumentError> {
        if self.compressed.is_empty() && self.digest == 0 {
            return Ok(String::new());
        }
        let mut text = String::new();
        let mut decoder = DeflateDecoder::new(&*self.compressed).take(MAX_TEXT_BYTES);
        decoder.read_to_string(&mut text).map_err(|_| DocumentError)?;
        let is_intact = xxh3_128(text.as_bytes()) == self.digest;
        is_intact.then_some(text).ok_or(DocumentError)
    }
}

fn compress(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(text).and_then(|()| encoder.finish());
    written.expect("writing to memory does not fail")
}

impl PartialEq for Document {
    fn eq(&self, other: &Self) -> bool {
        self.content.digest == other.content.digest
    }
}

impl Eq for Document {}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({:032x}, {} bytes)", self.content.digest, self.compressed_bytes())
    }
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.content.digest, &self.content.compressed).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (digest, compressed) = Deserialize::deserialize(deserializer)?;
        Ok(Self { content: Arc::new(Content { digest, compressed, text: OnceLock::new() }) })
    }
}
