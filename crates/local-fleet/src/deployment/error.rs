//! Errors of the processes of a fleet.

use std::fmt;
use std::io;

/// Error of an operation on a process of a fleet or on its files.
#[derive(Debug)]
pub enum FleetError {
    /// The fleet has no process of this name, or the process has no valid process id.
    UnknownProcess(String),
    /// An operation on this file or process failed.
    Io(String, io::Error),
    /// The settings of a process cannot be serialized.
    Settings(toml::ser::Error),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownProcess(name) => write!(f, "the fleet has no process named {name}"),
            Self::Io(subject, error) => write!(f, "{subject}: {error}"),
            Self::Settings(error) => write!(f, "the settings of a process cannot be serialized: {error}"),
        }
    }
}

impl std::error::Error for FleetError {}

impl FleetError {
    /// Returns a function that converts an I/O error of the file or process `subject`.
    pub(super) fn io(subject: impl fmt::Display) -> impl FnOnce(io::Error) -> Self {
        move |error| Self::Io(subject.to_string(), error)
    }
}
