//! One attempt at one server: the request that is sent, and what the head of the response proves.
//!
//! The forwarder, the relay of streams and the items of batch jobs call [`UpstreamAttempt::send`]. What an attempt learns about
//! its server is recorded through its [`InFlightRequest`](crate::selection::InFlightRequest).

mod attempt;
mod error;
mod options;
mod response;

pub(crate) use attempt::UpstreamAttempt;
pub(crate) use error::{AttemptError, ExecutionStatus};
pub(crate) use options::AttemptOptions;
pub(crate) use response::UpstreamResponse;
