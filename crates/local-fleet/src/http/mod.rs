//! HTTP for the emulators: a client with retries, and listeners whose connections can be aborted.

mod caller;
mod connections;
mod listener;

pub use caller::{HttpCall, HttpCallError, HttpCaller, HttpReply};
pub use connections::{Connection, Connections};
pub use listener::HttpListener;
