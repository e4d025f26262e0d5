//! Durable state in a ring of preallocated files.
//!
//! A [`Journal`] appends records and reports when they are durable. To free space, its owner periodically
//! appends a copy of the state that it still needs and releases all records before the copy. A separate
//! thread makes the calls to the disk, so that a stalled disk blocks nothing else.
//!
//! # Guarantees
//!
//! - An acknowledged record survives the end of the process and a loss of power until it is released.
//! - A record whose append failed or was not yet acknowledged may or may not be present after a restart. If
//!   it is present, it is at the position where it was appended, and never after a record that was
//!   acknowledged later.
//! - The next open may still return released records.
//! - All records that an open returns are durable when it completes.
//!
//! # Modules
//!
//! `format` defines the bytes of a segment and `layout` the files of a ring. `recovery` reads the files when
//! a ring is opened, with the help of `read_ahead` and `record_assembly`. [`Ring`] appends to them, long records
//! by `part_writer`, and `append_queue` passes records from the callers of a [`Journal`] to the ring. A
//! [`RecordReader`] reads records again by their [`RecordLocation`], on the thread of
//! `read_queue`. All modules access the disk through [`FileSystem`],
//! implemented by [`NativeFileSystem`] and by the [`simulated`] disk. [`set_aside`] renames the files of a
//! ring whose records its owner cannot read.

mod append_queue;
mod error;
mod file_system;
mod format;
mod journal;
mod layout;
mod native;
mod part_writer;
mod read_ahead;
mod read_queue;
mod record_assembly;
mod record_content;
mod record_location;
mod record_reader;
mod recovered_record;
mod recovery;
mod ring;
mod set_aside;
pub mod simulated;
mod tail;

pub use error::StorageError;
pub use file_system::{File, FileSystem};
pub use journal::{Journal, Recovered, RingLocation};
pub use layout::{Position, RingOptions};
pub use native::NativeFileSystem;
pub use read_queue::ReadTask;
pub use record_content::RecordContent;
pub use record_location::{Extent, RecordLocation};
pub use record_reader::{RecordReader, RecordSource};
pub use recovered_record::RecoveredRecord;
pub use ring::{Ring, RingIdentity, RingUsage};
pub use set_aside::{is_set_aside_interrupted, set_aside};
