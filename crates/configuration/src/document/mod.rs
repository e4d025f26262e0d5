//! The JSON form of the operator's document: its fields, and the checks that involve a single field.
//!
//! Unknown fields are ignored, and optional fields may be null. [`Route`](crate::Route),
//! [`Service`](crate::Service), [`Engine`](crate::Engine) and
//! [`ConfigurationLimits`](crate::ConfigurationLimits) explain the fields.
//!
//! Operators read the errors of `serde` and `validator`, which contain the names of these structs and of
//! checked fields. Renaming a struct therefore requires `#[serde(expecting)]` with the old name, and the
//! fields `routes`, `services`, `name`, `host` and `prefix` must keep their names.

mod values;

use serde::Deserialize;
use validator::Validate;

use crate::error::{ConfigurationError, DOCUMENT_ROOT};

pub(crate) use values::{Count, Flag, Milliseconds, Seconds};

#[derive(Deserialize, Validate)]
#[serde(expecting = "struct Document")]
pub(crate) struct ConfigurationDocument {
    #[serde(rename = "edition")]
    pub(crate) version: u64,
    #[validate(nested)]
    pub(crate) routes: Vec<RouteDocument>,
    #[serde(rename = "postalLines")]
    #[validate(nested)]
    pub(crate) services: Vec<ServiceDocument>,
    #[serde(default)]
    pub(crate) limits: Option<LimitsDocument>,
}

impl ConfigurationDocument {
    /// Parses a document and performs the checks that involve a single field.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationError::Malformed`] if the text cannot be parsed, or
    /// [`ConfigurationError::Invalid`] if a check fails.
    pub(crate) fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let mut deserializer = serde_json::Deserializer::from_slice(json);
        let document: Self = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            ConfigurationError::Malformed {
                field: error.path().to_string(),
                cause: error.inner().to_string(),
            }
        })?;
        deserializer.end().map_err(|error| ConfigurationError::malformed_document(&error))?;
        document.validate().map_err(|errors| ConfigurationError::Invalid {
            field: DOCUMENT_ROOT.to_owned(),
            cause: errors.to_string(),
        })?;
        Ok(document)
    }
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
    pub(crate) latency_target: Option<Milliseconds>,
    #[serde(default)]
    pub(crate) urgency: Option<Count>,
    /// The only service of the route. Ignored if `split` is present.
    #[serde(rename = "postalLine", default)]
    pub(crate) service: Option<String>,
    #[serde(default)]
    pub(crate) split: Option<Vec<TargetDocument>>,
    #[serde(rename = "tries", default)]
    pub(crate) max_attempts: Option<Count>,
    #[serde(default)]
    pub(crate) resume: Flag,
    #[serde(rename = "singleEdition", default)]
    pub(crate) single_version: Flag,
    #[serde(rename = "deliveryDueMs", default)]
    pub(crate) delivery_due: Option<Milliseconds>,
    #[serde(rename = "shelfLifeS", default)]
    pub(crate) shelf_life: Option<Seconds>,
    #[serde(rename = "sameCarrier", default)]
    pub(crate) prefix_affinity: Flag,
}

#[derive(Deserialize)]
pub(crate) struct TargetDocument {
    #[serde(rename = "postalLine")]
    pub(crate) service: String,
    #[serde(rename = "share")]
    pub(crate) weight: Count,
}

#[derive(Deserialize, Validate)]
pub(crate) struct ServiceDocument {
    #[validate(length(min = 1, message = "name is empty"))]
    pub(crate) name: String,
    #[serde(rename = "healthPath", default)]
    pub(crate) health_path: Option<String>,
    #[serde(rename = "berthCap", default)]
    pub(crate) max_connections: Option<Count>,
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
    pub(crate) cache_bytes_per_token: Option<f64>,
    #[serde(rename = "linkMbps", default)]
    pub(crate) link_mbps: Option<f64>,
    #[serde(rename = "stride", default)]
    pub(crate) progress_interval_tokens: Option<f64>,
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
    pub(crate) idle_timeout: Option<Milliseconds>,
}
