//! Why an attempt gave no response, and what that proves about the request.

use std::fmt;
use std::time::Duration;

/// Whether a request may have run at a server that gave no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionStatus {
    /// It has not run there and never will.
    NotRun,
    /// It may have run, or may still be running.
    MayHaveRun,
}

/// Why an attempt gave no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The request can't be sent in the form that the client gave it.
    Unsendable,
    /// No connection to the server came up.
    ConnectFailed,
    /// The server reported that it did not run the request.
    Rejected {
        /// After which time the server wants it to be sent again.
        retry_after: Option<Duration>,
    },
    /// The connection broke off, or its bytes were no HTTP response.
    ConnectionBroken,
    /// The response was not one to this request, or not one that the protocol allows.
    InvalidResponse,
    /// The idle timeout or the deadline passed.
    TimedOut,
}

impl AttemptError {
    /// What the error proves about the execution of the request.
    pub(crate) fn execution_status(&self) -> ExecutionStatus {
        match self {
            Self::Unsendable | Self::ConnectFailed | Self::Rejected { .. } => ExecutionStatus::NotRun,
            Self::ConnectionBroken | Self::InvalidResponse | Self::TimedOut => ExecutionStatus::MayHaveRun,
        }
    }

    /// After which time the server wants the request to be sent again, if it named one.
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
            Self::Unsendable => "the request can't be sent unchanged",
            Self::ConnectFailed => "no connection to the server",
            Self::Rejected { .. } => "the server rejected the request",
            Self::ConnectionBroken => "the connection to the server broke off",
            Self::InvalidResponse => "the server sent no valid response",
            Self::TimedOut => "the server timed out",
        })
    }
}

impl std::error::Error for AttemptError {}
