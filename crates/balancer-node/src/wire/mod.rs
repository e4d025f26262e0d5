//! The text protocol of the simulated host, by which the decisions can be driven: parsing and printing, nothing else.
//!
//! A message is one line: its name, and `name=value` pairs separated by spaces. [`Line`] splits it, [`Dialect`] turns
//! it into an event of one instance and prints that instance's actions, and [`read_settings`] reads the settings that
//! an instance starts with.

mod dialect;
mod line;
mod roster;
mod settings;

use std::fmt;

pub use self::dialect::Dialect;
pub use self::line::Line;
pub use self::roster::{RosterMember, Rosters, ROSTERS};
pub use self::settings::read_settings;

/// What is wrong with a line, or with the settings in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The line has no message.
    NoMessage,
    /// A part of the line is no `name=value` pair.
    NoPair(String),
    /// A name is empty or has a space.
    NoName(String),
    /// A pair is missing.
    Missing(String),
    /// A value is of another form than what is named.
    Malformed {
        /// The name of the pair.
        name: String,
        /// Its value.
        value: String,
        /// What it should be, as in "is no number".
        expected: &'static str,
    },
    /// Another line where an entry of a list was due.
    NoEntry(String),
    /// The settings are no JSON.
    NoJson(String),
    /// The settings are no object.
    NoSettings,
    /// A class has no deadline.
    NoDeadline,
    /// A setting is of a wrong type.
    Mistyped {
        /// Its key.
        key: String,
        /// The type that it should have.
        expected: &'static str,
    },
    /// An error of another module; its text is used as it is.
    Other(String),
}

impl WireError {
    /// An error of another module; its text is used as it is.
    #[must_use]
    pub fn other(error: &dyn fmt::Display) -> Self {
        Self::Other(error.to_string())
    }

    /// A value that is of another form than expected.
    #[must_use]
    pub fn malformed(name: &str, value: &str, expected: &'static str) -> Self {
        Self::Malformed { name: name.to_owned(), value: value.to_owned(), expected }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoMessage => f.write_str("no message"),
            Self::NoPair(text) => write!(f, "`{text}` is no name=value pair"),
            Self::NoName(text) => write!(f, "`{text}` is no name"),
            Self::Missing(name) => write!(f, "`{name}` is missing"),
            Self::Malformed { name, value, expected } => write!(f, "`{name}={value}` {expected}"),
            Self::NoEntry(message) => write!(f, "`{message}` where an entry of the list was due"),
            Self::NoJson(error) => write!(f, "`facts`: {error}"),
            Self::NoSettings => f.write_str("`facts` is no object"),
            Self::NoDeadline => f.write_str("`facts`: a class has no `deadline_ms`"),
            Self::Mistyped { key, expected } => write!(f, "`facts`: `{key}` is no {expected}"),
            Self::Other(error) => f.write_str(error),
        }
    }
}

impl std::error::Error for WireError {}

/// FNV-1a of a server's name: stable over builds and nodes, which a library's default hash is not.
#[must_use]
pub fn key(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Text without line breaks.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
