//! Why a process cannot be started or signalled.

use std::fmt;
use std::io;

/// A process cannot be started or signalled.
#[derive(Debug)]
pub enum FleetError {
    /// No process has this name.
    UnknownProcess(String),
    /// An operation on the named file or process failed.
    Io(String, io::Error),
    /// The settings cannot be serialized.
    Settings(toml::ser::Error),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownProcess(name) => write!(f, "no process is named {name}"),
            Self::Io(subject, error) => write!(f, "{subject}: {error}"),
            Self::Settings(error) => write!(f, "settings cannot be written: {error}"),
        }
    }
}

impl std::error::Error for FleetError {}

impl FleetError {
    /// Turns an I/O error of a file or process into a fleet error.
    pub(super) fn io(subject: impl fmt::Display) -> impl FnOnce(io::Error) -> Self {
        move |error| Self::Io(subject.to_string(), error)
    }
}
