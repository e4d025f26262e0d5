//! What is known of one server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use state::{ServerCondition, ServerEntry, ServerId};

use crate::health::Health;
use crate::versions::Versions;

/// Requests beyond its slots that a server is handed, so that it never waits for the next one.
const QUEUED_MOST: u32 = 1;
/// A report of the load says nothing about the requests of others any more after this time.
const REPORT_KEPT: Duration = Duration::from_millis(1000);

/// A chosen server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its incarnation.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its service.
    pub service: Arc<str>,
    /// The version of the request's model that it is known to run.
    pub version: Option<u64>,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server gave a whole answer.
    Served,
    /// The server gave an error of its own.
    Error,
    /// The server has no place.
    Full,
    /// No connection, silence, a cut or bytes that are no answer.
    Failed,
    /// The request was withdrawn, which says nothing about the server.
    Withdrawn,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) slot: hsq::Slot,
    pub(crate) slots: u32,
    pub(crate) open: bool,
    pub(crate) near: bool,
    pub(crate) versions: Versions,
    pub(crate) health: Health,
    /// Own requests that are out.
    pub(crate) own: u32,
    /// When each idle connection was used last, oldest first.
    idle: Vec<Duration>,
    report: Option<Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Duration,
    of_others: u32,
}

impl Server {
    pub(crate) fn new(entry: &ServerEntry, slot: hsq::Slot) -> Self {
        Self {
            id: Arc::clone(&entry.id),
            address: entry.address,
            slot,
            slots: entry.slots,
            open: false,
            near: false,
            versions: Versions::default(),
            health: Health::default(),
            own: 0,
            idle: Vec::new(),
            report: None,
        }
    }

    pub(crate) fn update(&mut self, entry: &ServerEntry, zone: &str) {
        self.address = entry.address;
        self.slots = entry.slots;
        self.open = entry.condition == ServerCondition::Open;
        self.near = &*entry.zone == zone;
        self.versions.listed(&entry.models);
    }

    pub(crate) fn reported(&mut self, now: Duration, load: u32, slots: u32) {
        if slots > 0 {
            self.slots = slots;
        }
        self.report = Some(Report { at: now, of_others: load.saturating_sub(self.own) });
    }

    /// A request takes the connection that was used last.
    pub(crate) fn sent(&mut self) {
        self.own += 1;
        self.idle.pop();
    }

    /// A request is over; its connection may be used again if it was read to its end.
    pub(crate) fn finished(&mut self, now: Duration, is_connection_kept: bool) {
        self.own = self.own.saturating_sub(1);
        if is_connection_kept {
            self.idle.push(now);
        }
    }

    /// Whether there is an idle connection that was used within this time.
    pub(crate) fn is_warm(&self, now: Duration, usable: Duration) -> bool {
        self.idle.last().is_some_and(|used| now.saturating_sub(*used) < usable)
    }

    /// Whether a report came of late.
    pub(crate) fn has_report(&self, now: Duration) -> bool {
        self.report.is_some_and(|report| now.saturating_sub(report.at) < REPORT_KEPT)
    }

    /// Places for requests, taken or free.
    pub(crate) fn places(&self) -> u32 {
        self.slots + QUEUED_MOST
    }

    /// Places that are free, as far as is known.
    pub(crate) fn room(&self, now: Duration) -> u32 {
        let of_others = self.report.filter(|_| self.has_report(now)).map_or(0, |report| report.of_others);
        self.places().saturating_sub(self.own + of_others)
    }
}
