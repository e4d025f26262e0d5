//! The role of a traffic node. It serves clients, trainers and operators. With a disk it is also an acceptor.

use std::sync::Arc;
use std::time::Duration;

use control_plane::{operator_routes, Capability, ViewCell, RELEASE_TIMEOUT};
use data_plane::{Forwarder, Ingress, IngressSettings};
use error_stack::Report;
use register::Member;
use settings::NodeSettings;
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

use crate::control::{listen_at, local_member, ControlPlane, OutboundClients, RecoveredDisk};
use crate::job_api::JobApi;
use crate::signals::{SignalEvent, Signals};
use crate::RoleError;

/// Size of an acceptor's journal. It is small, because an acceptor needs few records, each with the complete
/// state.
const JOURNAL_OPTIONS: storage::RingOptions =
    storage::RingOptions { segment_bytes: 2 * 1024 * 1024, segments: 8 };
/// Maximum age of the latest confirmation of the configuration at which a path without a route is answered
/// with 404. Later it is answered with 503, since a newer configuration may contain the route.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1900);
/// Time after SIGTERM for which new connections are still accepted. The platform directs clients to the node
/// until two readiness checks have failed.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2500);
/// Part of the platform's termination grace period that is reserved for the exit of the process. The graceful
/// shutdown ends before it.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Runs a traffic node until the process receives SIGTERM, then shuts down gracefully.
///
/// # Errors
///
/// A [`RoleError`] if the process cannot start: it cannot receive signals, its journal cannot be opened, or
/// it cannot listen at one of its addresses.
pub async fn run(settings: NodeSettings) -> Result<(), Report<RoleError>> {
    let mut signals = Signals::listen()?;
    let disk = RecoveredDisk::open(&settings, JOURNAL_OPTIONS, control_plane::check_acceptor_record)?;
    let node = TrafficNode::new(&settings, disk, OutboundClients::http(&settings));
    let internal_listener = node.control.listen().await?;
    tokio::spawn(rpc::serve(internal_listener, node.control.internal_routes()));
    node.start(&settings);
    serve_operator(&settings, &node).await?;
    let client_server = ClientServer::start(&settings, &node.control).await?;
    log::info!("{} serves", settings.machine_name);
    while signals.next().await == SignalEvent::Reload {
        node.control.reload_settings();
    }
    log::info!("{} shuts down", settings.machine_name);
    tokio::join!(node.resign(), client_server.drain());
    Ok(())
}

/// The parts of a traffic node that do not handle clients' requests: the control plane and the operators'
/// interface.
pub struct TrafficNode {
    /// Control plane of the node, with the acceptor if the node has a disk.
    pub control: ControlPlane,
    /// Identity of this process as an acceptor; `None` if it has no disk.
    member: Option<Member>,
    /// Maximum duration of the graceful shutdown.
    shutdown_timeout: Duration,
    /// Maximum time for which a leader that shuts down waits for the outcomes of its orders to servers.
    max_order_wait: Duration,
}

impl TrafficNode {
    /// Creates a traffic node. It contains an acceptor if `disk` is given.
    pub fn new(settings: &NodeSettings, disk: Option<RecoveredDisk>, clients: OutboundClients) -> Self {
        let member = disk.as_ref().map(|disk| local_member(settings, disk.incarnation));
        let shutdown_timeout = shutdown_timeout(settings);
        // Servers that check fencing tokens reject an order that arrives after one of the next leader.
        let is_fence_checked = settings.timing_rules.servers_check_fencing();
        let max_order_wait =
            if is_fence_checked { Duration::ZERO } else { shutdown_timeout.saturating_sub(RELEASE_TIMEOUT) };
        Self { control: ControlPlane::new(settings, disk, clients), member, shutdown_timeout, max_order_wait }
    }

    /// Starts the tasks of the control plane.
    pub fn start(&self, settings: &NodeSettings) {
        self.control.start(settings, self.member.clone(), Capability::Acceptor);
    }

    /// Returns the HTTP endpoints for operators.
    pub fn operator_routes(&self) -> impl poem::Endpoint {
        operator_routes(Arc::clone(&self.control.view), Arc::clone(&self.control.proposer))
    }

    /// Prepares the end of the process: releases the leader lease once the outcomes of all orders to servers
    /// are known, and lets a standby replace the acceptor.
    pub async fn resign(&self) {
        let deadline = Instant::now() + self.shutdown_timeout;
        self.control.stop_joining();
        self.control.ping_service.set_shutting_down();
        self.control.leadership.resign(self.max_order_wait).await;
        if let Some(member) = &self.member {
            let membership = self.control.acceptor_membership(member.clone());
            if timeout_at(deadline, membership.leave()).await.is_err() {
                log::warn!("the process ends before a standby has replaced its acceptor");
            }
        }
    }
}

async fn serve_operator(settings: &NodeSettings, node: &TrafficNode) -> Result<(), Report<RoleError>> {
    let Some(address) = settings.listen_addresses.control else { return Ok(()) };
    let listener = listen_at(address).await?;
    tokio::spawn(rpc::serve(listener, node.operator_routes()));
    Ok(())
}

/// The part of a traffic node that handles clients' requests.
struct ClientServer {
    ingress: Ingress,
    /// Task that serves the clients' connections; `None` if the settings have no address for clients.
    connections: Option<JoinHandle<std::io::Result<()>>>,
}

impl ClientServer {
    /// Starts to serve readiness checks and clients, each if the settings have an address for it.
    async fn start(settings: &NodeSettings, control: &ControlPlane) -> Result<Self, Report<RoleError>> {
        let forwarder = Forwarder::new(control.view.subscribe(), settings.zone.as_str().into());
        let ingress = Ingress::new(forwarder, ingress_settings(settings, control));
        if let Some(address) = settings.listen_addresses.readiness {
            let (listener, ingress) = (listen_at(address).await?, ingress.clone());
            tokio::spawn(async move { ingress.serve_ready(listener).await });
        }
        let mut connections = None;
        if let Some(address) = settings.listen_addresses.client {
            let (listener, ingress) = (listen_at(address).await?, ingress.clone());
            connections = Some(tokio::spawn(async move { ingress.serve(listener).await }));
        }
        Ok(Self { ingress, connections })
    }

    /// Finishes the requests in flight, for at most the drain timeout.
    async fn drain(self) {
        self.ingress.drain();
        if let Some(connections) = self.connections {
            // The result is ignored because the process ends next in any case.
            let _ = connections.await;
        }
    }
}

fn ingress_settings(settings: &NodeSettings, control: &ControlPlane) -> IngressSettings {
    let (ready_view, confirmed_view) = (Arc::clone(&control.view), Arc::clone(&control.view));
    IngressSettings {
        jobs: Arc::new(JobApi::new(settings, control)),
        is_ready: Box::new(move || is_ready(&ready_view)),
        is_configuration_confirmed: Box::new(move || is_recently_confirmed(&confirmed_view)),
        accept_while_draining: ACCEPT_WHILE_DRAINING,
        drain_timeout: shutdown_timeout(settings),
    }
}

/// Returns the maximum duration of the graceful shutdown, which ends before the platform kills the process.
fn shutdown_timeout(settings: &NodeSettings) -> Duration {
    settings.timing_rules.termination_grace_period().saturating_sub(EXIT_MARGIN)
}

/// Whether the process has a confirmed control state, a server list and a configuration, all of which it
/// needs to handle requests.
fn is_ready(view: &ViewCell) -> bool {
    view.confirmed_age().is_some() && view.servers_age().is_some() && view.view().configuration.is_some()
}

/// Whether a majority of the acceptors confirmed within [`MAX_CONFIRMED_AGE`] that the configuration is the
/// newest.
fn is_recently_confirmed(view: &ViewCell) -> bool {
    view.confirmed_age().is_some_and(|age| age < MAX_CONFIRMED_AGE)
}
