//! Encoding of messages: `bincode` with its standard configuration.
//!
//! Fields and variants are encoded by position. Their names may change between versions of the software, but
//! not their order, number or types.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes a message for [`decode`].
///
/// # Panics
///
/// Panics if the type cannot be serialized. All message types of this system can be.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("messages can be serialized")
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

/// Error of [`decode`]: the bytes do not encode exactly one message of the expected type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes do not encode a message of the expected type")
    }
}

impl std::error::Error for DecodeError {}
