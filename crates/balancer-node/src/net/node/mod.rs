//! The node: passes events to the decision logic and executes the actions that it returns.

mod endpoints;
mod requests;
mod subscriber;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, SystemTimeError, UNIX_EPOCH};

use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, Instant};

use self::endpoints::ServerDirectory;
use self::requests::RequestTable;
use super::config::Config;
use super::list::ServerList;
use super::upstream::{self, ForwardedRequest, ServerReply, Upstream};
use crate::{
    wire, AttemptEnd, Balancer, BalancerAction, BalancerEvent, ClientRequest, DiscoveryMode, EndpointUpdate,
    RequestId, ServerId, SettingsError,
};

pub use self::requests::{AdmissionError, FinalAnswer};

/// Shortest interval between two checks for idle connections.
const MIN_IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of checks for idle connections within their idle timeout.
const IDLE_CHECKS_PER_TIMEOUT: u32 = 20;

/// Reason why a node cannot start.
#[derive(Debug)]
pub enum NodeError {
    /// The settings of the decision logic are out of range.
    Settings(SettingsError),
    /// The clock of the machine shows a time before 1970.
    Clock(SystemTimeError),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => write!(f, "`settings`: {error}"),
            Self::Clock(error) => write!(f, "the system clock is before 1970: {error}"),
        }
    }
}

impl std::error::Error for NodeError {}

/// A clock of Unix time that never runs backwards. The list gives the starts of servers in Unix time, so the
/// decisions use it too.
struct Clock {
    started: Instant,
    started_unix_ms: f64,
}

impl Clock {
    fn start() -> Result<Self, SystemTimeError> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH)?;
        Ok(Self { started: Instant::now(), started_unix_ms: unix.as_secs_f64() * 1000.0 })
    }

    /// Returns the Unix time in milliseconds.
    fn now_ms(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }
}

/// The state of a node, which all of its tasks share.
pub struct Node {
    /// Configuration that was read at the start, without the initial server list. [`Node::reload`] does not
    /// change it.
    pub config: Config,
    upstream: Upstream,
    balancer: RefCell<Balancer>,
    requests: RequestTable,
    servers: ServerDirectory,
    /// Version of the list in use; `None` if the list did not come from the present discovery, or if a change
    /// in it could not be applied because its entry has no id.
    revision: Cell<Option<u64>>,
    /// Whether a failure has been logged since the last list was applied: repeated failures are logged once.
    failure_logged: Cell<bool>,
    /// Notified when the decision logic requests an update of the list.
    update_requested: Notify,
    /// Present address of discovery; [`Node::reload`] may change it.
    discovery: Cell<SocketAddr>,
    /// Notified when the address of discovery has changed.
    discovery_moved: Notify,
    /// Delay of the first call after discovery has moved, as a fraction (0 to 1) of the time over which nodes
    /// spread these calls.
    spread_position: f64,
    clock: Clock,
}

impl Node {
    /// Creates a node that uses the server list of its configuration.
    ///
    /// # Errors
    ///
    /// Fails if the settings are out of range, or if the machine's clock is before 1970.
    pub fn start(mut config: Config) -> Result<Rc<Self>, NodeError> {
        let balancer = Balancer::new(config.settings.clone(), config.seed).map_err(NodeError::Settings)?;
        let initial_list = std::mem::replace(&mut config.initial_list, ServerList::empty());
        let node = Rc::new(Self {
            upstream: Upstream::new(&config),
            balancer: RefCell::new(balancer),
            requests: RequestTable::default(),
            servers: ServerDirectory::default(),
            // The configured list may come from a former discovery, whose versions the present one does not
            // share.
            revision: Cell::new(None),
            failure_logged: Cell::new(false),
            update_requested: Notify::new(),
            discovery: Cell::new(config.discovery),
            discovery_moved: Notify::new(),
            spread_position: fastrand::Rng::with_seed(!config.seed).f64(),
            clock: Clock::start().map_err(NodeError::Clock)?,
            config,
        });
        let entries = node.changes(initial_list);
        node.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::CachedSnapshot(entries)));
        if node.config.settings.discovery == DiscoveryMode::Push {
            // In this mode the decision logic expects lists without subscribing, but on sockets lists arrive
            // by long polls only.
            node.update_requested.notify_one();
        }
        Ok(node)
    }

    fn handle(self: &Rc<Self>, event: BalancerEvent) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.clock.now_ms(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: BalancerAction) {
        match action {
            BalancerAction::Send { request, server, within_ms } => self.send(request, server, within_ms),
            BalancerAction::Probe { server } => self.probe(server),
            BalancerAction::Cancel { request, attempt } => self.requests.cancel(request, attempt),
            BalancerAction::Reject { request, retry_after_ms } => {
                self.requests.answer(request, FinalAnswer::Rejected(retry_after_ms));
            }
            BalancerAction::Fail { request } => self.requests.answer(request, FinalAnswer::Failed),
            BalancerAction::Subscribe => self.update_requested.notify_one(),
            BalancerAction::SetTimer { timer, after_ms } => self.set_timer(timer, after_ms),
            BalancerAction::Log(line) => self.log(&line),
        }
    }

    fn send(self: &Rc<Self>, request: RequestId, server: ServerId, within_ms: Option<f64>) {
        let Some(attempt) = self.requests.start_attempt(request) else { return };
        let send_by = within_ms.map(|ms| Instant::now() + duration(ms));
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let started = Instant::now();
            let (forward, state) = (&attempt.forward, &attempt.state);
            let cancelled = attempt.cancelled;
            let reply = upstream::attempt(&node.upstream, server, forward, send_by, state, cancelled).await;
            node.attempt_ended(request, attempt.index, started.elapsed(), reply);
        });
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let ServerReply { outcome, report, .. } = upstream::probe(&node.upstream, server).await;
            node.handle(BalancerEvent::ProbeEnded { server, outcome, report });
        });
    }

    fn set_timer(self: &Rc<Self>, timer: u64, after_ms: f64) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(duration(after_ms)).await;
            node.handle(BalancerEvent::TimerFired(timer));
        });
    }

    fn log(&self, line: &str) {
        // `eprintln` would panic if the log cannot be written, which must not stop the node.
        let _ = writeln!(io::stderr(), "{}: {}", self.config.name, wire::one_line(line));
    }

    /// Reads the configuration again and applies the address of discovery. All other changes take effect at
    /// the next start. A configuration that cannot be read or is invalid is logged and changes nothing.
    pub async fn reload(&self) {
        match tokio::task::spawn_blocking(Config::from_env).await {
            Ok(Ok(config)) if config.discovery != self.discovery.get() => {
                self.discovery.set(config.discovery);
                // The new discovery does not share the versions of the former one.
                self.revision.set(None);
                self.discovery_moved.notify_one();
                self.log(&format!("the address of discovery has changed to {}", config.discovery));
            }
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                self.log(&format!(
                    "the new configuration cannot be used, the present one stays in force: {error}"
                ));
            }
            Err(_) => self.log("the present configuration stays in force: the task that reads it has failed"),
        }
    }

    /// Admits a client's request and passes it to the decision logic. Its final answer is sent through
    /// `answer`.
    ///
    /// # Errors
    ///
    /// Fails if too many requests are pending, or if one with the same client id is pending.
    pub fn admit(
        self: &Rc<Self>,
        forward: ForwardedRequest,
        request: ClientRequest,
        answer: oneshot::Sender<FinalAnswer>,
    ) -> Result<RequestId, AdmissionError> {
        let id = self.requests.admit(forward, answer, self.config.max_pending)?;
        self.handle(BalancerEvent::RequestArrived(ClientRequest { id, ..request }));
        Ok(id)
    }

    /// Abandons a request whose client has disconnected or whose deadline has passed; has no effect after its
    /// final answer. An attempt that has not been sent yet is cancelled even if the settings forbid
    /// cancelling attempts: that rule applies to attempts that have been sent.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        if self.requests.abandon(id) {
            self.handle(BalancerEvent::ClientDisconnected(id));
            self.requests.remove_if_finished(id);
        }
    }

    /// Fails all requests that have no final answer yet. Called shortly before the node exits.
    pub fn fail_all(self: &Rc<Self>) {
        for id in self.requests.unanswered() {
            self.requests.answer(id, FinalAnswer::Failed);
            self.handle(BalancerEvent::ClientDisconnected(id));
        }
    }

    /// Returns the number of requests that wait for their final answer or for the end of an attempt.
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: usize, elapsed: Duration, reply: ServerReply) {
        self.requests.attempt_ended(id, attempt);
        if let Some(body) = reply.body {
            self.requests.answer(id, FinalAnswer::Served(body));
        }
        self.handle(BalancerEvent::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1000.0,
            outcome: reply.outcome,
            complete: self.requests.is_answered(id),
            report: reply.report,
        }));
        self.requests.remove_if_finished(id);
    }

    /// Closes idle connections before the servers close them. Never completes.
    pub async fn close_idle_connections(self: Rc<Self>) {
        let interval = (self.config.idle_timeout / IDLE_CHECKS_PER_TIMEOUT).max(MIN_IDLE_CHECK_INTERVAL);
        loop {
            sleep(interval).await;
            self.upstream.close_idle();
        }
    }
}

/// Converts a time in milliseconds. A negative or too large time becomes zero.
fn duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}
