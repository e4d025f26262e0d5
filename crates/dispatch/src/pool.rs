//! The servers of one service: eligibility, tiers of suitability and the choice by queue length.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hsq::{QueueLengths, ServerIndex};
use state::{ServerEntry, ServerId};

use crate::criteria::SelectionCriteria;
use crate::server::{PooledServer, SelectedServer};

/// A server with an idle connection is selected although another one's queue is shorter by this many requests, as
/// setting up a connection takes longer.
const IDLE_CONNECTION_QUEUE_ALLOWANCE: u64 = 1;

/// How well a server suits a request; lower is better. Queue lengths are compared within the best tier only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SuitabilityTier {
    /// None of the following.
    Healthy,
    /// Ejected as an outlier.
    Ejected,
    /// An earlier attempt of the same request was sent to it.
    Attempted,
    /// It lists other models only.
    ModelNotListed,
}

/// The servers of one service with their queue lengths.
#[derive(Debug, Default)]
pub(crate) struct ServerPool {
    queue_lengths: QueueLengths,
    servers: Vec<PooledServer>,
    /// The index of each server in `servers`.
    positions: HashMap<ServerId, usize>,
}

impl ServerPool {
    /// Takes over a newer list of the servers of this service.
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

    /// Takes over what a newer list says of one server.
    pub(crate) fn update_server(&mut self, entry: &ServerEntry, zone: &str) {
        if let Some(server) = self.server_mut(&entry.id) {
            server.update(entry, zone);
        }
    }

    /// Whether any server may serve this request.
    pub(crate) fn has_eligible(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
        self.servers.iter().any(|server| is_eligible(server, now, criteria))
    }

    /// Selects a server and counts the request as in flight there.
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

    /// Free capacity of the eligible servers that are not ejected, in requests.
    pub(crate) fn free_capacity(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> usize {
        let eligible = self.servers.iter().filter(|server| is_eligible(server, now, criteria));
        let healthy = eligible.filter(|server| !server.outlier.is_ejected(now));
        healthy.map(|server| server.free_capacity(now) as usize).sum()
    }

    /// Capacity of the servers that list the model and have the version, in requests.
    pub(crate) fn total_capacity(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> usize {
        let servers = self.servers.iter().filter(|server| serves(server, now, criteria));
        let listing = servers.filter(|server| server.versions.may_serve(criteria.model));
        listing.map(|server| server.capacity() as usize).sum()
    }

    /// Records the load that a server reported: its requests, running or queued, and its slots.
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

    /// For a server without a fresh report, the requests in flight from this process are the queue length. This
    /// replaces the mean with which [`QueueLengths::add`] starts.
    fn overwrite_unreported_lengths(&mut self, now: Duration) {
        for server in &self.servers {
            if !server.has_fresh_report(now) {
                self.queue_lengths.overwrite(server.queue_index, u64::from(server.in_flight));
            }
        }
    }

    /// Of the best tier, the server with the shortest queue. A server with an idle connection is preferred to it if
    /// its queue is longer by at most [`IDLE_CONNECTION_QUEUE_ALLOWANCE`].
    fn best_server(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> Option<ServerIndex> {
        let eligible = || self.servers.iter().filter(|server| is_eligible(server, now, criteria));
        let best_tier = eligible().map(|server| tier(server, now, criteria)).min()?;
        let candidates = || eligible().filter(|server| tier(server, now, criteria) == best_tier);
        let ranked = |server: &PooledServer| (server.queue_index, preference(server, criteria));
        let shortest = self.queue_lengths.shortest_preferring(candidates().map(ranked))?;
        // Without a maximum age, no connection is young enough.
        let max_age = criteria.max_idle_connection_age.unwrap_or_default();
        let connected = candidates().filter(|server| server.has_idle_connection(now, max_age)).map(ranked);
        let Some(connected) = self.queue_lengths.shortest_preferring(connected) else {
            return Some(shortest);
        };
        let limit = self.queue_lengths.get(shortest) + IDLE_CONNECTION_QUEUE_ALLOWANCE;
        Some(if self.queue_lengths.get(connected) <= limit { connected } else { shortest })
    }
}

/// Whether the server may be selected for the request at all.
fn is_eligible(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
    serves(server, now, criteria)
        && (!criteria.requires_free_capacity || has_free_capacity(server, now, criteria))
}

/// Whether the server accepts requests and has the version that this one requires.
fn serves(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
    server.accepts_requests && server.versions.satisfies(now, criteria.model, criteria.version)
}

/// A request that can wait for free capacity doesn't go to a server that lists other models only.
fn has_free_capacity(server: &PooledServer, now: Duration, criteria: &SelectionCriteria<'_>) -> bool {
    server.free_capacity(now) > 0 && server.versions.may_serve(criteria.model)
}

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

/// Breaks ties of queue lengths, lower first: the server whose prefix cache holds the prompt, then the own zone.
fn preference(server: &PooledServer, criteria: &SelectionCriteria<'_>) -> u8 {
    match criteria.prefix_cache_server {
        Some(cached) if *cached == server.id => 0,
        _ if server.is_in_local_zone => 1,
        _ => 2,
    }
}
