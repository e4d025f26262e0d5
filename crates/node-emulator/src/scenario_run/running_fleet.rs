//! The threads of a run: starts the threads of discovery, servers and nodes, and joins them at the end.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use balancer::DecisionSettings;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use super::{RunOptions, ScenarioRunError};
use crate::catalogue::Catalogue;
use crate::counters::NodeCounters;
use crate::node::{self, NodeCommand, NodeConfig, NodeVersions, SharedCounters};
use crate::scenario::Scenario;
use crate::world::{self, World};
use crate::{discovery, server};

/// Second byte of the loopback addresses of the discovery agents.
const AGENT_NETWORK: u8 = 10;
/// Second byte of the loopback addresses of the racks.
const RACK_NETWORK: u8 = 20;

/// All threads of a run and the state that they share.
pub(super) struct RunningFleet {
    pub(super) world: Arc<World>,
    /// The version of the list that each node has.
    pub(super) node_versions: Arc<NodeVersions>,
    /// The counters of each thread of nodes.
    pub(super) counters: Vec<SharedCounters>,
    /// The command channel of each thread of nodes.
    commands: Vec<mpsc::UnboundedSender<NodeCommand>>,
    /// Becomes true when the clients start to send requests, and stays true.
    pub(super) clients_started: watch::Sender<bool>,
    /// Becomes true when all threads must end.
    shutdown: watch::Sender<bool>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

/// Creates an event loop for the current thread.
pub(super) fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Creates listeners on the first `count` loopback addresses `127.{network}.x.y`.
fn bind_listeners(network: u8, count: usize) -> io::Result<Vec<TcpListener>> {
    let listener = |index: usize| {
        let [.., third, fourth] = (index as u32 + 1).to_be_bytes();
        world::listen(Ipv4Addr::new(127, network, third, fourth))
    };
    (0..count).map(listener).collect()
}

fn addresses(listeners: &[TcpListener]) -> io::Result<Vec<SocketAddr>> {
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl RunningFleet {
    /// Starts discovery, the servers and all nodes of a scenario.
    pub(super) fn start(
        scenario: &Scenario,
        settings: DecisionSettings,
        options: RunOptions,
    ) -> Result<Self, ScenarioRunError> {
        let size = scenario.size;
        let agents = bind_listeners(AGENT_NETWORK, size.regions)?;
        let racks = bind_listeners(RACK_NETWORK, size.racks)?;
        let catalogue = Catalogue::new(size, addresses(&racks)?, scenario.load.log_entries);
        let config = NodeConfig {
            size,
            seed: scenario.seed,
            agents: addresses(&agents)?,
            settings,
            requests_per_s: scenario.load.requests_per_s / size.nodes as f64,
        };
        let mut fleet = Self {
            world: Arc::new(World::new(catalogue)),
            node_versions: Arc::new(NodeVersions::new(size.nodes)),
            counters: Vec::new(),
            commands: Vec::new(),
            clients_started: watch::Sender::new(false),
            shutdown: watch::Sender::new(false),
            threads: Vec::new(),
        };
        fleet.spawn_discovery(agents)?;
        fleet.spawn_servers(racks, Duration::from_secs_f64(scenario.load.service_ms / 1000.0))?;
        let config = Arc::new(config);
        for thread in 0..options.node_threads.clamp(1, size.nodes) {
            fleet.spawn_nodes(thread, &config)?;
        }
        (0..size.nodes).for_each(|number| fleet.start_node(number));
        Ok(fleet)
    }

    /// Starts one thread that runs the discovery agents of all regions.
    fn spawn_discovery(&mut self, agents: Vec<TcpListener>) -> io::Result<()> {
        let world = Arc::clone(&self.world);
        self.spawn("discovery-0", move || async move {
            for (region, listener) in agents.into_iter().enumerate() {
                tokio::task::spawn_local(discovery::serve(listener, Arc::clone(&world), region));
            }
            std::future::pending().await
        })
    }

    /// Starts one thread that runs the servers of all racks.
    fn spawn_servers(&mut self, racks: Vec<TcpListener>, service_time: Duration) -> io::Result<()> {
        let world = Arc::clone(&self.world);
        self.spawn("server-0", move || async move {
            for listener in racks {
                tokio::task::spawn_local(server::serve(listener, Arc::clone(&world), service_time));
            }
            std::future::pending().await
        })
    }

    /// Starts a thread that runs nodes, at first none.
    fn spawn_nodes(&mut self, thread: usize, config: &Arc<NodeConfig>) -> io::Result<()> {
        let counters: SharedCounters = Arc::new(Mutex::new(NodeCounters::default()));
        let (commands, received) = mpsc::unbounded_channel();
        let (config, world) = (Arc::clone(config), Arc::clone(&self.world));
        let (node_versions, clients_started) =
            (Arc::clone(&self.node_versions), self.clients_started.subscribe());
        self.counters.push(Arc::clone(&counters));
        self.commands.push(commands);
        self.spawn(&format!("node-{thread}"), move || {
            node::run(config, world, counters, node_versions, clients_started, received)
        })
    }

    /// Starts a thread with a separate event loop, which runs `work` until it ends or the fleet is shut down.
    fn spawn<F: std::future::Future<Output = ()>>(
        &mut self,
        name: &str,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> io::Result<()> {
        let mut shutdown = self.shutdown.subscribe();
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            let runtime = runtime()?;
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    () = work() => {}
                    _ = shutdown.wait_for(|shutdown| *shutdown) => {}
                }
            });
            Ok(())
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Starts a node, after stopping it if it is running.
    pub(super) fn start_node(&self, number: usize) {
        // This fails if the thread has panicked, which `shut_down` reports.
        let _ = self.commands[number % self.commands.len()].send(NodeCommand::Start(number));
    }

    /// Ends and joins all threads. Returns the first error or panic of a thread.
    pub(super) fn shut_down(self) -> Result<(), ScenarioRunError> {
        self.shutdown.send_replace(true);
        drop(self.commands);
        for thread in self.threads {
            thread.join().map_err(|_| ScenarioRunError::Panicked)??;
        }
        Ok(())
    }

    /// Returns the number of nodes that have no list yet.
    pub(super) fn count_without_list(&self) -> usize {
        self.node_versions.versions().filter(|version| *version == 0).count()
    }

    /// Returns the number of nodes that do not have the newest version.
    pub(super) fn count_behind(&self) -> usize {
        let newest = self.world.catalogue().revision();
        self.node_versions.versions().filter(|version| *version < newest).count()
    }
}
