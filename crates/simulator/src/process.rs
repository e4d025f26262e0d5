//! One process: the shipped planes of its role on a runtime of its own, whose clock is simulated.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemCondition, ItemResult};
use bytes::Bytes;
use control_plane::AcceptorService;
use poem::endpoint::BoxEndpoint;
use poem::http::Method;
use poem::{Endpoint, EndpointExt, Response};
use register::{Incarnation, Versioned};
use rushrudder::control::{ControlPlane, OutboundClients, RecoveredDisk};
use rushrudder::job_api::JobApi;
use rushrudder::node::TrafficNode;
use rushrudder::store::BatchStore;
use settings::NodeSettings;
use state::ControlState;
use storage::simulated::SimulatedDisk;
use storage::{Journal, RingOptions};
use store_plane::{JobState, JobStore, OwnedJob};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::disk::DiskPace;
use crate::requests::{carry_out, Request};
use crate::servers::text_of;
use crate::wire::{Outcome, SimulatedTransport, Wire};

/// The ring of an acceptor: small, so that it goes round often.
const NODE_RING: RingOptions = RingOptions { segment_bytes: 128 * 1024, segments: 4 };
/// The ring of a store.
const STORE_RING: RingOptions = RingOptions { segment_bytes: 256 * 1024, segments: 8 };
/// How long an item takes, in milliseconds.
const ITEM_MS: std::ops::Range<u64> = 20..200;

/// What a machine starts a process with.
pub(crate) struct Boot<'a> {
    pub(crate) machine: usize,
    pub(crate) settings: &'a NodeSettings,
    pub(crate) disk: &'a SimulatedDisk,
    pub(crate) pace: &'a DiskPace,
    pub(crate) wire: &'a Wire,
    /// Seeds what the runtime draws.
    pub(crate) seed: u64,
}

/// The parts of a role that others call.
#[derive(Clone)]
enum Role {
    Node { node: Arc<TrafficNode>, operator: Arc<BoxEndpoint<'static, Response>>, jobs: Arc<JobApi> },
    Store(Arc<BatchStore>),
}

impl Role {
    fn control(&self) -> &ControlPlane {
        match self {
            Self::Node { node, .. } => &node.control,
            Self::Store(store) => &store.control,
        }
    }
}

/// A process while it runs. Dropping it kills it.
pub(crate) struct Process {
    runtime: Runtime,
    began: Instant,
    /// How far its clock has come since it began.
    clock: Duration,
    internal: Arc<BoxEndpoint<'static, Response>>,
    role: Role,
    wire: Wire,
    incarnation: Option<Incarnation>,
    has_ended: Arc<AtomicBool>,
}

impl Process {
    /// Starts a process; `None` if its disk cannot be opened, as the program ends then.
    pub(crate) fn start(boot: &Boot<'_>) -> Option<Self> {
        let runtime = runtime(boot.seed);
        let wire = boot.wire.clone();
        let transport = Arc::new(SimulatedTransport { wire: wire.clone(), machine: boot.machine });
        let clients = OutboundClients {
            rpc: rpc::Client::over(Arc::clone(&transport) as Arc<dyn rpc::Transport>),
            server_list: Some(Arc::clone(&transport) as Arc<dyn control_plane::ListSource>),
            servers: transport,
        };
        let (began, started) = runtime.block_on(async {
            let has_disk = boot.settings.data_dir.is_some();
            let disk = if has_disk { Some(open_disk(boot)?) } else { None };
            let began = Instant::now();
            let started = match disk {
                Some(disk) if boot.settings.serves_store() => start_store(boot, disk, clients),
                disk => start_node(boot, disk, clients),
            };
            Some((began, started))
        })?;
        let Started { internal, role, incarnation } = started;
        let (clock, internal, has_ended) = (Duration::ZERO, Arc::new(internal), Arc::default());
        Some(Self { runtime, began, clock, internal, role, wire, incarnation, has_ended })
    }

    /// Lets the process run until its clock shows this time since its start.
    pub(crate) fn run_until(&mut self, clock: Duration) {
        self.clock = clock;
        let until = self.began + clock;
        self.runtime.block_on(async move { tokio::time::sleep_until(until).await });
    }

    /// The clock goes on without the process, which stood still.
    pub(crate) fn jump_to(&mut self, clock: Duration) {
        let jump = clock.saturating_sub(self.clock);
        self.clock = clock;
        self.runtime.block_on(tokio::time::advance(jump));
    }

    /// How far its clock has come since it began.
    pub(crate) fn clock(&self) -> Duration {
        self.clock
    }

    /// Takes a call of another process; the answer goes to the network.
    pub(crate) fn call(&self, call: u64, path: String, body: Bytes) {
        let (internal, wire) = (Arc::clone(&self.internal), self.wire.clone());
        self.runtime.spawn(async move {
            let outcome = answer(&internal, &path, body).await;
            wire.lock().answers.push((call, outcome));
        });
    }

    /// Takes a request of the operator or a trainer; the reply goes to the network.
    pub(crate) fn request(&self, call: u64, request: Request) {
        let Role::Node { operator, jobs, .. } = self.role.clone() else { return };
        let wire = self.wire.clone();
        self.runtime.spawn(async move {
            let reply = carry_out(&operator, &jobs, request).await;
            wire.lock().replies.push((call, reply));
        });
    }

    /// Tells the process to end in good order, as the platform does by SIGTERM.
    pub(crate) fn terminate(&self) {
        let (role, has_ended) = (self.role.clone(), Arc::clone(&self.has_ended));
        self.runtime.spawn(async move {
            match role {
                Role::Node { node, .. } => node.resign().await,
                Role::Store(store) => store.resign().await,
            }
            has_ended.store(true, Ordering::Relaxed);
        });
    }

    /// Lets the process read its settings again, as the platform asks for by SIGHUP.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        self.role.control().apply_settings(settings);
    }

    /// Whether it has ended after it was told to.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Its batch jobs, if it keeps any.
    pub(crate) fn jobs(&self) -> Option<&JobStore> {
        match &self.role {
            Role::Store(store) => Some(&store.jobs),
            Role::Node { .. } => None,
        }
    }

    /// Its acceptor, if it has one.
    pub(crate) fn acceptor(&self) -> Option<&Arc<AcceptorService>> {
        self.role.control().acceptor()
    }

    /// The incarnation of its disk, if it has one.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// The newest committed value that it knows.
    pub(crate) fn committed(&self) -> Option<Versioned<ControlState>> {
        self.role.control().view.committed()
    }

    /// The fencing token, while it holds the leader lease.
    pub(crate) fn fence(&self) -> Option<u64> {
        let _context = self.runtime.enter();
        self.role.control().leadership.fence()
    }

    /// How long ago a majority has confirmed what it knows.
    pub(crate) fn confirmed_age(&self) -> Option<Duration> {
        let _context = self.runtime.enter();
        self.role.control().view.confirmed_age()
    }
}

/// A runtime whose clock only moves when it is told to. With `--cfg tokio_unstable` also its own draws are seeded,
/// and a run is the same each time.
fn runtime(seed: u64) -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().start_paused(true);
    #[cfg(tokio_unstable)]
    builder.rng_seed(tokio::runtime::RngSeed::from_bytes(&seed.to_le_bytes()));
    #[cfg(not(tokio_unstable))]
    let _ = seed;
    builder.build().expect("a runtime without I/O can be made")
}

/// What a start gives.
struct Started {
    internal: BoxEndpoint<'static, Response>,
    role: Role,
    incarnation: Option<Incarnation>,
}

fn start_node(boot: &Boot<'_>, disk: Option<RecoveredDisk>, clients: OutboundClients) -> Started {
    let incarnation = disk.as_ref().map(|disk| disk.incarnation);
    let node = TrafficNode::new(boot.settings, disk, clients);
    node.start(boot.settings);
    let internal = node.control.internal_routes().map_to_response().boxed();
    let operator = Arc::new(node.operator_routes().map_to_response().boxed());
    let jobs = Arc::new(JobApi::new(&node.control));
    Started { internal, role: Role::Node { node: Arc::new(node), operator, jobs }, incarnation }
}

fn start_store(boot: &Boot<'_>, disk: RecoveredDisk, clients: OutboundClients) -> Started {
    let incarnation = Some(disk.incarnation);
    let (store, owned) = BatchStore::new(boot.settings, disk, clients);
    store.start(boot.settings);
    tokio::spawn(run_jobs(owned));
    let internal = store.internal_routes().map_to_response().boxed();
    Started { internal, role: Role::Store(Arc::new(store)), incarnation }
}

fn open_disk(boot: &Boot<'_>) -> Option<RecoveredDisk> {
    let options = if boot.settings.serves_store() { STORE_RING } else { NODE_RING };
    let pace = boot.pace.clone();
    let opened =
        Journal::open_paced(boot.disk.file_system(), Path::new("/data"), options, move || pace.wait());
    let (journal, recovered, writing) = opened.ok()?;
    tokio::spawn(writing);
    Some(RecoveredDisk {
        journal,
        records: recovered.records,
        incarnation: Incarnation(recovered.incarnation),
    })
}

async fn answer(internal: &BoxEndpoint<'static, Response>, path: &str, body: Bytes) -> Outcome {
    let request = poem::Request::builder().method(Method::POST).uri(path.parse().expect("a path")).body(body);
    let response = internal.get_response(request).await;
    let status = response.status().as_u16();
    Ok((status, response.into_body().into_bytes().await.unwrap_or_default()))
}

/// Stands in for the runner of items: gives each its text after a while.
async fn run_jobs(mut owned: mpsc::UnboundedReceiver<OwnedJob>) {
    while let Some(job) = owned.recv().await {
        tokio::spawn(run_job(job));
    }
}

async fn run_job(owned: OwnedJob) {
    let state = owned.state();
    let left = owned
        .job
        .items
        .iter()
        .filter(|item| owned.committed_results.iter().all(|result| result.id != item.id));
    for item in left {
        tokio::time::sleep(Duration::from_millis(fastrand::u64(ITEM_MS))).await;
        if *state.borrow() != JobState::Open {
            return;
        }
        let result = ItemResult {
            id: item.id.clone(),
            condition: ItemCondition::Delivered,
            text: text_of(&item.id),
            versions: vec![1],
            grade: None,
        };
        if owned.append(vec![result]).await.is_err() {
            return;
        }
    }
}
