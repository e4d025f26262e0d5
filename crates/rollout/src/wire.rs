//! JSON bodies of orders to a server and of its reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::actions::{UpdateMethod, VersionOrder};
use crate::server::ModelName;

/// Value of the field `order` for orders to load a version.
const LOAD_VERSION: &str = "edition";

/// Model in the report of a server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ModelReport {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the model's weights that the server runs.
    #[serde(rename = "edition")]
    pub version: u64,
}

/// Report of a server about itself. Its values are a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerReport {
    /// Models that the server runs, with their versions.
    #[serde(default)]
    pub models: Vec<ModelReport>,
    /// Whether the server is carrying out an order.
    #[serde(default)]
    pub occupied: bool,
    /// Number of orders that the server has accepted since it started.
    #[serde(rename = "callCount", default)]
    pub orders_accepted: u64,
    /// Number of requests that are queued at the server.
    #[serde(rename = "queuedCount", default)]
    pub queued: u64,
    /// Number of requests that are running at the server.
    #[serde(rename = "inTransit", default)]
    pub running: u64,
}

impl ServerReport {
    /// Returns the version of each model in the report.
    #[must_use]
    pub fn versions(&self) -> BTreeMap<ModelName, u64> {
        self.models.iter().map(|model| (ModelName::clone(&model.name), model.version)).collect()
    }
}

/// JSON body of an order.
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
    #[serde(rename = "ifRevision", skip_serializing_if = "Option::is_none")]
    expected_order_count: Option<u64>,
}

impl VersionOrder {
    /// Returns the JSON body of the order. `holder` names the holder of the leader lease, which sends the
    /// order, and `fencing_token` is the token of its term.
    #[must_use]
    pub fn body<'a>(&'a self, holder: &'a str, fencing_token: u64) -> OrderBody<'a> {
        OrderBody {
            order: LOAD_VERSION,
            model: &self.model,
            version: self.version,
            method: self.method,
            holder,
            fencing_token,
            expected_order_count: self.expected_order_count,
        }
    }
}
