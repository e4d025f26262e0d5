//! Distribution of the newest control state and server list: every process receives them by long polls of
//! another process.
//!
//! This module owns the messages of the poll and the updates in them. [`Poller`] is one of the writers of the
//! view; [`PollService`] only reads it. Updates contain only what the receiver lacks: the configuration if
//! its version has changed, and the servers that differ from a list that the receiver has.

mod control_update;
mod messages;
mod poll_service;
mod poller;
mod server_update;

pub use control_update::ControlUpdate;
pub use messages::{PollReply, PollRequest};
pub use poll_service::PollService;
pub use poller::Poller;
pub use server_update::{RecentLists, ServerChanges, ServerUpdate, VersionChange};
