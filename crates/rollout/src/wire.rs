//! JSON bodies of calls to a server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::actions::{UpdateMethod, VersionOrder};
use crate::server::ModelName;

/// The kind of an order that loads a version.
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

/// The report of a server about itself. Its values are some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerReport {
    /// The models that it runs.
    #[serde(default)]
    pub models: Vec<ModelReport>,
    /// Whether it carries out an order.
    #[serde(default)]
    pub occupied: bool,
    /// Number of orders that it has accepted since its start.
    #[serde(rename = "callCount", default)]
    pub orders_accepted: u64,
    /// Number of queued requests.
    #[serde(rename = "queuedCount", default)]
    pub queued: u64,
    /// Number of running requests.
    #[serde(rename = "inTransit", default)]
    pub running: u64,
}

impl ServerReport {
    /// The version of each model.
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
    method: UpdateMethod,
    holder: &'a str,
    #[serde(rename = "fence")]
    fencing_token: u64,
}

impl VersionOrder {
    /// The body of the order, sent by the holder of the leader lease with its fencing token.
    #[must_use]
    pub fn body<'a>(&'a self, holder: &'a str, fencing_token: u64) -> OrderBody<'a> {
        OrderBody {
            order: LOAD_VERSION,
            model: &self.model,
            version: self.version,
            method: self.method,
            holder,
            fencing_token,
        }
    }
}
