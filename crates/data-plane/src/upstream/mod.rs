//! One attempt at one server: sending the request, validating the head of the response, and reading its body.
//!
//! Buffered forwarding, the relay of event streams and the items of batch jobs call
//! [`UpstreamAttempt::send`]. An attempt records observations about its server through its
//! [`InFlightRequest`](crate::selection::InFlightRequest).

mod attempt;
mod error;
mod options;
mod response;

pub(crate) use attempt::UpstreamAttempt;
pub(crate) use error::{AttemptError, ExecutionStatus};
pub(crate) use options::AttemptOptions;
pub(crate) use response::UpstreamResponse;
