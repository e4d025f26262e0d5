//! Liveness of processes: pings between processes, and the time at which each acceptor replied last.
//!
//! This module owns [`AcceptorContacts`], which confirmations of consensus write and ping replies report, and
//! [`PingService`], whose state the process updates according to its role. Nothing here decides that a member
//! has failed: the leader's reconciler and the standbys of the register do.

mod contacts;
mod ping;
mod ping_service;

pub use contacts::AcceptorContacts;
pub use ping::PingReply;
pub(crate) use ping::{ping, ping_address};
pub use ping_service::PingService;
