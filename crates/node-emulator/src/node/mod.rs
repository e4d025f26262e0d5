//! Hollow nodes: the project's own decisions and its own discovery client, many to a thread.
//!
//! A thread's nodes share their connections to the hollow servers and their counters. A node keeps its `Balancer` and
//! little more: the names of servers are their numbers, and their addresses the catalogue's.

mod endpoint_update;
mod hollow_node;
mod thread;

pub use self::endpoint_update::{endpoint_update, read_list};
pub use self::hollow_node::HollowNode;

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

/// Nodes of a thread that may read their first list at once. They share one core, which real nodes do not: all at
/// once each would miss the client's time limit for it.
const MAX_CONCURRENT_STARTS: usize = 2;

/// What all hollow nodes are configured with.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many there are of each.
    pub size: Size,
    /// All random numbers follow from it.
    pub seed: u64,
    /// Where the agent of each region listens.
    pub agents: Vec<SocketAddr>,
    /// The settings; `me` and `zone` are each node's own.
    pub settings: DecisionSettings,
    /// Requests that come to one node in a second, on average.
    pub requests_per_s: f64,
}

/// What a thread of nodes is to do.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Ends a node, where it runs, and starts it.
    Start(usize),
}

/// The counters of a thread, shared with their reader.
pub type SharedCounters = Arc<Mutex<NodeCounters>>;

/// Locks the counters.
pub fn lock(counters: &Mutex<NodeCounters>) -> MutexGuard<'_, NodeCounters> {
    counters.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The version that each node holds; 0 for none.
#[derive(Debug)]
pub struct KnownVersions(Vec<std::sync::atomic::AtomicU64>);

impl KnownVersions {
    /// None holds any yet.
    #[must_use]
    pub fn new(nodes: usize) -> Self {
        Self((0..nodes).map(|_| 0.into()).collect())
    }

    /// The versions, by node.
    pub fn versions(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|version| version.load(std::sync::atomic::Ordering::Relaxed))
    }

    fn set(&self, node: usize, version: u64) {
        self.0[node].store(version, std::sync::atomic::Ordering::Relaxed);
    }
}

/// Runs the nodes of a thread until no command can come any more; runs within a `LocalSet`.
pub async fn run(
    plan: Arc<Plan>,
    world: Arc<World>,
    counters: SharedCounters,
    known_versions: Arc<KnownVersions>,
    open: watch::Receiver<bool>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let thread = Rc::new(NodeThread {
        zones: catalogue::zone_names(plan.size),
        plan,
        world,
        counters,
        idle: RefCell::default(),
        open,
        known_versions,
        starting: Semaphore::new(MAX_CONCURRENT_STARTS),
    });
    tokio::task::spawn_local(Rc::clone(&thread).measure_lateness());
    let mut running: HashMap<usize, (Rc<HollowNode>, Vec<AbortHandle>)> = HashMap::new();
    while let Some(Command::Start(number)) = commands.recv().await {
        if let Some((old, tasks)) = running.remove(&number) {
            old.end();
            tasks.iter().for_each(AbortHandle::abort);
        }
        match HollowNode::new(&thread, number) {
            Ok(node) => {
                let follow = tokio::task::spawn_local(Rc::clone(&node).follow());
                let take = tokio::task::spawn_local(Rc::clone(&node).take_requests());
                running.insert(number, (node, vec![follow.abort_handle(), take.abort_handle()]));
            }
            Err(error) => tracing::error!(number, %error, "a node cannot start"),
        }
    }
}
