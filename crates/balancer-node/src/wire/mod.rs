//! Parser and printer of the text protocol by which a simulated host drives instances of the decision logic.
//!
//! A message is one line: its name, then `name=value` pairs separated by spaces. [`Line`] splits it.
//! [`MessageCodec`] converts it into an event of one instance, and prints the actions of that instance.
//! [`read_settings`] reads the settings with which an instance starts.

mod codec;
mod line;
mod roster;
mod settings;

use std::fmt;

pub use self::codec::MessageCodec;
pub use self::line::Line;
pub use self::roster::{RosterMember, Rosters, MAX_ROSTERS};
pub use self::settings::read_settings;

/// Error in a line of the protocol or in the settings that the line carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The line does not begin with the name of a message.
    MissingMessage,
    /// The rest of the line, given here, contains no `=`.
    NotAPair(String),
    /// The name of a pair is empty or contains a space.
    InvalidName(String),
    /// The message lacks the pair with this name.
    MissingPair(String),
    /// The value of a pair is invalid.
    Malformed {
        /// Name of the pair.
        name: String,
        /// Value as received.
        value: String,
        /// End of the error message, such as "is not a number".
        problem: &'static str,
    },
    /// The message, given here, arrived where an entry of a server list (`M`) was expected.
    NotAListEntry(String),
    /// The settings are not valid JSON; the value is the error of the parser.
    InvalidJson(String),
    /// The settings are not a JSON object.
    SettingsNotAnObject,
    /// A class of the settings lacks `deadline_ms`, which has no default.
    MissingDeadline,
    /// A setting has the wrong type.
    Mistyped {
        /// Key of the setting within its JSON object.
        key: String,
        /// Description of the type that it must have.
        expected: &'static str,
    },
    /// Error of another module, with its complete text.
    Other(String),
}

impl WireError {
    /// Wraps the text of an error of another module.
    #[must_use]
    pub fn other(error: &dyn fmt::Display) -> Self {
        Self::Other(error.to_string())
    }

    /// Creates the error for an invalid value; `problem` completes the sentence "`name=value` ...".
    #[must_use]
    pub fn malformed(name: &str, value: &str, problem: &'static str) -> Self {
        Self::Malformed { name: name.to_owned(), value: value.to_owned(), problem }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingMessage => f.write_str("the line has no message name"),
            Self::NotAPair(text) => write!(f, "`{text}` is not a name=value pair"),
            Self::InvalidName(text) => write!(f, "`{text}` is not a valid name of a pair"),
            Self::MissingPair(name) => write!(f, "`{name}` is missing"),
            Self::Malformed { name, value, problem } => write!(f, "`{name}={value}` {problem}"),
            Self::NotAListEntry(message) => {
                write!(f, "received `{message}` instead of an entry `M` of the server list")
            }
            Self::InvalidJson(error) => write!(f, "`facts`: {error}"),
            Self::SettingsNotAnObject => f.write_str("`facts` is not a JSON object"),
            Self::MissingDeadline => f.write_str("`facts`: a class has no `deadline_ms`"),
            Self::Mistyped { key, expected } => write!(f, "`facts`: `{key}` is not {expected}"),
            Self::Other(error) => f.write_str(error),
        }
    }
}

impl std::error::Error for WireError {}

/// Returns the FNV-1a hash of a server's name. Unlike a library's default hash, it is the same in all builds
/// and at all nodes.
#[must_use]
pub fn key(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Returns the text with each line break replaced by a space.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
