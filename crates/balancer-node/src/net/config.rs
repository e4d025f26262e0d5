//! The configuration of a node: the `GW_*` variables, and the JSON file that one of them names.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use super::config_error::ConfigError;
use super::list::{ListDecoder, ServerList};
use crate::{wire, DecisionSettings, Idempotency};

/// Stands for the absence of a time limit.
const UNLIMITED: Duration = Duration::from_secs(24 * 3600);
/// Part of the memory limit that the list of servers may take.
const LIST_MEMORY_FRACTION: f64 = 0.5;
/// The memory limit where none is configured, in MiB: what the platform gives on scored days.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// Everything that a node is configured with at its start.
pub struct Config {
    /// Its name, for its log.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery. The file takes precedence over the variable: the file can be replaced.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The limit of open sockets.
    pub max_sockets: usize,
    /// Bytes of memory that the list of servers may take.
    pub max_list_bytes: usize,
    /// The last known list of servers.
    pub initial_list: ServerList,
    /// Settings of the decisions.
    pub settings: DecisionSettings,
    /// The names that requests, lists and load reports use.
    pub names: SettingNames,
    /// A server closes a connection that is idle for this long; with zero, none is kept.
    pub idle_timeout: Duration,
    /// A connection that is not established by then has failed.
    pub dial_timeout: Duration,
    /// Requests that may be pending at once.
    pub max_pending: usize,
}

/// Names in the order of the settings, whose indices the decisions use.
pub struct SettingNames {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants; there may be none.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

/// The file that `GW_CONFIG` names. A value that is missing or malformed is reported where it is used.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    #[serde(default)]
    discovery: Value,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Value,
    /// Decoded as a list of discovery is, since it may be as long.
    #[serde(borrow, rename = "known")]
    initial_list: Option<&'a RawValue>,
    #[serde(default)]
    settings: Value,
}

impl Config {
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    ///
    /// Names the first variable or key that is missing or malformed.
    pub fn from_env() -> Result<Self, ConfigError> {
        let name = variable("GW_NAME")?;
        let listen = address("GW_LISTEN")?;
        let path = variable("GW_CONFIG")?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let file = serde_json::from_str(&text).map_err(|source| ConfigError::NoJson { path, source })?;
        Self::from_file(name, listen, &file)
    }

    fn from_file(name: String, listen: SocketAddr, file: &ConfigFile<'_>) -> Result<Self, ConfigError> {
        let discovery = match &file.discovery {
            Value::Null => address("GW_DISCOVERY")?,
            value => parse_address("discovery", value.as_str().unwrap_or_default())?,
        };
        let seed = file.seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
        let max_list_bytes = max_list_bytes(&file.limits);
        let initial_list = initial_list(file, max_list_bytes)?;
        let settings = settings(&file.settings)?;
        let names = SettingNames::from_json(&file.settings)?;
        let allowed = &file.settings["allowed"];
        Ok(Self {
            name,
            listen,
            discovery,
            seed: seed.ok_or(ConfigError::NoSeed)?,
            max_sockets: positive("sockets", &file.limits)?,
            max_list_bytes,
            initial_list,
            names,
            idle_timeout: time("conn_idle_ms", allowed)?.unwrap_or(UNLIMITED),
            // A probe without a shorter limit waits as long as a request would.
            dial_timeout: time("dial_timeout_ms", allowed)?
                .filter(|limit| !limit.is_zero())
                .or_else(|| Duration::try_from_secs_f64(settings.longest_deadline_ms() / 1000.0).ok())
                .unwrap_or(UNLIMITED),
            max_pending: max_pending(allowed)?,
            settings,
        })
    }

    /// What running a request of a class twice does.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.settings.classes[class].idempotency
    }
}

fn initial_list(file: &ConfigFile<'_>, max_bytes: usize) -> Result<ServerList, ConfigError> {
    let mut decoder = ListDecoder::new(max_bytes);
    decoder.feed(file.initial_list.map_or("", RawValue::get).as_bytes()).map_err(ConfigError::List)?;
    decoder.finish().map_err(ConfigError::List)
}

fn settings(json: &Value) -> Result<DecisionSettings, ConfigError> {
    if !json.is_object() {
        return Err(ConfigError::NoSettings);
    }
    let mut settings = wire::read_settings(json).map_err(ConfigError::SettingsForm)?;
    // `allowed.retry_after` is about simulated clients. On sockets each rejection has its header, so that a client
    // that is rejected at once knows when to retry; the longest wait is the settings', or the longest deadline.
    let longest = settings.longest_deadline_ms();
    settings.max_retry_after_ms = Some(json["allowed"]["max_retry_after_ms"].as_f64().unwrap_or(longest));
    settings.validate().map_err(ConfigError::SettingsRange)?;
    Ok(settings)
}

impl SettingNames {
    fn from_json(settings: &Value) -> Result<Self, ConfigError> {
        Ok(Self {
            classes: names("classes", settings)?,
            tenants: names("parties", settings)?,
            zones: names("zones", settings)?,
            kinds: names("kinds", settings)?,
        })
    }
}

fn variable(key: &'static str) -> Result<String, ConfigError> {
    std::env::var(key).map_err(|_| ConfigError::NoVariable { key })
}

fn address(key: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(key, &variable(key)?)
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NoAddress { key, text: text.to_owned() })
}

fn positive(key: &'static str, from: &Value) -> Result<usize, ConfigError> {
    let value = from[key].as_u64().and_then(|n| usize::try_from(n).ok()).filter(|n| *n > 0);
    value.ok_or(ConfigError::NoCount { key })
}

/// Bytes of memory that a list may take, by the memory limit of the node.
fn max_list_bytes(limits: &Value) -> usize {
    let memory_mb = limits["memory_mb"].as_f64().filter(|mb| *mb > 0.0).unwrap_or(DEFAULT_MEMORY_MB);
    (memory_mb * LIST_MEMORY_FRACTION * f64::from(1 << 20)) as usize
}

/// The limit of pending requests. It may be absent; zero would leave nothing to do, and limits nothing either.
fn max_pending(allowed: &Value) -> Result<usize, ConfigError> {
    const KEY: &str = "most_held";
    match &allowed[KEY] {
        Value::Null => Ok(usize::MAX),
        value if value.as_u64() == Some(0) => Ok(usize::MAX),
        _ => positive(KEY, allowed),
    }
}

/// A time in milliseconds that may be absent.
fn time(key: &'static str, from: &Value) -> Result<Option<Duration>, ConfigError> {
    if from[key].is_null() {
        return Ok(None);
    }
    let value = from[key].as_f64().and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    value.map(|time| Some(time.min(UNLIMITED))).ok_or(ConfigError::NoTime { key })
}

/// The names under a key: a list of strings, or of objects with a `name`. Without a list there are none.
fn names(key: &'static str, settings: &Value) -> Result<Vec<String>, ConfigError> {
    let entries = match &settings[key] {
        Value::Null => return Ok(Vec::new()),
        value => value.as_array().ok_or(ConfigError::NoList { key })?,
    };
    let name = |entry: &Value| entry.as_str().or(entry["name"].as_str()).map(str::to_owned);
    let names: Option<Vec<String>> = entries.iter().map(name).collect();
    names.ok_or(ConfigError::NamelessEntry { key })
}
