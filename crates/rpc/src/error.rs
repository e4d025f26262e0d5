//! How a call can fail.

use std::fmt;

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection: the peer has not seen the call.
    NotSent(String),
    /// The call may have been carried out; nothing is known.
    Unknown(String),
    /// The peer answered that it cannot serve the call; it was not carried out.
    Refused(u16),
}

impl CallError {
    /// Whether the peer may have carried out the call.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Unknown(why) => write!(f, "no reply: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for CallError {}
