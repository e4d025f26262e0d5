//! Bodies of the calls to a server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::types::{Method, ModelName, VersionOrder};

/// The word for an order to load a version.
const LOAD_VERSION: &str = "edition";

/// A model in a report.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ModelReport {
    /// The model.
    pub name: ModelName,
    /// The version of its weights.
    #[serde(rename = "edition")]
    pub version: u64,
}

/// What a server tells about itself. Its values are some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerReport {
    /// Its models.
    #[serde(default)]
    pub models: Vec<ModelReport>,
    /// Whether an order is under way.
    #[serde(default)]
    pub occupied: bool,
    /// Orders that it has taken since its start.
    #[serde(rename = "callCount", default)]
    pub orders_taken: u64,
    /// Requests that wait.
    #[serde(rename = "queuedCount", default)]
    pub queued: u64,
    /// Requests that run.
    #[serde(rename = "inTransit", default)]
    pub running: u64,
}

impl ServerReport {
    /// The versions by model.
    #[must_use]
    pub fn versions(&self) -> BTreeMap<ModelName, u64> {
        self.models.iter().map(|model| (ModelName::clone(&model.name), model.version)).collect()
    }
}

/// The body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderBody<'a> {
    order: &'static str,
    model: &'a str,
    #[serde(rename = "edition")]
    version: u64,
    method: Method,
    holder: &'a str,
    fence: u64,
}

impl VersionOrder {
    /// The body, as sent by the holder of the leader lease with its fencing token.
    #[must_use]
    pub fn body<'a>(&'a self, holder: &'a str, fence: u64) -> OrderBody<'a> {
        OrderBody {
            order: LOAD_VERSION,
            model: &self.model,
            version: self.version,
            method: self.method,
            holder,
            fence,
        }
    }
}
