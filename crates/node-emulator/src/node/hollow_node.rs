//! One hollow node: its decisions, its pending requests and its subscription to discovery.

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

/// A request that a node holds.
#[derive(Default)]
pub(super) struct Taken {
    pub(super) answered: bool,
    /// Each attempt, while it is out.
    pub(super) attempts: Vec<Option<oneshot::Sender<()>>>,
}

/// A node that is all decisions and discovery.
pub struct HollowNode {
    pub(super) thread: Rc<NodeThread>,
    pub(super) number: usize,
    pub(super) region: usize,
    pub(super) update_requested: Notify,
    pub(super) discovery_moved: Notify,
    pub(super) started: Instant,
    pub(super) revision: Cell<Option<u64>>,
    pub(super) over: Cell<bool>,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) taken: RefCell<HashMap<RequestId, Taken>>,
    pub(super) last_request: Cell<u64>,
}

impl HollowNode {
    pub(super) fn new(thread: &Rc<NodeThread>, number: usize) -> Result<Rc<Self>, balancer::SettingsError> {
        let size = thread.plan.size;
        let zone = size.zone(number);
        let mut settings = thread.plan.settings.clone();
        (settings.nodes, settings.node_index, settings.zone) = (size.nodes, number, zone);
        let balancer = Balancer::new(settings, thread.plan.seed ^ number as u64)?;
        thread.known_versions.set(number, 0);
        lock(&thread.counters).starts += 1;
        let node = Rc::new(Self {
            thread: Rc::clone(thread),
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
    pub(super) fn end(&self) {
        self.over.set(true);
        self.taken.borrow_mut().clear();
    }

    pub(super) async fn follow(self: Rc<Self>) {
        let known = {
            let _permit = self.thread.starting.acquire().await;
            discovery::fetch_initial(&self).await
        };
        discovery::follow(self, known).await;
    }

    // ---- Requests

    pub(super) async fn take_requests(self: Rc<Self>) {
        let rate = self.thread.plan.requests_per_s;
        if rate <= 0.0 {
            return;
        }
        // It fails where the play has ended before its start.
        let _ = self.thread.open.clone().wait_for(|open| *open).await;
        let mut random = fastrand::Rng::with_seed(self.thread.plan.seed.rotate_left(32) ^ self.number as u64);
        loop {
            let gap = -(1.0 - random.f64()).ln() / rate;
            sleep(Duration::from_secs_f64(gap)).await;
            if self.revision.get().is_some() {
                let classes = self.thread.plan.settings.classes.len();
                self.take(random.usize(0..classes));
            }
        }
    }

    pub(super) fn take(self: &Rc<Self>, class: usize) {
        let id = RequestId(self.last_request.get() + 1);
        self.last_request.set(id.0);
        self.taken.borrow_mut().insert(id, Taken::default());
        let begun = Instant::now();
        let budget_ms = self.thread.plan.settings.classes[class].deadline_ms;
        let actions = self.decide(BalancerEvent::RequestArrived(ClientRequest::new(id, class, budget_ms)));
        let mut counters = lock(&self.thread.counters);
        counters.request.add(begun.elapsed());
        counters.requests += 1;
        drop(counters);
        self.carry_out(actions);
        self.forget_if_over(id);
    }

    pub(super) fn handle(self: &Rc<Self>, event: BalancerEvent) {
        let actions = self.decide(event);
        self.carry_out(actions);
    }

    pub(super) fn decide(&self, event: BalancerEvent) -> Vec<BalancerAction> {
        let mut actions = Vec::new();
        if !self.over.get() {
            self.balancer.borrow_mut().handle(self.thread.world.now_ms(), event, &mut actions);
        }
        actions
    }

    pub(super) fn carry_out(self: &Rc<Self>, actions: Vec<BalancerAction>) {
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
                BalancerAction::Reject { request, .. } => {
                    self.answer(request, |counters| counters.refused += 1)
                }
                BalancerAction::Fail { request } => self.answer(request, |counters| counters.failed += 1),
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

    pub(super) fn answer(&self, request: RequestId, count: impl FnOnce(&mut NodeCounters)) {
        if let Some(held) = self.taken.borrow_mut().get_mut(&request) {
            if !std::mem::replace(&mut held.answered, true) {
                count(&mut lock(&self.thread.counters));
            }
        }
        self.forget_if_over(request);
    }

    pub(super) fn forget_if_over(&self, request: RequestId) {
        let mut taken = self.taken.borrow_mut();
        if taken.get(&request).is_some_and(|held| held.answered && held.attempts.iter().all(Option::is_none))
        {
            taken.remove(&request);
        }
    }

    pub(super) fn send(self: &Rc<Self>, request: RequestId, server: ServerId) {
        let mut taken = self.taken.borrow_mut();
        let Some(held) = taken.get_mut(&request) else { return };
        let (stop, stopped) = oneshot::channel();
        let attempt = held.attempts.len();
        held.attempts.push(Some(stop));
        lock(&self.thread.counters).sends += 1;
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let (outcome, report) = tokio::select! {
                reply = node.thread.call(server, node.region, "/api") => reply,
                _ = stopped => (AttemptOutcome::Cancelled, None),
            };
            node.ended(request, attempt, begun.elapsed(), outcome, report);
        });
    }

    pub(super) fn ended(
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
            self.answer(request, |counters| counters.served += 1);
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

    pub(super) fn probe(self: &Rc<Self>, server: ServerId) {
        lock(&self.thread.counters).probes += 1;
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let (outcome, report) = node.thread.call(server, node.region, "/_load").await;
            node.handle(BalancerEvent::ProbeEnded { server, outcome, report });
        });
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
        self.thread.plan.agents[self.region]
    }

    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    fn drain_grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.thread.plan.settings.drain_grace_ms / 1000.0).unwrap_or_default()
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        if self.over.get() {
            return;
        }
        let before = self.revision.replace(Some(list.revision));
        let endpoint_update = endpoint_update(&list, &self.thread.zones);
        let (revision, complete) = (list.revision, list.complete);
        drop(list);
        let begun = Instant::now();
        let actions = self.decide(BalancerEvent::EndpointsUpdated(endpoint_update));
        // Only now do the decisions go by it.
        let now = Instant::now();
        let mut counters = lock(&self.thread.counters);
        counters.endpoint_update.add(now - begun);
        counters.lists += 1;
        counters.complete_lists += u64::from(complete);
        match before {
            None => counters.start.add(now - self.started),
            Some(before) if before < revision => {
                let catalogue = self.thread.world.catalogue();
                counters.advanced(now, before, revision, |version| catalogue.published(version));
            }
            Some(_) => {}
        }
        drop(counters);
        self.thread.known_versions.set(self.number, revision);
        self.carry_out(actions);
    }

    fn unavailable(self: &Rc<Self>) {
        lock(&self.thread.counters).failed_calls += 1;
        self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
    }
}
