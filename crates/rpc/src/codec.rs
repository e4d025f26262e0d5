//! Encoding of messages: `bincode` with its standard configuration.
//!
//! Fields and variants are encoded by position. Their names may change between versions of the software, but
//! not their order, number or types.

use std::fmt;
use std::io;

use bincode::error::{DecodeError as BincodeError, EncodeError};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes a message for [`decode`], into memory that is allocated once.
///
/// # Panics
///
/// Panics if the type cannot be serialized. All message types of this system can be.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(encoded_length(message));
    encode_into(message, &mut bytes).expect("messages can be serialized");
    bytes
}

/// Writes the encoded form of a message to `writer`, piece by piece.
///
/// # Errors
///
/// Returns the errors of `writer`.
pub fn encode_into<T: Serialize>(message: &T, writer: &mut dyn io::Write) -> io::Result<()> {
    let mut writer = writer;
    match bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard()) {
        Ok(_) => Ok(()),
        Err(EncodeError::Io { inner, .. }) => Err(inner),
        Err(error) => Err(io::Error::other(error)),
    }
}

/// Returns the length of the encoded form of a message in bytes.
///
/// # Panics
///
/// Panics if the type cannot be serialized, as [`encode`] does.
#[must_use]
pub fn encoded_length<T: Serialize>(message: &T) -> usize {
    let mut counter = ByteCounter { bytes: 0 };
    encode_into(message, &mut counter).expect("messages can be serialized");
    counter.bytes
}

/// Writer that counts the bytes and discards them.
struct ByteCounter {
    bytes: usize,
}

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// Fails if the bytes do not encode a message of type `T`, or if further bytes follow it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
        Ok((message, read)) if read == bytes.len() => Ok(message),
        _ => Err(DecodeError),
    }
}

/// Decodes a message of `length` bytes while it is read, so that its encoded form need not be in memory.
///
/// # Errors
///
/// Returns the errors of `reader`, or [`io::ErrorKind::InvalidData`] if the bytes do not encode exactly one
/// message of type `T`.
pub fn decode_from<T: DeserializeOwned>(reader: &mut dyn io::Read, length: usize) -> io::Result<T> {
    let mut reader = CountingReader { reader, bytes: 0 };
    match bincode::serde::decode_from_std_read(&mut reader, bincode::config::standard()) {
        Ok(message) if reader.bytes == length => Ok(message),
        Err(BincodeError::Io { inner, .. }) if inner.kind() != io::ErrorKind::UnexpectedEof => Err(inner),
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, DecodeError)),
    }
}

/// Reader that counts the bytes.
struct CountingReader<'a> {
    reader: &'a mut dyn io::Read,
    bytes: usize,
}

impl io::Read for CountingReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buffer)?;
        self.bytes += count;
        Ok(count)
    }
}

/// Error of [`decode`]: the bytes do not encode exactly one message of the expected type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes do not encode a message of the expected type")
    }
}

impl std::error::Error for DecodeError {}
