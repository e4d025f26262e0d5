//! Liveness of processes: pings between processes, and the time at which each acceptor replied last.
//!
//! This module owns [`AcceptorContacts`], which the confirmations in `consensus` write and replies to pings
//! report, and [`PingService`], whose state the process updates according to its role. The module does not
//! decide that a member has failed: the leader's reconciler and the standbys of the register do.

mod contacts;
mod ping;
mod ping_service;

pub use contacts::AcceptorContacts;
pub use ping::PingReply;
pub(crate) use ping::{ping, ping_address};
pub use ping_service::PingService;
