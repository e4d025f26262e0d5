//! Types of field values. Numbers may be written with a fractional part, and flags may have any JSON type.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Largest value of a [`Count`].
const MAX_COUNT: f64 = u32::MAX as f64;

/// A duration, written as a number of milliseconds that is at least 0.
#[derive(Clone, Copy)]
pub(crate) struct Milliseconds(pub(crate) Duration);

/// A duration, written as a number of seconds that is at least 0.
#[derive(Clone, Copy)]
pub(crate) struct Seconds(pub(crate) Duration);

/// An integer from 0 to [`MAX_COUNT`].
#[derive(Clone, Copy)]
pub(crate) struct Count(pub(crate) u32);

/// A flag. It is set unless the value is absent, null, false, 0, or an empty string or array.
#[derive(Clone, Copy, Default)]
pub(crate) struct Flag(pub(crate) bool);

impl<'de> Deserialize<'de> for Milliseconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let milliseconds = f64::deserialize(deserializer)?;
        Duration::try_from_secs_f64(milliseconds / 1000.0).map(Self).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Seconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let seconds = f64::deserialize(deserializer)?;
        Duration::try_from_secs_f64(seconds).map(Self).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = f64::deserialize(deserializer)?;
        if number.fract() != 0.0 || !(0.0..=MAX_COUNT).contains(&number) {
            return Err(D::Error::custom(format!("{number} is no whole number from 0 to {MAX_COUNT}")));
        }
        Ok(Self(number as u32))
    }
}

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let is_set = match Value::deserialize(deserializer)? {
            Value::Null => false,
            Value::Bool(flag) => flag,
            Value::Number(number) => number.as_f64() != Some(0.0),
            Value::String(text) => !text.is_empty(),
            Value::Array(items) => !items.is_empty(),
            Value::Object(_) => true,
        };
        Ok(Self(is_set))
    }
}
