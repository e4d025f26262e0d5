//! Runs a scenario: starts threads for the emulated nodes, the servers and discovery, executes the steps at
//! their due times, and measures.

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

/// Estimated memory of a node without any servers, in bytes, including both ends of its connection to
/// discovery.
const BYTES_PER_NODE: u64 = 64 * 1024;

/// Estimated memory of a server in an encoded list, in a decoded list and in the catalogue together, in
/// bytes.
const BYTES_PER_MEMBER: u64 = 600;

/// Maximum number of complete lists that the starting nodes of one thread are assumed to read concurrently.
const MAX_CONCURRENT_LIST_READS: u64 = 4;

/// Number of file descriptors for event loops, files and the standard streams. Connections and listeners are
/// counted separately.
const BASE_DESCRIPTORS: u64 = 200;

/// Options of a run that do not belong to the scenario.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RunOptions {
    /// Number of threads that the emulated nodes are distributed over.
    pub node_threads: usize,
    /// Limit of the estimated memory, in MiB. A run whose estimate is higher is rejected.
    pub memory_mb: u64,
    /// Time limit in seconds until all nodes have their first list. The run fails if a node still has none.
    #[serde(rename = "start_most_s")]
    pub start_timeout_s: u64,
}

/// Error of a scenario that could not be run completely.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioRunError {
    /// The estimated memory is over the limit.
    #[error("{nodes} nodes with lists of {servers} servers need about {need_mb} MiB, and {limit_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// Number of nodes of the scenario.
        nodes: usize,
        /// Number of servers of the scenario.
        servers: usize,
        /// The estimated memory, in MiB.
        need_mb: u64,
        /// The limit of the options, in MiB.
        limit_mb: u64,
    },
    /// The memory of a `Balancer`, which the estimate is based on, could not be measured.
    #[error("the memory of a balancer cannot be measured: {0}")]
    NotMeasured(String),
    /// The run requires more file descriptors than the hard limit allows.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop could not be created.
    #[error("cannot create a socket, thread or event loop of the run: {0}")]
    Setup(#[from] io::Error),
    /// The settings that follow from the scenario are invalid.
    #[error("the settings of the nodes are invalid: {0}")]
    Settings(#[from] balancer::SettingsError),
    /// Some nodes did not receive their first list before the time limit.
    #[error("{without} of {nodes} nodes had no list within {within_s} s, in which discovery sent {complete_lists} complete lists and {sent_bytes} bytes; the list may exceed the limit of the discovery client")]
    NoInitialList {
        /// Number of nodes without a list.
        without: usize,
        /// Number of all nodes.
        nodes: usize,
        /// The time limit, in seconds.
        within_s: u64,
        /// Number of complete lists that discovery sent during this time.
        complete_lists: u64,
        /// Bytes that discovery sent during this time.
        sent_bytes: u64,
    },
    /// A thread of nodes, servers or discovery panicked.
    #[error("a thread of the run panicked")]
    Panicked,
}

/// Estimates the peak memory of a run, in bytes. `bytes_per_server` is the memory of one node's `Balancer`
/// for each server.
#[must_use]
pub fn estimate_memory_bytes(size: Size, options: RunOptions, bytes_per_server: u64) -> u64 {
    let (nodes, servers) = (size.nodes as u64, size.servers as u64);
    let lists = MAX_CONCURRENT_LIST_READS * options.node_threads as u64 + 2;
    nodes * (BYTES_PER_NODE + servers * bytes_per_server) + lists * servers * BYTES_PER_MEMBER
}

/// Checks that the estimated memory is within the limit. The estimate uses the measured memory of a
/// `Balancer`.
fn check_memory_limit(size: Size, options: RunOptions) -> Result<(), ScenarioRunError> {
    let bytes =
        slopes::bytes_per_server().map_err(|error| ScenarioRunError::NotMeasured(error.to_string()))?;
    let need_mb = estimate_memory_bytes(size, options, bytes).div_ceil(1 << 20);
    tracing::info!(bytes_per_server = bytes, need_mb, "estimated the memory of the run");
    if need_mb <= options.memory_mb {
        return Ok(());
    }
    let (nodes, servers) = (size.nodes, size.servers);
    Err(ScenarioRunError::TooLarge { nodes, servers, need_mb, limit_mb: options.memory_mb })
}

/// Returns the number of file descriptors that a run requires. Both ends of every connection belong to this
/// process.
fn required_descriptors(scenario: &Scenario, options: RunOptions) -> u64 {
    let size = scenario.size;
    let load = scenario.load;
    let (nodes, racks) = (size.nodes as u64, size.racks as u64);
    // Idle connections, and connections of the requests in flight in the worst case: no server responds
    // before the deadline.
    let idle = if load.requests_per_s > 0.0 { options.node_threads as u64 * racks } else { 0 };
    let busy = (load.requests_per_s * load.deadline_ms.max(load.service_ms) / 1000.0).ceil() as u64;
    BASE_DESCRIPTORS + size.regions as u64 + racks + 2 * (nodes + idle + busy)
}

/// Returns the settings of the `Balancer` of all emulated nodes, with a single class of idempotent requests.
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

/// Runs a scenario completely and returns its measurements.
///
/// # Errors
///
/// Fails if the run needs too much memory or too many file descriptors, cannot be set up, or if nodes receive
/// no list.
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
