//! Reads the configuration of a node from the `GW_*` environment variables and from the JSON file that
//! `GW_CONFIG` names.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use super::config_error::ConfigError;
use super::list::{ListDecoder, ServerList};
use crate::{wire, DecisionSettings, Idempotency};

/// Time limit that applies if none is configured, and upper bound of a configured one.
const UNLIMITED: Duration = Duration::from_secs(24 * 3600);
/// Fraction of the memory limit that the server list may take.
const LIST_MEMORY_FRACTION: f64 = 0.5;
/// Memory limit in MiB if none is configured: the limit that the platform sets on scored days.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// The configuration of a node, checked and converted. A node reads it once at its start.
pub struct Config {
    /// Name of the node; starts every line of its log.
    pub name: String,
    /// Address at which the node listens for clients.
    pub listen: SocketAddr,
    /// Address of discovery. The file takes precedence over `GW_DISCOVERY`, because the file can be replaced
    /// while the node runs.
    pub discovery: SocketAddr,
    /// Seed of the random numbers that the decision logic draws.
    pub seed: u64,
    /// Maximum number of open sockets in all: to clients, to servers and to discovery.
    pub max_sockets: usize,
    /// Maximum memory of the decoded server list, in bytes.
    pub max_list_bytes: usize,
    /// The server list to use until discovery has sent one.
    pub initial_list: ServerList,
    /// Validated settings of the decision logic.
    pub settings: DecisionSettings,
    /// Names in request headers and server lists, with the indices that the decision logic uses for them.
    pub names: SettingNames,
    /// Time after which servers close an idle connection. If it is zero, no connection is kept.
    pub idle_timeout: Duration,
    /// Time within which a connection to a server must be established.
    pub dial_timeout: Duration,
    /// Maximum number of pending requests; `usize::MAX` if there is no limit.
    pub max_pending: usize,
}

/// Names in the order of the settings. The decision logic refers to each name by its index.
pub struct SettingNames {
    /// Names of the request classes, as in the `X-Class` header.
    pub classes: Vec<String>,
    /// Names of the tenants, as in the `X-Tenant` header. If there are none, the header is ignored.
    pub tenants: Vec<String>,
    /// Names of the zones, as in the `locality` of a server list entry.
    pub zones: Vec<String>,
    /// Names of the machine kinds, as in the `flavor` of a server list entry.
    pub kinds: Vec<String>,
}

/// The JSON file that `GW_CONFIG` names. A missing or malformed value is reported by the code that uses it.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    #[serde(default)]
    discovery: Value,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Value,
    /// Decoded by [`ListDecoder`], like the lists that discovery sends, since it may be as long.
    #[serde(borrow, rename = "known")]
    initial_list: Option<&'a RawValue>,
    #[serde(default)]
    settings: Value,
}

impl Config {
    /// Reads the `GW_*` environment variables and the file that `GW_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Fails if a variable or key is missing or malformed. The error names the first one.
    pub fn from_env() -> Result<Self, ConfigError> {
        let name = env_variable("GW_NAME")?;
        let listen = env_address("GW_LISTEN")?;
        let path = env_variable("GW_CONFIG")?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let file = serde_json::from_str(&text).map_err(|source| ConfigError::InvalidJson { path, source })?;
        Self::from_file(name, listen, &file)
    }

    fn from_file(name: String, listen: SocketAddr, file: &ConfigFile<'_>) -> Result<Self, ConfigError> {
        let discovery = match &file.discovery {
            Value::Null => env_address("GW_DISCOVERY")?,
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
            seed: seed.ok_or(ConfigError::InvalidSeed)?,
            max_sockets: positive_integer("sockets", &file.limits)?,
            max_list_bytes,
            initial_list,
            names,
            idle_timeout: time("conn_idle_ms", allowed)?.unwrap_or(UNLIMITED),
            // Without a configured limit, a probe waits as long as a request may.
            dial_timeout: time("dial_timeout_ms", allowed)?
                .filter(|limit| !limit.is_zero())
                .or_else(|| Duration::try_from_secs_f64(settings.longest_deadline_ms() / 1000.0).ok())
                .unwrap_or(UNLIMITED),
            max_pending: max_pending(allowed)?,
            settings,
        })
    }

    /// Returns whether a request of this class may run twice. `class` is an index into
    /// [`SettingNames::classes`].
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.settings.classes[class].idempotency
    }
}

fn initial_list(file: &ConfigFile<'_>, max_bytes: usize) -> Result<ServerList, ConfigError> {
    let mut decoder = ListDecoder::new(max_bytes);
    decoder.feed(file.initial_list.map_or("", RawValue::get).as_bytes()).map_err(ConfigError::InitialList)?;
    decoder.finish().map_err(ConfigError::InitialList)
}

fn settings(json: &Value) -> Result<DecisionSettings, ConfigError> {
    if !json.is_object() {
        return Err(ConfigError::SettingsNotAnObject);
    }
    let mut settings = wire::read_settings(json).map_err(ConfigError::MalformedSettings)?;
    // `allowed.retry_after` applies to simulated clients only. On sockets every rejection has a `Retry-After`
    // header: a client that is rejected immediately could not otherwise determine when to retry. The longest
    // pause is the one in the settings, or else the longest deadline.
    let longest = settings.longest_deadline_ms();
    settings.max_retry_after_ms = Some(json["allowed"]["max_retry_after_ms"].as_f64().unwrap_or(longest));
    settings.validate().map_err(ConfigError::InvalidSettings)?;
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

fn env_variable(key: &'static str) -> Result<String, ConfigError> {
    std::env::var(key).map_err(|_| ConfigError::MissingVariable { key })
}

fn env_address(key: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(key, &env_variable(key)?)
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidAddress { key, text: text.to_owned() })
}

fn positive_integer(key: &'static str, from: &Value) -> Result<usize, ConfigError> {
    let value = from[key].as_u64().and_then(|n| usize::try_from(n).ok()).filter(|n| *n > 0);
    value.ok_or(ConfigError::InvalidCount { key })
}

/// Returns the maximum memory of a server list in bytes, derived from the memory limit of the node.
fn max_list_bytes(limits: &Value) -> usize {
    let memory_mb = limits["memory_mb"].as_f64().filter(|mb| *mb > 0.0).unwrap_or(DEFAULT_MEMORY_MB);
    (memory_mb * LIST_MEMORY_FRACTION * f64::from(1 << 20)) as usize
}

/// Returns the maximum number of pending requests. An absent limit and zero both mean no limit: with a limit
/// of zero the node could not serve any request.
fn max_pending(allowed: &Value) -> Result<usize, ConfigError> {
    const KEY: &str = "most_held";
    match &allowed[KEY] {
        Value::Null => Ok(usize::MAX),
        value if value.as_u64() == Some(0) => Ok(usize::MAX),
        _ => positive_integer(KEY, allowed),
    }
}

/// Returns the time under a key, which is in milliseconds; `None` if the key is absent.
fn time(key: &'static str, from: &Value) -> Result<Option<Duration>, ConfigError> {
    if from[key].is_null() {
        return Ok(None);
    }
    let value = from[key].as_f64().and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    value.map(|time| Some(time.min(UNLIMITED))).ok_or(ConfigError::InvalidTime { key })
}

/// Returns the names under a key: a list of strings, or of objects with a `name`. An absent key means an
/// empty list.
fn names(key: &'static str, settings: &Value) -> Result<Vec<String>, ConfigError> {
    let entries = match &settings[key] {
        Value::Null => return Ok(Vec::new()),
        value => value.as_array().ok_or(ConfigError::NotAList { key })?,
    };
    let name = |entry: &Value| entry.as_str().or(entry["name"].as_str()).map(str::to_owned);
    let names: Option<Vec<String>> = entries.iter().map(name).collect();
    names.ok_or(ConfigError::UnnamedEntry { key })
}
