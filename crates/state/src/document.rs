//! The text of the operator's configuration: compressed, shared between copies of a state, and known by its digest.
//!
//! A control state travels whole in each round of the register, so its largest part must be small on the wire and
//! cheap to copy and compare. The text is unpacked where it is read.

use std::fmt;
use std::io::{Read, Write};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_128;

/// The longest text that is unpacked.
const TEXT_BYTES_MOST: u64 = 64 * 1024 * 1024;

/// A text that is stored and sent compressed. Clones share it; two are equal if their digests are.
#[derive(Clone, Default)]
pub struct Document {
    content: Arc<Content>,
}

#[derive(Default)]
struct Content {
    /// XXH3, 128 bits, of the text; 0 of the empty one.
    digest: u128,
    /// Deflated; empty for the empty text.
    packed: Bytes,
    text: OnceLock<String>,
}

/// The bytes of a document are not those of its text.
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
        let packed = pack(text.as_bytes()).into();
        Self { content: Arc::new(Content { digest, packed, text: OnceLock::from(text) }) }
    }

    /// The text; unpacked at the first call.
    ///
    /// # Errors
    ///
    /// When the bytes that were received are not those of a text with the digest that came along.
    pub fn text(&self) -> Result<&str, DocumentError> {
        if let Some(text) = self.content.text.get() {
            return Ok(text);
        }
        let text = self.content.unpack()?;
        Ok(self.content.text.get_or_init(|| text))
    }

    /// How many bytes the text takes where it is stored or sent.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.content.packed.len()
    }
}

impl Content {
    fn unpack(&self) -> Result<String, DocumentError> {
        if self.packed.is_empty() && self.digest == 0 {
            return Ok(String::new());
        }
        let mut text = String::new();
        let mut unpacked = DeflateDecoder::new(&*self.packed).take(TEXT_BYTES_MOST);
        unpacked.read_to_string(&mut text).map_err(|_| DocumentError)?;
        let is_same = xxh3_128(text.as_bytes()) == self.digest;
        is_same.then_some(text).ok_or(DocumentError)
    }
}

fn pack(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(text).and_then(|()| encoder.finish());
    written.expect("memory can be written to")
}

impl PartialEq for Document {
    fn eq(&self, other: &Self) -> bool {
        self.content.digest == other.content.digest
    }
}

impl Eq for Document {}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({:032x}, {} bytes)", self.content.digest, self.packed_bytes())
    }
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.content.digest, &self.content.packed).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (digest, packed) = Deserialize::deserialize(deserializer)?;
        Ok(Self { content: Arc::new(Content { digest, packed, text: OnceLock::new() }) })
    }
}
