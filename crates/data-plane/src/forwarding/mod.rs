//! Forwarding of a request: attempts are made one after the other until a server responds or no further
//! attempt is allowed.
//!
//! This module defines the rules for retries ([`RetryState`]) and hedged requests, and buffers responses
//! until they are complete. The ingress and the reward calls use it; the relay of event streams uses
//! [`RetryState`] as well.

mod buffered;
mod buffering;
mod forwarder;
mod retry;

pub(crate) use buffering::buffer_response;
pub use forwarder::Forwarder;
pub(crate) use retry::RetryState;
