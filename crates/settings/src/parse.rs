//! Conversions of field values that several sections of the settings file share.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Converts milliseconds; an absent value, or one that is no duration, becomes the default.
pub(crate) fn duration_from_millis(milliseconds: Option<f64>, default: Duration) -> Duration {
    duration_from_secs(milliseconds.map(|milliseconds| milliseconds / 1000.0), default)
}

/// Converts seconds; an absent value, or one that is no duration, becomes the default.
pub(crate) fn duration_from_secs(seconds: Option<f64>, default: Duration) -> Duration {
    seconds.map_or(default, |seconds| Duration::try_from_secs_f64(seconds).unwrap_or(default))
}

/// Parses a string into a value; the empty string counts as absent.
///
/// # Errors
///
/// When the field is no string, or the string is not empty and cannot be parsed.
pub(crate) fn empty_as_none<'de, Value, Input>(input: Input) -> Result<Option<Value>, Input::Error>
where
    Value: FromStr,
    Value::Err: Display,
    Input: Deserializer<'de>,
{
    let text = String::deserialize(input)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(Input::Error::custom)
}
