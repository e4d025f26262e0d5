//! Nodes with acceptors on the loopback address, each with a disk in memory.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use control_plane::{
    operator_routes, paths, AcceptorService, LeaderElection, Leadership, OrderGap, PingService, PollService,
    Proposer, ViewCell, LEASE_TTL,
};
use lease::{Grantor, GrantorId, LeaseRelease, LeaseRequest};
use poem::endpoint::BoxEndpoint;
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route};
use register::{AcceptorRequest, Ballot, Incarnation, Member, Versioned};
use state::change::initial_state;
use state::{ControlState, Document, ServerList, ServerListVersion, StoreMember};
use storage::simulated::SimulatedDisk;
use storage::{Journal, RingOptions};
use tokio::net::TcpListener;

/// Size of the ring of an acceptor's journal.
pub const RING_OPTIONS: RingOptions = RingOptions { segment_bytes: 256 * 1024, segments: 8 };
/// Ballot of the initial value of the register.
pub const INITIAL_BALLOT: Ballot = Ballot { round: 1, proposer: 0 };

/// Time without a reply after which nodes report an acceptor as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);
/// Time from the start of a node after which it reports itself as stable.
const STABLE_AFTER: Duration = Duration::ZERO;

/// Traffic node with an acceptor.
pub struct Node {
    pub view: Arc<ViewCell>,
    pub proposer: Arc<Proposer>,
    pub member: Member,
    pub ping_service: Arc<PingService>,
    operator: BoxEndpoint<'static, Response>,
}

/// Opens the acceptor on a disk, as a process does at its start. Returns its incarnation too.
pub fn open_acceptor(disk: &SimulatedDisk) -> (Arc<AcceptorService>, Incarnation) {
    let opened = Journal::open_inline(disk.file_system(), Path::new("/data"), RING_OPTIONS);
    let (journal, recovered) = opened.expect("the journal opens");
    let incarnation = Incarnation(recovered.incarnation);
    (AcceptorService::new(journal, incarnation, &recovered.records), incarnation)
}

/// Returns the initial value of a register with these acceptors and stores, and one tolerated failure.
pub fn initial_value_with(acceptors: Vec<Member>, stores: Vec<StoreMember>) -> Versioned<ControlState> {
    let state = initial_state(acceptors, stores, 1).expect("there is at least one acceptor");
    Versioned::new(INITIAL_BALLOT, Arc::new(state))
}

/// Returns a store for the initial value, at whose address no process listens.
pub fn store_member(index: u64) -> StoreMember {
    let incarnation = Incarnation(1000 + index);
    let member = Member { name: format!("store{index}"), incarnation, address: "127.0.0.1:1".into() };
    StoreMember { member, zone: "z".into() }
}

/// Starts `count` nodes, all of them acceptors, whose register has an initial value with `stores` stores.
pub async fn start_nodes(count: usize, stores: u64) -> Vec<Node> {
    start_nodes_with(count, stores, |state| state).await
}

/// Starts nodes as [`start_nodes`] does, with an initial value that `adapt` has changed.
pub async fn start_nodes_with(
    count: usize,
    stores: u64,
    adapt: impl Fn(ControlState) -> ControlState,
) -> Vec<Node> {
    let mut started = Vec::new();
    for index in 0..count {
        started.push(start_node(index).await);
    }
    let members: Vec<Member> = started.iter().map(|(node, _)| node.member.clone()).collect();
    let initial = initial_value_with(members, (0..stores).map(store_member).collect());
    let initial = Versioned::new(INITIAL_BALLOT, Arc::new(adapt(ControlState::clone(&initial.value))));
    for (node, acceptor) in &started {
        assert_eq!(acceptor.initialize(initial.clone()).await, Some(initial.clone()));
        node.view.adopt_control(&initial);
    }
    started.into_iter().map(|(node, _)| node).collect()
}

/// Starts the election of a node, with this delay between the orders of two leaders.
pub fn start_election_with(node: &Node, gap: OrderGap) -> Arc<Leadership> {
    let leadership = Arc::new(Leadership::new(Arc::clone(&node.view)));
    let election = LeaderElection {
        member_name: node.member.name.clone(),
        order_gap: gap,
        leadership: Arc::clone(&leadership),
        view: Arc::clone(&node.view),
        proposer: Arc::clone(&node.proposer),
        client: rpc::Client::new(),
    };
    tokio::spawn(election.run());
    leadership
}

async fn start_node(index: usize) -> (Node, Arc<AcceptorService>) {
    let (acceptor, incarnation) = open_acceptor(&SimulatedDisk::new(index as u64));
    let view = Arc::new(ViewCell::new());
    let ping_service = PingService::new(Arc::clone(&view), Arc::default(), UNRESPONSIVE_AFTER, STABLE_AFTER);
    let routes = with_state_routes(Route::new(), &acceptor, &ping_service, &view);
    let routes = with_lease_routes(routes, incarnation, &view);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    tokio::spawn(rpc::serve(listener, routes));
    let proposer = Proposer::new(Arc::clone(&view), rpc::Client::new());
    let operator = operator_routes(Arc::clone(&view), Arc::clone(&proposer)).map_to_response().boxed();
    let member = Member { name: format!("node{index}"), incarnation, address };
    (Node { view, proposer, member, ping_service, operator }, acceptor)
}

/// Adds the routes of the acceptor, of pings and of polls.
fn with_state_routes(
    routes: Route,
    acceptor: &Arc<AcceptorService>,
    ping_service: &Arc<PingService>,
    view: &Arc<ViewCell>,
) -> Route {
    let poll_service = PollService::new(Arc::clone(view));
    let (acceptor, ping_service) = (Arc::clone(acceptor), Arc::clone(ping_service));
    let handle = move |request: AcceptorRequest<ControlState>| {
        let acceptor = Arc::clone(&acceptor);
        async move { acceptor.handle(request).await }
    };
    let ping = move |(): ()| {
        let reply = ping_service.reply();
        async move { Some(reply) }
    };
    let poll = move |request| {
        let poll_service = Arc::clone(&poll_service);
        async move { Some(poll_service.reply(request).await) }
    };
    routes
        .at(paths::REGISTER, poem::post(rpc::handler(handle)))
        .at(paths::PING, poem::post(rpc::handler(ping)))
        .at(paths::POLL, poem::post(rpc::handler(poll)))
}

/// Adds the routes of a grantor that learns the grantors of `view` as of the time 0 and handles requests as
/// of [`LEASE_TTL`] or later, so that it may grant the lease immediately.
fn with_lease_routes(routes: Route, incarnation: Incarnation, view: &Arc<ViewCell>) -> Route {
    let grantor = Arc::new(Mutex::new(Grantor::new(GrantorId(incarnation.0), Duration::ZERO, LEASE_TTL)));
    let started_at = Instant::now();
    let (granting, view) = (Arc::clone(&grantor), Arc::clone(view));
    let grant = move |request: LeaseRequest| {
        let control = Arc::clone(&view.view().control);
        let grantors: Vec<GrantorId> =
            control.acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect();
        let mut grantor = granting.lock().expect("the lock is not poisoned");
        grantor.learn(Duration::ZERO, control.revision, &grantors);
        let reply = grantor.handle(LEASE_TTL + started_at.elapsed(), &request);
        drop(grantor);
        async move { Some(reply) }
    };
    let release = move |release: LeaseRelease| {
        grantor.lock().expect("the lock is not poisoned").release(&release);
        async move { Some(()) }
    };
    routes
        .at(paths::LEASE, poem::post(rpc::handler(grant)))
        .at(paths::RELEASE, poem::post(rpc::handler(release)))
}

impl Node {
    /// Sends a request to the operator's interface.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        if_match: Option<&str>,
        body: impl Into<Body>,
    ) -> OperatorReply {
        let mut request = Request::builder().method(method).uri(path.parse().expect("the path is valid"));
        if let Some(expected) = if_match {
            request = request.header("If-Match", expected);
        }
        let response = self.operator.get_response(request.body(body)).await;
        let (status, headers) = (response.status(), response.headers().clone());
        OperatorReply {
            status,
            headers,
            body: response.into_body().into_string().await.expect("the body is UTF-8"),
        }
    }

    /// Puts a configuration that is based on the version `expected`, and returns the status of the response.
    pub async fn put(&self, expected: u64, body: &str) -> StatusCode {
        let expected = expected.to_string();
        self.request(Method::PUT, "/api/timetable", Some(&expected), body.to_owned()).await.status
    }

    pub async fn get(&self, path: &str) -> OperatorReply {
        self.request(Method::GET, path, None, Body::empty()).await
    }

    pub async fn post(&self, path: &str, body: &str) -> StatusCode {
        self.request(Method::POST, path, None, body.to_owned()).await.status
    }
}

/// Response of the operator's interface.
#[derive(Debug)]
pub struct OperatorReply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

/// Returns the JSON text of a configuration with this version and one route with this name.
pub fn document(version: u64, route: &str) -> String {
    format!(
        r#"{{"edition":{version},"routes":[{{"name":"{route}","depot":"h","lanePrefix":"/{route}/","kind":"safe",
        "expiryMs":1500,"postalLine":"s"}}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#
    )
}

/// Returns the version of a list that the leader with this fencing token has issued.
pub fn list_version(fence: u64, sequence: u64) -> ServerListVersion {
    ServerListVersion { fence, sequence, local: 0 }
}

/// Returns an empty list with the version `list_version(fence, sequence)`.
pub fn empty_list(fence: u64, sequence: u64) -> Arc<ServerList> {
    Arc::new(ServerList::new(list_version(fence, sequence), []))
}

/// Returns a committed value with this round in its ballot and a configuration with this version.
pub fn committed_value(round: u64, configuration_version: u64) -> Versioned<ControlState> {
    let state = ControlState {
        configuration_version,
        configuration: Document::new(document(configuration_version, "r")),
        ..ControlState::default()
    };
    Versioned::new(Ballot { round, proposer: 1 }, Arc::new(state))
}
