//! Messages and headers that the stand-ins exchange with nodes, servers and the platform.
//!
//! The names on the wire are those of the system's interfaces; `serde(rename)` maps them.

use std::net::SocketAddr;
use std::sync::Arc;

use batch::ItemResult;
use poem::http::StatusCode;
use poem::Response;
use serde::{Deserialize, Serialize};

/// Names of headers.
pub mod header {
    /// Id of a request.
    pub const ATTEMPT_ID: &str = "Attempt-Id";
    /// Stamp that identifies a server's response.
    pub const STAMP: &str = "Postmark";
    /// Milliseconds that are left until the caller's deadline.
    pub const TIME_LEFT: &str = "Time-Left-Ms";
    /// The only server that may run the request.
    pub const EXPECTED_SERVER: &str = "Expected-Carrier";
    /// The server that responded.
    pub const SERVER: &str = "Carrier";
    /// Running requests, queued requests and slots, comma-separated.
    pub const LOAD: &str = "Carrier-Load";
    /// The request was not run.
    pub const NOT_RUN: &str = "Not-Run";
    /// The only version of the weights that may generate the text.
    pub const EXPECTED_VERSION: &str = "Expect-Version";
    /// The version of the weights.
    pub const VERSION: &str = "Weight-Editions";
    /// The last event that the caller has received.
    pub const LAST_EVENT_ID: &str = "Last-Event-Id";
    /// The requested model.
    pub const MODEL: &str = "Model";
    /// Tokens of the prompt and the maximum of generated tokens, comma-separated.
    pub const TOKENS: &str = "Tokens";
    /// Prefixes of the prompt with their tokens, which engines may have cached.
    pub const PROMPT_PREFIX: &str = "Prompt-Prefix";
    /// Milliseconds that a read of results may wait for a new one.
    pub const LONG_POLL_TIMEOUT: &str = "Hold-Ms";
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerCondition {
    /// It accepts them.
    Open,
    /// It is draining.
    Closing,
}

/// A model with its version, in reports of servers and in the server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub name: Arc<str>,
    /// The version of its weights.
    #[serde(rename = "edition")]
    pub version: u64,
    /// Adapters of the model.
    pub adapters: Vec<String>,
}

/// An entry of the platform's server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The service that it belongs to.
    #[serde(rename = "postalLine")]
    pub service: Arc<str>,
    /// The address that it is bound to.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The version of its software.
    #[serde(rename = "edition")]
    pub software: Arc<str>,
    /// Requests that it runs concurrently.
    #[serde(rename = "berths")]
    pub slots: usize,
    /// Whether it accepts new requests.
    pub condition: ServerCondition,
    /// Milliseconds until its warm-up after a start is over.
    #[serde(rename = "coldMs")]
    pub warm_up_ms: u64,
    /// The phase of a generation that it runs: prefill, decode or both.
    #[serde(rename = "leg", skip_serializing_if = "Option::is_none", default)]
    pub phase: Option<Arc<str>>,
    /// Its models.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub models: Vec<ModelVersion>,
    /// Identifies this start of the server's process.
    pub id: Arc<str>,
}

/// A page of the server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListPage {
    /// Its entries.
    #[serde(rename = "carriers")]
    pub servers: Vec<ListedServer>,
    /// The token of the next page.
    pub next: Option<String>,
}

/// The status report of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The phase of a generation that it runs: prefill, decode or both.
    #[serde(rename = "leg")]
    pub phase: Arc<str>,
    /// Its models.
    pub models: Vec<ModelVersion>,
    /// An order is being executed.
    pub occupied: bool,
    /// Orders that were accepted since the start.
    #[serde(rename = "callCount")]
    pub accepted_orders: u64,
    /// Queued requests.
    #[serde(rename = "queuedCount")]
    pub queued: usize,
    /// Running requests.
    #[serde(rename = "inTransit")]
    pub running: usize,
    /// Tokens of the KV cache that cannot be evicted.
    #[serde(rename = "cacheUsed")]
    pub cache_used: u64,
    /// Tokens that the KV cache holds in total.
    #[serde(rename = "cacheTotal")]
    pub cache_total: u64,
    /// Handles of transferred KV caches.
    pub handles: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The kind of order.
    pub order: String,
    /// The model.
    pub model: Option<String>,
    /// The version of the weights to load.
    #[serde(rename = "edition")]
    pub version: Option<u64>,
    /// How running requests are treated.
    pub method: Option<String>,
    /// The lease holder that issues the order.
    pub holder: Option<String>,
    /// Its fencing token.
    pub fence: Option<u64>,
    /// Precondition: the orders that the engine must have accepted before.
    #[serde(rename = "ifRevision", skip_serializing_if = "Option::is_none", default)]
    pub if_accepted_orders: Option<u64>,
}

/// A page of the results of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// All items of the batch job.
    pub total: usize,
    /// The position after the last result of the page.
    pub next: usize,
    /// The results.
    #[serde(rename = "deliveries")]
    pub results: Vec<ItemResult>,
}

/// A trainer's request to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: String,
    /// The version of its weights.
    #[serde(rename = "edition")]
    pub version: u64,
}

/// A random id of a request.
#[must_use]
pub fn random_request_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// A response with status 200 and a JSON body.
pub(crate) fn json_response<T: Serialize>(body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder().content_type("application/json").body(bytes),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}
