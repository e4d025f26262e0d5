//! One server of a pool: its requests in flight, reported load, idle connections, versions and failures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hsq::ServerIndex;
use state::{ServerCondition, ServerEntry, ServerId};

use crate::model_versions::ModelVersions;
use crate::outlier::OutlierDetector;

/// Requests that a server is sent beyond its slots, so that it has the next one at hand when a slot becomes free.
const MAX_QUEUED_PER_SERVER: u32 = 1;
/// A load report is used for this long; afterwards nothing is known about the requests of other senders.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(1000);

/// The server that was selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedServer {
    /// Its incarnation.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version of the request's model that it is known to serve.
    pub version: Option<u64>,
}

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server sent a complete response.
    Success,
    /// The server sent a complete response with an error of its own.
    ServerError,
    /// The server rejected the request for want of capacity.
    Overloaded,
    /// No connection, a time-out, a truncated response, or bytes that are no response to the request.
    Failure,
    /// The request was canceled, which says nothing about the server.
    Canceled,
}

impl RequestOutcome {
    /// Whether the response was read to its end, so that its connection can be used again.
    fn leaves_connection_usable(self) -> bool {
        matches!(self, Self::Success | Self::ServerError | Self::Overloaded)
    }
}

/// What is known of one server.
#[derive(Clone, Debug)]
pub(crate) struct PooledServer {
    pub(crate) id: ServerId,
    pub(crate) address: SocketAddr,
    /// Its index in the pool's queue lengths.
    pub(crate) queue_index: ServerIndex,
    pub(crate) accepts_requests: bool,
    pub(crate) is_in_local_zone: bool,
    pub(crate) versions: ModelVersions,
    pub(crate) outlier: OutlierDetector,
    /// Requests of this process that are in flight.
    pub(crate) in_flight: u32,
    /// Requests that it works on at once.
    slots: u32,
    /// When each idle connection was used last, oldest first.
    idle_connections: Vec<Duration>,
    last_report: Option<LoadReport>,
}

/// The load that a server reported.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    received_at: Duration,
    /// Its requests, running or queued, that were not in flight from this process.
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

    /// Takes over what a newer server list says.
    pub(crate) fn update(&mut self, entry: &ServerEntry, zone: &str) {
        self.address = entry.address;
        self.slots = entry.slots;
        self.accepts_requests = entry.condition == ServerCondition::Open;
        self.is_in_local_zone = &*entry.zone == zone;
        self.versions.record_listed(&entry.models);
    }

    /// Records the load that the server reported: its requests, running or queued, and its slots (0: unknown).
    pub(crate) fn record_load(&mut self, now: Duration, load: u32, slots: u32) {
        if slots > 0 {
            self.slots = slots;
        }
        let load_from_other_senders = load.saturating_sub(self.in_flight);
        self.last_report = Some(LoadReport { received_at: now, load_from_other_senders });
    }

    /// Counts a request as in flight. It takes the idle connection that was used last.
    pub(crate) fn request_started(&mut self) {
        self.in_flight += 1;
        self.idle_connections.pop();
    }

    /// Counts a request as finished, and its outcome for the health of the server.
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
            RequestOutcome::Canceled => {}
        }
    }

    /// Whether there is an idle connection that was used within `max_age`.
    pub(crate) fn has_idle_connection(&self, now: Duration, max_age: Duration) -> bool {
        self.idle_connections.last().is_some_and(|used| now.saturating_sub(*used) < max_age)
    }

    /// Whether the last load report is recent.
    pub(crate) fn has_fresh_report(&self, now: Duration) -> bool {
        self.last_report.is_some_and(|report| now.saturating_sub(report.received_at) < LOAD_REPORT_TTL)
    }

    /// Requests that the server takes at once.
    pub(crate) fn capacity(&self) -> u32 {
        self.slots.saturating_add(MAX_QUEUED_PER_SERVER)
    }

    /// Requests that the server could take now, as far as is known.
    pub(crate) fn free_capacity(&self, now: Duration) -> u32 {
        let fresh_report = self.last_report.filter(|_| self.has_fresh_report(now));
        let load_from_other_senders = fresh_report.map_or(0, |report| report.load_from_other_senders);
        self.capacity().saturating_sub(self.in_flight.saturating_add(load_from_other_senders))
    }
}
