//! What all parts of a play share: the catalogue, what is silent or cut off, and the counts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::catalogue::{Catalogue, Reach};
use crate::traffic::Traffic;

/// Connections that may wait to be accepted: all nodes of a region may come at once.
const BACKLOG: i32 = 4096;

/// The state of a region.
struct Region {
    /// Whether its agent of discovery answers.
    answering: watch::Sender<bool>,
    /// Whether it is cut off from the other regions.
    partitioned: AtomicBool,
}

/// Shared by all threads of a play.
pub struct World {
    catalogue: Mutex<Catalogue>,
    newest: watch::Sender<u64>,
    regions: Vec<Region>,
    started: Instant,
    started_unix_ms: f64,
    /// What the agents of discovery received and sent.
    pub discovery: Arc<Traffic>,
    /// What the servers received and sent.
    pub servers: Arc<Traffic>,
    /// What was answered.
    pub counts: Counts,
}

/// Counts of what discovery and the servers did.
#[derive(Debug, Default)]
pub struct Counts {
    /// Complete lists sent.
    pub complete_lists: AtomicU64,
    /// Answers with changes.
    pub changes: AtomicU64,
    /// Answers that there are none.
    pub unchanged: AtomicU64,
    /// Requests that came to servers that had left.
    pub to_removed: AtomicU64,
    /// Requests that came to draining servers.
    pub to_draining: AtomicU64,
    /// Requests to machines that say nothing.
    pub to_unresponsive: AtomicU64,
}

/// A reading of [`Counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CountSums {
    /// Complete lists sent.
    #[serde(rename = "whole_lists")]
    pub complete_lists: u64,
    /// Answers with changes.
    pub change_answers: u64,
    /// Answers that there are none.
    pub no_news_answers: u64,
    /// Requests that came to servers that had left.
    pub sends_to_left: u64,
    /// Requests that came to draining servers.
    pub sends_to_draining: u64,
    /// Requests to machines that say nothing.
    pub sends_to_silent: u64,
}

impl Counts {
    /// The counts so far.
    #[must_use]
    pub fn sums(&self) -> CountSums {
        CountSums {
            complete_lists: self.complete_lists.load(Relaxed),
            change_answers: self.changes.load(Relaxed),
            no_news_answers: self.unchanged.load(Relaxed),
            sends_to_left: self.to_removed.load(Relaxed),
            sends_to_draining: self.to_draining.load(Relaxed),
            sends_to_silent: self.to_unresponsive.load(Relaxed),
        }
    }
}

impl World {
    /// A world in which all is well.
    #[must_use]
    pub fn new(catalogue: Catalogue) -> Self {
        let region = |_| Region { answering: watch::Sender::new(true), partitioned: AtomicBool::new(false) };
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
            counts: Counts::default(),
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

    /// Lets the agents of a region stop answering, or answer again.
    pub fn set_discovery_answering(&self, region: usize, answering: bool) {
        self.regions[region].answering.send_replace(answering);
    }

    /// Waits until the agent of a region answers.
    pub async fn wait_until_answering(&self, region: usize) {
        // The sender lives as long as the world.
        let _ = self.regions[region].answering.subscribe().wait_for(|answering| *answering).await;
    }

    /// Cuts a region off from the others, its agent of discovery included, or joins it again.
    pub fn set_partitioned(&self, region: usize, partitioned: bool) {
        self.regions[region].partitioned.store(partitioned, Relaxed);
        self.set_discovery_answering(region, !partitioned);
    }

    /// What becomes of a request from a region to a server.
    #[must_use]
    pub fn reach(&self, from: usize, number: usize) -> Reach {
        let mut catalogue = self.catalogue();
        let Some(region) = catalogue.region(number) else { return Reach::Gone };
        let cut =
            |region: usize| self.regions.get(region).is_some_and(|region| region.partitioned.load(Relaxed));
        if from != region && (cut(from) || cut(region)) {
            return Reach::Silent;
        }
        catalogue.server(number).map_or(Reach::Gone, |server| server.reach)
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

/// Takes connections for as long as the thread runs, and passes each on.
pub async fn accept(listener: std::net::TcpListener, mut each: impl FnMut(tokio::net::TcpStream)) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "a listener cannot be used"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => each(stream),
            // Out of descriptors, or a client that has left already: others may still come.
            Err(error) => {
                tracing::warn!(%error, "a connection cannot be accepted");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}
