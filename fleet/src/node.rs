//! Hollow nodes: the project's own decisions and its own discovery client, many to a thread.
//!
//! A thread's nodes share their connections to the hollow servers, and count into one tally. A node keeps its
//! `Balancer` and little more: the names of servers are their numbers, and their addresses the catalogue's.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use balancer::net::discovery::{self, Subscriber};
use balancer::net::list::{ListDecoder, ListedMember, ServerList};
use balancer::net::load_report::parse_load_report;
use balancer::{
    wire, AttemptEnd, AttemptOutcome, Balancer, BalancerAction, BalancerEvent, ClientRequest,
    DecisionSettings, EndpointUpdate, LoadReport, RequestId, ServerId,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch, Notify, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::catalogue::{self, Size};
use crate::tally::Tally;
use crate::world::World;

/// Nodes of a thread that may read their first list at once. They share one core, which real nodes do not: all at
/// once each would miss the client's time limit for it.
const STARTING_MOST: usize = 2;
/// How often a thread sees how late it is.
const BEAT: Duration = Duration::from_millis(50);
/// An answer of a hollow server is no longer than this.
const ANSWER_MOST: usize = 1 << 10;
/// Idle connections kept to the servers of one rack, for all nodes of a thread.
const IDLE_MOST: usize = 32;

/// What all hollow nodes are told.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many there are of each.
    pub size: Size,
    /// All random numbers follow from it.
    pub seed: u64,
    /// Where the agent of each region listens.
    pub agents: Vec<SocketAddr>,
    /// The settings; `me` and `zone` are each node's own.
    pub settings: DecisionSettings,
    /// Requests that come to one node in a second, on average.
    pub requests_per_s: f64,
}

/// What a thread of nodes is to do.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Ends a node, where it runs, and starts it.
    Start(usize),
}

/// The tally of a thread, shared with who reads it.
pub type SharedTally = Arc<Mutex<Tally>>;

/// Locks a tally.
pub fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The nodes of one thread and what they share.
struct Crew {
    plan: Arc<Plan>,
    world: Arc<World>,
    zones: Vec<String>,
    tally: SharedTally,
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Empty<Bytes>>>>>,
    /// Raised for good when clients come.
    open: watch::Receiver<bool>,
    /// Versions held by the nodes that run, for who waits until all have the newest.
    held: Arc<Held>,
    starting: Semaphore,
}

/// The version that each node holds; 0 for none.
#[derive(Debug)]
pub struct Held(Vec<std::sync::atomic::AtomicU64>);

impl Held {
    /// None holds any yet.
    #[must_use]
    pub fn new(nodes: usize) -> Self {
        Self((0..nodes).map(|_| 0.into()).collect())
    }

    /// The versions, by node.
    pub fn versions(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|version| version.load(std::sync::atomic::Ordering::Relaxed))
    }

    fn set(&self, node: usize, version: u64) {
        self.0[node].store(version, std::sync::atomic::Ordering::Relaxed);
    }
}

/// Runs the nodes of a thread until no command can come any more; runs within a `LocalSet`.
pub async fn run(
    plan: Arc<Plan>,
    world: Arc<World>,
    tally: SharedTally,
    held: Arc<Held>,
    open: watch::Receiver<bool>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let crew = Rc::new(Crew {
        zones: catalogue::zone_names(plan.size),
        plan,
        world,
        tally,
        idle: RefCell::default(),
        open,
        held,
        starting: Semaphore::new(STARTING_MOST),
    });
    tokio::task::spawn_local(Rc::clone(&crew).see_lateness());
    let mut running: HashMap<usize, (Rc<HollowNode>, Vec<AbortHandle>)> = HashMap::new();
    while let Some(Command::Start(number)) = commands.recv().await {
        if let Some((old, tasks)) = running.remove(&number) {
            old.end();
            tasks.iter().for_each(AbortHandle::abort);
        }
        match HollowNode::new(&crew, number) {
            Ok(node) => {
                let follow = tokio::task::spawn_local(Rc::clone(&node).follow());
                let take = tokio::task::spawn_local(Rc::clone(&node).take_requests());
                running.insert(number, (node, vec![follow.abort_handle(), take.abort_handle()]));
            }
            Err(error) => tracing::error!(number, %error, "a node cannot start"),
        }
    }
}

/// A request that a node holds.
#[derive(Default)]
struct Taken {
    answered: bool,
    /// Each attempt, while it is out.
    attempts: Vec<Option<oneshot::Sender<()>>>,
}

/// A node that is all decisions and discovery.
pub struct HollowNode {
    crew: Rc<Crew>,
    number: usize,
    region: usize,
    update_requested: Notify,
    discovery_moved: Notify,
    started: Instant,
    revision: Cell<Option<u64>>,
    over: Cell<bool>,
    balancer: RefCell<Balancer>,
    taken: RefCell<HashMap<RequestId, Taken>>,
    last_request: Cell<u64>,
}

impl HollowNode {
    fn new(crew: &Rc<Crew>, number: usize) -> Result<Rc<Self>, balancer::SettingsError> {
        let size = crew.plan.size;
        let zone = size.zone(number);
        let mut settings = crew.plan.settings.clone();
        (settings.nodes, settings.node_index, settings.zone) = (size.nodes, number, zone);
        let balancer = Balancer::new(settings, crew.plan.seed ^ number as u64)?;
        crew.held.set(number, 0);
        lock(&crew.tally).starts += 1;
        let node = Rc::new(Self {
            crew: Rc::clone(crew),
            number,
            region: size.region(zone),
            update_requested: Notify::new(),
            discovery_moved: Notify::new(),
            started: Instant::now(),
            revision: Cell::new(None),
            over: Cell::new(false),
            balancer: RefCell::new(balancer),
            taken: RefCell::default(),
            last_request: Cell::new(0),
        });
        // As the real node does where lists are pushed.
        node.update_requested.notify_one();
        Ok(node)
    }

    /// The process has ended: what is still out concerns nobody.
    fn end(&self) {
        self.over.set(true);
        self.taken.borrow_mut().clear();
    }

    async fn follow(self: Rc<Self>) {
        let known = {
            let _permit = self.crew.starting.acquire().await;
            discovery::fetch_initial(&self).await
        };
        discovery::follow(self, known).await;
    }

    // ---- Requests

    async fn take_requests(self: Rc<Self>) {
        let rate = self.crew.plan.requests_per_s;
        if rate <= 0.0 {
            return;
        }
        // It fails where the play has ended before its start.
        let _ = self.crew.open.clone().wait_for(|open| *open).await;
        let mut random = fastrand::Rng::with_seed(self.crew.plan.seed.rotate_left(32) ^ self.number as u64);
        loop {
            let gap = -(1.0 - random.f64()).ln() / rate;
            sleep(Duration::from_secs_f64(gap)).await;
            if self.revision.get().is_some() {
                let classes = self.crew.plan.settings.classes.len();
                self.take(random.usize(0..classes));
            }
        }
    }

    fn take(self: &Rc<Self>, class: usize) {
        let id = RequestId(self.last_request.get() + 1);
        self.last_request.set(id.0);
        self.taken.borrow_mut().insert(id, Taken::default());
        let begun = Instant::now();
        let budget_ms = self.crew.plan.settings.classes[class].deadline_ms;
        let actions = self.decide(BalancerEvent::RequestArrived(ClientRequest::new(id, class, budget_ms)));
        let mut tally = lock(&self.crew.tally);
        tally.request.add(begun.elapsed());
        tally.requests += 1;
        drop(tally);
        self.carry_out(actions);
        self.forget_if_over(id);
    }

    fn handle(self: &Rc<Self>, event: BalancerEvent) {
        let actions = self.decide(event);
        self.carry_out(actions);
    }

    fn decide(&self, event: BalancerEvent) -> Vec<BalancerAction> {
        let mut actions = Vec::new();
        if !self.over.get() {
            self.balancer.borrow_mut().handle(self.crew.world.now_ms(), event, &mut actions);
        }
        actions
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<BalancerAction>) {
        for action in actions {
            match action {
                BalancerAction::Send { request, server, .. } => self.send(request, server),
                BalancerAction::Probe { server } => self.probe(server),
                BalancerAction::Cancel { request, attempt } => {
                    let mut taken = self.taken.borrow_mut();
                    let out = taken.get_mut(&request).and_then(|held| held.attempts.get_mut(attempt));
                    // Dropped, it tells the attempt to end.
                    drop(out.and_then(Option::take));
                }
                BalancerAction::Reject { request, .. } => self.answer(request, |tally| tally.refused += 1),
                BalancerAction::Fail { request } => self.answer(request, |tally| tally.failed += 1),
                BalancerAction::Subscribe => self.update_requested.notify_one(),
                BalancerAction::SetTimer { timer, after_ms } => {
                    let node = Rc::clone(self);
                    let after = Duration::try_from_secs_f64(after_ms / 1000.0).unwrap_or_default();
                    tokio::task::spawn_local(async move {
                        sleep(after).await;
                        node.handle(BalancerEvent::TimerFired(timer));
                    });
                }
                BalancerAction::Log(text) => tracing::debug!(node = self.number, "{text}"),
            }
        }
    }

    fn answer(&self, request: RequestId, count: impl FnOnce(&mut Tally)) {
        if let Some(held) = self.taken.borrow_mut().get_mut(&request) {
            if !std::mem::replace(&mut held.answered, true) {
                count(&mut lock(&self.crew.tally));
            }
        }
        self.forget_if_over(request);
    }

    fn forget_if_over(&self, request: RequestId) {
        let mut taken = self.taken.borrow_mut();
        if taken.get(&request).is_some_and(|held| held.answered && held.attempts.iter().all(Option::is_none))
        {
            taken.remove(&request);
        }
    }

    fn send(self: &Rc<Self>, request: RequestId, server: ServerId) {
        let mut taken = self.taken.borrow_mut();
        let Some(held) = taken.get_mut(&request) else { return };
        let (stop, stopped) = oneshot::channel();
        let attempt = held.attempts.len();
        held.attempts.push(Some(stop));
        lock(&self.crew.tally).sends += 1;
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let (outcome, report) = tokio::select! {
                reply = node.crew.call(server, node.region, "/api") => reply,
                _ = stopped => (AttemptOutcome::Cancelled, None),
            };
            node.ended(request, attempt, begun.elapsed(), outcome, report);
        });
    }

    fn ended(
        self: &Rc<Self>,
        request: RequestId,
        attempt: usize,
        elapsed: Duration,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        if let Some(held) = self.taken.borrow_mut().get_mut(&request) {
            held.attempts[attempt] = None;
        }
        if outcome == AttemptOutcome::Served {
            self.answer(request, |tally| tally.served += 1);
        }
        let complete = self.taken.borrow().get(&request).is_none_or(|held| held.answered);
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        self.handle(BalancerEvent::AttemptEnded(AttemptEnd {
            request,
            attempt,
            elapsed_ms,
            outcome,
            complete,
            report,
        }));
        self.forget_if_over(request);
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        lock(&self.crew.tally).probes += 1;
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let (outcome, report) = node.crew.call(server, node.region, "/_load").await;
            node.handle(BalancerEvent::ProbeEnded { server, outcome, report });
        });
    }
}

impl Crew {
    async fn see_lateness(self: Rc<Self>) {
        loop {
            let due = Instant::now() + BEAT;
            tokio::time::sleep_until(due.into()).await;
            lock(&self.tally).late.add(due.elapsed());
        }
    }

    /// The longest that an attempt may take.
    fn longest(&self) -> Duration {
        let longest = self.plan.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        Duration::try_from_secs_f64(longest / 1000.0).unwrap_or_default()
    }

    async fn call(
        &self,
        server: ServerId,
        region: usize,
        path: &str,
    ) -> (AttemptOutcome, Option<LoadReport>) {
        let call = self.exchange(server, region, path);
        timeout(self.longest(), call).await.unwrap_or((AttemptOutcome::TimedOut, None))
    }

    async fn exchange(
        &self,
        server: ServerId,
        region: usize,
        path: &str,
    ) -> (AttemptOutcome, Option<LoadReport>) {
        let Some(address) = self.world.catalogue().address(server.0) else {
            return (AttemptOutcome::Unreachable, None);
        };
        let Some(mut sender) = self.connection(address).await else {
            return (AttemptOutcome::Unreachable, None);
        };
        let request = hyper::Request::get(path).header("Host", catalogue::name(server.0));
        let request = request.header("X-From", region).body(Empty::new()).expect("a sound request");
        let Ok(response) = sender.send_request(request).await else { return (AttemptOutcome::Reset, None) };
        let (head, body) = response.into_parts();
        let whole = Limited::new(body, ANSWER_MOST).collect().await.is_ok();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address).or_default();
        if whole && idle.len() < IDLE_MOST {
            idle.push(sender);
        }
        let report =
            head.headers.get("x-load").and_then(|load| load.to_str().ok()).and_then(parse_load_report);
        let outcome = match head.status {
            _ if !whole => AttemptOutcome::Reset,
            StatusCode::OK => AttemptOutcome::Served,
            // Stands for a refused connection.
            StatusCode::GONE => AttemptOutcome::Unreachable,
            _ => AttemptOutcome::Error,
        };
        (outcome, report)
    }

    async fn connection(&self, address: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            let Some(mut kept) = kept else { break };
            if kept.ready().await.is_ok() {
                return Some(kept);
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(sender)
    }
}

/// A list of the protocol, from its JSON.
///
/// # Errors
///
/// Where it is none.
pub fn read_list(body: &[u8]) -> Result<ServerList, String> {
    let mut decoder = ListDecoder::new(usize::MAX);
    decoder.feed(body).and_then(|()| decoder.finish()).map_err(|error| format!("a list: {error}"))
}

/// A list as the decisions take it.
#[must_use]
pub fn listing(list: &ServerList, zones: &[String]) -> EndpointUpdate {
    let entry = |member: &ListedMember| {
        let server = ServerId(catalogue::number(&member.id)?);
        let zone = zones.iter().position(|zone| *zone == member.locality).unwrap_or(zones.len());
        Some(member.to_entry(server, zone, 0, wire::key(&member.id)))
    };
    let entries = list.members.iter().filter_map(entry).collect();
    if list.complete {
        EndpointUpdate::Snapshot(entries)
    } else {
        EndpointUpdate::Delta(entries)
    }
}

impl Subscriber for HollowNode {
    fn update_requested(&self) -> &Notify {
        &self.update_requested
    }

    fn discovery_moved(&self) -> &Notify {
        &self.discovery_moved
    }

    fn discovery_address(&self) -> SocketAddr {
        self.crew.plan.agents[self.region]
    }

    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    fn drain_grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.crew.plan.settings.drain_grace_ms / 1000.0).unwrap_or_default()
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        if self.over.get() {
            return;
        }
        let before = self.revision.replace(Some(list.revision));
        let listing = listing(&list, &self.crew.zones);
        let (revision, complete) = (list.revision, list.complete);
        drop(list);
        let begun = Instant::now();
        let actions = self.decide(BalancerEvent::EndpointsUpdated(listing));
        // Only now do the decisions go by it.
        let now = Instant::now();
        let mut tally = lock(&self.crew.tally);
        tally.listing.add(now - begun);
        tally.lists += 1;
        tally.whole_lists += u64::from(complete);
        match before {
            None => tally.start.add(now - self.started),
            Some(before) if before < revision => {
                let catalogue = self.crew.world.catalogue();
                tally.advanced(now, before, revision, |version| catalogue.published(version));
            }
            Some(_) => {}
        }
        drop(tally);
        self.crew.held.set(self.number, revision);
        self.carry_out(actions);
    }

    fn unavailable(self: &Rc<Self>) {
        lock(&self.crew.tally).failed_calls += 1;
        self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
    }
}
