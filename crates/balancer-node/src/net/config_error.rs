//! Errors of reading a node's configuration.

use std::fmt;
use std::io;

use super::list::ListError;
use crate::wire::WireError;
use crate::SettingsError;

/// Reason why a configuration cannot be used. The message names the invalid variable or key.
#[derive(Debug)]
pub enum ConfigError {
    /// An environment variable is not set, or is not valid UTF-8.
    MissingVariable {
        /// Name of the environment variable.
        key: &'static str,
    },
    /// The value of an environment variable or of a key of the file is not an IP address with a port.
    InvalidAddress {
        /// Name of the environment variable or of the key.
        key: &'static str,
        /// The value as it was found.
        text: String,
    },
    /// The file that `GW_CONFIG` names cannot be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file that `GW_CONFIG` names is not valid JSON, or its top level is not an object.
    InvalidJson {
        /// Path of the file.
        path: String,
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// The server list under `known` is missing, malformed or too large.
    InitialList(ListError),
    /// `settings` is missing or not an object.
    SettingsNotAnObject,
    /// A value in `settings` has the wrong type or is missing.
    MalformedSettings(WireError),
    /// A value in `settings` is out of range.
    InvalidSettings(SettingsError),
    /// `seed` is missing or not a hexadecimal number in a string.
    InvalidSeed,
    /// A count is missing, zero, or not a whole number.
    InvalidCount {
        /// Name of the key whose value is invalid.
        key: &'static str,
    },
    /// A time is negative, too large or not a number.
    InvalidTime {
        /// Name of the key whose value is invalid.
        key: &'static str,
    },
    /// A value that must be a list of names is not a list.
    NotAList {
        /// Name of the key whose value is invalid.
        key: &'static str,
    },
    /// An entry of a list of names is neither a string nor an object with a `name`.
    UnnamedEntry {
        /// Name of the key of the list.
        key: &'static str,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingVariable { key } => {
                write!(f, "the environment variable `{key}` is not set or not valid UTF-8")
            }
            Self::InvalidAddress { key, text } => {
                write!(f, "`{key}={text}` is not an IP address with a port")
            }
            Self::Unreadable { path, source } => write!(f, "`GW_CONFIG`: cannot read {path}: {source}"),
            Self::InvalidJson { path, source } => {
                write!(f, "`GW_CONFIG`: {path} is not a valid JSON object: {source}")
            }
            Self::InitialList(error) => write!(f, "`known`: {error}"),
            Self::SettingsNotAnObject => f.write_str("`settings` is missing or not an object"),
            Self::MalformedSettings(error) => write!(f, "`settings`: {error}"),
            Self::InvalidSettings(error) => write!(f, "`settings`: {error}"),
            Self::InvalidSeed => f.write_str("`seed` is missing or not a string with a hexadecimal number"),
            Self::InvalidCount { key } => write!(f, "`{key}` is missing or not a whole number above 0"),
            Self::InvalidTime { key } => write!(f, "`{key}` is not a time in milliseconds of at least 0"),
            Self::NotAList { key } => write!(f, "`{key}` is not a list of names"),
            Self::UnnamedEntry { key } => write!(f, "`{key}` has an entry without a name"),
        }
    }
}

impl std::error::Error for ConfigError {}
