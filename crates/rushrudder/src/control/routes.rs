//! The endpoints of the control plane that other processes call.

use std::sync::Arc;

use control_plane::{paths, Announcement, GossipMessage, PollRequest, QuorumService};
use lease::{LeaseRelease, LeaseRequest};
use poem::{IntoEndpoint, Route};
use register::{AcceptorRequest, Versioned};
use state::ControlState;

use super::ControlPlane;

impl ControlPlane {
    /// Returns the endpoints that other processes call. A role may add further ones.
    pub fn internal_routes(&self) -> Route {
        let routes = Route::new()
            .at(paths::POLL, self.poll_endpoint())
            .at(paths::PING, self.ping_endpoint())
            .at(paths::ACCEPTOR_GOSSIP, self.gossip_endpoint())
            .at(paths::ANNOUNCE, self.announce_endpoint());
        match &self.quorum_service {
            Some(service) => with_quorum_routes(routes, service),
            None => routes,
        }
    }

    fn poll_endpoint(&self) -> impl IntoEndpoint {
        let service = Arc::clone(&self.poll_service);
        poem::post(rpc::handler(move |request: PollRequest| {
            let service = Arc::clone(&service);
            async move { Some(service.reply(request).await) }
        }))
    }

    fn ping_endpoint(&self) -> impl IntoEndpoint {
        let service = Arc::clone(&self.ping_service);
        poem::post(rpc::handler(move |(): ()| {
            let reply = service.reply();
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
        let announcements = Arc::clone(&self.bootstrap_announcements);
        poem::post(rpc::handler(move |announcement: Announcement| {
            announcements.receive(announcement);
            async move { Some(()) }
        }))
    }
}

/// Adds the endpoints of the acceptor and the lease grantor to `routes`.
fn with_quorum_routes(routes: Route, service: &Arc<QuorumService>) -> Route {
    routes
        .at(paths::REGISTER, acceptor_endpoint(service))
        .at(paths::OFFER_INITIAL_VALUE, initialize_endpoint(service))
        .at(paths::LEASE, grant_endpoint(service))
        .at(paths::RELEASE, release_endpoint(service))
}

fn acceptor_endpoint(service: &Arc<QuorumService>) -> impl IntoEndpoint {
    let service = Arc::clone(service);
    poem::post(rpc::handler(move |request: AcceptorRequest<ControlState>| {
        let service = Arc::clone(&service);
        async move { service.handle(request).await }
    }))
}

fn initialize_endpoint(service: &Arc<QuorumService>) -> impl IntoEndpoint {
    let service = Arc::clone(service);
    poem::post(rpc::handler(move |value: Versioned<ControlState>| {
        let service = Arc::clone(&service);
        async move { service.initialize(value).await }
    }))
}

fn grant_endpoint(service: &Arc<QuorumService>) -> impl IntoEndpoint {
    let service = Arc::clone(service);
    poem::post(rpc::handler(move |request: LeaseRequest| {
        let reply = service.grant(&request);
        async move { Some(reply) }
    }))
}

fn release_endpoint(service: &Arc<QuorumService>) -> impl IntoEndpoint {
    let service = Arc::clone(service);
    poem::post(rpc::handler(move |release: LeaseRelease| {
        service.release(&release);
        async move { Some(()) }
    }))
}
