//! State that all threads of a run share: the catalogue, outages of discovery, partitions, and counters.
//!
//! The steps of a scenario change it; discovery and the servers answer by it.

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

/// Connections that may wait to be accepted: all nodes of a region may connect at once.
const BACKLOG: i32 = 4096;

/// The state of a region.
struct Region {
    /// Whether its discovery agent responds.
    responsive: watch::Sender<bool>,
    /// Whether it is partitioned from the other regions.
    partitioned: AtomicBool,
}

/// The emulated fleet's state, shared by all threads of a run.
pub struct World {
    catalogue: Mutex<Catalogue>,
    /// The newest version of the catalogue, for long polls.
    newest: watch::Sender<u64>,
    regions: Vec<Region>,
    started: Instant,
    started_unix_ms: f64,
    /// Traffic of the discovery agents.
    pub discovery: Arc<Traffic>,
    /// Traffic of the servers.
    pub servers: Arc<Traffic>,
    /// Counts of responses.
    pub counts: ResponseCounts,
}

/// Counts of the responses of discovery and of the requests to servers, by kind.
#[derive(Debug, Default)]
pub struct ResponseCounts {
    /// Complete lists sent.
    pub complete_lists: AtomicU64,
    /// Responses of discovery with changes.
    pub change_answers: AtomicU64,
    /// Responses of discovery without a change.
    pub unchanged_answers: AtomicU64,
    /// Requests to servers that had left.
    pub sends_to_left: AtomicU64,
    /// Requests to draining servers.
    pub sends_to_draining: AtomicU64,
    /// Requests to unresponsive or partitioned servers.
    pub sends_to_unresponsive: AtomicU64,
}

/// A reading of [`ResponseCounts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ResponseTotals {
    /// Complete lists sent.
    #[serde(rename = "whole_lists")]
    pub complete_lists: u64,
    /// Responses of discovery with changes.
    pub change_answers: u64,
    /// Responses of discovery without a change.
    #[serde(rename = "no_news_answers")]
    pub unchanged_answers: u64,
    /// Requests to servers that had left.
    pub sends_to_left: u64,
    /// Requests to draining servers.
    pub sends_to_draining: u64,
    /// Requests to unresponsive or partitioned servers.
    #[serde(rename = "sends_to_silent")]
    pub sends_to_unresponsive: u64,
}

impl ResponseCounts {
    /// The counts so far.
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
    /// A fleet without faults.
    #[must_use]
    pub fn new(catalogue: Catalogue) -> Self {
        let region = |_| Region { responsive: watch::Sender::new(true), partitioned: AtomicBool::new(false) };
        Self {
            newest: watch::Sender::new(catalogue.revision()),
            regions: (0..catalogue.size().regions).map(region).collect(),
            catalogue: Mutex::new(catalogue),
            started: Instant::now(),
            // A clock before 1970 only makes servers look as if they had started long ago.
            started_unix_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |unix| unix.as_secs_f64() * 1000.0),
            discovery: Arc::default(),
            servers: Arc::default(),
            counts: ResponseCounts::default(),
        }
    }

    /// Unix time in milliseconds that never runs backwards.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The catalogue, locked. Long polls learn of its changes only through [`World::change`].
    pub fn catalogue(&self) -> MutexGuard<'_, Catalogue> {
        self.catalogue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the catalogue, and wakes the long polls.
    pub fn change(&self, change: impl FnOnce(&mut Catalogue)) {
        let mut catalogue = self.catalogue();
        change(&mut catalogue);
        let revision = catalogue.revision();
        drop(catalogue);
        self.newest.send_replace(revision);
    }

    /// Subscribes to new versions.
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
        // The sender lives as long as the world.
        let _ = self.regions[region].responsive.subscribe().wait_for(|responsive| *responsive).await;
    }

    /// Partitions a region from the others, which makes its discovery agent unresponsive, or heals the partition.
    pub fn set_partitioned(&self, region: usize, partitioned: bool) {
        self.regions[region].partitioned.store(partitioned, Relaxed);
        self.set_discovery_responsive(region, !partitioned);
    }

    /// What happens to a request from a region to a server.
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

/// A listener on a loopback address, at a port that the system picks.
///
/// # Errors
///
/// Those of the socket calls.
pub fn listen(address: std::net::Ipv4Addr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::from((address, 0)).into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Accepts connections for as long as the thread runs, and hands each to `each`.
pub async fn accept(
    listener: std::net::TcpListener,
    mut handle_connection: impl FnMut(tokio::net::TcpStream),
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "a listener cannot be used"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle_connection(stream),
            // Out of descriptors, or a client that has disconnected already: others may still connect.
            Err(error) => {
                tracing::warn!(%error, "a connection cannot be accepted");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}
