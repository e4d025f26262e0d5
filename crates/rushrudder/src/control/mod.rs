//! The control plane of a process, assembled in the same way for all roles.
//!
//! [`ControlPlane`] owns the components that the roles and the simulator call. The module `routes` exposes
//! them to other processes; the module `tasks` starts their tasks.

mod clients;
mod disk;
mod routes;
mod tasks;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use control_plane::{
    AcceptorGossip, AcceptorMembership, AcceptorService, BootstrapAnnouncements, Leadership, PingService,
    PollService, Proposer, QuorumService, StoreMembership, ViewCell,
};
use error_stack::{Report, ResultExt};
use register::{Incarnation, Member};
use settings::NodeSettings;
use state::StoreMember;
use tokio::net::{TcpListener, ToSocketAddrs};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};

use crate::RoleError;

pub use clients::OutboundClients;
pub use disk::{first_unreadable, open_or_set_aside, RecordCheck, RecoveredDisk};

/// The components of the control plane of a process, shared by its endpoints and its tasks.
pub struct ControlPlane {
    /// Newest snapshot of the control state and the server list in this process.
    pub view: Arc<ViewCell>,
    /// Proposer of changes of the control state to the acceptors.
    pub proposer: Arc<Proposer>,
    /// Service that replies to the pings of other processes.
    pub ping_service: Arc<PingService>,
    /// Leader lease of this process, while it holds one.
    pub leadership: Arc<Leadership>,
    /// Clients with which the process calls other processes, the platform and the model servers.
    pub clients: OutboundClients,
    /// Address at which this process receives calls of other processes, as `ip:port`.
    internal_address: String,
    /// Internal addresses of the seeds, as `ip:port`. Replaced when the settings are reloaded.
    seeds: watch::Sender<Vec<String>>,
    /// Service that replies to the long polls of other processes.
    poll_service: Arc<PollService>,
    /// Announcements of other machines, received during the first start of the system.
    bootstrap_announcements: Arc<BootstrapAnnouncements>,
    /// Newest addresses of the acceptors that this process has received by gossip.
    acceptor_gossip: Arc<AcceptorGossip>,
    /// The acceptor and the lease grantor; `None` if the process has no disk for them.
    quorum_service: Option<Arc<QuorumService>>,
    /// Handle of the task that makes this machine an acceptor or a store; `None` before its start, and after
    /// [`ControlPlane::stop_joining`].
    join_task: Mutex<Option<AbortHandle>>,
}

impl ControlPlane {
    /// Creates the control plane of a process. It contains an acceptor and a lease grantor if `disk` is
    /// given.
    pub fn new(settings: &NodeSettings, disk: Option<RecoveredDisk>, clients: OutboundClients) -> Self {
        let view = Arc::new(ViewCell::new());
        let proposer = Proposer::new(Arc::clone(&view), clients.rpc.clone());
        let quorum_service = disk.map(|disk| {
            let acceptor = AcceptorService::new(disk.journal, disk.incarnation, &disk.content);
            QuorumService::new(acceptor, disk.incarnation, Arc::clone(&view))
        });
        Self {
            ping_service: PingService::new(
                Arc::clone(&view),
                Arc::clone(proposer.contacts()),
                settings.timing_rules.member_failure_timeout(),
                settings.timing_rules.stabilization_period(),
            ),
            poll_service: PollService::new(Arc::clone(&view)),
            leadership: Arc::new(Leadership::new(Arc::clone(&view))),
            view,
            proposer,
            clients,
            internal_address: settings.internal_address(),
            seeds: watch::Sender::new(internal_seed_addresses(settings)),
            bootstrap_announcements: Arc::new(BootstrapAnnouncements::default()),
            acceptor_gossip: Arc::new(AcceptorGossip::default()),
            quorum_service,
            join_task: Mutex::default(),
        }
    }

    /// Returns the acceptor of this process; `None` if it has none.
    pub fn acceptor(&self) -> Option<&Arc<AcceptorService>> {
        self.quorum_service.as_ref().map(|service| service.acceptor())
    }

    /// Returns the task with which this machine joins and leaves the acceptors of the register, as `member`.
    pub fn acceptor_membership(&self, member: Member) -> AcceptorMembership {
        AcceptorMembership {
            member,
            view: Arc::clone(&self.view),
            proposer: Arc::clone(&self.proposer),
            client: self.clients.rpc.clone(),
        }
    }

    /// Returns the task with which this machine joins and leaves the store set, as `member`.
    pub fn store_membership(&self, member: StoreMember) -> StoreMembership {
        StoreMembership { member, view: Arc::clone(&self.view), proposer: Arc::clone(&self.proposer) }
    }

    /// Opens a listener at the internal address.
    ///
    /// # Errors
    ///
    /// [`RoleError::Listen`], for instance if the address is in use.
    pub async fn listen(&self) -> Result<TcpListener, Report<RoleError>> {
        listen_at(self.internal_address.as_str()).await
    }

    /// Reloads the settings file. If the file cannot be used, logs the error and keeps the present settings.
    pub fn reload_settings(&self) {
        match NodeSettings::from_env() {
            Ok(settings) => self.apply_settings(&settings),
            Err(error) => {
                log::error!("the settings stay as they are: {error}")
            }
        }
    }

    /// Applies reloaded settings. The seeds take effect immediately, all other settings at the next start.
    pub fn apply_settings(&self, settings: &NodeSettings) {
        let seeds = internal_seed_addresses(settings);
        log::info!("settings reloaded: seeds {}", seeds.join(" "));
        self.seeds.send_replace(seeds);
    }

    /// Stops the task that makes this machine an acceptor or a store. Otherwise the machine would join again
    /// after it has left.
    pub fn stop_joining(&self) {
        let join_task = self.join_task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(join_task) = join_task {
            join_task.abort();
        }
    }

    fn set_join_task(&self, join_task: &JoinHandle<()>) {
        *self.join_task.lock().unwrap_or_else(PoisonError::into_inner) = Some(join_task.abort_handle());
    }
}

/// Returns the identity of this process as an acceptor or a store, with the given incarnation of its disk.
pub(crate) fn local_member(settings: &NodeSettings, incarnation: Incarnation) -> Member {
    Member { name: settings.machine_name.clone(), incarnation, address: settings.internal_address() }
}

/// Opens a listener at an address, given as `ip:port`.
pub(crate) async fn listen_at<Address>(address: Address) -> Result<TcpListener, Report<RoleError>>
where
    Address: ToSocketAddrs + ToString,
{
    let error = RoleError::Listen { address: address.to_string() };
    TcpListener::bind(address).await.change_context(error)
}

/// Returns the internal addresses of the seeds, as `ip:port`. The settings contain the control addresses of
/// the same machines; the internal port is the same on all machines.
fn internal_seed_addresses(settings: &NodeSettings) -> Vec<String> {
    let internal_port = settings.internal_ports.0;
    let control_addresses = settings.seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok());
    control_addresses.map(|address| format!("{}:{internal_port}", address.ip())).collect()
}
