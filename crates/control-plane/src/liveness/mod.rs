//! Whether processes are alive: pings between processes, and when each acceptor replied last.
//!
//! Owns [`AcceptorContacts`], which the rounds of consensus write and ping replies report, and [`PingService`], which
//! the role of the process updates. Nothing here decides that a member has failed: the leader's reconciler and the
//! standbys of the register do.

mod contacts;
mod ping;
mod ping_service;

pub use contacts::AcceptorContacts;
pub use ping::PingReply;
pub(crate) use ping::{ping, ping_address};
pub use ping_service::PingService;
