//! Sections of the settings file.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use validator::{Validate, ValidationError};

use crate::figures::milliseconds;

const CPU_SHARE_DEFAULT: f64 = 0.25;
const CORES_DEFAULT: f64 = 1.0;
const MEMORY_MB_DEFAULT: f64 = 256.0;
const FILE_HANDLES_DEFAULT: f64 = 4096.0;
const DISK_MB_DEFAULT: f64 = 64.0;
const LIST_LAG_DEFAULT: Duration = Duration::from_secs(1);
const LIST_CALLS_PER_SECOND_DEFAULT: f64 = 20.0;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Where a process listens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Posts {
    /// For clients.
    #[serde(default, deserialize_with = "unless_empty")]
    pub front: Option<SocketAddr>,
    /// For the platform, which asks whether the node is ready.
    #[serde(rename = "readyPost", default, deserialize_with = "unless_empty")]
    pub ready: Option<SocketAddr>,
    /// For the operator and the servers.
    #[serde(rename = "controlPost", default, deserialize_with = "unless_empty")]
    pub control: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Share of a core.
    #[serde(rename = "cpuShare")]
    #[validate(range(exclusive_min = 0.0, message = "limits.cpuShare is not above 0"))]
    pub cpu_share: f64,
    /// How many times as fast as one core the share runs.
    pub cores: f64,
    /// Memory in megabytes.
    #[serde(rename = "memoryMb")]
    #[validate(range(exclusive_min = 0.0, message = "limits.memoryMb is not above 0"))]
    pub memory_mb: f64,
    /// Descriptors.
    #[serde(rename = "fileHandles")]
    pub file_handles: f64,
    /// Speed of the link, if told.
    #[serde(rename = "linkMbps")]
    pub link_mbps: Option<f64>,
    /// Disk in megabytes.
    #[serde(rename = "diskMb")]
    pub disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cpu_share: CPU_SHARE_DEFAULT,
            cores: CORES_DEFAULT,
            memory_mb: MEMORY_MB_DEFAULT,
            file_handles: FILE_HANDLES_DEFAULT,
            link_mbps: None,
            disk_mb: DISK_MB_DEFAULT,
        }
    }
}

impl Limits {
    /// Memory in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB) as u64
    }

    /// Disk in bytes.
    #[must_use]
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * BYTES_PER_MB) as u64
    }
}

/// What may be lost at one time, with every rule still kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Withstand {
    /// Machines that count for the quorum.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// The platform's list of servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct PlatformList {
    /// Where it is asked for.
    #[validate(length(min = 1, message = "cloud.address is empty"))]
    pub address: String,
    /// Calls that it takes in a second from all nodes together.
    #[serde(rename = "perS", default = "list_calls_per_second")]
    #[validate(range(exclusive_min = 0.0, message = "cloud.perS is not above 0"))]
    pub per_s: f64,
    #[serde(rename = "lagMs", default)]
    #[validate(range(min = 0.0, message = "cloud.lagMs is below 0"))]
    lag_ms: Option<f64>,
}

impl PlatformList {
    /// How far the list lags behind the servers.
    #[must_use]
    pub fn lag(&self) -> Duration {
        milliseconds(self.lag_ms, LIST_LAG_DEFAULT)
    }
}

fn list_calls_per_second() -> f64 {
    LIST_CALLS_PER_SECOND_DEFAULT
}

/// Reads a text; an empty one counts as absent.
pub(crate) fn unless_empty<'de, Value, Input>(input: Input) -> Result<Option<Value>, Input::Error>
where
    Value: FromStr,
    Value::Err: Display,
    Input: Deserializer<'de>,
{
    let text = String::deserialize(input)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(Input::Error::custom)
}

pub(crate) fn check_ports(ports: &(u16, u16)) -> Result<(), ValidationError> {
    if ports.0 == 0 || ports.0 > ports.1 {
        return Err(ValidationError::new("innerPorts").with_message("innerPorts is no range of ports".into()));
    }
    Ok(())
}
