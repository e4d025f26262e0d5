//! Assembly of the control plane, the same for all roles.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use control_plane::{
    paths, AcceptorGossip, AcceptorService, Announcement, Capability, CoreService, Distribution, FirstStart,
    GossipMessage, HttpServerCalls, Identity, Leadership, ListSource, OrderGap, Platform, PollRequest,
    Proposer, ServerCalls, ViewCell,
};
use error_stack::{Report, ResultExt};
use lease::{LeaseRelease, LeaseRequest};
use poem::Route;
use register::{AcceptorRequest, Incarnation, Member, Versioned};
use settings::Settings;
use state::{ControlState, StoreMember};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::RoleError;

/// A process with an acceptor reads the platform's list itself after this silence ...
const OWN_READ_ACCEPTOR: Duration = Duration::from_millis(1700);
/// ... and any other after this.
const OWN_READ_OTHER: Duration = Duration::from_millis(2300);

/// The disk of a process.
pub struct Disk {
    /// Its journal.
    pub journal: storage::Journal,
    /// What it held.
    pub records: Vec<(storage::Position, Vec<u8>)>,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// What connects a process with the rest of the world.
#[derive(Clone)]
pub struct Edges {
    /// Calls to other processes.
    pub client: rpc::Client,
    /// The platform's list; `None` where there is none.
    pub list: Option<Arc<dyn ListSource>>,
    /// Calls to servers.
    pub servers: Arc<dyn ServerCalls>,
}

impl Edges {
    /// Sockets.
    pub fn sockets(settings: &Settings) -> Self {
        let list = settings.cloud.as_ref().map(|cloud| {
            let platform: Arc<dyn ListSource> = Arc::new(Platform::new(cloud.address.clone()));
            platform
        });
        Self { client: rpc::Client::new(), list, servers: Arc::new(HttpServerCalls::new()) }
    }
}

/// The control plane of a process.
pub struct Control {
    /// What the process knows.
    pub view: Arc<ViewCell>,
    /// Internal calls.
    pub client: rpc::Client,
    /// Changes of the register.
    pub proposer: Arc<Proposer>,
    /// Answers to other processes.
    pub distribution: Arc<Distribution>,
    /// Whether this process leads.
    pub leadership: Arc<Leadership>,
    /// Its internal address.
    pub address: String,
    edges: Edges,
    seeds: watch::Sender<Vec<String>>,
    first_start: Arc<FirstStart>,
    introductions: Arc<AcceptorGossip>,
    /// The acceptor and the grantor of this process, if it has a disk for them.
    core: Option<Arc<CoreService>>,
    /// The task that makes this machine an acceptor or a store.
    joining: Mutex<Option<AbortHandle>>,
}

/// This process as a member, by the incarnation of its disk.
pub fn member(settings: &Settings, incarnation: Incarnation) -> Member {
    Member { name: settings.station.clone(), incarnation, address: settings.internal_address() }
}

/// The internal addresses of the seeds, which are told by the operator's addresses on the same machines.
pub fn seed_addresses(settings: &Settings) -> Vec<String> {
    let of = |seed: &String| {
        seed.parse::<SocketAddr>().ok().map(|at| format!("{}:{}", at.ip(), settings.inner_ports.0))
    };
    settings.seeds.iter().filter_map(of).collect()
}

/// Opens the disk of a process, if it has one.
pub fn open_disk(
    settings: &Settings,
    options: storage::RingOptions,
) -> Result<Option<Disk>, Report<RoleError>> {
    let Some(directory) = &settings.data_dir else { return Ok(None) };
    let (journal, recovered) = storage::Journal::open(directory, options).change_context(RoleError)?;
    let incarnation = Incarnation(recovered.incarnation);
    log::info!(
        "disk: incarnation {incarnation:?}, {} records, fresh {}",
        recovered.records.len(),
        recovered.fresh
    );
    Ok(Some(Disk { journal, records: recovered.records, incarnation }))
}

/// The endpoints of a machine of the core.
fn core_routes(routes: Route, core: &Arc<CoreService>) -> Route {
    let (register, first) = (Arc::clone(core), Arc::clone(core));
    let (lease, released) = (Arc::clone(core), Arc::clone(core));
    let handle = move |request: AcceptorRequest<ControlState>| {
        let register = Arc::clone(&register);
        async move { register.handle(request).await }
    };
    let initialise = move |value: Versioned<ControlState>| {
        let first = Arc::clone(&first);
        async move { first.initialise(value).await }
    };
    let grant = move |request: LeaseRequest| {
        let reply = lease.grant(&request);
        async move { Some(reply) }
    };
    let release = move |release: LeaseRelease| {
        released.release(&release);
        async move { Some(()) }
    };
    routes
        .at(paths::REGISTER, poem::post(rpc::handler(handle)))
        .at(paths::FIRST, poem::post(rpc::handler(initialise)))
        .at(paths::LEASE, poem::post(rpc::handler(grant)))
        .at(paths::RELEASE, poem::post(rpc::handler(release)))
}

impl Control {
    /// The acceptor of this process, if it has one.
    pub fn acceptor(&self) -> Option<&Arc<AcceptorService>> {
        self.core.as_ref().map(|core| core.acceptor())
    }

    /// The control plane of a process; one with a `disk` for it has an acceptor.
    pub fn new(settings: &Settings, disk: Option<Disk>, edges: Edges) -> Self {
        let view = Arc::new(ViewCell::new());
        let client = edges.client.clone();
        let proposer = Proposer::new(Arc::clone(&view), client.clone());
        let core = disk.map(|disk| {
            let acceptor = AcceptorService::new(disk.journal, disk.incarnation, &disk.records);
            CoreService::new(acceptor, disk.incarnation, Arc::clone(&view))
        });
        Self {
            distribution: Distribution::new(
                Arc::clone(&view),
                Arc::clone(proposer.contacts()),
                settings.timetable.member_silence(),
                settings.timetable.touch(),
            ),
            leadership: Arc::new(Leadership::new(Arc::clone(&view))),
            view,
            client,
            proposer,
            address: settings.internal_address(),
            edges,
            seeds: watch::Sender::new(seed_addresses(settings)),
            first_start: Arc::new(FirstStart::default()),
            introductions: Arc::new(AcceptorGossip::default()),
            core,
            joining: Mutex::default(),
        }
    }

    /// The endpoints for other processes; a role may add its own.
    pub fn internal_routes(&self) -> Route {
        let (distribution, pinged) = (Arc::clone(&self.distribution), Arc::clone(&self.distribution));
        let (first_start, introductions) = (Arc::clone(&self.first_start), Arc::clone(&self.introductions));
        let mut routes = Route::new()
            .at(
                paths::POLL,
                poem::post(rpc::handler(move |request: PollRequest| {
                    let distribution = Arc::clone(&distribution);
                    async move { Some(distribution.poll(request).await) }
                })),
            )
            .at(
                paths::PING,
                poem::post(rpc::handler(move |(): ()| {
                    let reply = pinged.ping();
                    async move { Some(reply) }
                })),
            )
            .at(
                paths::INTRODUCE,
                poem::post(rpc::handler(move |introduction: GossipMessage| {
                    introductions.receive(introduction);
                    async move { Some(()) }
                })),
            )
            .at(
                paths::ANNOUNCE,
                poem::post(rpc::handler(move |announcement: Announcement| {
                    first_start.announce(announcement);
                    async move { Some(()) }
                })),
            );
        if let Some(core) = &self.core {
            routes = core_routes(routes, core);
        }
        routes
    }

    /// Reads the settings file again. The seeds take effect at once, everything else at the next start.
    pub fn reload(&self) {
        match Settings::from_env() {
            Ok(settings) => self.adopt_settings(&settings),
            Err(error) => log::error!("the settings stay as they are: {error}"),
        }
    }

    /// Goes on with these settings: the seeds take effect at once, everything else at the next start.
    pub fn adopt_settings(&self, settings: &Settings) {
        let seeds = seed_addresses(settings);
        log::info!("settings read again: seeds {}", seeds.join(" "));
        self.seeds.send_replace(seeds);
    }

    /// Listens at the internal address.
    pub async fn listen(&self) -> Result<TcpListener, Report<RoleError>> {
        TcpListener::bind(&self.address).await.change_context(RoleError).attach_with(|| self.address.clone())
    }

    /// Starts the tasks of the control plane.
    pub fn start(&self, settings: &Settings, member: Option<Member>, capability: Capability) {
        let seeds = seed_addresses(settings);
        log::info!("internal address {}, seeds {}", self.address, seeds.join(" "));
        let leads = self.core.is_some().then(|| Arc::clone(&self.leadership));
        tokio::spawn(control_plane::run_poller(
            Arc::clone(&self.view),
            self.client.clone(),
            self.seeds.subscribe(),
            Arc::clone(&self.introductions),
            self.address.clone(),
            leads,
        ));
        tokio::spawn(control_plane::run_acceptor_gossip(
            Arc::clone(&self.view),
            self.client.clone(),
            self.seeds.subscribe(),
            self.address.clone(),
            self.core.is_some(),
        ));
        if let Some(list) = &self.edges.list {
            let own_after = if self.core.is_some() { OWN_READ_ACCEPTOR } else { OWN_READ_OTHER };
            tokio::spawn(control_plane::run_list_reader(
                Arc::clone(list),
                Arc::clone(&self.leadership),
                Arc::clone(&self.view),
                own_after,
            ));
        }
        if settings.first_start {
            self.start_first(settings, seeds, member.clone(), capability);
        }
        if let Some(member) = member {
            self.distribution.set_incarnation(member.incarnation);
            self.start_member(settings, member, capability);
        }
    }

    fn start_first(
        &self,
        settings: &Settings,
        seeds: Vec<String>,
        member: Option<Member>,
        capability: Capability,
    ) {
        let zone = settings.zone.clone();
        let identity = member.map(|member| Identity { member, zone, capability });
        let (view, client, first_start) =
            (Arc::clone(&self.view), self.client.clone(), Arc::clone(&self.first_start));
        let (address, machines_lost) = (self.address.clone(), settings.withstand.machines as usize);
        tokio::spawn(async move {
            control_plane::start_first(
                identity,
                &seeds,
                &address,
                machines_lost,
                &first_start,
                &view,
                &client,
            )
            .await;
        });
    }

    fn start_member(&self, settings: &Settings, member: Member, capability: Capability) {
        let (view, proposer) = (Arc::clone(&self.view), Arc::clone(&self.proposer));
        if capability == Capability::Store {
            let member = StoreMember { member, zone: settings.zone.clone() };
            let joining =
                tokio::spawn(async move { control_plane::join_stores(&member, &view, &proposer).await });
            self.note_joining(&joining);
            return;
        }
        tokio::spawn(control_plane::run_scrub(Arc::clone(&view), self.client.clone(), Arc::clone(&proposer)));
        tokio::spawn(control_plane::run_leader(
            settings.station.clone(),
            OrderGap {
                between_holders: settings.timetable.lease() + settings.timetable.thaw(),
                fence_checked: settings.timetable.fence_checked(),
            },
            Arc::clone(&self.leadership),
            Arc::clone(&view),
            Arc::clone(&proposer),
            self.client.clone(),
        ));
        tokio::spawn(control_plane::run_orders(
            settings.station.clone(),
            Arc::clone(&self.leadership),
            Arc::clone(&view),
            Arc::clone(&self.edges.servers),
        ));
        tokio::spawn(control_plane::run_reconciler(
            Arc::clone(&self.leadership),
            Arc::clone(&view),
            Arc::clone(&proposer),
            self.client.clone(),
            settings.timetable.member_silence(),
        ));
        let client = self.client.clone();
        let joining = tokio::spawn(async move {
            control_plane::join_register(&member, &view, &proposer, &client).await;
        });
        self.note_joining(&joining);
    }

    fn note_joining(&self, joining: &tokio::task::JoinHandle<()>) {
        *self.joining.lock().unwrap_or_else(PoisonError::into_inner) = Some(joining.abort_handle());
    }

    /// From now on this process does not make its machine an acceptor or a store any more.
    pub fn stop_joining(&self) {
        if let Some(joining) = self.joining.lock().unwrap_or_else(PoisonError::into_inner).take() {
            joining.abort();
        }
    }
}
