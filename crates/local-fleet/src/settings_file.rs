//! The settings file of a process.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;

use crate::layout::{Layout, INTERNAL_PORTS, REGION, ZONES};

/// Calls a second that the platform takes from all nodes.
pub const PLATFORM_CALLS_PER_SECOND: f64 = 44.0;
/// How far the platform's list lags.
pub const PLATFORM_LAG: Duration = Duration::from_millis(800);

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineClass {
    /// It carries traffic.
    Counter,
    /// It keeps batch jobs.
    Vault,
}

/// Where a node serves whom.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Posts {
    #[serde(skip_serializing_if = "Option::is_none")]
    front: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ready_post: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    control_post: Option<String>,
}

/// What a process may use.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ProcessLimits {
    cpu_share: f64,
    cores: u32,
    memory_mb: u64,
    file_handles: u64,
    link_mbps: f64,
    disk_mb: u64,
}

/// What may be lost at one time.
#[derive(Clone, Debug, Serialize)]
pub struct Withstand {
    machines: u8,
    zones: u8,
    regions: u8,
}

/// The figures of the rules.
#[derive(Clone, Debug, Serialize)]
pub struct Timetable {
    #[serde(rename = "seedLagS")]
    seed_lag_s: u64,
    #[serde(rename = "reuseAfterS")]
    reuse_after_s: u64,
    #[serde(rename = "touchMs")]
    touch_ms: u64,
    #[serde(rename = "receiptMs")]
    receipt_ms: u64,
    #[serde(rename = "catchUpS")]
    catch_up_s: f64,
    #[serde(rename = "drainMs")]
    drain_ms: u64,
    #[serde(rename = "graceS")]
    grace_s: u64,
    #[serde(rename = "lostMs")]
    lost_ms: u64,
    #[serde(rename = "inForceMs")]
    in_force_ms: u64,
    #[serde(rename = "backMs")]
    back_ms: u64,
    #[serde(rename = "stretchMs")]
    stretch_ms: u64,
    #[serde(rename = "recoverS")]
    recover_s: u64,
    pass_ms: u64,
    again_s: u64,
    #[serde(rename = "finishS")]
    finish_s: u64,
    #[serde(rename = "statusS")]
    status_s: u64,
    #[serde(rename = "recallMs")]
    recall_ms: u64,
    #[serde(rename = "settleMs")]
    settle_ms: u64,
    #[serde(rename = "quotaOver")]
    quota_over: f64,
    #[serde(rename = "fenceChecked")]
    fence_checked: bool,
    #[serde(rename = "leaseMs")]
    lease_ms: u64,
    #[serde(rename = "thawMs")]
    thaw_ms: u64,
}

impl Default for Timetable {
    fn default() -> Self {
        Self {
            seed_lag_s: 3,
            reuse_after_s: 2,
            touch_ms: 3000,
            receipt_ms: 4000,
            catch_up_s: 4.8,
            drain_ms: 3000,
            grace_s: 8,
            lost_ms: 200,
            in_force_ms: 2000,
            back_ms: 250,
            stretch_ms: 5000,
            recover_s: 12,
            pass_ms: 120,
            again_s: 0,
            finish_s: 10,
            status_s: 120,
            recall_ms: 3000,
            settle_ms: 1000,
            quota_over: 0.1,
            fence_checked: false,
            lease_ms: 3000,
            thaw_ms: 300,
        }
    }
}

impl Timetable {
    /// How long a process may take to end after SIGTERM.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }

    /// By when an acknowledged configuration holds everywhere.
    #[must_use]
    pub fn in_force(&self) -> Duration {
        Duration::from_millis(self.in_force_ms)
    }

    /// By when a proper order is acknowledged in calm times.
    #[must_use]
    pub fn receipt(&self) -> Duration {
        Duration::from_millis(self.receipt_ms)
    }

    /// For how long items of an ended batch job may still come to servers.
    #[must_use]
    pub fn recall(&self) -> Duration {
        Duration::from_millis(self.recall_ms)
    }

    /// By when an accepted batch job is known everywhere.
    #[must_use]
    pub fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }

    /// For how long results are kept.
    #[must_use]
    pub fn results_kept(&self) -> Duration {
        Duration::from_secs(self.status_s)
    }

    /// Within which holders of the lease must not take turns.
    #[must_use]
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// Where the platform is.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Cloud {
    address: String,
    per_s: f64,
    rounds: Vec<String>,
    lag_ms: u64,
}

/// The settings of a process.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsFile {
    station: String,
    role: String,
    machine_class: MachineClass,
    serves: Vec<&'static str>,
    ip: IpAddr,
    zone: &'static str,
    region: &'static str,
    inner_ports: (u16, u16),
    seed_stations: Vec<String>,
    /// The whole system starts for the first time.
    pub first_start: bool,
    counts_for_quorum: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    data_dir: Option<PathBuf>,
    discovery: &'static str,
    entry: &'static str,
    beat_ms: u64,
    contracts: Vec<&'static str>,
    zones: BTreeMap<&'static str, &'static str>,
    posts: Posts,
    limits: ProcessLimits,
    withstand: Withstand,
    timetable: Timetable,
    cloud: Cloud,
}

impl SettingsFile {
    /// The settings of a traffic node, with its files under `directory`.
    #[must_use]
    pub fn node(layout: &Layout, node: u8, directory: &Path) -> Self {
        let has_disk = node < layout.nodes_with_disk();
        let posts = Posts {
            front: Some(layout.front(node).to_string()),
            ready_post: Some(layout.ready(node).to_string()),
            control_post: Some(layout.control(node).to_string()),
        };
        Self {
            station: format!("counter-{}-{}", layout.zone(node), node + 1),
            role: "node".to_owned(),
            machine_class: MachineClass::Counter,
            serves: vec!["counter", "dispatch"],
            ip: layout.node_ip(node),
            zone: layout.zone(node),
            counts_for_quorum: has_disk,
            data_dir: has_disk.then(|| directory.join("data")),
            posts,
            limits: ProcessLimits::with(0.41, 260, 4100, if has_disk { 64 } else { 0 }),
            ..Self::store(layout, 0, directory)
        }
    }

    /// The settings of a store, with its files under `directory`.
    #[must_use]
    pub fn store(layout: &Layout, store: u8, directory: &Path) -> Self {
        Self {
            station: format!("vault-{}-{}", layout.zone(store), store + 1),
            role: "store".to_owned(),
            machine_class: MachineClass::Vault,
            serves: vec!["vault"],
            ip: layout.store_ip(store),
            zone: layout.zone(store),
            region: REGION,
            inner_ports: INTERNAL_PORTS,
            seed_stations: layout.seeds().iter().map(ToString::to_string).collect(),
            first_start: true,
            counts_for_quorum: true,
            data_dir: Some(directory.join("data")),
            discovery: "cloud",
            entry: "shared_address",
            beat_ms: 1200,
            contracts: vec![
                "base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch",
            ],
            zones: ZONES.iter().map(|zone| (*zone, REGION)).collect(),
            posts: Posts::default(),
            limits: ProcessLimits::with(0.5, 300, 8200, 500),
            withstand: Withstand { machines: layout.machines_lost(), zones: 0, regions: 0 },
            timetable: Timetable::default(),
            cloud: Cloud::of(layout),
        }
    }

    /// The name of the machine.
    #[must_use]
    pub fn station(&self) -> &str {
        &self.station
    }

    /// What the machine is for.
    #[must_use]
    pub fn machine_class(&self) -> MachineClass {
        self.machine_class
    }

    /// Where the process keeps its files, if it has a disk.
    #[must_use]
    pub fn data_dir(&self) -> Option<&Path> {
        self.data_dir.as_deref()
    }

    /// The file's text.
    ///
    /// # Errors
    ///
    /// When a path cannot be written as text.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

impl ProcessLimits {
    fn with(cpu_share: f64, memory_mb: u64, file_handles: u64, disk_mb: u64) -> Self {
        Self { cpu_share, cores: 1, memory_mb, file_handles, link_mbps: 1000.0, disk_mb }
    }
}

impl Cloud {
    fn of(layout: &Layout) -> Self {
        Self {
            address: layout.platform().to_string(),
            per_s: PLATFORM_CALLS_PER_SECOND,
            rounds: Vec::new(),
            lag_ms: u64::try_from(PLATFORM_LAG.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
