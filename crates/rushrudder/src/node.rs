//! The role of a traffic node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use control_plane::{leave_register, operator_routes, Capability};
use data_plane::{Forwarder, Ingress, IngressSettings};
use error_stack::{Report, ResultExt};
use register::Member;
use settings::Settings;
use tokio::net::TcpListener;

use crate::control::{member, open_disk, Control, Disk, Edges};
use crate::jobs::Jobs;
use crate::signals::{SignalEvent, Signals};
use crate::RoleError;

/// The journal of an acceptor: few records, each the whole state.
const JOURNAL: storage::RingOptions = storage::RingOptions { segment_bytes: 2 * 1024 * 1024, segments: 8 };
/// A path without route is answered 404 while the configuration was confirmed within this time.
const CONFIRMED_AGE_MOST: Duration = Duration::from_millis(1900);
/// After the end was asked for, new connections still come until the platform has seen two misses.
const STILL_COMING: Duration = Duration::from_millis(2500);
/// How much of the platform's grace is kept back for the end of the process.
const GRACE_KEPT: Duration = Duration::from_millis(400);

/// Serves as a traffic node until the platform ends it.
pub async fn run(settings: Settings) -> Result<(), Report<RoleError>> {
    let mut signals = Signals::listen()?;
    let disk = open_disk(&settings, JOURNAL)?;
    let node = Node::new(&settings, disk, Edges::sockets(&settings));
    let control = &node.control;
    let internal = control.listen().await?;
    tokio::spawn(rpc::serve(internal, control.internal_routes()));
    node.start(&settings);
    serve_operator(&settings, &node).await?;
    let front = serve_clients(&settings, control).await?;
    log::info!("{} serves", settings.station);
    while signals.next().await == SignalEvent::Reload {
        control.reload();
    }
    log::info!("{} ends", settings.station);
    tokio::join!(node.resign(), front.drain());
    Ok(())
}

/// The parts of a traffic node that agree with other processes; those that carry requests are apart.
pub struct Node {
    /// Its control plane.
    pub control: Control,
    member: Option<Member>,
}

impl Node {
    /// A node; one with a disk has an acceptor.
    pub fn new(settings: &Settings, disk: Option<Disk>, edges: Edges) -> Self {
        let member = disk.as_ref().map(|disk| member(settings, disk.incarnation));
        Self { control: Control::new(settings, disk, edges), member }
    }

    /// The operator's interface.
    pub fn operator_routes(&self) -> impl poem::Endpoint {
        operator_routes(Arc::clone(&self.control.view), Arc::clone(&self.control.proposer))
    }

    /// Gives the lease back and leaves the register to another that came in this one's place, before the process ends.
    pub async fn resign(&self) {
        self.control.stop_joining();
        self.control.distribution.set_leaving();
        self.control.leadership.resign().await;
        if let Some(member) = &self.member {
            let Control { view, proposer, client, .. } = &self.control;
            leave_register(member, view, proposer, client).await;
        }
    }

    /// Starts the tasks.
    pub fn start(&self, settings: &Settings) {
        self.control.start(settings, self.member.clone(), Capability::Acceptor);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<RoleError>> {
    TcpListener::bind(address).await.change_context(RoleError).attach_with(|| address.to_string())
}

async fn serve_operator(settings: &Settings, node: &Node) -> Result<(), Report<RoleError>> {
    let Some(address) = settings.posts.control else { return Ok(()) };
    let listener = bind(address).await?;
    tokio::spawn(rpc::serve(listener, node.operator_routes()));
    Ok(())
}

/// The ingress while it serves.
struct Serving {
    ingress: Ingress,
    task: Option<tokio::task::JoinHandle<std::io::Result<()>>>,
}

impl Serving {
    /// Finishes what is held.
    async fn drain(self) {
        self.ingress.drain();
        if let Some(task) = self.task {
            let _ = task.await;
        }
    }
}

async fn serve_clients(settings: &Settings, control: &Control) -> Result<Serving, Report<RoleError>> {
    let forwarder = Forwarder::new(control.view.subscribe(), settings.zone.as_str().into());
    let (ready, confirmed) = (Arc::clone(&control.view), Arc::clone(&control.view));
    let ingress = Ingress::new(
        forwarder,
        IngressSettings {
            jobs: Arc::new(Jobs::new(control)),
            is_ready: Box::new(move || {
                ready.confirmed_age().is_some()
                    && ready.servers_age().is_some()
                    && ready.view().configuration.is_some()
            }),
            is_configuration_confirmed: Box::new(move || {
                confirmed.confirmed_age().is_some_and(|age| age < CONFIRMED_AGE_MOST)
            }),
            accept_while_draining: STILL_COMING,
            drain_timeout: settings.timetable.grace().saturating_sub(GRACE_KEPT),
        },
    );
    if let Some(address) = settings.posts.ready {
        let (listener, ingress) = (bind(address).await?, ingress.clone());
        tokio::spawn(async move { ingress.serve_ready(listener).await });
    }
    let mut task = None;
    if let Some(address) = settings.posts.front {
        let (listener, serving) = (bind(address).await?, ingress.clone());
        task = Some(tokio::spawn(async move { serving.serve(listener).await }));
    }
    Ok(Serving { ingress, task })
}
