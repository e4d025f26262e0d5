//! Errors that prevent or end a run.

use std::fmt;
use std::io;

use crate::deployment::FleetError;
use crate::operator::OperatorError;

/// Error that prevents a run or ends it early.
#[derive(Debug)]
pub enum LocalError {
    /// An option is out of its range; the text names the option and the range.
    Options(&'static str),
    /// The address of an emulated server or of the emulated platform cannot be bound, or another I/O
    /// operation before the start of the fleet failed.
    Listen(io::Error),
    /// An HTTP client cannot be set up.
    Http(reqwest::Error),
    /// A process cannot be started or signalled.
    Fleet(FleetError),
    /// The initial configuration was not acknowledged.
    NotConfigured(OperatorError),
    /// Signals cannot be handled, or a signal arrived before the end of the run.
    Interrupted,
    /// Not all nodes became ready in time.
    NotReady {
        /// Number of nodes that were ready at the end of the time limit.
        ready: usize,
        /// Number of all nodes.
        nodes: u8,
    },
}

impl fmt::Display for LocalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Options(reason) => f.write_str(reason),
            Self::Listen(error) => {
                write!(f, "an emulated server or the emulated platform cannot listen: {error}")
            }
            Self::Http(error) => write!(f, "an HTTP client cannot be created: {error}"),
            Self::Fleet(error) => error.fmt(f),
            Self::NotConfigured(error) => {
                write!(f, "the initial configuration was not acknowledged: {error}")
            }
            Self::Interrupted => f.write_str("interrupted"),
            Self::NotReady { ready, nodes } => {
                write!(f, "only {ready} of {nodes} nodes became ready within the time limit")
            }
        }
    }
}

impl std::error::Error for LocalError {}

impl From<FleetError> for LocalError {
    fn from(error: FleetError) -> Self {
        Self::Fleet(error)
    }
}

impl From<reqwest::Error> for LocalError {
    fn from(error: reqwest::Error) -> Self {
        Self::Http(error)
    }
}

impl From<io::Error> for LocalError {
    fn from(error: io::Error) -> Self {
        Self::Listen(error)
    }
}
