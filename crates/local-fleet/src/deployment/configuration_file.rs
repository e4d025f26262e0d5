//! The configuration document that the operator sends.
//!
//! Fields are named after the document's keys or renamed by `serde`.

use serde::{Deserialize, Serialize};

/// Names of a fleet's host, services and model, random for each fleet.
#[derive(Clone, Debug)]
pub struct Names {
    /// The host of all routes.
    pub host: String,
    /// The service of plain servers.
    pub plain_service: String,
    /// The service of engines.
    pub engine_service: String,
    /// The model.
    pub model: String,
}

impl Names {
    /// Random names.
    #[must_use]
    pub fn random() -> Self {
        Self {
            host: format!("{}.example", random_name()),
            plain_service: random_name(),
            engine_service: random_name(),
            model: random_name(),
        }
    }
}

/// A name of six letters and two digits.
fn random_name() -> String {
    let letters: String = (0..6).map(|_| fastrand::lowercase()).collect();
    format!("{letters}{:02}", fastrand::u8(..100))
}

/// The kind of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Idempotent requests.
    Safe,
    /// Batch jobs of a trainer.
    Rollout,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RouteEntry {
    /// Its name.
    pub name: String,
    /// The host.
    #[serde(rename = "depot")]
    pub host: String,
    /// The prefix of its paths.
    #[serde(rename = "lanePrefix")]
    pub path_prefix: String,
    /// How its requests are treated.
    pub kind: RouteKind,
    /// Time limit of an attempt, in milliseconds.
    #[serde(rename = "expiryMs")]
    pub attempt_timeout_ms: u64,
    /// Latency target, in milliseconds.
    #[serde(rename = "dueMs")]
    pub latency_target_ms: u64,
    /// Priority class; 0 is the most urgent.
    #[serde(rename = "urgency")]
    pub priority: u8,
    /// The service.
    #[serde(rename = "postalLine")]
    pub service: String,
    /// Maximum number of attempts at servers.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Latency target for all results of a batch job, in milliseconds.
    #[serde(rename = "deliveryDueMs", skip_serializing_if = "Option::is_none", default)]
    pub job_latency_target_ms: Option<u64>,
    /// After this time an item may be given up, in seconds.
    #[serde(rename = "shelfLifeS", skip_serializing_if = "Option::is_none", default)]
    pub item_ttl_s: Option<u64>,
    /// One version of the weights must generate a complete text.
    #[serde(rename = "singleEdition", skip_serializing_if = "Option::is_none", default)]
    pub single_version: Option<bool>,
    /// A truncated text may be resumed at another server.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub resume: Option<bool>,
    /// Requests that share a prefix of their prompts go to the same servers.
    #[serde(rename = "sameCarrier", skip_serializing_if = "Option::is_none", default)]
    pub prefix_affinity: Option<bool>,
}

impl RouteEntry {
    /// A route of idempotent requests.
    #[must_use]
    pub fn safe(names: &Names, path_prefix: &str) -> Self {
        Self {
            name: format!("r-{}", path_prefix.trim_matches('/')),
            host: names.host.clone(),
            path_prefix: path_prefix.to_owned(),
            kind: RouteKind::Safe,
            attempt_timeout_ms: 800,
            latency_target_ms: 150,
            priority: 2,
            service: names.plain_service.clone(),
            max_attempts: 2,
            job_latency_target_ms: None,
            item_ttl_s: None,
            single_version: None,
            resume: None,
            prefix_affinity: None,
        }
    }

    /// A route of reward calls.
    #[must_use]
    pub fn reward(names: &Names, path_prefix: &str) -> Self {
        Self {
            attempt_timeout_ms: 3000,
            latency_target_ms: 800,
            max_attempts: 4,
            ..Self::safe(names, path_prefix)
        }
    }

    /// A route of batch jobs.
    #[must_use]
    pub fn rollout(names: &Names, path_prefix: &str, single_version: bool) -> Self {
        Self {
            kind: RouteKind::Rollout,
            attempt_timeout_ms: 15_000,
            latency_target_ms: 400,
            priority: 4,
            service: names.engine_service.clone(),
            max_attempts: 4,
            job_latency_target_ms: Some(8_000),
            item_ttl_s: Some(40),
            single_version: Some(single_version),
            resume: Some(true),
            prefix_affinity: Some(true),
            ..Self::safe(names, path_prefix)
        }
    }
}

/// A model of an engine service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelName {
    /// Its name.
    pub name: String,
}

/// The properties of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineEntry {
    /// Requests that an engine runs concurrently.
    #[serde(rename = "berths")]
    pub slots: usize,
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Bytes of the KV cache for each token.
    pub cache_bytes: u64,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens between two progress reports of a stream.
    #[serde(rename = "stride")]
    pub progress_interval_tokens: u64,
    /// The models.
    pub models: Vec<ModelName>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// The path of its health check.
    pub health_path: String,
    /// Maximum number of connections to a server.
    #[serde(rename = "berthCap")]
    pub max_connections: u32,
    /// The protocol; `h1` for HTTP/1.1.
    pub protocol: String,
    /// Whether connections use TLS; not in this fleet.
    pub tls: bool,
    /// Set for model servers.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub engine: Option<EngineEntry>,
}

impl ServiceEntry {
    /// A service of plain servers.
    #[must_use]
    pub fn plain(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 130,
            protocol: "h1".to_owned(),
            tls: false,
            engine: None,
        }
    }

    /// A service of engines.
    #[must_use]
    pub fn engines(name: &str, model: &str, slots: usize, cache_tokens: u64) -> Self {
        let models = vec![ModelName { name: model.to_owned() }];
        let engine = EngineEntry {
            slots,
            cache_tokens,
            cache_bytes: 35_136,
            link_mbps: 1_400_000.0,
            progress_interval_tokens: 54,
            models,
        };
        Self { max_connections: 160, engine: Some(engine), ..Self::plain(name) }
    }
}

/// Limits of what clients may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClientLimits {
    /// Bytes of a request head.
    #[serde(rename = "labelBytes")]
    pub head_bytes: u64,
    /// Bytes of a request body.
    #[serde(rename = "parcelBytes")]
    pub body_bytes: u64,
    /// Time limit for a request head, in milliseconds.
    #[serde(rename = "labelMs")]
    pub head_timeout_ms: u64,
    /// Time limit of an idle connection, in milliseconds.
    #[serde(rename = "idleMs")]
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self { head_bytes: 16_384, body_bytes: 33_554_432, head_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationFile {
    /// Its version.
    #[serde(rename = "edition")]
    pub version: u64,
    /// Its routes.
    pub routes: Vec<RouteEntry>,
    /// Its services.
    #[serde(rename = "postalLines")]
    pub services: Vec<ServiceEntry>,
    /// Limits of what clients may send.
    pub limits: ClientLimits,
}

/// Entries to add or to replace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteUpdates {
    /// Routes.
    pub routes: Vec<RouteEntry>,
}

/// Names of entries to remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteRemovals {
    /// Routes.
    pub routes: Vec<String>,
}

/// A change of named entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPatch {
    /// The version that it results in.
    #[serde(rename = "edition")]
    pub version: u64,
    /// What is added or replaced.
    #[serde(rename = "loadIn")]
    pub updates: RouteUpdates,
    /// What is removed.
    #[serde(rename = "strike")]
    pub removals: RouteRemovals,
}

impl ConfigurationFile {
    /// The configuration after a change.
    #[must_use]
    pub fn patched(&self, patch: &ConfigurationPatch) -> Self {
        let mut patched = Self { version: patch.version, ..self.clone() };
        patched.routes.retain(|route| !patch.removals.routes.contains(&route.name));
        for route in &patch.updates.routes {
            match patched.routes.iter_mut().find(|existing| existing.name == route.name) {
                Some(existing) => *existing = route.clone(),
                None => patched.routes.push(route.clone()),
            }
        }
        patched
    }
}
