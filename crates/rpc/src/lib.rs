//! Calls between the processes of the system: `bincode` bodies over HTTP.
//!
//! A caller posts a serialized request to a path of a peer's internal address and reads a serialized reply.
//! Each plane owns its paths; [`handler`] turns an async function into an endpoint for one.

mod client;
mod error;
mod http;
mod server;
mod transport;

pub use client::Client;
pub use error::CallError;
pub use http::http_client;
pub use server::{handler, serve};
pub use transport::{HttpTransport, Transport};

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Largest internal message.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Serializes a message.
///
/// # Panics
///
/// Never for the message types of this system: only types that cannot be serialized at all would fail.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("messages can be serialized")
}

/// Reads a message; bytes behind it are an error.
///
/// # Errors
///
/// When the bytes are no such message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
        Ok((message, read)) if read == bytes.len() => Ok(message),
        _ => Err(DecodeError),
    }
}

/// Bytes that are no message of the expected type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the bytes are no message of the expected type")
    }
}

impl std::error::Error for DecodeError {}
