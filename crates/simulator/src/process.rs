//! One simulated process: the production assembly of its role, on a separate runtime with a simulated clock.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control_plane::AcceptorService;
use poem::endpoint::BoxEndpoint;
use poem::http::header::CONTENT_LENGTH;
use poem::http::Method;
use poem::{Body, Endpoint, EndpointExt, Response};
use register::{Incarnation, Versioned};
use rushrudder::control::{
    first_unreadable, open_or_set_aside, ControlPlane, OutboundClients, RecoveredDisk,
};
use rushrudder::job_api::JobApi;
use rushrudder::node::TrafficNode;
use rushrudder::store::BatchStore;
use settings::NodeSettings;
use state::ControlState;
use storage::simulated::SimulatedDisk;
use storage::{FileSystem, Journal, Recovered, RingLocation, RingOptions};
use store_plane::{JobStore, StoreRecovery};
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use crate::disk::SyncDelay;
use crate::disk_contents::UncountedFileSystem;
use crate::external_requests::{self, ExternalRequest};
use crate::item_runner::run_jobs;
use crate::memory_meter::MemoryMeter;
use crate::transport::{CallOutcome, Outbox, SimulatedTransport};

/// Size of the journal of a traffic node, which contains the records of its acceptor. It is small, so that
/// the ring wraps around often.
const NODE_JOURNAL_OPTIONS: RingOptions = RingOptions { segment_bytes: 128 * 1024, segments: 4 };
/// Size of the journal of a store. A segment is shorter than the logs of some batch jobs.
const STORE_JOURNAL_OPTIONS: RingOptions = RingOptions { segment_bytes: 256 * 1024, segments: 32 };

/// Directory of the journal on the disk of a machine.
const JOURNAL_DIRECTORY: &str = "/data";

/// Machine, settings and simulated resources that a process is started with.
pub(crate) struct ProcessOptions<'a> {
    /// The index of the machine.
    pub(crate) machine: usize,
    pub(crate) settings: &'a NodeSettings,
    pub(crate) disk: &'a SimulatedDisk,
    pub(crate) sync_delay: &'a SyncDelay,
    pub(crate) outbox: &'a Outbox,
    /// The seed of the runtime's random choices.
    pub(crate) seed: u64,
    /// The longest time that a run of an item takes.
    pub(crate) max_item_duration: Duration,
}

/// The role of a process, with the interfaces that the simulator calls.
#[derive(Clone)]
enum Role {
    Node { node: Arc<TrafficNode>, operator: Arc<BoxEndpoint<'static, Response>>, jobs: Arc<JobApi> },
    Store(Arc<BatchStore>),
}

impl Role {
    /// Returns the control plane of the process, which both roles have.
    fn control(&self) -> &ControlPlane {
        match self {
            Self::Node { node, .. } => &node.control,
            Self::Store(store) => &store.control,
        }
    }
}

/// A running process. Dropping it kills the process with all its tasks.
pub(crate) struct Process {
    runtime: Runtime,
    memory: MemoryMeter,
    /// The reading of the runtime's clock when the process started.
    started: Instant,
    /// The time that has passed since the start by the clock of this process.
    clock: Duration,
    /// The HTTP endpoint for calls of other processes.
    internal: Arc<BoxEndpoint<'static, Response>>,
    role: Role,
    outbox: Outbox,
    /// The incarnation of the disk; `None` without a disk.
    incarnation: Option<Incarnation>,
    /// Set when the graceful shutdown has completed.
    has_shut_down: Arc<AtomicBool>,
}

impl Process {
    /// Starts a process. Returns `None` if the journal on its disk cannot be opened: the program exits in
    /// this case.
    pub(crate) fn start(options: &ProcessOptions<'_>) -> Option<Self> {
        let mut memory = MemoryMeter::start();
        let (runtime, started, started_role) = memory.count(|| Self::start_role(options))?;
        let StartedRole { internal, role, incarnation } = started_role;
        let (clock, internal, has_shut_down) = (Duration::ZERO, Arc::new(internal), Arc::default());
        let outbox = options.outbox.clone();
        Some(Self { runtime, memory, started, clock, internal, role, outbox, incarnation, has_shut_down })
    }

    /// Starts the role of a process on a new runtime. Returns the reading of its clock as well.
    fn start_role(options: &ProcessOptions<'_>) -> Option<(Runtime, Instant, StartedRole)> {
        let runtime = runtime(options.seed);
        let outbox = options.outbox.clone();
        let transport = Arc::new(SimulatedTransport { outbox: outbox.clone(), machine: options.machine });
        let clients = OutboundClients {
            rpc: rpc::Client::with_transport(Arc::clone(&transport) as Arc<dyn rpc::Transport>),
            server_list: Some(Arc::clone(&transport) as Arc<dyn control_plane::ListSource>),
            servers: transport,
        };
        let (started, started_role) = runtime.block_on(async {
            let started = Instant::now();
            let started_role = if options.settings.serves_store() {
                start_store(options, open_store_disk(options)?, clients)
            } else if options.settings.data_dir.is_some() {
                start_node(options, Some(open_disk(options)?), clients)
            } else {
                start_node(options, None, clients)
            };
            Some((started, started_role))
        })?;
        Some((runtime, started, started_role))
    }

    /// Returns the largest memory that the process has had, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        self.memory.peak_bytes()
    }

    /// Runs the process until its clock shows `clock` since the start.
    pub(crate) fn run_until(&mut self, clock: Duration) {
        self.clock = clock;
        let until = self.started + clock;
        let runtime = &self.runtime;
        self.memory.count(|| runtime.block_on(async move { tokio::time::sleep_until(until).await }));
    }

    /// Advances the clock to `clock` since the start in one jump, without running the process.
    pub(crate) fn jump_to(&mut self, clock: Duration) {
        let jump = clock.saturating_sub(self.clock);
        self.clock = clock;
        let runtime = &self.runtime;
        self.memory.count(|| runtime.block_on(tokio::time::advance(jump)));
    }

    /// Returns the time since the start by the clock of this process.
    pub(crate) fn clock(&self) -> Duration {
        self.clock
    }

    /// Starts handling a call of another process. The reply is put into the outbox under the number `call`.
    pub(crate) fn handle_call(&self, call: u64, path: String, body: Bytes) {
        let (internal, outbox) = (Arc::clone(&self.internal), self.outbox.clone());
        self.runtime.spawn(async move {
            let outcome = respond(&internal, &path, body).await;
            outbox.send_reply(call, outcome);
        });
    }

    /// Starts handling a request of an operator or trainer. The reply is put into the outbox under the number
    /// `call`. Stores ignore the request, as they have no interface for operators and trainers.
    pub(crate) fn handle_external_request(&self, call: u64, request: ExternalRequest) {
        let Role::Node { operator, jobs, .. } = self.role.clone() else { return };
        let outbox = self.outbox.clone();
        self.runtime.spawn(async move {
            let reply = external_requests::execute(&operator, &jobs, request).await;
            outbox.send_external_reply(call, reply);
        });
    }

    /// Asks the process to shut down gracefully, as the platform does with SIGTERM.
    pub(crate) fn terminate(&self) {
        let (role, has_shut_down) = (self.role.clone(), Arc::clone(&self.has_shut_down));
        self.runtime.spawn(async move {
            match role {
                Role::Node { node, .. } => node.resign().await,
                Role::Store(store) => store.resign().await,
            }
            has_shut_down.store(true, Ordering::Relaxed);
        });
    }

    /// Applies changed settings, as the program does on SIGHUP.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        self.role.control().apply_settings(settings);
    }

    /// Whether the graceful shutdown that [`Process::terminate`] started has completed.
    pub(crate) fn has_shut_down(&self) -> bool {
        self.has_shut_down.load(Ordering::Relaxed)
    }

    /// Returns the batch jobs of a store; `None` for a traffic node.
    pub(crate) fn jobs(&self) -> Option<&JobStore> {
        match &self.role {
            Role::Store(store) => Some(&store.jobs),
            Role::Node { .. } => None,
        }
    }

    /// Returns the acceptor of the process; `None` if it has none.
    pub(crate) fn acceptor(&self) -> Option<&Arc<AcceptorService>> {
        self.role.control().acceptor()
    }

    /// Returns the incarnation of the disk; `None` if the process has no disk.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the newest committed value that this process has learned; `None` before the first one.
    pub(crate) fn committed(&self) -> Option<Versioned<ControlState>> {
        self.role.control().view.committed()
    }

    /// Returns the fencing token while this process holds the leader lease; `None` otherwise.
    pub(crate) fn fence(&self) -> Option<u64> {
        let _context = self.runtime.enter();
        self.role.control().leadership.fence()
    }

    /// Returns the time since a majority of the acceptors last confirmed the value of this process; `None`
    /// before the first confirmation.
    pub(crate) fn confirmed_age(&self) -> Option<Duration> {
        let _context = self.runtime.enter();
        self.role.control().view.confirmed_age()
    }
}

/// Builds a runtime whose clock is paused: it advances only by [`Process::run_until`] and
/// [`Process::jump_to`]. With `--cfg tokio_unstable`, `seed` also determines the random choices of the
/// runtime, so that a seed reproduces a run.
fn runtime(seed: u64) -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().start_paused(true);
    #[cfg(tokio_unstable)]
    builder.rng_seed(tokio::runtime::RngSeed::from_bytes(&seed.to_le_bytes()));
    #[cfg(not(tokio_unstable))]
    let _ = seed;
    builder.build().expect("a runtime without I/O can be built")
}

/// The assembly of a role after its start.
struct StartedRole {
    internal: BoxEndpoint<'static, Response>,
    role: Role,
    incarnation: Option<Incarnation>,
}

fn start_node(
    options: &ProcessOptions<'_>,
    disk: Option<RecoveredDisk>,
    clients: OutboundClients,
) -> StartedRole {
    let incarnation = disk.as_ref().map(|disk| disk.incarnation);
    let node = TrafficNode::new(options.settings, disk, clients);
    node.start(options.settings);
    let internal = node.control.internal_routes().map_to_response().boxed();
    let operator = Arc::new(node.operator_routes().map_to_response().boxed());
    let jobs = Arc::new(JobApi::new(options.settings, &node.control));
    StartedRole { internal, role: Role::Node { node: Arc::new(node), operator, jobs }, incarnation }
}

fn start_store(
    options: &ProcessOptions<'_>,
    disk: RecoveredDisk<StoreRecovery>,
    clients: OutboundClients,
) -> StartedRole {
    let incarnation = Some(disk.incarnation);
    let (store, owned) = BatchStore::new(options.settings, disk, clients);
    store.start(options.settings);
    tokio::spawn(run_jobs(owned, options.max_item_duration));
    let internal = store.internal_routes().map_to_response().boxed();
    StartedRole { internal, role: Role::Store(Arc::new(store)), incarnation }
}

/// Returns the size of the journal of a store or of a traffic node.
fn journal_options(is_store: bool) -> RingOptions {
    if is_store {
        STORE_JOURNAL_OPTIONS
    } else {
        NODE_JOURNAL_OPTIONS
    }
}

/// Appends a record that the role of the machine cannot decode to its journal. The machine must not have a
/// process. Has no effect if the journal cannot be opened or written.
pub(crate) fn append_undecodable_record(disk: &SimulatedDisk, is_store: bool) {
    let opened =
        Journal::open_inline(disk.file_system(), Path::new(JOURNAL_DIRECTORY), journal_options(is_store));
    if let Ok((journal, _)) = opened {
        drop(journal.append(b"a record of another build".to_vec()));
    }
}

fn file_system(options: &ProcessOptions<'_>) -> Arc<dyn FileSystem> {
    Arc::new(UncountedFileSystem(options.disk.file_system()))
}

/// Opens the journal of a traffic node and starts the task that writes to it. Returns `None` if it cannot be
/// opened.
fn open_disk(options: &ProcessOptions<'_>) -> Option<RecoveredDisk> {
    let ring_options = journal_options(false);
    let (file_system, directory) = (file_system(options), Path::new(JOURNAL_DIRECTORY));
    let open = || {
        let (file_system, sync_delay) = (Arc::clone(&file_system), options.sync_delay.clone());
        let opened =
            Journal::open_paced(file_system, directory, ring_options, move || sync_delay.wait_for_sync());
        opened.map(|(journal, recovered, writing)| ((journal, writing), recovered))
    };
    let unreadable =
        |recovered: &Recovered| first_unreadable(recovered, control_plane::check_acceptor_record);
    let opened = open_or_set_aside(&*file_system, directory, unreadable, open);
    let ((journal, writing), recovered) = opened.ok()?;
    tokio::spawn(writing);
    Some(RecoveredDisk::new(journal, recovered))
}

/// Opens the journal of a store and starts the task that writes to it. Returns `None` if it cannot be opened.
fn open_store_disk(options: &ProcessOptions<'_>) -> Option<RecoveredDisk<StoreRecovery>> {
    let directory = Path::new(JOURNAL_DIRECTORY);
    let file_system = file_system(options);
    let location = RingLocation {
        file_system: Arc::clone(&file_system),
        directory: directory.to_owned(),
        options: journal_options(true),
    };
    let open = || {
        let sync_delay = options.sync_delay.clone();
        let mut recovery = StoreRecovery::new(Arc::new(location.reader()));
        let opened = Journal::open_paced_with(
            &location,
            |record| recovery.add(record),
            move || sync_delay.wait_for_sync(),
        );
        opened.map(|(journal, recovered, writing)| ((journal, writing, recovered), recovery))
    };
    let opened = open_or_set_aside(&*file_system, directory, StoreRecovery::first_unreadable, open);
    let ((journal, writing, recovered), content) = opened.ok()?;
    tokio::spawn(writing);
    Some(RecoveredDisk { journal, content, incarnation: Incarnation(recovered.incarnation) })
}

/// Passes a call to the internal endpoint of a process and returns the response.
async fn respond(internal: &BoxEndpoint<'static, Response>, path: &str, body: Bytes) -> CallOutcome {
    let length = body.len();
    // The process has no part of the body in memory before it reads it.
    let read = futures_util::stream::once(async move { Ok::<_, io::Error>(Bytes::copy_from_slice(&body)) });
    let request = poem::Request::builder()
        .method(Method::POST)
        .uri(path.parse().expect("the path is a valid URI"))
        .header(CONTENT_LENGTH, length)
        .body(Body::from_bytes_stream(read));
    let response = internal.get_response(request).await;
    let status = response.status().as_u16();
    Ok((status, response.into_body().into_bytes().await.unwrap_or_default()))
}
