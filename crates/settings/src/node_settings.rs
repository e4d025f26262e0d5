//! The settings of a process, and functions that load them from the settings file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::parse::{duration_from_millis, empty_as_none};
use crate::{
    FaultTolerance, ListenAddresses, PlatformListSettings, ResourceLimits, SettingsError, TimingRules,
};

/// Name of the environment variable that contains the path of the settings file.
pub const PATH_VARIABLE: &str = "RUSHRUDDER_BOOT";

/// The heartbeat interval if the file does not contain `beatMs`.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Entry in `serves` of a process that clients call.
const SERVES_CLIENTS: &str = "counter";
/// Entry in `serves` of a process that model servers and the operator call.
const SERVES_CONTROL: &str = "dispatch";
/// Entry in `serves` of a process that stores data.
const SERVES_STORE: &str = "vault";

/// The settings of a process. Each field's comment begins with its name in the file.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct NodeSettings {
    /// `station`: name of the machine; not empty.
    #[serde(rename = "station")]
    #[validate(length(min = 1, message = "station is empty"))]
    pub machine_name: String,
    /// `role`: name that the platform gives to the role of the process; empty by default.
    #[serde(default)]
    pub role: String,
    /// `machineClass`: name that the platform gives to the class of the machine; empty by default.
    #[serde(rename = "machineClass", default)]
    pub machine_class: String,
    /// `serves`: kinds of external callers of the process: `counter` for clients, `dispatch` for model
    /// servers and the operator, `vault` for a process that stores data.
    #[serde(default)]
    pub serves: Vec<String>,
    /// `ip`: IP address of the machine; not empty.
    #[validate(length(min = 1, message = "ip is empty"))]
    pub ip: String,
    /// `zone`: name of the machine's zone; empty by default.
    #[serde(default)]
    pub zone: String,
    /// `region`: name of the machine's region; empty by default.
    #[serde(default)]
    pub region: String,
    /// `innerPorts`: first and last port of the range that is reserved for internal calls, the same on all
    /// machines.
    #[serde(rename = "innerPorts")]
    #[validate(custom(function = check_port_range))]
    pub internal_ports: (u16, u16),
    /// `seedStations`: control addresses (`controlPost`) of a few machines, through which a process finds
    /// the others.
    #[serde(rename = "seedStations", default)]
    pub seeds: Vec<String>,
    /// `firstStart`: whether the entire system starts for the first time, with empty disks.
    #[serde(rename = "firstStart", default)]
    pub first_start: bool,
    /// `countsForQuorum`: whether the machine counts towards the limits of [`FaultTolerance`].
    #[serde(rename = "countsForQuorum", default)]
    pub counts_for_quorum: bool,
    /// `dataDir`: directory for data on the machine's disk; `None` on a machine without a disk.
    #[serde(rename = "dataDir", default, deserialize_with = "empty_as_none")]
    pub data_dir: Option<PathBuf>,
    #[serde(rename = "beatMs", default)]
    heartbeat_interval_ms: Option<f64>,
    /// `contracts`: names of the parts of the platform's rules that are in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// `zones`: the region of each zone, by the name of the zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// `[posts]`: addresses at which the process listens.
    #[serde(rename = "posts", default)]
    pub listen_addresses: ListenAddresses,
    /// `[limits]`: resources that the process may use.
    #[serde(rename = "limits", default)]
    #[validate(nested)]
    pub resource_limits: ResourceLimits,
    /// `[withstand]`: faults that the system has to tolerate.
    #[serde(rename = "withstand", default)]
    pub fault_tolerance: FaultTolerance,
    /// `[timetable]`: durations and bounds of the platform's rules.
    #[serde(rename = "timetable", default)]
    #[validate(nested)]
    pub timing_rules: TimingRules,
    /// `[cloud]`: access to the platform's list of servers; `None` if there is no such list.
    #[serde(rename = "cloud", default)]
    #[validate(nested)]
    pub platform_list: Option<PlatformListSettings>,
}

impl NodeSettings {
    /// Loads the file that the environment variable [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::PathNotSet`] if the variable is not set, and the errors of
    /// [`NodeSettings::load`].
    pub fn from_env() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::PathNotSet)?;
        Self::load(Path::new(&path))
    }

    /// Loads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::FileUnreadable`] if the file cannot be read, and the errors of
    /// [`NodeSettings::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::FileUnreadable {
            path: path.to_owned(),
            cause: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Malformed`] if the text is not TOML, lacks a required field, or has a field
    /// of the wrong type, and [`SettingsError::Invalid`] if a value fails a check. Both errors
    /// name the line or the field at fault.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::malformed(text, &error))?;
        settings.validate().map_err(|errors| SettingsError::invalid(&errors))?;
        Ok(settings)
    }

    /// Returns `beatMs`: the interval of the platform's heartbeats; 1.2 s by default.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        duration_from_millis(self.heartbeat_interval_ms, DEFAULT_HEARTBEAT_INTERVAL)
    }

    /// Whether `serves` contains `counter`: clients call this process.
    #[must_use]
    pub fn serves_clients(&self) -> bool {
        self.serves(SERVES_CLIENTS)
    }

    /// Whether `serves` contains `dispatch`: model servers and the operator call this process.
    #[must_use]
    pub fn serves_control(&self) -> bool {
        self.serves(SERVES_CONTROL)
    }

    /// Whether `serves` contains `vault`: this process stores data.
    #[must_use]
    pub fn serves_store(&self) -> bool {
        self.serves(SERVES_STORE)
    }

    /// Whether the part of the platform's rules with the name `contract` is in force.
    #[must_use]
    pub fn has_contract(&self, contract: &str) -> bool {
        self.contracts.iter().any(|name| name == contract)
    }

    /// Returns the address for internal calls as `ip:port`, with the first port of `innerPorts`.
    #[must_use]
    pub fn internal_address(&self) -> String {
        format!("{}:{}", self.ip, self.internal_ports.0)
    }

    fn serves(&self, kind: &str) -> bool {
        self.serves.iter().any(|name| name == kind)
    }
}

fn check_port_range(ports: &(u16, u16)) -> Result<(), ValidationError> {
    let (first, last) = *ports;
    if first == 0 || first > last {
        return Err(ValidationError::new("innerPorts").with_message(
            "innerPorts is not a range of ports: the first port is 0 or above the last".into(),
        ));
    }
    Ok(())
}
