//! Why a run cannot start or continue.

use std::fmt;
use std::io;

use crate::deployment::FleetError;
use crate::operator::OperatorError;

/// A run cannot start or continue.
#[derive(Debug)]
pub enum LocalError {
    /// An option is out of its range.
    Options(&'static str),
    /// The address of a stand-in cannot be bound.
    Listen(io::Error),
    /// An HTTP client cannot be set up.
    Http(reqwest::Error),
    /// A process cannot be started or signalled.
    Fleet(FleetError),
    /// The first configuration was not acknowledged.
    NotConfigured(OperatorError),
    /// Signals cannot be handled, or one arrived before the end.
    Interrupted,
    /// Not all nodes became ready in time.
    NotReady {
        /// Nodes that are ready.
        ready: usize,
        /// All nodes.
        nodes: u8,
    },
}

impl fmt::Display for LocalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Options(reason) => f.write_str(reason),
            Self::Listen(error) => write!(f, "a stand-in cannot listen: {error}"),
            Self::Http(error) => write!(f, "no HTTP client: {error}"),
            Self::Fleet(error) => error.fmt(f),
            Self::NotConfigured(error) => write!(f, "the first configuration was not taken: {error}"),
            Self::Interrupted => f.write_str("interrupted"),
            Self::NotReady { ready, nodes } => write!(f, "only {ready} of {nodes} nodes got ready in time"),
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
