//! State that all threads of a run share: the catalogue, outages of discovery, partitions, and counters.
//!
//! The steps of a scenario change this state, and it determines how discovery and the servers respond.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::catalogue::{Catalogue, Reachability};
use crate::traffic::Traffic;

/// Backlog of a listener. It is large because all nodes of a region may connect at the same time.
const BACKLOG: i32 = 4096;

/// The faults that affect a region.
struct Region {
    /// Whether the discovery agent of the region responds.
    responsive: watch::Sender<bool>,
    /// Whether the region is partitioned from all others.
    partitioned: AtomicBool,
}

/// The state of the emulated fleet, shared by all threads of a run.
pub struct World {
    catalogue: Mutex<Catalogue>,
    /// The newest version of the catalogue, which long polls wait on.
    newest: watch::Sender<u64>,
    regions: Vec<Region>,
    /// Start of the emulation by the monotonic clock. [`Self::now_ms`] adds the time elapsed since then to
    /// `started_unix_ms`.
    started: Instant,
    started_unix_ms: f64,
    /// Traffic of the discovery agents.
    pub discovery: Arc<Traffic>,
    /// Traffic of the servers.
    pub servers: Arc<Traffic>,
    /// Counts of the responses of discovery and of the requests to servers.
    pub counts: ResponseCounts,
}

/// Counts of the responses of discovery and of the requests to servers, by kind. The requests to servers
/// include load probes.
#[derive(Debug, Default)]
pub struct ResponseCounts {
    /// Number of complete lists that discovery sent.
    pub complete_lists: AtomicU64,
    /// Number of responses of discovery that contain changes.
    pub change_answers: AtomicU64,
    /// Number of responses of discovery to long polls that ended without a change.
    pub unchanged_answers: AtomicU64,
    /// Number of requests to servers whose processes had ended.
    pub sends_to_left: AtomicU64,
    /// Number of requests to draining servers.
    pub sends_to_draining: AtomicU64,
    /// Number of requests to unresponsive or partitioned servers.
    pub sends_to_unresponsive: AtomicU64,
}

/// Values of [`ResponseCounts`] at one point in time, or the difference of two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ResponseTotals {
    /// Number of complete lists that discovery sent.
    #[serde(rename = "whole_lists")]
    pub complete_lists: u64,
    /// Number of responses of discovery that contain changes.
    pub change_answers: u64,
    /// Number of responses of discovery to long polls that ended without a change.
    #[serde(rename = "no_news_answers")]
    pub unchanged_answers: u64,
    /// Number of requests to servers whose processes had ended.
    pub sends_to_left: u64,
    /// Number of requests to draining servers.
    pub sends_to_draining: u64,
    /// Number of requests to unresponsive or partitioned servers.
    #[serde(rename = "sends_to_silent")]
    pub sends_to_unresponsive: u64,
}

impl ResponseCounts {
    /// Returns the current values.
    #[must_use]
    pub fn totals(&self) -> ResponseTotals {
        ResponseTotals {
            complete_lists: self.complete_lists.load(Relaxed),
            change_answers: self.change_answers.load(Relaxed),
            unchanged_answers: self.unchanged_answers.load(Relaxed),
            sends_to_left: self.sends_to_left.load(Relaxed),
            sends_to_draining: self.sends_to_draining.load(Relaxed),
            sends_to_unresponsive: self.sends_to_unresponsive.load(Relaxed),
        }
    }
}

impl World {
    /// Creates the state at the start of a run, without any faults.
    #[must_use]
    pub fn new(catalogue: Catalogue) -> Self {
        let region = |_| Region { responsive: watch::Sender::new(true), partitioned: AtomicBool::new(false) };
        Self {
            newest: watch::Sender::new(catalogue.revision()),
            regions: (0..catalogue.size().regions).map(region).collect(),
            catalogue: Mutex::new(catalogue),
            started: Instant::now(),
            // If the clock is before 1970, servers merely appear to have started long ago.
            started_unix_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |unix| unix.as_secs_f64() * 1000.0),
            discovery: Arc::default(),
            servers: Arc::default(),
            counts: ResponseCounts::default(),
        }
    }

    /// Returns the Unix time in milliseconds. It is monotonic: adjustments of the system clock do not affect
    /// it.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Locks the catalogue. Changes of the list must be made with [`World::change`], which wakes the long
    /// polls.
    pub fn catalogue(&self) -> MutexGuard<'_, Catalogue> {
        self.catalogue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the catalogue and wakes the long polls.
    pub fn change(&self, change: impl FnOnce(&mut Catalogue)) {
        let mut catalogue = self.catalogue();
        change(&mut catalogue);
        let revision = catalogue.revision();
        drop(catalogue);
        self.newest.send_replace(revision);
    }

    /// Subscribes to the newest version of the catalogue.
    #[must_use]
    pub fn newest(&self) -> watch::Receiver<u64> {
        self.newest.subscribe()
    }

    /// Sets whether the discovery agent of a region responds.
    pub fn set_discovery_responsive(&self, region: usize, responsive: bool) {
        self.regions[region].responsive.send_replace(responsive);
    }

    /// Waits until the discovery agent of a region responds.
    pub async fn wait_until_responsive(&self, region: usize) {
        // This cannot fail: the sender exists as long as `self`.
        let _ = self.regions[region].responsive.subscribe().wait_for(|responsive| *responsive).await;
    }

    /// Begins or ends a partition between a region and all others. During the partition the discovery agent
    /// of the region is unresponsive.
    pub fn set_partitioned(&self, region: usize, partitioned: bool) {
        self.regions[region].partitioned.store(partitioned, Relaxed);
        self.set_discovery_responsive(region, !partitioned);
    }

    /// Returns whether and how a server responds to a request of a node in region `from`.
    #[must_use]
    pub fn reachability(&self, from: usize, number: usize) -> Reachability {
        let mut catalogue = self.catalogue();
        let Some(region) = catalogue.region(number) else { return Reachability::Terminated };
        let is_partitioned =
            |region: usize| self.regions.get(region).is_some_and(|region| region.partitioned.load(Relaxed));
        if from != region && (is_partitioned(from) || is_partitioned(region)) {
            return Reachability::Unresponsive;
        }
        catalogue.server(number).map_or(Reachability::Terminated, |server| server.reachability)
    }
}

/// Creates a non-blocking listener on a loopback address. The system selects the port.
///
/// # Errors
///
/// Returns the error of the socket call that failed.
pub fn listen(address: std::net::Ipv4Addr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::from((address, 0)).into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Accepts connections and passes each to `handle_connection`. Runs until the future is dropped.
pub async fn accept(
    listener: std::net::TcpListener,
    mut handle_connection: impl FnMut(tokio::net::TcpStream),
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            return tracing::error!(%error, "cannot accept connections: the listener cannot be registered")
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle_connection(stream),
            // Possible causes are a lack of file descriptors, or a client that has disconnected already.
            // Later connections may succeed.
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection; retrying in 10 ms");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}
