//! Conversions of field values that several sections of the settings file use.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Converts milliseconds to a duration. Returns `default` if the value is absent or out of range.
pub(crate) fn duration_from_millis(milliseconds: Option<f64>, default: Duration) -> Duration {
    duration_from_secs(milliseconds.map(|milliseconds| milliseconds / 1000.0), default)
}

/// Converts seconds to a duration. Returns `default` if the value is absent or out of range.
pub(crate) fn duration_from_secs(seconds: Option<f64>, default: Duration) -> Duration {
    seconds.map_or(default, |seconds| Duration::try_from_secs_f64(seconds).unwrap_or(default))
}

/// Deserializes a string and parses it into a value. The empty string becomes `None`.
///
/// # Errors
///
/// Returns an error if the field is not a string, or if the string is not empty and cannot be parsed.
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
