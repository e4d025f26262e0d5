//! The state that the planes exchange.
//!
//! [`ControlState`] is the value of the replicated register. [`ServerList`] is what the holder of the leader
//! lease read from the platform. [`View`] joins both into the immutable snapshot that a process acts on.
//! [`change`] holds the decisions that lead from one control state to the next.

pub mod change;
mod control;
mod document;
mod servers;
mod view;

pub use control::{
    AppliedChange, ControlState, DrainState, StoreMember, StoreSet, FIRST_REVISION, MAX_APPLIED_CHANGES,
};
pub use document::{Document, DocumentError};
pub use servers::{ServerCondition, ServerEntry, ServerId, ServerList, ServerListVersion};
pub use view::View;
