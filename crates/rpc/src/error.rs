//! Errors of calls.

use std::fmt;

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection failed: the peer has not received the call.
    NotSent(String),
    /// The peer may have executed the call: it timed out, or the connection broke off.
    Unknown(String),
    /// The peer did not execute the call, and replied with this HTTP status.
    Rejected(u16),
}

impl CallError {
    /// Accepts the status of a reply that carries a result.
    ///
    /// # Errors
    ///
    /// [`CallError::Rejected`] for every status but 200.
    pub fn check_status(status: u16) -> Result<(), Self> {
        match status {
            200 => Ok(()),
            status => Err(Self::Rejected(status)),
        }
    }

    /// Whether the peer may have executed the call.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "no reply: {cause}"),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
        }
    }
}

impl std::error::Error for CallError {}
