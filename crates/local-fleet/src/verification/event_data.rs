//! The data of a generated event. It names the generation, by which a check finds the event in the request
//! log.

use std::fmt;
use std::str::FromStr;

use super::request_log::GenerationId;

/// The data of an event in an engine's stream.
///
/// Its text form is `event 3 of run 41 by version 6`, where `run` is the id of the generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventData {
    /// Position of the event in the complete text, from 1; also the id of the event in the stream.
    pub index: u64,
    /// The generation that produced the event.
    pub generation: GenerationId,
    /// Version of the weights that generated the event.
    pub version: u64,
}

/// Error for a text that is not the text form of [`EventData`].
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
