//! The state that all processes share, and the pure functions that change it. This crate performs no I/O and
//! reads no clock.
//!
//! - [`ControlState`] is the value of the replicated register: members, operator's configuration, fencing
//!   token.
//! - [`ServerList`] contains the model servers, as read from the platform.
//! - [`View`] combines both into the immutable snapshot that a process acts on.
//! - [`change`] contains the functions that compute the next control state from the current one. The control
//!   plane proposes their results to the register.

pub mod change;
mod control;
mod document;
mod server_list;
mod view;

pub use control::{
    AppliedChange, ControlState, DrainState, StoreMember, StoreSet, INITIAL_REVISION, MAX_APPLIED_CHANGES,
};
pub use document::{Document, DocumentError};
pub use server_list::{ServerCondition, ServerEntry, ServerId, ServerList, ServerListVersion};
pub use view::View;
