//! Durable state in a ring of preallocated files.
//!
//! A [`Journal`] appends records and tells when they are durable; its owner writes what it still needs again from
//! time to time and releases what lies before. The calls of the disk run on a thread of their own, so that a
//! stalled disk stops nothing else.
//!
//! # Guarantees
//!
//! - An acknowledged record survives the end of the process and a loss of power until it is released.
//! - A record whose append failed, or was not yet acknowledged, may be there after a restart or not; if it is, it
//!   stands where it was appended, and never after a record that was acknowledged later.
//! - Released records may still be returned by the next start.
//! - What a start returns is durable before it is returned.

mod error;
mod file_system;
mod format;
mod journal;
mod native;
mod recovery;
mod ring;
pub mod simulated;

pub use error::StorageError;
pub use file_system::{File, FileSystem};
pub use journal::Journal;
pub use native::NativeFileSystem;
pub use recovery::Recovered;
pub use ring::{Position, Ring, RingIdentity, RingOptions, Usage};
