//! The settings of a process, and how the file is loaded.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::parse::{duration_from_millis, empty_as_none};
use crate::{
    FaultTolerance, ListenAddresses, PlatformListSettings, ResourceLimits, SettingsError, TimingRules,
};

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "RUSHRUDDER_BOOT";

/// The heartbeat interval where the file does not give it.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// The item of `serves` of a process that clients call.
const SERVES_CLIENTS: &str = "counter";
/// The item of `serves` of a process that servers and the operator call.
const SERVES_CONTROL: &str = "dispatch";
/// The item of `serves` of a process that stores data.
const SERVES_STORE: &str = "vault";

/// The settings of a process. Each field's comment begins with its name in the file.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct NodeSettings {
    /// `station`: name of the machine; not empty.
    #[serde(rename = "station")]
    #[validate(length(min = 1, message = "station is empty"))]
    pub machine_name: String,
    /// `role`: role of the process.
    #[serde(default)]
    pub role: String,
    /// `machineClass`: class of the machine.
    #[serde(rename = "machineClass", default)]
    pub machine_class: String,
    /// `serves`: which external callers the process has.
    #[serde(default)]
    pub serves: Vec<String>,
    /// `ip`: IP address of the machine; not empty.
    #[validate(length(min = 1, message = "ip is empty"))]
    pub ip: String,
    /// `zone`: zone of the machine.
    #[serde(default)]
    pub zone: String,
    /// `region`: region of the machine.
    #[serde(default)]
    pub region: String,
    /// `innerPorts`: first and last port that are free for internal calls, the same on all machines.
    #[serde(rename = "innerPorts")]
    #[validate(custom(function = check_port_range))]
    pub internal_ports: (u16, u16),
    /// `seedStations`: control addresses (`controlPost`) of a few machines, to find the others.
    #[serde(rename = "seedStations", default)]
    pub seeds: Vec<String>,
    /// `firstStart`: whether the entire system starts for the first time, on empty disks.
    #[serde(rename = "firstStart", default)]
    pub first_start: bool,
    /// `countsForQuorum`: whether the machine is one of those that [`FaultTolerance`] bounds.
    #[serde(rename = "countsForQuorum", default)]
    pub counts_for_quorum: bool,
    /// `dataDir`: directory for data; `None` on a machine without a disk.
    #[serde(rename = "dataDir", default, deserialize_with = "empty_as_none")]
    pub data_dir: Option<PathBuf>,
    #[serde(rename = "beatMs", default)]
    heartbeat_interval_ms: Option<f64>,
    /// `contracts`: the parts of the platform's rules that are in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// `zones`: the region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// `[posts]`: where the process listens.
    #[serde(rename = "posts", default)]
    pub listen_addresses: ListenAddresses,
    /// `[limits]`: the resources that the process may use.
    #[serde(rename = "limits", default)]
    #[validate(nested)]
    pub resource_limits: ResourceLimits,
    /// `[withstand]`: the faults that the system has to survive.
    #[serde(rename = "withstand", default)]
    pub fault_tolerance: FaultTolerance,
    /// `[timetable]`: durations and bounds of the platform's rules.
    #[serde(rename = "timetable", default)]
    #[validate(nested)]
    pub timing_rules: TimingRules,
    /// `[cloud]`: the platform's list of servers; `None` where there is none.
    #[serde(rename = "cloud", default)]
    #[validate(nested)]
    pub platform_list: Option<PlatformListSettings>,
}

impl NodeSettings {
    /// Loads the file that the environment variable [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// [`SettingsError::PathNotSet`], or as for [`NodeSettings::load`].
    pub fn from_env() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::PathNotSet)?;
        Self::load(Path::new(&path))
    }

    /// Loads a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::FileUnreadable`], or as for [`NodeSettings::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::FileUnreadable {
            path: path.to_owned(),
            cause: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Malformed`] when it is no TOML, lacks a field or a field has another type;
    /// [`SettingsError::Invalid`] when a value fails a check. Both name the field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::malformed(text, &error))?;
        settings.validate().map_err(|errors| SettingsError::invalid(&errors))?;
        Ok(settings)
    }

    /// `beatMs`: interval of the platform's heartbeats; 1.2 s by default.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        duration_from_millis(self.heartbeat_interval_ms, DEFAULT_HEARTBEAT_INTERVAL)
    }

    /// Whether clients call this process.
    #[must_use]
    pub fn serves_clients(&self) -> bool {
        self.serves(SERVES_CLIENTS)
    }

    /// Whether servers and the operator call this process.
    #[must_use]
    pub fn serves_control(&self) -> bool {
        self.serves(SERVES_CONTROL)
    }

    /// Whether this process stores data.
    #[must_use]
    pub fn serves_store(&self) -> bool {
        self.serves(SERVES_STORE)
    }

    /// Whether a part of the platform's rules is in force.
    #[must_use]
    pub fn has_contract(&self, contract: &str) -> bool {
        self.contracts.iter().any(|name| name == contract)
    }

    /// The address for internal calls, `ip:port`, with the first internal port.
    #[must_use]
    pub fn internal_address(&self) -> String {
        format!("{}:{}", self.ip, self.internal_ports.0)
    }

    fn serves(&self, caller: &str) -> bool {
        self.serves.iter().any(|name| name == caller)
    }
}

fn check_port_range(ports: &(u16, u16)) -> Result<(), ValidationError> {
    let (first, last) = *ports;
    if first == 0 || first > last {
        return Err(ValidationError::new("innerPorts").with_message("innerPorts is no range of ports".into()));
    }
    Ok(())
}
