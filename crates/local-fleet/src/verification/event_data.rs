//! The data of a generated event, which names its generation, so that a check finds the record of it.

use std::fmt;
use std::str::FromStr;

use super::request_log::GenerationId;

/// The data of an event of a stream.
///
/// As text: `event 3 of run 41 by version 6`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventData {
    /// The id of the event, from 1.
    pub index: u64,
    /// The generation that made it.
    pub generation: GenerationId,
    /// The version of the weights that made it.
    pub version: u64,
}

/// The text is not the data of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseEventDataError;

impl fmt::Display for EventData {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event {} of run {} by version {}", self.index, self.generation.0, self.version)
    }
}

impl FromStr for EventData {
    type Err = ParseEventDataError;

    fn from_str(text: &str) -> Result<Self, ParseEventDataError> {
        let fields: Vec<&str> = text.split(' ').collect();
        let ["event", index, "of", "run", generation, "by", "version", version] = fields[..] else {
            return Err(ParseEventDataError);
        };
        let number = |field: &str| field.parse().map_err(|_| ParseEventDataError);
        Ok(Self {
            index: number(index)?,
            generation: GenerationId(number(generation)?),
            version: number(version)?,
        })
    }
}
