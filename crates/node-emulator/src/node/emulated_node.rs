//! One emulated node: its `Balancer`, its pending requests and its subscription to discovery.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use balancer::net::discovery::{self, Subscriber};
use balancer::net::list::ServerList;
use balancer::{
    AttemptEnd, AttemptOutcome, Balancer, BalancerAction, BalancerEvent, ClientRequest, EndpointUpdate,
    LoadReport, RequestId, ServerId,
};
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep;

use super::endpoint_update::endpoint_update;
use super::lock;
use super::thread::NodeThread;
use crate::counters::NodeCounters;

/// A request that has arrived at a node and either has no response yet or still has attempts in flight.
#[derive(Default)]
pub(super) struct PendingRequest {
    /// Whether the client has received a response.
    pub(super) answered: bool,
    /// For each attempt in flight the sender whose drop cancels it; `None` for an attempt that has ended.
    pub(super) attempts: Vec<Option<oneshot::Sender<()>>>,
}

/// A node with a real `Balancer` and a real discovery client. Its clients are emulated.
pub struct EmulatedNode {
    pub(super) thread: Rc<NodeThread>,
    /// Index of the node in the fleet, which determines its zone and its seed.
    pub(super) number: usize,
    /// Region of the node's zone, whose discovery agent the node calls.
    pub(super) region: usize,
    /// Notified to start the long polls: at the start of the node and whenever the `Balancer` requests it.
    pub(super) update_requested: Notify,
    /// Required by [`Subscriber`], but never notified: the addresses of the agents do not change.
    pub(super) discovery_moved: Notify,
    /// Start of the node. The time to the first list is measured from here.
    pub(super) started: Instant,
    /// The version of the list that the `Balancer` has; `None` before the first list.
    pub(super) revision: Cell<Option<u64>>,
    /// Set when the node is stopped for a restart. Later events are ignored.
    pub(super) stopped: Cell<bool>,
    pub(super) balancer: RefCell<Balancer>,
    /// Requests by the identifiers that the `Balancer` uses.
    pub(super) pending_requests: RefCell<HashMap<RequestId, PendingRequest>>,
    /// Identifier of the latest request.
    pub(super) last_request: Cell<u64>,
}

impl EmulatedNode {
    /// Creates a node without a list. Its seed differs from the seeds of all other nodes.
    pub(super) fn new(thread: &Rc<NodeThread>, number: usize) -> Result<Rc<Self>, balancer::SettingsError> {
        let size = thread.config.size;
        let zone = size.zone(number);
        let mut settings = thread.config.settings.clone();
        (settings.nodes, settings.node_index, settings.zone) = (size.nodes, number, zone);
        let balancer = Balancer::new(settings, thread.config.seed ^ number as u64)?;
        thread.node_versions.set(number, 0);
        lock(&thread.counters).starts += 1;
        let node = Rc::new(Self {
            thread: Rc::clone(thread),
            number,
            region: size.region(zone),
            update_requested: Notify::new(),
            discovery_moved: Notify::new(),
            started: Instant::now(),
            revision: Cell::new(None),
            stopped: Cell::new(false),
            balancer: RefCell::new(balancer),
            pending_requests: RefCell::default(),
            last_request: Cell::new(0),
        });
        // The settings have `DiscoveryMode::Push`, in which the `Balancer` does not request the first
        // updates. A real node starts its long polls in the same way.
        node.update_requested.notify_one();
        Ok(node)
    }

    /// Stops the node and cancels its attempts in flight. Their outcomes are ignored.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
        self.pending_requests.borrow_mut().clear();
    }

    /// Reads the first list and then polls discovery for changes until the task is aborted.
    pub(super) async fn follow(self: Rc<Self>) {
        let connection = {
            let _permit = self.thread.start_permits.acquire().await;
            discovery::fetch_initial(&self).await
        };
        discovery::follow(self, connection).await;
    }

    /// Starts requests at random times (a Poisson process) after the clients have been started. While the
    /// node has no list, no requests arrive.
    pub(super) async fn generate_requests(self: Rc<Self>) {
        let rate = self.thread.config.requests_per_s;
        if rate <= 0.0 {
            return;
        }
        // This fails if the run ends before the clients are started.
        let _ = self.thread.clients_started.clone().wait_for(|clients_started| *clients_started).await;
        let mut random =
            fastrand::Rng::with_seed(self.thread.config.seed.rotate_left(32) ^ self.number as u64);
        loop {
            let gap = -(1.0 - random.f64()).ln() / rate;
            sleep(Duration::from_secs_f64(gap)).await;
            if self.revision.get().is_some() {
                let classes = self.thread.config.settings.classes.len();
                self.start_request(random.usize(0..classes));
            }
        }
    }

    /// Starts a request of a class, and measures the time in which the `Balancer` decides about it.
    pub(super) fn start_request(self: &Rc<Self>, class: usize) {
        let id = RequestId(self.last_request.get() + 1);
        self.last_request.set(id.0);
        self.pending_requests.borrow_mut().insert(id, PendingRequest::default());
        let started_at = Instant::now();
        let budget_ms = self.thread.config.settings.classes[class].deadline_ms;
        let actions = self.decide(BalancerEvent::RequestArrived(ClientRequest::new(id, class, budget_ms)));
        let mut counters = lock(&self.thread.counters);
        counters.request.add(started_at.elapsed());
        counters.requests += 1;
        drop(counters);
        self.execute(actions);
        self.remove_if_finished(id);
    }

    /// Passes an event to the `Balancer` and executes the resulting actions.
    pub(super) fn handle_event(self: &Rc<Self>, event: BalancerEvent) {
        let actions = self.decide(event);
        self.execute(actions);
    }

    /// Passes an event to the `Balancer` and returns the resulting actions; none if the node is stopped.
    pub(super) fn decide(&self, event: BalancerEvent) -> Vec<BalancerAction> {
        let mut actions = Vec::new();
        if !self.stopped.get() {
            self.balancer.borrow_mut().handle(self.thread.world.now_ms(), event, &mut actions);
        }
        actions
    }

    /// Executes actions of the `Balancer`.
    pub(super) fn execute(self: &Rc<Self>, actions: Vec<BalancerAction>) {
        for action in actions {
            match action {
                BalancerAction::Send { request, server, .. } => self.send(request, server),
                BalancerAction::Probe { server } => self.probe(server),
                BalancerAction::Cancel { request, attempt } => {
                    let mut pending_requests = self.pending_requests.borrow_mut();
                    let cancellation = pending_requests
                        .get_mut(&request)
                        .and_then(|pending| pending.attempts.get_mut(attempt));
                    // Dropping the sender cancels the attempt.
                    drop(cancellation.and_then(Option::take));
                }
                BalancerAction::Reject { request, .. } => {
                    self.finish_request(request, |counters| counters.rejected += 1)
                }
                BalancerAction::Fail { request } => {
                    self.finish_request(request, |counters| counters.failed += 1)
                }
                BalancerAction::Subscribe => self.update_requested.notify_one(),
                BalancerAction::SetTimer { timer, after_ms } => {
                    let node = Rc::clone(self);
                    let after = Duration::try_from_secs_f64(after_ms / 1000.0).unwrap_or_default();
                    tokio::task::spawn_local(async move {
                        sleep(after).await;
                        node.handle_event(BalancerEvent::TimerFired(timer));
                    });
                }
                BalancerAction::Log(text) => tracing::debug!(node = self.number, "{text}"),
            }
        }
    }

    /// Records the response to a client with `count`. Further responses to the same request are not counted.
    pub(super) fn finish_request(&self, request: RequestId, count: impl FnOnce(&mut NodeCounters)) {
        if let Some(pending) = self.pending_requests.borrow_mut().get_mut(&request) {
            if !std::mem::replace(&mut pending.answered, true) {
                count(&mut lock(&self.thread.counters));
            }
        }
        self.remove_if_finished(request);
    }

    /// Removes a request if it has a response and no attempt in flight.
    pub(super) fn remove_if_finished(&self, request: RequestId) {
        let mut pending_requests = self.pending_requests.borrow_mut();
        if pending_requests
            .get(&request)
            .is_some_and(|pending| pending.answered && pending.attempts.iter().all(Option::is_none))
        {
            pending_requests.remove(&request);
        }
    }

    /// Starts an attempt of a request at a server.
    pub(super) fn send(self: &Rc<Self>, request: RequestId, server: ServerId) {
        let mut pending_requests = self.pending_requests.borrow_mut();
        let Some(pending) = pending_requests.get_mut(&request) else { return };
        let (cancel, cancelled) = oneshot::channel();
        let attempt = pending.attempts.len();
        pending.attempts.push(Some(cancel));
        lock(&self.thread.counters).sends += 1;
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let started_at = Instant::now();
            let (outcome, report) = tokio::select! {
                reply = node.thread.call(server, node.region, "/api") => reply,
                _ = cancelled => (AttemptOutcome::Cancelled, None),
            };
            node.on_attempt_ended(request, attempt, started_at.elapsed(), outcome, report);
        });
    }

    /// Passes the outcome of an attempt to the `Balancer`. The first served attempt is the response to the
    /// client.
    pub(super) fn on_attempt_ended(
        self: &Rc<Self>,
        request: RequestId,
        attempt: usize,
        elapsed: Duration,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        if let Some(pending) = self.pending_requests.borrow_mut().get_mut(&request) {
            pending.attempts[attempt] = None;
        }
        if outcome == AttemptOutcome::Served {
            self.finish_request(request, |counters| counters.served += 1);
        }
        let complete = self.pending_requests.borrow().get(&request).is_none_or(|pending| pending.answered);
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        self.handle_event(BalancerEvent::AttemptEnded(AttemptEnd {
            request,
            attempt,
            elapsed_ms,
            outcome,
            complete,
            report,
        }));
        self.remove_if_finished(request);
    }

    /// Starts a load probe of a server.
    pub(super) fn probe(self: &Rc<Self>, server: ServerId) {
        lock(&self.thread.counters).probes += 1;
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let (outcome, report) = node.thread.call(server, node.region, "/_load").await;
            node.handle_event(BalancerEvent::ProbeEnded { server, outcome, report });
        });
    }
}

impl Subscriber for EmulatedNode {
    fn update_requested(&self) -> &Notify {
        &self.update_requested
    }

    fn discovery_moved(&self) -> &Notify {
        &self.discovery_moved
    }

    fn discovery_address(&self) -> SocketAddr {
        self.thread.config.agents[self.region]
    }

    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    fn drain_grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.thread.config.settings.drain_grace_ms / 1000.0).unwrap_or_default()
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        if self.stopped.get() {
            return;
        }
        let previous = self.revision.replace(Some(list.revision));
        let endpoint_update = endpoint_update(&list, &self.thread.zones);
        let (revision, complete) = (list.revision, list.complete);
        drop(list);
        let started_at = Instant::now();
        let actions = self.decide(BalancerEvent::EndpointsUpdated(endpoint_update));
        // Both the time to apply the list and the lag of its version end here, when the `Balancer` has the
        // list.
        let now = Instant::now();
        let mut counters = lock(&self.thread.counters);
        counters.endpoint_update.add(now - started_at);
        counters.list_responses += 1;
        counters.complete_lists += u64::from(complete);
        match previous {
            None => counters.start.add(now - self.started),
            Some(previous) if previous < revision => {
                let catalogue = self.thread.world.catalogue();
                counters.record_advance(now, previous, revision, |version| catalogue.published_at(version));
            }
            Some(_) => {}
        }
        drop(counters);
        self.thread.node_versions.set(self.number, revision);
        self.execute(actions);
    }

    fn unavailable(self: &Rc<Self>) {
        lock(&self.thread.counters).failed_calls += 1;
        self.handle_event(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
    }
}
