//! The state that all processes share, and the decisions that change it. No I/O and no clock.
//!
//! [`ControlState`] is the value of the replicated register: members, operator's configuration, fencing token.
//! [`ServerList`] is what the leader read from the platform. [`View`] joins both into the immutable snapshot that a
//! process acts on. [`change`] holds the pure functions that lead from one control state to the next; the control
//! plane proposes their results to the register.

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
