//! [`CallError`]: the reasons why a call fails.

use std::fmt;

/// Reason why a call returned no reply. The variants differ in whether the peer may have executed the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established, so the peer has not received the call. Contains the cause.
    NotSent(String),
    /// The call timed out, the connection broke or the reply could not be decoded, so the peer may have
    /// executed the call. Contains the cause.
    Unknown(String),
    /// The peer did not execute the call and replied with this HTTP status.
    Rejected(u16),
}

impl CallError {
    /// Checks that the HTTP status of a response is 200, which means that its body is the encoded reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Rejected`] for every other status.
    pub fn check_status(status: u16) -> Result<(), Self> {
        match status {
            200 => Ok(()),
            status => Err(Self::Rejected(status)),
        }
    }

    /// Returns whether the peer may have executed the call. If not, a retry cannot execute it twice.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "the call was not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "no valid reply, the call may have been executed: {cause}"),
            Self::Rejected(status) => write!(f, "the peer rejected the call with HTTP status {status}"),
        }
    }
}

impl std::error::Error for CallError {}
