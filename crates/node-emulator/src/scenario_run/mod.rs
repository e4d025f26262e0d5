//! Runs a scenario: threads of emulated nodes, of servers and of discovery, and the steps at their times.

mod results;
mod running_fleet;
mod step;
mod table;
mod timeline;

pub use self::results::{ScenarioMeasurements, ScenarioResults};
pub use self::table::table;

use std::io;

use balancer::{DecisionSettings, Idempotency, RequestClass};
use serde::Serialize;
use tokio::task::LocalSet;

use self::running_fleet::{runtime, RunningFleet};
use crate::catalogue::Size;
use crate::scenario::{Load, Scenario};
use crate::slopes;
use crate::usage::{self, TooFewDescriptors};

/// Memory of a node without its servers, with both ends of its connection to discovery, in bytes.
const BYTES_PER_NODE: u64 = 64 * 1024;

/// Memory of a server in an encoded list, in a decoded list and in the catalogue, in bytes.
const BYTES_PER_MEMBER: u64 = 600;

/// Most complete lists that the nodes of one thread read at once as they start.
const MAX_CONCURRENT_LIST_READS: u64 = 4;

/// Descriptors besides connections and listeners: event loops, files, the standard streams.
const BASE_DESCRIPTORS: u64 = 200;

/// How a scenario is run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RunOptions {
    /// Threads that the emulated nodes are distributed over.
    pub node_threads: usize,
    /// Limit of the estimated memory, in MiB.
    pub memory_mb: u64,
    /// The run fails if a node has no list so many seconds after its start.
    #[serde(rename = "start_most_s")]
    pub start_timeout_s: u64,
}

/// A scenario could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioRunError {
    /// The estimated memory is over the limit.
    #[error("{nodes} nodes before {servers} servers need about {need_mb} MiB, and {limit_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// Nodes.
        nodes: usize,
        /// Servers.
        servers: usize,
        /// The estimate, in MiB.
        need_mb: u64,
        /// The limit, in MiB.
        limit_mb: u64,
    },
    /// The memory of a node's decisions could not be measured for the estimate.
    #[error("the memory of a node cannot be measured: {0}")]
    NotMeasured(String),
    /// More descriptors are required than allowed.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop could not be set up.
    #[error("cannot set the play up: {0}")]
    Setup(#[from] io::Error),
    /// The nodes' settings are invalid.
    #[error("the nodes' settings: {0}")]
    Settings(#[from] balancer::SettingsError),
    /// Some nodes got no first list before the time-out.
    #[error("{without} of {nodes} nodes had no list within {within_s} s, in which discovery sent {complete_lists} whole lists, {sent_bytes} bytes: is the list over the client's limit?")]
    NoInitialList {
        /// Nodes without a list.
        without: usize,
        /// All nodes.
        nodes: usize,
        /// The time-out, in seconds.
        within_s: u64,
        /// Complete lists that were sent meanwhile.
        complete_lists: u64,
        /// Bytes that discovery sent meanwhile.
        sent_bytes: u64,
    },
    /// A thread panicked.
    #[error("a thread of the play panicked")]
    Panicked,
}

/// Estimates the peak memory of a run, in bytes; `bytes_per_server` is the memory of one node's decisions for each
/// server.
#[must_use]
pub fn estimate_memory_bytes(size: Size, options: RunOptions, bytes_per_server: u64) -> u64 {
    let (nodes, servers) = (size.nodes as u64, size.servers as u64);
    let lists = MAX_CONCURRENT_LIST_READS * options.node_threads as u64 + 2;
    nodes * (BYTES_PER_NODE + servers * bytes_per_server) + lists * servers * BYTES_PER_MEMBER
}

/// Checks the estimated memory against the limit; the memory of the decisions is measured first.
fn check_memory_limit(size: Size, options: RunOptions) -> Result<(), ScenarioRunError> {
    let bytes =
        slopes::bytes_per_server().map_err(|error| ScenarioRunError::NotMeasured(error.to_string()))?;
    let need_mb = estimate_memory_bytes(size, options, bytes).div_ceil(1 << 20);
    tracing::info!(bytes_per_server = bytes, need_mb, "memory estimated");
    if need_mb <= options.memory_mb {
        return Ok(());
    }
    let (nodes, servers) = (size.nodes, size.servers);
    Err(ScenarioRunError::TooLarge { nodes, servers, need_mb, limit_mb: options.memory_mb })
}

/// Descriptors that a run requires: both ends of every connection belong to this process.
fn required_descriptors(scenario: &Scenario, options: RunOptions) -> u64 {
    let size = scenario.size;
    let load = scenario.load;
    let (nodes, racks) = (size.nodes as u64, size.racks as u64);
    // Idle connections, and those of the requests in flight if every server left them open until their deadline.
    let idle = if load.requests_per_s > 0.0 { options.node_threads as u64 * racks } else { 0 };
    let busy = (load.requests_per_s * load.deadline_ms.max(load.service_ms) / 1000.0).ceil() as u64;
    BASE_DESCRIPTORS + size.regions as u64 + racks + 2 * (nodes + idle + busy)
}

/// The settings of the emulated nodes' decisions.
#[must_use]
pub fn settings(load: &Load) -> DecisionSettings {
    let mut settings = DecisionSettings::new(vec![RequestClass::new(
        load.latency_target_ms,
        load.deadline_ms,
        Idempotency::Safe,
    )]);
    settings.drain_grace_ms = load.drain_grace_ms;
    settings.max_attempts = load.max_attempts;
    settings.max_retry_after_ms = Some(load.deadline_ms);
    settings
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// Where it needs too much memory, cannot be set up, or its nodes get no list.
pub fn run(scenario: &Scenario, options: RunOptions) -> Result<ScenarioMeasurements, ScenarioRunError> {
    check_memory_limit(scenario.size, options)?;
    usage::raise_descriptor_limit(required_descriptors(scenario, options))?;
    let settings = settings(&scenario.load);
    settings.validate()?;
    let fleet = RunningFleet::start(scenario, settings, options)?;
    let runtime = runtime()?;
    let measured = LocalSet::new().block_on(&runtime, fleet.run(scenario, options));
    let joined = fleet.shut_down();
    let measured = measured?;
    joined?;
    Ok(measured)
}
