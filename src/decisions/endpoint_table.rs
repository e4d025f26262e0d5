//! The table of servers: those that are listed, and removed ones with attempts still in flight.

use std::collections::HashMap;

use super::estimates::Pace;
use crate::interface::*;
use crate::ring::{Ring, RingEntry};

/// With more entries than this at once the ring is rebuilt: moving each one alone would cost more.
const MAX_RING_MOVES: usize = 300;

/// What the node knows about one server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) entry: ServerEntry,
    /// The array of HSQ: the last load report and what this node has sent since.
    pub(super) count: Option<f64>,
    /// When the last load report came.
    pub(super) reported_at: Option<f64>,
    /// This node's attempts in flight.
    pub(super) in_flight: usize,
    pub(super) pace: Pace,
    /// Failures in a row, none served between them.
    pub(super) consecutive_failures: u32,
    /// When it last gave any answer.
    pub(super) last_answer_at: f64,
    /// Set while it is ejected; once this time has passed it is on trial until a request is served.
    pub(super) ejected_until: Option<f64>,
}

impl Server {
    /// Time since it started, infinite where that was long ago.
    pub(super) fn age(&self, now: f64) -> f64 {
        now - self.entry.started_at.unwrap_or(f64::NEG_INFINITY)
    }

    /// Removed and with nothing in flight: no event can concern it any more.
    fn is_unreferenced(&self) -> bool {
        self.entry.availability == Availability::Removed && self.in_flight == 0
    }
}

/// The servers and the ring of the ready ones.
///
/// Server numbers grow for ever; slots are reused, so the table grows with the fleet only.
pub(super) struct EndpointTable {
    pub(super) slots: Vec<Server>,
    free: Vec<usize>,
    slot_of: HashMap<usize, usize>,
    pub(super) ring: Ring,
    /// The node's own zone.
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

    /// A server that has attempts in flight, or was selected just now.
    ///
    /// # Panics
    ///
    /// Panics where there is no such server: a server stays in the table while anything is in flight to it.
    pub(super) fn in_use_mut(&mut self, server: usize) -> &mut Server {
        self.get_mut(server).expect("a server with attempts in flight is in the table")
    }

    /// Removes a server that is no longer listed once nothing is in flight to it; whether it did.
    pub(super) fn remove_unreferenced(&mut self, server: usize) -> bool {
        let Some(&slot) = self.slot_of.get(&server) else { return false };
        if !self.slots[slot].is_unreferenced() {
            return false;
        }
        self.slot_of.remove(&server);
        self.slots[slot] = Server::default();
        self.free.push(slot);
        true
    }

    /// Takes entries of an update; where it is `complete`, servers that it does not name are removed.
    pub(super) fn update(&mut self, entries: Vec<ServerEntry>, complete: bool) {
        let rebuild = complete || entries.len() > MAX_RING_MOVES;
        if complete {
            self.slots.iter_mut().for_each(|server| server.entry.availability = Availability::Removed);
        }
        let mut updated = Vec::with_capacity(entries.len());
        for entry in entries {
            updated.push(entry.server.0);
            self.update_one(entry, rebuild);
        }
        if complete {
            updated = self.slot_of.keys().copied().collect();
        }
        for server in updated {
            self.remove_unreferenced(server);
        }
        if rebuild {
            let entries = (0..self.slots.len()).filter_map(|slot| self.ring_entry(slot));
            let entries: Vec<_> = entries.collect();
            self.ring.rebuild(entries.into_iter());
        }
    }

    fn update_one(&mut self, entry: ServerEntry, rebuild: bool) {
        let slot = self.slot(entry.server.0);
        let from = self.ring_entry(slot).filter(|_| !rebuild);
        let server = &mut self.slots[slot];
        // What was learned of a process does not hold for its successor.
        if server.entry.started_at != entry.started_at {
            *server = Server { in_flight: server.in_flight, ..Server::default() };
        }
        server.entry = entry;
        if !rebuild {
            let to = self.ring_entry(slot);
            self.ring.shift(from, to);
        }
    }

    /// The slot of a server, an empty one where it is new.
    fn slot(&mut self, server: usize) -> usize {
        *self.slot_of.entry(server).or_insert_with(|| {
            self.free.pop().unwrap_or_else(|| {
                self.slots.push(Server::default());
                self.slots.len() - 1
            })
        })
    }

    /// The entry of a ready server on the ring, with whether the server is in another zone.
    fn ring_entry(&self, slot: usize) -> Option<(bool, RingEntry)> {
        let entry = &self.slots[slot].entry;
        let ready = entry.availability == Availability::Ready;
        ready.then_some((entry.zone != self.zone, (entry.key, entry.server.0, slot)))
    }
}
