//! Table of servers: those in the server list, and removed ones with attempts still in flight.

use std::collections::HashMap;

use super::estimates::Pace;
use crate::{interface::*, ring::Ring, ring::RingEntry};

/// Number of entries in one update above which the ring is rebuilt: moving each entry would cost more.
const MAX_RING_MOVES: usize = 300;

/// State of one server, as seen by this node.
#[derive(Default)]
pub(super) struct Server {
    pub(super) entry: ServerEntry,
    /// HSQ count: requests in the last report, or assumed ones, plus this node's sends and probes since then.
    pub(super) count: Option<f64>,
    pub(super) reported_at: Option<f64>,
    /// This node's attempts in flight. The server stays in the table until it is zero.
    pub(super) in_flight: usize,
    pub(super) pace: Pace,
    pub(super) consecutive_failures: u32,
    pub(super) last_answer_at: f64,
    /// End of the ejection in ms. Stays set until the server serves a request; after the end it gets trials.
    pub(super) ejected_until: Option<f64>,
}

impl Server {
    /// Returns the time since the process started, in milliseconds; infinite if it started long ago.
    pub(super) fn age(&self, now: f64) -> f64 {
        now - self.entry.started_at.unwrap_or(f64::NEG_INFINITY)
    }
}

/// All servers, and the ring of the ready ones. Server numbers are never reused; slots are.
pub(super) struct EndpointTable {
    pub(super) slots: Vec<Server>,
    free: Vec<usize>,
    slot_of: HashMap<usize, usize>,
    pub(super) ring: Ring,
    zone: usize,
}

impl EndpointTable {
    pub(super) fn new(ring: Ring, zone: usize) -> Self {
        Self { slots: Vec::new(), free: Vec::new(), slot_of: HashMap::new(), ring, zone }
    }

    pub(super) fn get(&self, server: usize) -> Option<&Server> {
        self.slot_of.get(&server).map(|slot| &self.slots[*slot])
    }

    pub(super) fn get_mut(&mut self, server: usize) -> Option<&mut Server> {
        self.slot_of.get(&server).map(|slot| &mut self.slots[*slot])
    }

    /// Removes a server if it is not listed and has no attempt in flight; returns whether it was removed.
    pub(super) fn remove_unreferenced(&mut self, server: usize) -> bool {
        let listed = |server: &Server| server.entry.availability != Availability::Removed;
        let unreferenced = self.get(server).is_some_and(|server| server.in_flight == 0 && !listed(server));
        if let Some(slot) = unreferenced.then(|| self.slot_of.remove(&server)).flatten() {
            self.slots[slot] = Server::default();
            self.free.push(slot);
        }
        unreferenced
    }

    /// Applies the entries of an update. If it is `complete`, servers without an entry are removed.
    pub(super) fn update(&mut self, entries: Vec<ServerEntry>, complete: bool) {
        let rebuild = complete || entries.len() > MAX_RING_MOVES;
        for server in self.slots.iter_mut().filter(|_| complete) {
            server.entry.availability = Availability::Removed;
        }
        let mut updated: Vec<usize> = entries.iter().map(|entry| entry.server.0).collect();
        for entry in entries {
            let slot = self.slot(entry.server.0);
            let from = self.ring_entry(slot).filter(|_| !rebuild);
            let server = &mut self.slots[slot];
            // A restarted process does not inherit the statistics of the previous one.
            if server.entry.started_at != entry.started_at {
                *server = Server { in_flight: server.in_flight, ..Server::default() };
            }
            server.entry = entry;
            if !rebuild {
                self.ring.shift(from, self.ring_entry(slot));
            }
        }
        if complete {
            updated = self.slot_of.keys().copied().collect();
        }
        for server in updated {
            self.remove_unreferenced(server);
        }
        if rebuild {
            let entries = (0..self.slots.len()).filter_map(|slot| self.ring_entry(slot)).collect();
            self.ring.rebuild(entries);
        }
    }

    fn slot(&mut self, server: usize) -> usize {
        *self.slot_of.entry(server).or_insert_with(|| {
            self.free.pop().unwrap_or_else(|| {
                self.slots.push(Server::default());
                self.slots.len() - 1
            })
        })
    }

    /// Returns the ring entry of a server and whether its zone is another one; `None` if it is not ready.
    fn ring_entry(&self, slot: usize) -> Option<(bool, RingEntry)> {
        let entry = &self.slots[slot].entry;
        let ready = entry.availability == Availability::Ready;
        ready.then_some((entry.zone != self.zone, (entry.key, entry.server.0, slot)))
    }
}
