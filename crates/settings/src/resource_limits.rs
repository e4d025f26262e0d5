//! The section `[limits]`: the resources that a process may use.

use serde::Deserialize;
use validator::Validate;

const DEFAULT_CPU_SHARE: f64 = 0.25;
const DEFAULT_CPU_SPEED_FACTOR: f64 = 1.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;
const DEFAULT_MAX_OPEN_FILES: f64 = 4096.0;
const DEFAULT_DISK_MB: f64 = 64.0;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// The resources that a process may use.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct ResourceLimits {
    /// `cpuShare`: fraction of the time of one processor core that the process may use; above 0, and 0.25 by
    /// default.
    #[serde(rename = "cpuShare")]
    #[validate(range(exclusive_min = 0.0, message = "limits.cpuShare is not above 0"))]
    pub cpu_share: f64,
    /// `cores`: speed of the processor core of which the process gets `cpuShare`, as a multiple of the speed
    /// of a standard core; 1 by default. It is not a number of cores.
    #[serde(rename = "cores")]
    pub cpu_speed_factor: f64,
    /// `memoryMb`: memory in megabytes (10^6 bytes); the platform kills a process that exceeds it. Above 0,
    /// and 256 by default.
    #[serde(rename = "memoryMb")]
    #[validate(range(exclusive_min = 0.0, message = "limits.memoryMb is not above 0"))]
    pub memory_mb: f64,
    /// `fileHandles`: number of open file descriptors, including sockets; 4096 by default.
    #[serde(rename = "fileHandles")]
    pub max_open_files: f64,
    /// `linkMbps`: bandwidth of the machine's network link in Mbit/s; `None` if the file does not contain it.
    #[serde(rename = "linkMbps")]
    pub link_mbps: Option<f64>,
    /// `diskMb`: disk space in megabytes (10^6 bytes); 64 by default.
    #[serde(rename = "diskMb")]
    pub disk_mb: f64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self {
            cpu_share: DEFAULT_CPU_SHARE,
            cpu_speed_factor: DEFAULT_CPU_SPEED_FACTOR,
            memory_mb: DEFAULT_MEMORY_MB,
            max_open_files: DEFAULT_MAX_OPEN_FILES,
            link_mbps: None,
            disk_mb: DEFAULT_DISK_MB,
        }
    }
}

impl ResourceLimits {
    /// Returns `memoryMb` converted to bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB) as u64
    }

    /// Returns `diskMb` converted to bytes.
    #[must_use]
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * BYTES_PER_MB) as u64
    }
}
