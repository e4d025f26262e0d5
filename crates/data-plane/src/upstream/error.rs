//! Errors of attempts, and whether the request may have been executed despite the error.

use std::fmt;
use std::time::Duration;

/// Whether a request may have been executed by a server that sent no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionStatus {
    /// The server has not executed the request and never will.
    NotExecuted,
    /// The server may have executed the request, or may still be executing it.
    MayHaveBeenExecuted,
}

/// Reason why an attempt yielded no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The request can't be built, for example because its path or query would change.
    Unsendable,
    /// No connection to the server could be set up.
    ConnectFailed,
    /// The server responded that it did not execute the request.
    Rejected {
        /// The `Retry-After` of the server's response, if any.
        retry_after: Option<Duration>,
    },
    /// The connection failed, or the received bytes were not a valid HTTP response.
    ConnectionBroken,
    /// The response had the id of another request, or violated the protocol.
    InvalidResponse,
    /// The idle timeout or the deadline of the attempt has expired.
    TimedOut,
}

impl AttemptError {
    /// Returns whether the request may have been executed despite the error.
    pub(crate) fn execution_status(&self) -> ExecutionStatus {
        match self {
            Self::Unsendable | Self::ConnectFailed | Self::Rejected { .. } => ExecutionStatus::NotExecuted,
            Self::ConnectionBroken | Self::InvalidResponse | Self::TimedOut => {
                ExecutionStatus::MayHaveBeenExecuted
            }
        }
    }

    /// Returns the `Retry-After` of a rejection, if the server specified one.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Rejected { retry_after } => *retry_after,
            _ => None,
        }
    }

    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Self::TimedOut)
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unsendable => "the request to the server can't be built",
            Self::ConnectFailed => "failed to set up a connection to the server",
            Self::Rejected { .. } => "the server rejected the request without executing it",
            Self::ConnectionBroken => "the connection to the server failed before the response was complete",
            Self::InvalidResponse => "the server sent a response that the protocol doesn't allow",
            Self::TimedOut => "the server did not complete its response before the timeout",
        })
    }
}

impl std::error::Error for AttemptError {}
