//! The endpoints of the control plane for other processes.

use std::sync::Arc;

use control_plane::{paths, Announcement, CoreService, GossipMessage, PollRequest};
use lease::{LeaseRelease, LeaseRequest};
use poem::{IntoEndpoint, Route};
use register::{AcceptorRequest, Versioned};
use state::ControlState;

use super::ControlPlane;

impl ControlPlane {
    /// The endpoints for other processes; a role may add its own.
    pub fn internal_routes(&self) -> Route {
        let routes = Route::new()
            .at(paths::POLL, self.poll_endpoint())
            .at(paths::PING, self.ping_endpoint())
            .at(paths::INTRODUCE, self.gossip_endpoint())
            .at(paths::ANNOUNCE, self.announce_endpoint());
        match &self.core {
            Some(core) => with_core_routes(routes, core),
            None => routes,
        }
    }

    fn poll_endpoint(&self) -> impl IntoEndpoint {
        let distribution = Arc::clone(&self.distribution);
        poem::post(rpc::handler(move |request: PollRequest| {
            let distribution = Arc::clone(&distribution);
            async move { Some(distribution.poll(request).await) }
        }))
    }

    fn ping_endpoint(&self) -> impl IntoEndpoint {
        let distribution = Arc::clone(&self.distribution);
        poem::post(rpc::handler(move |(): ()| {
            let reply = distribution.ping();
            async move { Some(reply) }
        }))
    }

    fn gossip_endpoint(&self) -> impl IntoEndpoint {
        let acceptor_gossip = Arc::clone(&self.acceptor_gossip);
        poem::post(rpc::handler(move |message: GossipMessage| {
            acceptor_gossip.receive(message);
            async move { Some(()) }
        }))
    }

    fn announce_endpoint(&self) -> impl IntoEndpoint {
        let first_start = Arc::clone(&self.first_start);
        poem::post(rpc::handler(move |announcement: Announcement| {
            first_start.announce(announcement);
            async move { Some(()) }
        }))
    }
}

/// Adds the endpoints of the acceptor and the lease grantor.
fn with_core_routes(routes: Route, core: &Arc<CoreService>) -> Route {
    routes
        .at(paths::REGISTER, acceptor_endpoint(core))
        .at(paths::FIRST, initialise_endpoint(core))
        .at(paths::LEASE, grant_endpoint(core))
        .at(paths::RELEASE, release_endpoint(core))
}

fn acceptor_endpoint(core: &Arc<CoreService>) -> impl IntoEndpoint {
    let core = Arc::clone(core);
    poem::post(rpc::handler(move |request: AcceptorRequest<ControlState>| {
        let core = Arc::clone(&core);
        async move { core.handle(request).await }
    }))
}

fn initialise_endpoint(core: &Arc<CoreService>) -> impl IntoEndpoint {
    let core = Arc::clone(core);
    poem::post(rpc::handler(move |value: Versioned<ControlState>| {
        let core = Arc::clone(&core);
        async move { core.initialise(value).await }
    }))
}

fn grant_endpoint(core: &Arc<CoreService>) -> impl IntoEndpoint {
    let core = Arc::clone(core);
    poem::post(rpc::handler(move |request: LeaseRequest| {
        let reply = core.grant(&request);
        async move { Some(reply) }
    }))
}

fn release_endpoint(core: &Arc<CoreService>) -> impl IntoEndpoint {
    let core = Arc::clone(core);
    poem::post(rpc::handler(move |release: LeaseRelease| {
        core.release(&release);
        async move { Some(()) }
    }))
}
