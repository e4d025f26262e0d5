//! The servers of one service: eligibility, suitability tiers and selection by queue length.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hsq::{QueueLengths, ServerIndex};
use state::{ServerEntry, ServerId};

use crate::criteria::SelectionCriteria;
use crate::server::{PooledServer, SelectedServer};

/// Number of requests by which the queue of a server with an idle connection may exceed the shortest queue
/// without the server losing its preference, since setting up a connection takes longer than waiting for that
/// many requests.
const IDLE_CONNECTION_QUEUE_ALLOWANCE: u64 = 1;

/// Suitability of a server for a request, best tier first. Queue lengths are compared only within the best
/// tier that has an eligible server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SuitabilityTier {
    /// The server may serve the model, no earlier attempt of the request was sent to it, and it is not
    /// ejected.
    Healthy,
    /// The server may serve the model and no earlier attempt was sent to it, but it is ejected as an outlier.
    Ejected,
    /// The server may serve the model, but an earlier attempt of the request was sent to it.
    Attempted,
    /// The server lists only other models.
    ModelNotListed,
}

/// Servers of one service with their queue lengths.
#[derive(Debug, Default)]
pub(crate) struct ServerPool {
    queue_lengths: QueueLengths,
    servers: Vec<PooledServer>,
    /// Index of each server in `servers`.
    positions: HashMap<ServerId, usize>,
}

impl ServerPool {
    /// Replaces the servers of this service by those of a newer list. Servers that stay keep their state and
    /// queue length.
    pub(crate) fn update(&mut self, entries: &[&ServerEntry], zone: &str) {
        let mut known: HashMap<ServerId, PooledServer> =
            self.servers.drain(..).map(|server| (Arc::clone(&server.id), server)).collect();
        for entry in entries {
            let mut server =
                known.remove(&entry.id).unwrap_or_else(|| PooledServer::new(entry, self.queue_lengths.add()));
            server.update(entry, zone);
            self.servers.push(server);
        }
        for removed in known.values() {
            self.queue_lengths.remove(removed.queue_index);
        }
        let positions = self.servers.iter().enumerate();
        self.positions = positions.map(|(position, server)| (Arc::clone(&server.id), position)).collect();
    }

    /// Applies the entry of a newer list for one server.
    pub(crate) fn update_server(&mut self, entry: &ServerEntry, zone: &str) {
        if let Some(server) = self.server_mut(&entry.id) {
            server.update(entry, zone);
        }
    }

    /// Returns whether any server is eligible for the request.
    pub(crate) fn has_eligible(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
        self.servers.iter().any(|server| is_eligible(server, now, criteria))
    }

    /// Selects a server and counts the request as in flight to it. Returns `None` if no server is eligible.
    pub(crate) fn select(
        &mut self,
        now: Duration,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<SelectedServer> {
        self.overwrite_unreported_lengths(now);
        let selected = self.best_server(now, criteria)?;
        self.queue_lengths.increment(selected);
        let server = self.servers.iter_mut().find(|server| server.queue_index == selected)?;
        server.request_started();
        Some(SelectedServer {
            id: Arc::clone(&server.id),
            address: server.address,
            version: server.versions.get(criteria.model),
        })
    }

    /// Returns the free capacity of the eligible servers that are not ejected, in requests.
    pub(crate) fn free_capacity(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> usize {
        let eligible = self.servers.iter().filter(|server| is_eligible(server, now, criteria));
        let healthy = eligible.filter(|server| !server.outlier.is_ejected(now));
        healthy.map(|server| server.free_capacity(now) as usize).sum()
    }

    /// Returns the capacity of the servers that accept requests, list the model and satisfy the version
    /// requirement, in requests. It includes requests in flight.
    pub(crate) fn total_capacity(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> usize {
        let servers = self.servers.iter().filter(|server| serves(server, now, criteria));
        let listing = servers.filter(|server| server.versions.may_serve(criteria.model));
        listing.map(|server| server.capacity() as usize).sum()
    }

    /// Records the load that a server reported: the number of its running and queued requests, and of its
    /// slots (0 if unknown).
    pub(crate) fn record_load(&mut self, now: Duration, id: &str, load: u32, slots: u32) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.record_load(now, load, slots);
        let queue_index = server.queue_index;
        self.queue_lengths.overwrite(queue_index, u64::from(load));
    }

    pub(crate) fn server_mut(&mut self, id: &str) -> Option<&mut PooledServer> {
        self.positions.get(id).map(|position| &mut self.servers[*position])
    }

    /// Sets the queue length of each server without a valid report to its requests in flight from this
    /// process. This also replaces the mean that [`QueueLengths::add`] sets at first.
    fn overwrite_unreported_lengths(&mut self, now: Duration) {
        for server in &self.servers {
            if !server.has_valid_report(now) {
                self.queue_lengths.overwrite(server.queue_index, u64::from(server.in_flight));
            }
        }
    }

    /// Returns the server of the best tier with the shortest queue. Prefers the server with the shortest
    /// queue among those with an idle connection, if that queue is longer by at most
    /// [`IDLE_CONNECTION_QUEUE_ALLOWANCE`].
    fn best_server(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> Option<ServerIndex> {
        let eligible = || self.servers.iter().filter(|server| is_eligible(server, now, criteria));
        let best_tier = eligible().map(|server| tier(server, now, criteria)).min()?;
        let candidates = || eligible().filter(|server| tier(server, now, criteria) == best_tier);
        let ranked = |server: &PooledServer| (server.queue_index, preference(server, criteria));
        let shortest = self.queue_lengths.shortest_preferring(candidates().map(ranked))?;
        // Without a maximum age the limit is zero, which excludes every idle connection.
        let max_age = criteria.max_idle_connection_age.unwrap_or_default();
        let connected = candidates().filter(|server| server.has_idle_connection(now, max_age)).map(ranked);
        let Some(connected) = self.queue_lengths.shortest_preferring(connected) else {
            return Some(shortest);
        };
        let limit = self.queue_lengths.get(shortest) + IDLE_CONNECTION_QUEUE_ALLOWANCE;
        Some(if self.queue_lengths.get(connected) <= limit { connected } else { shortest })
    }
}

/// Returns whether the server may be selected for the request.
fn is_eligible(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
    serves(server, now, criteria)
        && (!criteria.requires_free_capacity || has_free_capacity(server, now, criteria))
}

/// Returns whether the server accepts requests and satisfies the version requirement of this request.
fn serves(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
    server.accepts_requests && server.versions.satisfies(now, criteria.model, criteria.version)
}

/// Returns whether the server has free capacity for the request. A server that lists only other models counts
/// as having none: a request that can wait for capacity is not sent to it.
fn has_free_capacity(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
    server.free_capacity(now) > 0 && server.versions.may_serve(criteria.model)
}

/// Returns the suitability tier of the server for the request.
fn tier(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> SuitabilityTier {
    if !server.versions.may_serve(criteria.model) {
        SuitabilityTier::ModelNotListed
    } else if criteria.attempted.contains(&server.id) {
        SuitabilityTier::Attempted
    } else if server.outlier.is_ejected(now) {
        SuitabilityTier::Ejected
    } else {
        SuitabilityTier::Healthy
    }
}

/// Returns the rank by which ties of queue lengths are broken, the lowest first: 0 for the server whose
/// prefix cache contains the beginning of the prompt, 1 for servers of the local zone, 2 for all others.
fn preference(server: &PooledServer, criteria: &SelectionCriteria<'_>) -> u8 {
    match criteria.prefix_cache_server {
        Some(cached) if *cached == server.id => 0,
        _ if server.is_in_local_zone => 1,
        _ => 2,
    }
}
