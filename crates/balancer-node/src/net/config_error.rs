//! What can be wrong with a node's configuration.

use std::fmt;
use std::io;

use super::list::ListError;
use crate::wire::WireError;
use crate::SettingsError;

/// A configuration that cannot be used. The message names the variable or key at fault.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable of the environment is missing or no text.
    NoVariable {
        /// Its name.
        key: &'static str,
    },
    /// An address is malformed.
    NoAddress {
        /// The variable or key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file is no JSON.
    NoJson {
        /// The file.
        path: String,
        /// Why.
        source: serde_json::Error,
    },
    /// The list of servers is malformed.
    List(ListError),
    /// The settings are missing or no object.
    NoSettings,
    /// A setting is of a wrong type.
    SettingsForm(WireError),
    /// A setting is out of range.
    SettingsRange(SettingsError),
    /// The seed is missing or malformed.
    NoSeed,
    /// A count is missing or malformed.
    NoCount {
        /// The key.
        key: &'static str,
    },
    /// A time is malformed.
    NoTime {
        /// The key.
        key: &'static str,
    },
    /// A list of names is no list.
    NoList {
        /// The key.
        key: &'static str,
    },
    /// An entry of a list of names has none.
    NamelessEntry {
        /// The key.
        key: &'static str,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoVariable { key } => write!(f, "`{key}` is missing or no text"),
            Self::NoAddress { key, text } => write!(f, "`{key}={text}` is no address with a port"),
            Self::Unreadable { path, source } => write!(f, "`GW_CONFIG`: cannot read {path}: {source}"),
            Self::NoJson { path, source } => write!(f, "`GW_CONFIG`: {path} is no JSON: {source}"),
            Self::List(error) => write!(f, "`known`: {error}"),
            Self::NoSettings => f.write_str("`settings` is missing or no object"),
            Self::SettingsForm(error) => write!(f, "`settings`: {error}"),
            Self::SettingsRange(error) => write!(f, "`settings`: {error}"),
            Self::NoSeed => f.write_str("`seed` is missing or no hexadecimal number"),
            Self::NoCount { key } => write!(f, "`{key}` is missing or no whole number above 0"),
            Self::NoTime { key } => write!(f, "`{key}` is no time"),
            Self::NoList { key } => write!(f, "`{key}` is no list"),
            Self::NamelessEntry { key } => write!(f, "`{key}` has an entry with no name"),
        }
    }
}

impl std::error::Error for ConfigError {}
