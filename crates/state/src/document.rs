//! The text of the operator's configuration: compressed, shared between clones, and compared by its digest.
//!
//! Each round of the register sends a complete control state, so its largest part must be small on the wire and cheap
//! to clone and compare. The text is decompressed where it is read.

use std::fmt;
use std::io::{Read, Write};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_128;

/// The longest text that is decompressed.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// A text that is stored and sent compressed. Clones share it; two are equal if their digests are.
#[derive(Clone, Default)]
pub struct Document {
    content: Arc<Content>,
}

#[derive(Default)]
struct Content {
    /// XXH3, 128 bits, of the text; 0 of the empty one.
    digest: u128,
    /// The text in deflate format; empty for the empty text.
    compressed: Bytes,
    /// The text, once it was decompressed.
    text: OnceLock<String>,
}

/// The bytes of a document do not decompress to a text with its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentError;

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stored text cannot be unpacked")
    }
}

impl std::error::Error for DocumentError {}

impl Document {
    /// A document with this text.
    #[must_use]
    pub fn new(text: String) -> Self {
        if text.is_empty() {
            return Self::default();
        }
        let digest = xxh3_128(text.as_bytes());
        let compressed = compress(text.as_bytes()).into();
        Self { content: Arc::new(Content { digest, compressed, text: OnceLock::from(text) }) }
    }

    /// The text; decompressed by the first call.
    ///
    /// # Errors
    ///
    /// When the received bytes do not decompress to a text with the received digest.
    pub fn text(&self) -> Result<&str, DocumentError> {
        if let Some(text) = self.content.text.get() {
            return Ok(text);
        }
        let text = self.content.decompress()?;
        Ok(self.content.text.get_or_init(|| text))
    }

    /// The size of the compressed text, in bytes.
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
