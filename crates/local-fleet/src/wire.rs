//! Messages and headers of the outer protocol that the stand-ins speak.

use std::net::SocketAddr;
use std::sync::Arc;

use batch::ItemResult;
use serde::{Deserialize, Serialize};

/// Names of headers.
pub mod header {
    /// Identity of a request.
    pub const ATTEMPT_ID: &str = "Attempt-Id";
    /// Stamp of a server's answer.
    pub const STAMP: &str = "Postmark";
    /// Milliseconds that the caller will wait.
    pub const TIME_LEFT: &str = "Time-Left-Ms";
    /// The only server that may run the request.
    pub const EXPECTED_SERVER: &str = "Expected-Carrier";
    /// The server that answered.
    pub const SERVER: &str = "Carrier";
    /// Requests running, requests waiting and slots.
    pub const LOAD: &str = "Carrier-Load";
    /// The request was not run.
    pub const NOT_RUN: &str = "Not-Run";
    /// The only version of the weights that may make the text.
    pub const EXPECTED_VERSION: &str = "Expect-Version";
    /// The version of the weights.
    pub const VERSION: &str = "Weight-Editions";
    /// The newest event that the caller has.
    pub const LAST_EVENT_ID: &str = "Last-Event-Id";
    /// The model that is asked.
    pub const MODEL: &str = "Model";
    /// Tokens of the prompt and most tokens out.
    pub const TOKENS: &str = "Tokens";
    /// Parts of the prompt.
    pub const PROMPT_PREFIX: &str = "Prompt-Prefix";
    /// How long a read of results may be held.
    pub const HOLD: &str = "Hold-Ms";
}

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerCondition {
    /// It does.
    Open,
    /// It is about to end.
    Closing,
}

/// A model with its version, as servers and the list of servers tell it.
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

/// An entry of the platform's list of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carrier {
    /// The service.
    #[serde(rename = "postalLine")]
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// The version of its software.
    #[serde(rename = "edition")]
    pub software: Arc<str>,
    /// Requests that it works on at once.
    #[serde(rename = "berths")]
    pub slots: usize,
    /// Whether it takes new requests.
    pub condition: ServerCondition,
    /// For how much longer it is slow from its start.
    #[serde(rename = "coldMs")]
    pub cold_ms: u64,
    /// Parts of a generation that it takes on.
    #[serde(rename = "leg", skip_serializing_if = "Option::is_none", default)]
    pub part: Option<Arc<str>>,
    /// Its models.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub models: Vec<ModelVersion>,
    /// Its incarnation.
    pub id: Arc<str>,
}

/// A page of the list of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarrierPage {
    /// Its entries.
    pub carriers: Vec<Carrier>,
    /// The page that follows.
    pub next: Option<String>,
}

/// What an engine tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Parts of a generation that it takes on.
    #[serde(rename = "leg")]
    pub part: Arc<str>,
    /// Its models.
    pub models: Vec<ModelVersion>,
    /// An order is under way.
    pub occupied: bool,
    /// Orders taken.
    #[serde(rename = "callCount")]
    pub orders_taken: u64,
    /// Requests waiting.
    #[serde(rename = "queuedCount")]
    pub waiting: usize,
    /// Requests running.
    #[serde(rename = "inTransit")]
    pub running: usize,
    /// Cache that cannot give way.
    #[serde(rename = "cacheUsed")]
    pub cache_used: u64,
    /// Cache in all.
    #[serde(rename = "cacheTotal")]
    pub cache_total: u64,
    /// Handles of moved caches.
    pub handles: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to do.
    pub order: String,
    /// The model.
    pub model: Option<String>,
    /// The version of the weights to load.
    #[serde(rename = "edition")]
    pub version: Option<u64>,
    /// What becomes of requests that run.
    pub method: Option<String>,
    /// Who orders.
    pub holder: Option<String>,
    /// The fencing token.
    pub fence: Option<u64>,
    /// How many orders must have been taken before.
    #[serde(rename = "ifRevision", skip_serializing_if = "Option::is_none", default)]
    pub if_orders_taken: Option<u64>,
}

/// A page of the results of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Items of the batch job.
    pub total: usize,
    /// The position behind the last result of the page.
    pub next: usize,
    /// The results.
    #[serde(rename = "deliveries")]
    pub results: Vec<ItemResult>,
}

/// A trainer names a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: String,
    /// The version of its weights.
    #[serde(rename = "edition")]
    pub version: u64,
}
