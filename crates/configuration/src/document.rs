//! The document as the operator writes it.
//!
//! Unknown fields are skipped and may be null; figures may be written with a fraction.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use validator::Validate;

/// A share, rank or count of the operator's may not be above this.
const COUNT_MOST: f64 = u32::MAX as f64;

#[derive(Deserialize, Validate)]
pub(crate) struct Document {
    pub(crate) edition: u64,
    #[validate(nested)]
    pub(crate) routes: Vec<RouteDocument>,
    #[serde(rename = "postalLines")]
    #[validate(nested)]
    pub(crate) services: Vec<ServiceDocument>,
    #[serde(default)]
    pub(crate) limits: Option<LimitsDocument>,
}

#[derive(Deserialize, Validate)]
pub(crate) struct RouteDocument {
    #[validate(length(min = 1, message = "name is empty"))]
    pub(crate) name: String,
    #[serde(rename = "depot")]
    #[validate(length(min = 1, message = "depot is empty"))]
    pub(crate) host: String,
    #[serde(rename = "lanePrefix")]
    #[validate(length(min = 1, message = "lanePrefix is empty"))]
    pub(crate) prefix: String,
    pub(crate) kind: String,
    #[serde(rename = "expiryMs", default)]
    pub(crate) timeout: Option<Milliseconds>,
    #[serde(rename = "dueMs", default)]
    pub(crate) aim: Option<Milliseconds>,
    #[serde(default)]
    pub(crate) urgency: Option<Count>,
    #[serde(rename = "postalLine", default)]
    pub(crate) service: Option<String>,
    #[serde(default)]
    pub(crate) split: Option<Vec<TargetDocument>>,
    #[serde(default)]
    pub(crate) tries: Option<Count>,
    #[serde(default)]
    pub(crate) resume: Flag,
    #[serde(rename = "singleEdition", default)]
    pub(crate) single_version: Flag,
    #[serde(rename = "deliveryDueMs", default)]
    pub(crate) delivery_due: Option<Milliseconds>,
    #[serde(rename = "shelfLifeS", default)]
    pub(crate) shelf_life: Option<Seconds>,
    #[serde(rename = "sameCarrier", default)]
    pub(crate) same_server: Flag,
}

#[derive(Deserialize)]
pub(crate) struct TargetDocument {
    #[serde(rename = "postalLine")]
    pub(crate) service: String,
    pub(crate) share: Count,
}

#[derive(Deserialize, Validate)]
pub(crate) struct ServiceDocument {
    #[validate(length(min = 1, message = "name is empty"))]
    pub(crate) name: String,
    #[serde(rename = "healthPath", default)]
    pub(crate) health_path: Option<String>,
    #[serde(rename = "berthCap", default)]
    pub(crate) connections_most: Option<Count>,
    #[serde(default)]
    pub(crate) engine: Option<EngineDocument>,
}

#[derive(Deserialize)]
pub(crate) struct EngineDocument {
    #[serde(rename = "berths", default)]
    pub(crate) slots: Option<Count>,
    #[serde(rename = "cacheTokens", default)]
    pub(crate) cache_tokens: Option<f64>,
    #[serde(rename = "cacheBytes", default)]
    pub(crate) cache_bytes: Option<f64>,
    #[serde(rename = "linkMbps", default)]
    pub(crate) link_mbps: Option<f64>,
    #[serde(default)]
    pub(crate) stride: Option<f64>,
    #[serde(default)]
    pub(crate) models: Option<Vec<ModelDocument>>,
}

#[derive(Deserialize)]
pub(crate) struct ModelDocument {
    pub(crate) name: String,
}

#[derive(Deserialize)]
pub(crate) struct LimitsDocument {
    #[serde(rename = "labelBytes", default)]
    pub(crate) head_bytes: Option<f64>,
    #[serde(rename = "parcelBytes", default)]
    pub(crate) body_bytes: Option<f64>,
    #[serde(rename = "labelMs", default)]
    pub(crate) head_timeout: Option<Milliseconds>,
    #[serde(rename = "idleMs", default)]
    pub(crate) idle: Option<Milliseconds>,
}

/// A time in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct Milliseconds(pub(crate) Duration);

/// A time in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Seconds(pub(crate) Duration);

/// A whole number from 0.
#[derive(Clone, Copy)]
pub(crate) struct Count(pub(crate) u32);

/// A mark: set unless it is absent, null, false, 0 or empty.
#[derive(Clone, Copy, Default)]
pub(crate) struct Flag(pub(crate) bool);

impl<'de> Deserialize<'de> for Milliseconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let figure = f64::deserialize(deserializer)?;
        Duration::try_from_secs_f64(figure / 1000.0).map(Self).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Seconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let figure = f64::deserialize(deserializer)?;
        Duration::try_from_secs_f64(figure).map(Self).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let figure = f64::deserialize(deserializer)?;
        if figure.fract() != 0.0 || !(0.0..=COUNT_MOST).contains(&figure) {
            return Err(D::Error::custom(format!("{figure} is no whole number from 0 to {COUNT_MOST}")));
        }
        Ok(Self(figure as u32))
    }
}

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let set = match Value::deserialize(deserializer)? {
            Value::Null => false,
            Value::Bool(flag) => flag,
            Value::Number(number) => number.as_f64() != Some(0.0),
            Value::String(text) => !text.is_empty(),
            Value::Array(items) => !items.is_empty(),
            Value::Object(_) => true,
        };
        Ok(Self(set))
    }
}
