//! State that the emulated nodes of one thread share: connections, counters and the configuration.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balancer::net::load_report::parse_load_report;
use balancer::{AttemptOutcome, LoadReport, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;

use super::{lock, NodeConfig, NodeVersions, SharedCounters};
use crate::catalogue;
use crate::world::World;

/// Interval at which the wake-up delay of a thread is measured.
pub(super) const WAKE_UP_DELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum length of the body of a server's response. The attempt fails if the body is longer.
pub(super) const MAX_RESPONSE_BYTES: usize = 1 << 10;

/// Maximum number of idle connections to one rack, for all nodes of a thread together.
pub(super) const MAX_IDLE_CONNECTIONS: usize = 32;

/// State that the nodes of one thread share.
pub(super) struct NodeThread {
    pub(super) config: Arc<NodeConfig>,
    pub(super) world: Arc<World>,
    /// Names of all zones, by index.
    pub(super) zones: Vec<String>,
    pub(super) counters: SharedCounters,
    /// Idle connections, by the address of a rack.
    pub(super) idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Empty<Bytes>>>>>,
    /// Becomes true when the clients start to send requests, and stays true.
    pub(super) clients_started: watch::Receiver<bool>,
    /// The versions that the nodes have. The run reads them to determine whether all nodes have the newest
    /// one.
    pub(super) node_versions: Arc<NodeVersions>,
    /// Limits concurrent reads of first lists to [`MAX_CONCURRENT_STARTS`](super::MAX_CONCURRENT_STARTS).
    pub(super) start_permits: Semaphore,
}

impl NodeThread {
    /// Records periodically by how much the event loop wakes up after the due time of a timer.
    pub(super) async fn measure_wake_up_delay(self: Rc<Self>) {
        loop {
            let due = Instant::now() + WAKE_UP_DELAY_INTERVAL;
            tokio::time::sleep_until(due.into()).await;
            lock(&self.counters).wake_up_delay.add(due.elapsed());
        }
    }

    /// Returns the timeout of an attempt: the longest deadline of all request classes.
    pub(super) fn attempt_timeout(&self) -> Duration {
        let deadline_ms =
            self.config.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        Duration::try_from_secs_f64(deadline_ms / 1000.0).unwrap_or_default()
    }

    /// Sends a request to a server and reads its response, limited by the timeout of an attempt.
    pub(super) async fn call(
        &self,
        server: ServerId,
        region: usize,
        path: &str,
    ) -> (AttemptOutcome, Option<LoadReport>) {
        let call = self.exchange(server, region, path);
        timeout(self.attempt_timeout(), call).await.unwrap_or((AttemptOutcome::TimedOut, None))
    }

    /// Sends a request to a server and reads its response, without a timeout.
    pub(super) async fn exchange(
        &self,
        server: ServerId,
        region: usize,
        path: &str,
    ) -> (AttemptOutcome, Option<LoadReport>) {
        let Some(address) = self.world.catalogue().address(server.0) else {
            return (AttemptOutcome::Unreachable, None);
        };
        let Some(mut sender) = self.idle_or_new_connection(address).await else {
            return (AttemptOutcome::Unreachable, None);
        };
        let request = hyper::Request::get(path).header("Host", catalogue::server_name(server.0));
        let request = request.header("X-From", region).body(Empty::new()).expect("the request is valid");
        let Ok(response) = sender.send_request(request).await else { return (AttemptOutcome::Reset, None) };
        let (head, body) = response.into_parts();
        let complete = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.is_ok();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address).or_default();
        if complete && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
        let report =
            head.headers.get("x-load").and_then(|load| load.to_str().ok()).and_then(parse_load_report);
        let outcome = match head.status {
            _ if !complete => AttemptOutcome::Reset,
            StatusCode::OK => AttemptOutcome::Served,
            // The emulated servers send this status where real ones would refuse the connection.
            StatusCode::GONE => AttemptOutcome::Unreachable,
            _ => AttemptOutcome::Error,
        };
        (outcome, report)
    }

    /// Returns an idle connection that is still open, or a new one; `None` if the connection attempt fails.
    pub(super) async fn idle_or_new_connection(
        &self,
        address: SocketAddr,
    ) -> Option<SendRequest<Empty<Bytes>>> {
        loop {
            let sender = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            let Some(mut sender) = sender else { break };
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(sender)
    }
}
