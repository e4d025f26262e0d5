//! Forwarding of a request: attempts at one server after the other, until one responds or no further one may be made.
//!
//! It owns the rules of retries ([`RetryState`]) and of hedged requests, and buffers responses until they are complete.
//! The ingress and the reward calls forward by it; the relay of streams shares its [`RetryState`].

mod buffered;
mod buffering;
mod forwarder;
mod retry;

pub(crate) use buffering::buffer_response;
pub use forwarder::Forwarder;
pub(crate) use retry::RetryState;
