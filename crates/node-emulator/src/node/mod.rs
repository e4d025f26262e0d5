//! Emulated nodes, which run the real `Balancer` and the real discovery client. A thread runs many nodes.
//!
//! The nodes of a thread share their connections to the servers and their counters. To save memory, a node
//! stores neither names nor addresses of servers: names encode the servers' numbers, and addresses are read
//! from the catalogue.

mod emulated_node;
mod endpoint_update;
mod thread;

pub use self::emulated_node::EmulatedNode;
pub use self::endpoint_update::{endpoint_update, read_list};

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balancer::DecisionSettings;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::AbortHandle;

use self::thread::NodeThread;
use crate::catalogue::{self, Size};
use crate::counters::NodeCounters;
use crate::world::World;

/// Number of nodes of a thread that may read their first list concurrently. Unlike real nodes, they share one
/// core: if all read concurrently, each would exceed the timeout of the discovery client.
const MAX_CONCURRENT_STARTS: usize = 2;

/// The configuration that all emulated nodes share.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The sizes of the fleet.
    pub size: Size,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The address of the discovery agent of each region, by region.
    pub agents: Vec<SocketAddr>,
    /// The settings of the `Balancer`. Each node sets `nodes`, `node_index` and `zone`.
    pub settings: DecisionSettings,
    /// Average rate of the requests that arrive at one node, per second.
    pub requests_per_s: f64,
}

/// A command to a thread of nodes.
#[derive(Clone, Copy, Debug)]
pub enum NodeCommand {
    /// Starts the node with this number, after stopping it if it is running.
    Start(usize),
}

/// The counters of a thread, shared with the thread that reports them.
pub type SharedCounters = Arc<Mutex<NodeCounters>>;

/// Locks the counters, also after a panic of another thread that held the lock.
pub fn lock(counters: &Mutex<NodeCounters>) -> MutexGuard<'_, NodeCounters> {
    counters.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The version of the server list that each node has, by node; 0 for a node without a list.
#[derive(Debug)]
pub struct NodeVersions(Vec<std::sync::atomic::AtomicU64>);

impl NodeVersions {
    /// Creates the versions of nodes that have no list yet.
    #[must_use]
    pub fn new(nodes: usize) -> Self {
        Self((0..nodes).map(|_| 0.into()).collect())
    }

    /// Returns the versions in the order of the nodes.
    pub fn versions(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|version| version.load(std::sync::atomic::Ordering::Relaxed))
    }

    /// Sets the version of a node; 0 if a restart has discarded its list.
    fn set(&self, node: usize, version: u64) {
        self.0[node].store(version, std::sync::atomic::Ordering::Relaxed);
    }
}

/// Runs the nodes of a thread until the sender of `commands` is dropped. Must be called within a `LocalSet`.
pub async fn run(
    config: Arc<NodeConfig>,
    world: Arc<World>,
    counters: SharedCounters,
    node_versions: Arc<NodeVersions>,
    clients_started: watch::Receiver<bool>,
    mut commands: mpsc::UnboundedReceiver<NodeCommand>,
) {
    let thread = Rc::new(NodeThread {
        zones: catalogue::zone_names(config.size),
        config,
        world,
        counters,
        idle: RefCell::default(),
        clients_started,
        node_versions,
        start_permits: Semaphore::new(MAX_CONCURRENT_STARTS),
    });
    tokio::task::spawn_local(Rc::clone(&thread).measure_wake_up_delay());
    let mut running: HashMap<usize, (Rc<EmulatedNode>, Vec<AbortHandle>)> = HashMap::new();
    while let Some(NodeCommand::Start(number)) = commands.recv().await {
        if let Some((old, tasks)) = running.remove(&number) {
            old.stop();
            tasks.iter().for_each(AbortHandle::abort);
        }
        match EmulatedNode::new(&thread, number) {
            Ok(node) => {
                let follow_task = tokio::task::spawn_local(Rc::clone(&node).follow());
                let request_task = tokio::task::spawn_local(Rc::clone(&node).generate_requests());
                running.insert(number, (node, vec![follow_task.abort_handle(), request_task.abort_handle()]));
            }
            Err(error) => tracing::error!(number, %error, "cannot start an emulated node"),
        }
    }
}
