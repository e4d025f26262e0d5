//! What is known of each server that is listed, or gone with attempts still out.

use std::collections::HashMap;

use super::estimates::Pace;
use crate::interface::*;
use crate::ring::Place;

#[derive(Default)]
pub(super) struct Server {
    pub(super) entry: ServerEntry,
    /// The array of HSQ: the last fresh report and what this node has sent since.
    pub(super) count: Option<f64>,
    pub(super) reported_at: Option<f64>,
    /// This node's attempts that are out.
    pub(super) out: usize,
    pub(super) pace: Pace,
    pub(super) strikes: u32,
    /// When it last gave any answer.
    pub(super) heard_at: f64,
    /// Set while it is taken out, and past that while it is on trial.
    pub(super) ejected_until: Option<f64>,
}

impl Server {
    /// Time since it started, without end where that was long ago.
    pub(super) fn age(&self, now: f64) -> f64 {
        now - self.entry.started_at.unwrap_or(f64::NEG_INFINITY)
    }

    /// Gone, with nothing out to it: nothing more is heard of it.
    pub(super) fn is_over(&self) -> bool {
        self.entry.availability == Availability::Gone && self.out == 0
    }
}

/// Those that are listed, or gone with attempts still out. Their numbers grow for ever, their slots do not.
#[derive(Default)]
pub(super) struct Servers {
    pub(super) slots: Vec<Server>,
    pub(super) free: Vec<usize>,
    pub(super) slot_of: HashMap<usize, usize>,
}

impl Servers {
    pub(super) fn get(&self, at: usize) -> Option<&Server> {
        self.slot_of.get(&at).map(|slot| &self.slots[*slot])
    }

    pub(super) fn get_mut(&mut self, at: usize) -> Option<&mut Server> {
        self.slot_of.get(&at).map(|slot| &mut self.slots[*slot])
    }

    /// The slot of a server, an empty one where it is new.
    pub(super) fn slot(&mut self, at: usize) -> usize {
        *self.slot_of.entry(at).or_insert_with(|| {
            self.free.pop().unwrap_or_else(|| {
                self.slots.push(Server::default());
                self.slots.len() - 1
            })
        })
    }

    pub(super) fn remove(&mut self, at: usize) {
        if let Some(slot) = self.slot_of.remove(&at) {
            self.slots[slot] = Server::default();
            self.free.push(slot);
        }
    }

    /// Where a server stands on the ring, while it is ready, and whether it is far from `zone`.
    pub(super) fn place(&self, slot: usize, zone: usize) -> Option<(bool, Place)> {
        let entry = &self.slots[slot].entry;
        let ready = entry.availability == Availability::Ready;
        ready.then_some((entry.zone != zone, (entry.key, entry.server.0, slot)))
    }
}
