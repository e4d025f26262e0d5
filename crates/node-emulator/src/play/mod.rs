//! Plays a scenario: threads of hollow nodes, of hollow servers and of discovery, and the steps at their times.

mod results;
mod running_fleet;
mod step;
mod table;
mod timeline;

pub use self::results::{Played, Results};
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

/// Bytes that a node takes for itself, with its connection to discovery, both ends.
const BYTES_PER_NODE: u64 = 64 * 1024;

/// Bytes of a server in a list, read and unread, and of one in the catalogue.
const BYTES_PER_MEMBER: u64 = 600;

/// Complete lists that are read at once, at the most, by the nodes of one thread as they start.
const LISTS_AT_ONCE: u64 = 4;

/// Descriptors besides connections: listeners' event loops, files, the standard ones.
const DESCRIPTORS: u64 = 200;

/// How a play is run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Options {
    /// Threads that the hollow nodes are spread over.
    pub node_threads: usize,
    /// Memory that the play may need, in MiB.
    pub memory_mb: u64,
    /// All nodes have their first list within so many seconds, or the play does not begin.
    pub start_most_s: u64,
}

/// A play could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// Too large.
    #[error("{nodes} nodes before {servers} servers need about {need_mb} MiB, and {most_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// Nodes.
        nodes: usize,
        /// Servers.
        servers: usize,
        /// What they need.
        need_mb: u64,
        /// The limit.
        most_mb: u64,
    },
    /// What it would need is not known.
    #[error("the memory of a node cannot be measured: {0}")]
    NotMeasured(String),
    /// Too many sockets.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop could not be had.
    #[error("cannot set the play up: {0}")]
    Setup(#[from] io::Error),
    /// The nodes' settings make no sense.
    #[error("the nodes' settings: {0}")]
    Settings(#[from] balancer::SettingsError),
    /// Nodes got no list.
    #[error("{without} of {nodes} nodes had no list within {within_s} s, in which discovery sent {complete_lists} whole lists, {sent_bytes} bytes: is the list over the client's limit?")]
    NeverListed {
        /// Nodes without one.
        without: usize,
        /// All nodes.
        nodes: usize,
        /// How long they had, in seconds.
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

/// The memory that a play needs at the most, about, in bytes, where the decisions of a node take so many for each
/// server.
#[must_use]
pub fn estimate(size: Size, options: Options, bytes_per_server: u64) -> u64 {
    let (nodes, servers) = (size.nodes as u64, size.servers as u64);
    let lists = LISTS_AT_ONCE * options.node_threads as u64 + 2;
    nodes * (BYTES_PER_NODE + servers * bytes_per_server) + lists * servers * BYTES_PER_MEMBER
}

/// Refuses what is too large for the memory limit, by what the decisions as they are now take for a server.
fn fits(size: Size, options: Options) -> Result<(), PlayError> {
    let bytes = slopes::bytes_per_server().map_err(|error| PlayError::NotMeasured(error.to_string()))?;
    let need_mb = estimate(size, options, bytes).div_ceil(1 << 20);
    tracing::info!(bytes_per_server = bytes, need_mb, "memory estimated");
    if need_mb <= options.memory_mb {
        return Ok(());
    }
    let (nodes, servers) = (size.nodes, size.servers);
    Err(PlayError::TooLarge { nodes, servers, need_mb, most_mb: options.memory_mb })
}

/// Both ends of every connection are this process's.
fn descriptors(scenario: &Scenario, options: Options) -> u64 {
    let size = scenario.size;
    let load = scenario.load;
    let (nodes, racks) = (size.nodes as u64, size.racks as u64);
    // Idle connections, and as many as unresponsive servers would hold for the whole of a deadline.
    let idle = if load.requests_per_s > 0.0 { options.node_threads as u64 * racks } else { 0 };
    let busy = (load.requests_per_s * load.deadline_ms.max(load.service_ms) / 1000.0).ceil() as u64;
    DESCRIPTORS + size.regions as u64 + racks + 2 * (nodes + idle + busy)
}

/// The settings of hollow nodes.
#[must_use]
pub fn settings(load: &Load) -> DecisionSettings {
    let mut settings =
        DecisionSettings::new(vec![RequestClass::new(load.aim_ms, load.deadline_ms, Idempotency::Safe)]);
    settings.drain_grace_ms = load.drain_grace_ms;
    settings.max_attempts = load.max_attempts;
    settings.max_retry_after_ms = Some(load.deadline_ms);
    settings
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// Where it is too large, cannot be set up, or its nodes get no list.
pub fn play(scenario: &Scenario, options: Options) -> Result<Played, PlayError> {
    fits(scenario.size, options)?;
    usage::allow_descriptors(descriptors(scenario, options))?;
    let settings = settings(&scenario.load);
    settings.validate()?;
    let fleet = RunningFleet::start(scenario, settings, options)?;
    let runtime = runtime()?;
    let played = LocalSet::new().block_on(&runtime, fleet.run(scenario, options));
    let joined = fleet.end();
    let played = played?;
    joined?;
    Ok(played)
}
