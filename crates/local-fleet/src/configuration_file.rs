//! The configuration as the operator sends it.

use serde::{Deserialize, Serialize};

/// Names that are drawn anew for each fleet.
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
    /// Draws names.
    #[must_use]
    pub fn draw() -> Self {
        Self {
            host: format!("{}.example", word()),
            plain_service: word(),
            engine_service: word(),
            model: word(),
        }
    }
}

/// A word of six letters and two digits.
fn word() -> String {
    let letters: String = (0..6).map(|_| fastrand::lowercase()).collect();
    format!("{letters}{:02}", fastrand::u8(..100))
}

/// The kind of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Requests may run more than once.
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
    /// Begins the paths.
    #[serde(rename = "lanePrefix")]
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a try is held.
    pub expiry_ms: u64,
    /// When an answer is due.
    pub due_ms: u64,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// The service.
    #[serde(rename = "postalLine")]
    pub service: String,
    /// Most servers for one try.
    pub tries: u32,
    /// When all results of a batch job are due.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub delivery_due_ms: Option<u64>,
    /// When an item may be given up.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub shelf_life_s: Option<u64>,
    /// One version must make a whole text.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub single_edition: Option<bool>,
    /// A cut text may be taken up at another server.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub resume: Option<bool>,
    /// Requests with shared parts of their prompts go to the same servers.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub same_carrier: Option<bool>,
}

impl RouteEntry {
    /// A route of requests that may run more than once.
    #[must_use]
    pub fn safe(names: &Names, path_prefix: &str) -> Self {
        Self {
            name: format!("r-{}", path_prefix.trim_matches('/')),
            host: names.host.clone(),
            path_prefix: path_prefix.to_owned(),
            kind: RouteKind::Safe,
            expiry_ms: 800,
            due_ms: 150,
            urgency: 2,
            service: names.plain_service.clone(),
            tries: 2,
            delivery_due_ms: None,
            shelf_life_s: None,
            single_edition: None,
            resume: None,
            same_carrier: None,
        }
    }

    /// A route of reward calls.
    #[must_use]
    pub fn reward(names: &Names, path_prefix: &str) -> Self {
        Self { expiry_ms: 3000, due_ms: 800, tries: 4, ..Self::safe(names, path_prefix) }
    }

    /// A route of batch jobs.
    #[must_use]
    pub fn rollout(names: &Names, path_prefix: &str, single_version: bool) -> Self {
        Self {
            kind: RouteKind::Rollout,
            expiry_ms: 15_000,
            due_ms: 400,
            urgency: 4,
            service: names.engine_service.clone(),
            tries: 4,
            delivery_due_ms: Some(8_000),
            shelf_life_s: Some(40),
            single_edition: Some(single_version),
            resume: Some(true),
            same_carrier: Some(true),
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

/// What the engines of a service can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineEntry {
    /// Requests at once.
    pub berths: usize,
    /// Memory in tokens.
    pub cache_tokens: u64,
    /// Bytes a token.
    pub cache_bytes: u64,
    /// Between engines.
    pub link_mbps: f64,
    /// Tokens of a block of the cache.
    pub stride: u64,
    /// The models.
    pub models: Vec<ModelName>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// The path of its health.
    pub health_path: String,
    /// Connections that a server takes.
    #[serde(rename = "berthCap")]
    pub connections_most: u32,
    /// HTTP/1.1.
    pub protocol: String,
    /// Not used here.
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
            connections_most: 130,
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
            berths: slots,
            cache_tokens,
            cache_bytes: 35_136,
            link_mbps: 1_400_000.0,
            stride: 54,
            models,
        };
        Self { connections_most: 160, engine: Some(engine), ..Self::plain(name) }
    }
}

/// What a client may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// Bytes of a head.
    pub label_bytes: u64,
    /// Bytes of a body.
    pub parcel_bytes: u64,
    /// How long a head may take.
    pub label_ms: u64,
    /// How long a connection may rest.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { label_bytes: 16_384, parcel_bytes: 33_554_432, label_ms: 3_000, idle_ms: 15_000 }
    }
}

/// A whole configuration.
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
    /// What clients may send.
    pub limits: Limits,
}

/// Items to add or to replace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadItems {
    /// Routes.
    pub routes: Vec<RouteEntry>,
}

/// Names to remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StrikeItems {
    /// Routes.
    pub routes: Vec<String>,
}

/// A change of named items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPatch {
    /// The version that it makes.
    #[serde(rename = "edition")]
    pub version: u64,
    /// What is added or replaced.
    #[serde(rename = "loadIn")]
    pub load: LoadItems,
    /// What is removed.
    pub strike: StrikeItems,
}

impl ConfigurationFile {
    /// What a change makes of it.
    #[must_use]
    pub fn patched(&self, patch: &ConfigurationPatch) -> Self {
        let mut patched = Self { version: patch.version, ..self.clone() };
        patched.routes.retain(|route| !patch.strike.routes.contains(&route.name));
        for route in &patch.load.routes {
            match patched.routes.iter_mut().find(|present| present.name == route.name) {
                Some(present) => *present = route.clone(),
                None => patched.routes.push(route.clone()),
            }
        }
        patched
    }
}
