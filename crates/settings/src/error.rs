//! Why settings cannot be used.

use std::fmt;
use std::path::PathBuf;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The environment names no file.
    NoPath,
    /// The file cannot be read.
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: String,
    },
    /// The text is no TOML, lacks a field or a field has another type; tells line and field.
    Unreadable(String),
    /// A field has a value that it may not have; tells field and cause.
    Unusable(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPath => write!(f, "the variable {} is not set", crate::PATH_VARIABLE),
            Self::File { path, cause } => write!(f, "{}: {cause}", path.display()),
            Self::Unreadable(cause) => write!(f, "the settings cannot be read: {cause}"),
            Self::Unusable(cause) => write!(f, "the settings cannot be used: {cause}"),
        }
    }
}

impl std::error::Error for SettingsError {}
