//! The settings file that a process reads when it starts.
//!
//! The types are only written, never read. Fields have the names of the keys in the file or are renamed by
//! `serde`.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;

use super::layout::{Layout, INTERNAL_PORTS, REGION, ZONES};
use super::timing_rules::TimingRules;

/// Number of calls a second that the platform accepts from all nodes together.
pub const PLATFORM_CALLS_PER_SECOND: f64 = 44.0;
/// Time from a change of the platform's server list until calls return it.
pub const PLATFORM_LAG: Duration = Duration::from_millis(800);

/// Kind of process that a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum MachineClass {
    /// A traffic node, which proxies requests to servers.
    #[serde(rename = "counter")]
    Node,
    /// A store, which keeps replicas of batch jobs on disk.
    #[serde(rename = "vault")]
    Store,
}

/// The addresses at which a node serves clients, readiness checks and the operator; all `None` for a store.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ListenAddresses {
    #[serde(rename = "front", skip_serializing_if = "Option::is_none")]
    clients: Option<String>,
    #[serde(rename = "readyPost", skip_serializing_if = "Option::is_none")]
    readiness: Option<String>,
    #[serde(rename = "controlPost", skip_serializing_if = "Option::is_none")]
    operator: Option<String>,
}

/// The resources that a process may use. The unit of a size or rate is in the name of its field.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ProcessLimits {
    cpu_share: f64,
    /// Speed of the processor core of which the process gets `cpu_share`, as a multiple of the speed of a
    /// standard core. It is not a number of cores.
    cores: u32,
    memory_mb: u64,
    file_handles: u64,
    link_mbps: f64,
    disk_mb: u64,
}

/// The numbers of machines, zones and regions that may be unavailable at the same time while the system still
/// complies with all rules. Only machines with `counts_for_quorum` count.
#[derive(Clone, Debug, Serialize)]
pub struct ToleratedFailures {
    machines: u8,
    zones: u8,
    regions: u8,
}

/// The address and limits of the platform's server list.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PlatformSettings {
    address: String,
    #[serde(rename = "perS")]
    calls_per_second: f64,
    rounds: Vec<String>,
    lag_ms: u64,
}

/// The settings of a process, with all sections of the file.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsFile {
    #[serde(rename = "station")]
    name: String,
    role: String,
    machine_class: MachineClass,
    serves: Vec<&'static str>,
    ip: IpAddr,
    zone: &'static str,
    region: &'static str,
    #[serde(rename = "innerPorts")]
    internal_ports: (u16, u16),
    #[serde(rename = "seedStations")]
    seeds: Vec<String>,
    /// Whether the system starts for the first time, so that its stored state is empty. Set only for the
    /// first start of a process.
    pub first_start: bool,
    counts_for_quorum: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    data_dir: Option<PathBuf>,
    discovery: &'static str,
    entry: &'static str,
    #[serde(rename = "beatMs")]
    heartbeat_ms: u64,
    contracts: Vec<&'static str>,
    zones: BTreeMap<&'static str, &'static str>,
    #[serde(rename = "posts")]
    addresses: ListenAddresses,
    limits: ProcessLimits,
    #[serde(rename = "withstand")]
    tolerated_failures: ToleratedFailures,
    #[serde(rename = "timetable")]
    timing: TimingRules,
    #[serde(rename = "cloud")]
    platform: PlatformSettings,
}

impl SettingsFile {
    /// Returns the settings of a traffic node, counted from 0, with its files under `directory`.
    #[must_use]
    pub fn node(layout: &Layout, node: u8, directory: &Path) -> Self {
        let has_disk = node < layout.nodes_with_disk();
        let addresses = ListenAddresses {
            clients: Some(layout.client_address(node).to_string()),
            readiness: Some(layout.readiness_address(node).to_string()),
            operator: Some(layout.operator_address(node).to_string()),
        };
        Self {
            name: format!("counter-{}-{}", layout.zone(node), node + 1),
            role: "node".to_owned(),
            machine_class: MachineClass::Node,
            serves: vec!["counter", "dispatch"],
            ip: layout.node_ip(node),
            zone: layout.zone(node),
            counts_for_quorum: has_disk,
            data_dir: has_disk.then(|| directory.join("data")),
            addresses,
            limits: ProcessLimits::new(0.41, 260, 4100, if has_disk { 64 } else { 0 }),
            ..Self::store(layout, 0, directory)
        }
    }

    /// Returns the settings of a store, counted from 0, with its files under `directory`.
    #[must_use]
    pub fn store(layout: &Layout, store: u8, directory: &Path) -> Self {
        Self {
            name: format!("vault-{}-{}", layout.zone(store), store + 1),
            role: "store".to_owned(),
            machine_class: MachineClass::Store,
            serves: vec!["vault"],
            ip: layout.store_ip(store),
            zone: layout.zone(store),
            region: REGION,
            internal_ports: INTERNAL_PORTS,
            seeds: layout.seeds().iter().map(ToString::to_string).collect(),
            first_start: true,
            counts_for_quorum: true,
            data_dir: Some(directory.join("data")),
            discovery: "cloud",
            entry: "shared_address",
            heartbeat_ms: 1200,
            contracts: vec![
                "base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch",
            ],
            zones: ZONES.iter().map(|zone| (*zone, REGION)).collect(),
            addresses: ListenAddresses::default(),
            limits: ProcessLimits::new(0.5, 300, 8200, 500),
            tolerated_failures: ToleratedFailures {
                machines: layout.tolerated_failures(),
                zones: 0,
                regions: 0,
            },
            timing: TimingRules::default(),
            platform: PlatformSettings::for_layout(layout),
        }
    }

    /// Returns the name of the machine, which is unique in the fleet.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the kind of process that the machine runs.
    #[must_use]
    pub fn machine_class(&self) -> MachineClass {
        self.machine_class
    }

    /// Returns the directory for the data of the process; `None` for a machine without a disk.
    #[must_use]
    pub fn data_dir(&self) -> Option<&Path> {
        self.data_dir.as_deref()
    }

    /// Returns the text of the settings file.
    ///
    /// # Errors
    ///
    /// When a path is not valid UTF-8.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

impl ProcessLimits {
    fn new(cpu_share: f64, memory_mb: u64, file_handles: u64, disk_mb: u64) -> Self {
        Self { cpu_share, cores: 1, memory_mb, file_handles, link_mbps: 1000.0, disk_mb }
    }
}

impl PlatformSettings {
    fn for_layout(layout: &Layout) -> Self {
        Self {
            address: layout.platform_address().to_string(),
            calls_per_second: PLATFORM_CALLS_PER_SECOND,
            rounds: Vec::new(),
            lag_ms: u64::try_from(PLATFORM_LAG.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
