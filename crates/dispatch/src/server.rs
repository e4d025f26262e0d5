//! State of one server of a pool: requests in flight, reported load, idle connections, versions and failures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hsq::ServerIndex;
use state::{ServerCondition, ServerEntry, ServerId};

use crate::model_versions::ModelVersions;
use crate::outlier::OutlierDetector;

/// Number of requests beyond its slots that count towards the capacity of a server, so that the next request
/// is already queued there when a slot becomes free.
const MAX_QUEUED_PER_SERVER: u32 = 1;
/// Time for which a load report is valid. Without a valid report, the load from other senders counts as 0.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(1000);

/// Server that was selected for an attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedServer {
    /// Identity of the server's incarnation.
    pub id: ServerId,
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Version of the request's model that the server is known to serve. `None` if the request names no
    /// model, or if no version is known.
    pub version: Option<u64>,
}

/// Outcome of a request to a server, by its effect on outlier detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server sent a complete response.
    Success,
    /// The server sent a complete response that reports an error of the server.
    ServerError,
    /// The server rejected the request for lack of capacity.
    Overloaded,
    /// No connection could be established, the request timed out, the response was truncated or invalid, or
    /// another server replied at the address.
    Failure,
    /// The request was cancelled, or rejected for a reason that does not affect the health of the server,
    /// such as the version of a model. The failure score stays unchanged.
    Cancelled,
}

impl RequestOutcome {
    /// Returns whether the response was read completely, so that the connection can be reused.
    fn leaves_connection_usable(self) -> bool {
        matches!(self, Self::Success | Self::ServerError | Self::Overloaded)
    }
}

/// Known state of one incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct PooledServer {
    pub(crate) id: ServerId,
    pub(crate) address: SocketAddr,
    /// Index of the server in the queue lengths of the pool.
    pub(crate) queue_index: ServerIndex,
    /// `false` while the server list shows the server as closing.
    pub(crate) accepts_requests: bool,
    /// Whether the server is in the same zone as this process.
    pub(crate) is_in_local_zone: bool,
    pub(crate) versions: ModelVersions,
    pub(crate) outlier: OutlierDetector,
    /// Number of requests in flight from this process to the server.
    pub(crate) in_flight: u32,
    /// Number of requests that the server processes concurrently.
    slots: u32,
    /// Time of last use of each idle connection, oldest first.
    idle_connections: Vec<Duration>,
    /// `None` until the server has reported its load.
    last_report: Option<LoadReport>,
}

/// Load that a server reported.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    received_at: Duration,
    /// Number of running and queued requests beyond those that were in flight from this process.
    load_from_other_senders: u32,
}

impl PooledServer {
    pub(crate) fn new(entry: &ServerEntry, queue_index: ServerIndex) -> Self {
        Self {
            id: Arc::clone(&entry.id),
            address: entry.address,
            queue_index,
            accepts_requests: false,
            is_in_local_zone: false,
            versions: ModelVersions::default(),
            outlier: OutlierDetector::default(),
            in_flight: 0,
            slots: entry.slots,
            idle_connections: Vec::new(),
            last_report: None,
        }
    }

    /// Applies the entry of a newer server list. `zone` is the zone of this process.
    pub(crate) fn update(&mut self, entry: &ServerEntry, zone: &str) {
        self.address = entry.address;
        self.slots = entry.slots;
        self.accepts_requests = entry.condition == ServerCondition::Open;
        self.is_in_local_zone = &*entry.zone == zone;
        self.versions.record_listed(&entry.models);
    }

    /// Records the load that the server reported: the number of its running and queued requests, and of its
    /// slots (0 if unknown).
    pub(crate) fn record_load(&mut self, now: Duration, load: u32, slots: u32) {
        if slots > 0 {
            self.slots = slots;
        }
        let load_from_other_senders = load.saturating_sub(self.in_flight);
        self.last_report = Some(LoadReport { received_at: now, load_from_other_senders });
    }

    /// Counts a request as in flight. The request uses the most recently used idle connection, if there is
    /// one.
    pub(crate) fn request_started(&mut self) {
        self.in_flight += 1;
        self.idle_connections.pop();
    }

    /// Counts a request as no longer in flight and records its outcome for outlier detection. After a
    /// complete response its connection becomes idle.
    pub(crate) fn request_finished(&mut self, now: Duration, outcome: RequestOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome.leaves_connection_usable() {
            self.idle_connections.push(now);
        }
        match outcome {
            RequestOutcome::Success => self.outlier.record_success(),
            RequestOutcome::ServerError => self.outlier.record_error_response(now),
            RequestOutcome::Overloaded => self.outlier.record_overload(now),
            RequestOutcome::Failure => self.outlier.record_failure(now),
            RequestOutcome::Cancelled => {}
        }
    }

    /// Returns whether an idle connection was last used less than `max_age` ago.
    pub(crate) fn has_idle_connection(&self, now: Duration, max_age: Duration) -> bool {
        self.idle_connections.last().is_some_and(|used| now.saturating_sub(*used) < max_age)
    }

    /// Returns whether the last load report is less than [`LOAD_REPORT_TTL`] old.
    pub(crate) fn has_valid_report(&self, now: Duration) -> bool {
        self.last_report.is_some_and(|report| now.saturating_sub(report.received_at) < LOAD_REPORT_TTL)
    }

    /// Returns the number of requests that the server can have at the same time, running or queued: its slots
    /// plus [`MAX_QUEUED_PER_SERVER`].
    pub(crate) fn capacity(&self) -> u32 {
        self.slots.saturating_add(MAX_QUEUED_PER_SERVER)
    }

    /// Returns the number of further requests that the server has capacity for: its capacity less the
    /// requests in flight from this process and the load from other senders according to the last valid
    /// report.
    pub(crate) fn free_capacity(&self, now: Duration) -> u32 {
        let valid_report = self.last_report.filter(|_| self.has_valid_report(now));
        let load_from_other_senders = valid_report.map_or(0, |report| report.load_from_other_senders);
        self.capacity().saturating_sub(self.in_flight.saturating_add(load_from_other_senders))
    }
}
