//! Messages and headers that nodes exchange with the emulated platform, servers, operator and trainer.
//!
//! The system's interfaces define the names on the wire; `serde(rename)` maps them to the terms of this
//! crate.

use std::net::SocketAddr;
use std::sync::Arc;

use batch::ItemResult;
use poem::http::StatusCode;
use poem::Response;
use serde::{Deserialize, Serialize};

/// Names of HTTP headers in requests to nodes and servers, and in their responses.
pub mod header {
    /// Id that identifies a request, or one attempt at it; the response repeats it.
    pub const ATTEMPT_ID: &str = "Attempt-Id";
    /// Stamp of the response to a request that a server ran; unique for each response.
    pub const STAMP: &str = "Postmark";
    /// Milliseconds left until the caller's deadline, counted from the arrival of the request.
    pub const TIME_LEFT: &str = "Time-Left-Ms";
    /// Id of the only server that may run the request; any other server rejects it with status 421.
    pub const EXPECTED_SERVER: &str = "Expected-Carrier";
    /// Id of the server that responded.
    pub const SERVER: &str = "Carrier";
    /// Load of the server: running requests, queued requests and slots, comma-separated.
    pub const LOAD: &str = "Carrier-Load";
    /// `1` in a response if the server did not run the request, so that another server may run it.
    pub const NOT_RUN: &str = "Not-Run";
    /// The only version of the weights that may generate the text; an engine with another version rejects the
    /// request.
    pub const EXPECTED_VERSION: &str = "Expect-Version";
    /// The version of the weights that the engine uses at the time of the response. Events of a stream have a
    /// field of this name when the version changes.
    pub const VERSION: &str = "Weight-Editions";
    /// Id of the last event that the caller has received; the stream continues after it.
    pub const LAST_EVENT_ID: &str = "Last-Event-Id";
    /// Name of the requested model.
    pub const MODEL: &str = "Model";
    /// Number of prompt tokens and maximum number of generated tokens, comma-separated.
    pub const TOKENS: &str = "Tokens";
    /// Prefixes of the prompt, which engines may have cached, each with its number of tokens.
    pub const PROMPT_PREFIX: &str = "Prompt-Prefix";
    /// Milliseconds that a read of a batch job's results may wait for a new result (long poll).
    pub const LONG_POLL_TIMEOUT: &str = "Hold-Ms";
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerCondition {
    /// The server accepts new requests.
    Open,
    /// The server is draining: it completes its requests and accepts no new ones.
    Closing,
}

/// A model that an engine serves, as stated in the engine's report and in the server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub name: Arc<str>,
    /// Version of the loaded weights.
    #[serde(rename = "edition")]
    pub version: u64,
    /// Names of the adapters that are loaded for the model; none in this fleet.
    pub adapters: Vec<String>,
}

/// An entry of the platform's server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Name of the service that the server belongs to.
    #[serde(rename = "postalLine")]
    pub service: Arc<str>,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Arc<str>,
    /// Version of the server's software.
    #[serde(rename = "edition")]
    pub software: Arc<str>,
    /// Number of requests that the server runs concurrently.
    #[serde(rename = "berths")]
    pub slots: usize,
    /// Whether the server accepts new requests.
    pub condition: ServerCondition,
    /// Milliseconds until the server's warm-up after its start is over.
    #[serde(rename = "coldMs")]
    pub warm_up_ms: u64,
    /// Phases of a generation that an engine runs: prefill, decode or both. `None` for plain servers.
    #[serde(rename = "leg", skip_serializing_if = "Option::is_none", default)]
    pub phase: Option<Arc<str>>,
    /// Models that an engine serves; empty for plain servers.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub models: Vec<ModelVersion>,
    /// Identifies this start of the server's process.
    pub id: Arc<str>,
}

/// A page of the platform's server list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListPage {
    /// Entries of this page, in the order of the list.
    #[serde(rename = "carriers")]
    pub servers: Vec<ListedServer>,
    /// Token that requests the next page; `None` on the last page.
    pub next: Option<String>,
}

/// The status report of an engine, which nodes poll to observe its load and the progress of orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Phases of a generation that the engine runs: prefill, decode or both.
    #[serde(rename = "leg")]
    pub phase: Arc<str>,
    /// Models that the engine serves, with the versions in use.
    pub models: Vec<ModelVersion>,
    /// Whether the engine is executing an order; it accepts no other order until then.
    pub occupied: bool,
    /// Number of orders that the engine has accepted for execution since its start.
    #[serde(rename = "callCount")]
    pub accepted_orders: u64,
    /// Number of queued requests.
    #[serde(rename = "queuedCount")]
    pub queued: usize,
    /// Number of running requests.
    #[serde(rename = "inTransit")]
    pub running: usize,
    /// Number of tokens in the KV cache that cannot be evicted.
    #[serde(rename = "cacheUsed")]
    pub cache_used: u64,
    /// Capacity of the KV cache, in tokens.
    #[serde(rename = "cacheTotal")]
    pub cache_total: u64,
    /// Number of handles of transferred KV caches; always 0 at the emulated engines.
    pub handles: u64,
}

/// An order of the lease holder to an engine, such as to load a version of its weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Kind of the order; the emulated engines accept `edition`, which loads a version of the weights.
    pub order: String,
    /// Name of the model whose weights are loaded.
    pub model: Option<String>,
    /// Version of the weights to load.
    #[serde(rename = "edition")]
    pub version: Option<u64>,
    /// Treatment of running requests while the weights are loaded; the emulated engines ignore it.
    pub method: Option<String>,
    /// Name of the lease holder that issues the order.
    pub holder: Option<String>,
    /// Fencing token of the lease under which the order is issued.
    pub fence: Option<u64>,
    /// Precondition: the order is executed only if the engine has accepted exactly this many orders before.
    /// `None` for no condition.
    #[serde(rename = "ifRevision", skip_serializing_if = "Option::is_none", default)]
    pub if_accepted_orders: Option<u64>,
}

/// A page of the results of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of all items of the batch job, with and without a result.
    pub total: usize,
    /// Position after the last result of the page, from which the next read continues.
    pub next: usize,
    /// Results in the order of their positions.
    #[serde(rename = "deliveries")]
    pub results: Vec<ItemResult>,
}

/// A trainer's request to roll out a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// Name of the model.
    pub model: String,
    /// Version to roll out.
    #[serde(rename = "edition")]
    pub version: u64,
}

/// Returns a random id for a request or a batch job: 64 bits in hexadecimal.
#[must_use]
pub fn random_request_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Returns a response with status 200 and `body` as JSON, or status 500 if it cannot be serialized.
pub(crate) fn json_response<T: Serialize>(body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder().content_type("application/json").body(bytes),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}
