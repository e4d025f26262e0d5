//! The settings file of a process.
//!
//! The platform writes the file and names it in the environment variable [`PATH_VARIABLE`]. Fields may be added
//! at any time; unknown ones are skipped, and every figure that may be absent has a default.

mod error;
mod figures;
mod sections;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

pub use error::SettingsError;
pub use figures::Timetable;
pub use sections::{Limits, PlatformList, Posts, Withstand};

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "RUSHRUDDER_BOOT";
/// What `serves` holds for a process that clients reach.
const SERVES_CLIENTS: &str = "counter";
/// What `serves` holds for a process that servers and the operator reach.
const SERVES_CONTROL: &str = "dispatch";
/// What `serves` holds for a process that keeps data.
const SERVES_STORE: &str = "vault";

/// The settings of a process.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct Settings {
    /// Name of the machine.
    #[validate(length(min = 1, message = "station is empty"))]
    pub station: String,
    /// Role of the process.
    #[serde(default)]
    pub role: String,
    /// Class of the machine.
    #[serde(rename = "machineClass", default)]
    pub machine_class: String,
    /// Who from outside may call the process.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address of the machine.
    #[validate(length(min = 1, message = "ip is empty"))]
    pub ip: String,
    /// Zone of the machine.
    #[serde(default)]
    pub zone: String,
    /// Region of the machine.
    #[serde(default)]
    pub region: String,
    /// First and last of the ports that are free for internal calls.
    #[serde(rename = "innerPorts")]
    #[validate(custom(function = sections::check_ports))]
    pub inner_ports: (u16, u16),
    /// Addresses of the control interfaces of a few machines.
    #[serde(rename = "seedStations", default)]
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(rename = "firstStart", default)]
    pub first_start: bool,
    /// Whether the machine is one of those whose loss [`Withstand`] bounds.
    #[serde(rename = "countsForQuorum", default)]
    pub counts_for_quorum: bool,
    /// The folder for data; `None` on a machine without a disk.
    #[serde(rename = "dataDir", default, deserialize_with = "sections::unless_empty")]
    pub data_dir: Option<PathBuf>,
    /// Heartbeat of the platform.
    #[serde(rename = "beatMs", default)]
    beat_ms: Option<f64>,
    /// The parts of the rules that are in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the process listens.
    #[serde(default)]
    pub posts: Posts,
    /// What the process may use.
    #[serde(default)]
    #[validate(nested)]
    pub limits: Limits,
    /// What may be lost at one time.
    #[serde(default)]
    pub withstand: Withstand,
    /// Figures of the rules.
    #[serde(default)]
    #[validate(nested)]
    pub timetable: Timetable,
    /// The platform's list of servers; `None` where there is none.
    #[serde(default)]
    #[validate(nested)]
    pub cloud: Option<PlatformList>,
}

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// When the variable is not set, or as for [`Settings::load`].
    pub fn from_env() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Self::load(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or breaks a check; the error names the field and the cause.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::File { path: path.to_owned(), cause: error.to_string() })?;
        Self::parse(&text)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// When it is not TOML, lacks a field, or breaks a check; the error names the field and the cause.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::Unreadable(error.to_string()))?;
        settings.validate().map_err(|errors| SettingsError::Unusable(errors.to_string()))?;
        Ok(settings)
    }

    /// Heartbeat of the platform.
    #[must_use]
    pub fn beat(&self) -> Duration {
        figures::milliseconds(self.beat_ms, Timetable::BEAT_DEFAULT)
    }

    /// Whether clients reach this process.
    #[must_use]
    pub fn serves_clients(&self) -> bool {
        self.serves(SERVES_CLIENTS)
    }

    /// Whether servers and the operator reach this process.
    #[must_use]
    pub fn serves_control(&self) -> bool {
        self.serves(SERVES_CONTROL)
    }

    /// Whether this process keeps data.
    #[must_use]
    pub fn serves_store(&self) -> bool {
        self.serves(SERVES_STORE)
    }

    /// Whether a part of the rules is in force.
    #[must_use]
    pub fn has_contract(&self, contract: &str) -> bool {
        self.contracts.iter().any(|name| name == contract)
    }

    /// The address for internal calls: the machine's with the first inner port.
    #[must_use]
    pub fn internal_address(&self) -> String {
        format!("{}:{}", self.ip, self.inner_ports.0)
    }

    fn serves(&self, whom: &str) -> bool {
        self.serves.iter().any(|name| name == whom)
    }
}
