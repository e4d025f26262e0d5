//! The node itself: it feeds the decisions what happens and carries out what they say.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::{
    wire, AttemptEnd, Availability, Balancer, BalancerAction, BalancerEvent, ClientRequest, DiscoveryMode,
    EndpointUpdate, RequestId, ServerEntry, ServerId,
};
use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::sync::{oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

use super::config::Config;
use super::discovery::{CallError, Subscriber};
use super::list::{List, Member, Phase, Unread};
use super::upstream::{self, Forward, Reply, Stage, Upstream};

/// Idle connections are looked through no more often than this.
const REAP_LEAST: Duration = Duration::from_millis(50);

/// So many changes of the list are worked through at once: what waits meanwhile waits for some milliseconds.
const PIECE: usize = 2000;

/// The one final answer to a request.
pub enum Answer {
    /// A server's body.
    Served(Bytes),
    /// Not taken: trying again is harmless, and best after this time.
    Refused(Option<f64>),
    /// Failed, perhaps with an effect.
    Failed,
}

/// Why a request is not taken.
pub enum NotTaken {
    /// As many are held as may be.
    Full,
    /// One of the same id is held.
    Known,
}

/// A request that is held: until it is answered and its attempts have ended.
struct Held {
    forward: Rc<Forward>,
    /// Taken by the final answer, or when the client leaves.
    answer: Option<oneshot::Sender<Answer>>,
    /// Each attempt, while it is out.
    attempts: Vec<Option<Out>>,
}

/// An attempt that is out.
struct Out {
    give_up: oneshot::Sender<()>,
    stage: Rc<Cell<Stage>>,
}

/// A server of the list, as it was last told.
struct Listed {
    entry: ServerEntry,
    address: SocketAddr,
    /// The number of the last list that named it.
    named_in: u64,
}

/// One node; all of its parts hold it.
pub struct Node {
    /// What it was told at its start.
    pub config: Config,
    /// Connections to servers.
    pub upstream: Upstream,
    /// Raised when the decisions want the changes of the list.
    subscribed: Notify,
    /// Raised when discovery is to be found elsewhere.
    moved: Notify,
    discovery: Cell<SocketAddr>,
    balancer: RefCell<Balancer>,
    requests: RefCell<HashMap<RequestId, Held>>,
    /// What clients call them. Guards against two requests that servers would take for one.
    names: RefCell<HashSet<HeaderValue>>,
    last_id: Cell<u64>,
    /// The servers that are listed, by what discovery calls them.
    listed: RefCell<HashMap<String, Listed>>,
    last_server: Cell<usize>,
    /// Lists that have begun to come.
    lists: Cell<u64>,
    revision: Cell<Option<u64>>,
    /// Whether the log has said why no list comes.
    failure_told: Cell<bool>,
    /// This node's place where all nodes want the same at once.
    place_in_spread: f64,
    started: Instant,
    started_unix_ms: f64,
}

impl Node {
    /// A node that has heard the list that it was given.
    pub fn start(mut config: Config) -> Result<Rc<Self>, String> {
        let balancer =
            Balancer::new(config.settings.clone(), config.seed).map_err(|e| format!("`settings`: {e}"))?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| format!("the clock: {e}"))?;
        let unread = Unread::default();
        let none = List { revision: 0, complete: true, entries: 0, members: Vec::new(), unread };
        let known = std::mem::replace(&mut config.known, none);
        let node = Rc::new(Self {
            upstream: Upstream::new(&config),
            discovery: Cell::new(config.discovery),
            place_in_spread: fastrand::Rng::with_seed(!config.seed).f64(),
            config,
            subscribed: Notify::new(),
            moved: Notify::new(),
            balancer: RefCell::new(balancer),
            requests: RefCell::default(),
            names: RefCell::default(),
            last_id: Cell::new(0),
            listed: RefCell::default(),
            last_server: Cell::new(0),
            lists: Cell::new(0),
            // The version of a list that was held before means nothing to a discovery that has moved since.
            revision: Cell::new(None),
            failure_told: Cell::new(false),
            started: Instant::now(),
            started_unix_ms: unix.as_secs_f64() * 1000.0,
        });
        let entries = node.changes(known);
        node.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::CachedSnapshot(entries)));
        if node.config.settings.discovery == DiscoveryMode::Push {
            // The decisions expect such lists unasked; on sockets they come to a watch as well.
            node.subscribed.notify_one();
        }
        Ok(node)
    }

    /// Unix time in milliseconds that never runs backwards: starts of servers are told in it.
    fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn handle(self: &Rc<Self>, event: BalancerEvent) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Self>, action: BalancerAction) {
        match action {
            BalancerAction::Send { request, server, within_ms } => {
                let mut requests = self.requests.borrow_mut();
                let Some(held) = requests.get_mut(&request) else { return };
                let (give_up, given_up) = oneshot::channel();
                let attempt = held.attempts.len();
                let stage = Rc::new(Cell::new(Stage::Unsent));
                held.attempts.push(Some(Out { give_up, stage: Rc::clone(&stage) }));
                let within = within_ms.map(|ms| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default());
                let send_by = within.map(|within| Instant::now() + within);
                let (node, forward) = (Rc::clone(self), Rc::clone(&held.forward));
                tokio::task::spawn_local(async move {
                    let begun = Instant::now();
                    let reply =
                        upstream::attempt(&node.upstream, server, &forward, send_by, &stage, given_up).await;
                    node.ended(request, attempt, begun.elapsed(), reply);
                });
            }
            BalancerAction::Probe { server } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    let reply = upstream::probe(&node.upstream, server).await;
                    node.handle(BalancerEvent::ProbeEnded {
                        server,
                        outcome: reply.outcome,
                        report: reply.report,
                    });
                });
            }
            BalancerAction::Cancel { request, attempt } => {
                let mut requests = self.requests.borrow_mut();
                let out = requests.get_mut(&request).and_then(|held| held.attempts.get_mut(attempt));
                if let Some(out) = out.and_then(Option::take) {
                    // It fails where the attempt has just ended by itself.
                    let _ = out.give_up.send(());
                }
            }
            BalancerAction::Reject { request, retry_after_ms } => {
                self.answer(request, Answer::Refused(retry_after_ms));
            }
            BalancerAction::Fail { request } => self.answer(request, Answer::Failed),
            BalancerAction::Subscribe => self.subscribed.notify_one(),
            BalancerAction::SetTimer { timer, after_ms } => {
                let node = Rc::clone(self);
                let after = Duration::try_from_secs_f64(after_ms / 1000.0).unwrap_or_default();
                tokio::task::spawn_local(async move {
                    sleep(after).await;
                    node.handle(BalancerEvent::TimerFired(timer));
                });
            }
            BalancerAction::Log(text) => self.note(&text),
        }
    }

    fn note(&self, text: &str) {
        // A log that cannot be written must not end the node, as `eprintln` would.
        let _ = writeln!(io::stderr(), "{}: {}", self.config.name, wire::one_line(text));
    }

    // ---- The configuration

    /// Reads the configuration again, for where discovery is now; all else holds from the next start on.
    /// One that cannot be read changes nothing.
    pub async fn reload(&self) {
        match tokio::task::spawn_blocking(Config::from_env).await {
            Ok(Ok(config)) if config.discovery != self.discovery.get() => {
                self.discovery.set(config.discovery);
                // Its versions need not be those of the old one.
                self.revision.set(None);
                self.moved.notify_one();
                self.note(&format!("discovery is now at {}", config.discovery));
            }
            Ok(Ok(_)) => {}
            Ok(Err(why)) => self.note(&format!("the configuration stays as it was: {why}")),
            Err(_) => self.note("the configuration stays as it was: reading it failed"),
        }
    }

    // ---- Requests

    /// Takes a request, where that can be. The answer comes through `answer`.
    pub fn take(
        self: &Rc<Self>,
        forward: Forward,
        request: ClientRequest,
        answer: oneshot::Sender<Answer>,
    ) -> Result<RequestId, NotTaken> {
        if self.requests.borrow().len() >= self.config.most_held {
            return Err(NotTaken::Full);
        }
        if !self.names.borrow_mut().insert(forward.name().clone()) {
            return Err(NotTaken::Known);
        }
        self.last_id.set(self.last_id.get() + 1);
        let id = RequestId(self.last_id.get());
        let held = Held { forward: Rc::new(forward), answer: Some(answer), attempts: Vec::new() };
        self.requests.borrow_mut().insert(id, held);
        self.handle(BalancerEvent::RequestArrived(ClientRequest { id, ..request }));
        Ok(id)
    }

    /// The client has left, or its time is up: no answer is owed any more. What has not been sent yet never is,
    /// also where the decisions may not cancel an attempt: that concerns servers, and they know nothing of it.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        let held = requests.get_mut(&id);
        let owed = held.and_then(|held| held.answer.take().map(|_| &mut held.attempts));
        let was_owed = owed.is_some();
        for attempt in owed.into_iter().flatten() {
            if let Some(out) = attempt.take_if(|out| out.stage.get() == Stage::Unsent) {
                // Its dial may come up in this very moment.
                out.stage.set(Stage::Unwanted);
                // It fails where the attempt has just ended by itself.
                let _ = out.give_up.send(());
            }
        }
        drop(requests);
        if was_owed {
            self.handle(BalancerEvent::ClientDisconnected(id));
            self.forget_if_over(id);
        }
    }

    /// The node ends before the time of what it still holds: each client gets its final answer now.
    pub fn fail_all(self: &Rc<Self>) {
        let owed = |(id, held): (&RequestId, &Held)| held.answer.is_some().then_some(*id);
        let mut owed: Vec<RequestId> = self.requests.borrow().iter().filter_map(owed).collect();
        owed.sort_unstable();
        for id in owed {
            self.answer(id, Answer::Failed);
            self.handle(BalancerEvent::ClientDisconnected(id));
        }
    }

    /// Requests that still wait for something.
    pub fn held(&self) -> usize {
        self.requests.borrow().len()
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        let owed = self.requests.borrow_mut().get_mut(&id).and_then(|held| held.answer.take());
        if let Some(owed) = owed {
            // It fails where the client has just left.
            let _ = owed.send(answer);
        }
        self.forget_if_over(id);
    }

    fn ended(self: &Rc<Self>, id: RequestId, attempt: usize, elapsed: Duration, reply: Reply) {
        if let Some(held) = self.requests.borrow_mut().get_mut(&id) {
            held.attempts[attempt] = None;
        }
        if let Some(body) = reply.body {
            self.answer(id, Answer::Served(body));
        }
        let complete = self.requests.borrow().get(&id).is_none_or(|held| held.answer.is_none());
        self.handle(BalancerEvent::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1000.0,
            outcome: reply.outcome,
            complete,
            report: reply.report,
        }));
        self.forget_if_over(id);
    }

    fn forget_if_over(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        let over = |held: &Held| held.answer.is_none() && held.attempts.iter().all(Option::is_none);
        if requests.get(&id).is_some_and(over) {
            let held = requests.remove(&id).expect("found");
            self.names.borrow_mut().remove(held.forward.name());
        }
    }

    // ---- The list of servers

    /// What an entry says of a server of this number.
    fn entry(&self, member: &Member, server: ServerId, key: u64) -> ServerEntry {
        let place =
            |names: &[String], name: &String| names.iter().position(|n| n == name).unwrap_or(names.len());
        ServerEntry {
            server,
            availability: match member.phase {
                Phase::Active => Availability::Ready,
                Phase::Leaving => Availability::Draining,
                Phase::Left => Availability::Removed,
            },
            started_at: Some(member.up_since_ms).filter(|at| *at > 0.0),
            cell: member.cell,
            zone: place(&self.config.names.zones, &member.locality),
            kind: place(&self.config.names.kinds, &member.flavor),
            weight: member.size,
            key,
        }
    }

    /// What a list tells that is new: the work of what follows goes by what has changed, also where it is whole.
    fn changes(&self, list: List) -> Vec<ServerEntry> {
        let mut changes = self.named(list.members);
        changes.extend(self.unread(&list.unread));
        if list.complete {
            changes.extend(self.unnamed(usize::MAX));
        }
        changes
    }

    /// Servers that the list tells of, numbered and their addresses noted.
    fn named(&self, members: Vec<Member>) -> Vec<ServerEntry> {
        let mut listed = self.listed.borrow_mut();
        let mut changes = Vec::with_capacity(members.len());
        for member in members {
            // Numbers are not used again: what was sent to a server that has gone may end late.
            let next = ServerId(self.last_server.get() + 1);
            let known = listed.get(&member.id).map(|known| known.entry.server);
            let entry = self.entry(&member, known.unwrap_or(next), wire::key(&member.id));
            if entry.availability == Availability::Removed {
                let gone = listed.remove(&member.id);
                changes.extend(gone.map(|Listed { entry, .. }| self.gone(&entry)));
                continue;
            }
            self.last_server.set(self.last_server.get().max(entry.server.0));
            let (address, ready) = (member.host_port, entry.availability == Availability::Ready);
            self.upstream.list(entry.server, address, entry.started_at, ready);
            let named_in = self.lists.get();
            listed.insert(member.id, Listed { entry: entry.clone(), address, named_in });
            changes.push(entry);
        }
        changes
    }

    /// Servers whose entries cannot be read. What each is ready for now is not known: it finishes what it has, and
    /// gets nothing new.
    fn unread(&self, unread: &Unread) -> Vec<ServerEntry> {
        let mut listed = self.listed.borrow_mut();
        let mut changes = Vec::new();
        for id in &unread.ids {
            let Some(known) = listed.get_mut(id) else { continue };
            known.named_in = self.lists.get();
            if known.entry.availability == Availability::Ready {
                known.entry.availability = Availability::Draining;
                self.upstream.list(known.entry.server, known.address, known.entry.started_at, false);
                changes.push(known.entry.clone());
            }
        }
        changes
    }

    /// Servers that a whole list has not named, at most so many: they are gone.
    fn unnamed(&self, most: usize) -> Vec<ServerEntry> {
        let mut changes = Vec::new();
        self.listed.borrow_mut().retain(|_, server| {
            let stays = server.named_in == self.lists.get() || changes.len() >= most;
            if !stays {
                changes.push(self.gone(&server.entry));
            }
            stays
        });
        changes
    }

    fn gone(&self, entry: &ServerEntry) -> ServerEntry {
        self.upstream.forget(entry.server);
        ServerEntry { availability: Availability::Removed, ..entry.clone() }
    }

    /// Closes connections to servers before the servers do, for as long as the node runs.
    pub async fn reap(self: Rc<Self>) {
        loop {
            sleep((self.config.conn_idle / 20).max(REAP_LEAST)).await;
            self.upstream.close_idle();
        }
    }
}

impl Subscriber for Node {
    fn wanted(&self) -> &Notify {
        &self.subscribed
    }

    fn moved(&self) -> &Notify {
        &self.moved
    }

    fn discovery(&self) -> SocketAddr {
        self.discovery.get()
    }

    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    fn drain_grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.config.settings.drain_grace_ms / 1000.0).unwrap_or_default()
    }

    async fn take(self: &Rc<Self>, mut list: List) {
        let tell = |changes: Vec<_>| {
            if !changes.is_empty() {
                self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(changes)));
            }
        };
        let mut members = std::mem::take(&mut list.members).into_iter();
        while members.len() > PIECE {
            tell(self.named(members.by_ref().take(PIECE).collect()));
            yield_now().await;
        }
        list.members = members.collect();
        if list.complete {
            tell(self.named(std::mem::take(&mut list.members)));
            tell(self.unread(&list.unread));
            loop {
                let gone = self.unnamed(PIECE);
                if gone.len() < PIECE {
                    break tell(gone);
                }
                tell(gone);
                yield_now().await;
            }
        }
        self.listed(list);
    }

    fn listed(self: &Rc<Self>, list: List) {
        self.failure_told.set(false);
        // A change of a server that it does not name may be of any: the whole list says which are left.
        let told = list.complete || list.unread.nameless == 0;
        self.revision.set(told.then_some(list.revision));
        if let Some(why) = &list.unread.first {
            let (count, all) = (list.unread.count(), list.entries);
            self.note(&format!(
                "{count} of {all} entries of the list are left out, the first for this: {why}"
            ));
        }
        let changes = self.changes(list);
        self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(changes)));
    }

    fn list_failed(self: &Rc<Self>) {
        self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
    }

    fn list_most(&self) -> usize {
        self.config.list_most
    }

    fn list_begins(&self) {
        self.lists.set(self.lists.get() + 1);
    }

    fn is_held(&self, member: &Member) -> bool {
        let mut listed = self.listed.borrow_mut();
        let Some(held) = listed.get_mut(&member.id) else { return false };
        held.named_in = self.lists.get();
        held.address == member.host_port
            && held.entry == self.entry(member, held.entry.server, held.entry.key)
    }

    fn place_in_spread(&self) -> f64 {
        self.place_in_spread
    }

    fn call_failed(&self, why: &CallError) {
        if !self.failure_told.replace(true) {
            self.note(&format!("a call for the list failed: {why}"));
        }
    }
}
