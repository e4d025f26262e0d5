//! Changes of the set of grantors, and their delayed propagation to candidates and grantors.

use std::time::Duration;

use lease::GrantorId;

use super::{SeededFault, Simulation};

/// Time between two changes of the grantors: several changes fit in one TTL.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Time until the next change after one in four changes, selected at random; long enough for a lease to be
/// won.
const LONG_CHANGE_INTERVAL: Duration = Duration::from_secs(12);
/// Longest delay, in milliseconds, until candidates and the grantors outside the majorities that accepted a
/// change learn of it.
const MAX_UPDATE_DELAY_MS: u64 = 20_000;
/// Smallest size to which a set of grantors is shrunk.
const MIN_GRANTORS: usize = 3;

/// Grantors as of a revision of the register.
#[derive(Clone, Debug, Default)]
pub struct GrantorSet {
    pub revision: u64,
    pub grantors: Vec<GrantorId>,
}

/// Message by which a machine's candidate or grantor learns of a set of grantors.
pub struct GrantorSetUpdate {
    /// Time of the simulation at which the message arrives.
    due: Duration,
    /// Whether the candidate's process learns of the set; otherwise the acceptor beside the grantor does.
    is_for_candidate: bool,
    /// Index of the machine.
    machine: usize,
    set: GrantorSet,
}

impl Simulation {
    /// Adds, removes or replaces a random grantor. A removal that would leave too few grantors changes only
    /// the revision.
    pub(super) fn change_grantors(&mut self) {
        let interval = if self.random.u8(..4) == 0 { LONG_CHANGE_INTERVAL } else { CHANGE_INTERVAL };
        self.next_change = self.time + interval;
        let picked = self.pick_machine();
        let id = self.ids[picked];
        let before = self.committed.grantors.clone();
        let grantors = &mut self.committed.grantors;
        if grantors.contains(&id) {
            if grantors.len() > MIN_GRANTORS {
                grantors.retain(|grantor| *grantor != id);
            }
        } else if self.random.bool() {
            let replaced = self.random.usize(..grantors.len());
            grantors[replaced] = id;
        } else {
            grantors.push(id);
        }
        self.committed.revision += 1;
        self.schedule_updates(&before);
    }

    /// Schedules the updates after a change. Majorities of the grantors before and after the change learn of
    /// it when it is committed; all other grantors, and the candidates, learn of it later.
    fn schedule_updates(&mut self, before: &[GrantorId]) {
        let mut informed = self.random_majority(before.to_vec());
        informed.extend(self.random_majority(self.committed.grantors.clone()));
        for machine in 0..self.grantors.len() {
            let is_informed = informed.contains(&self.ids[machine]);
            let (grantor_delay, candidate_delay) = (self.max_update_delay(), self.max_update_delay());
            self.send_update(machine, false, if is_informed { 1 } else { grantor_delay });
            self.send_update(machine, true, candidate_delay);
        }
    }

    /// Returns the smallest possible majority, with random members.
    fn random_majority(&mut self, mut grantors: Vec<GrantorId>) -> Vec<GrantorId> {
        self.random.shuffle(&mut grantors);
        grantors.truncate(grantors.len() / 2 + 1);
        grantors
    }

    /// Draws the longest delay of an update, in milliseconds: the maximum in one of four cases, else a
    /// hundredth of it.
    fn max_update_delay(&mut self) -> u64 {
        if self.random.u8(..4) == 0 {
            MAX_UPDATE_DELAY_MS
        } else {
            MAX_UPDATE_DELAY_MS / 100
        }
    }

    fn send_update(&mut self, machine: usize, is_for_candidate: bool, max_delay_ms: u64) {
        let due = self.time + Duration::from_millis(self.random.u64(..max_delay_ms));
        self.updates.push(GrantorSetUpdate { due, is_for_candidate, machine, set: self.committed.clone() });
    }

    pub(super) fn deliver_updates(&mut self) {
        let time = self.time;
        let (due, later): (Vec<_>, Vec<_>) = self.updates.drain(..).partition(|update| update.due <= time);
        self.updates = later;
        for update in due {
            if update.is_for_candidate {
                self.update_candidate(update.machine, update.set);
            } else {
                self.update_grantor(update.machine, update.set);
            }
        }
    }

    /// Lets the acceptor of a machine accept or learn a set, unless it has a newer one. The grantor observes
    /// the result.
    fn update_grantor(&mut self, machine: usize, set: GrantorSet) {
        if set.revision > self.accepted[machine].revision {
            self.accepted[machine] = set;
        }
        self.observe_accepted(machine);
    }

    /// Lets the process on a machine learn that a set is committed, unless it has learned of a newer one.
    fn update_candidate(&mut self, machine: usize, set: GrantorSet) {
        let process = &mut self.candidates[machine].state;
        if set.revision > process.known.revision {
            let grantor = &mut self.grantors[machine];
            let now = grantor.now(self.time);
            grantor.state.learn(now, set.revision, &set.grantors);
            process.known = set;
        }
    }

    /// Lets the grantor of a machine observe the set on the disk of its acceptor.
    pub(super) fn observe_accepted(&mut self, machine: usize) {
        if self.faults.seeded != SeededFault::AnyRevision {
            let accepted = &self.accepted[machine];
            self.grantors[machine].state.observe(accepted.revision, &accepted.grantors);
        }
    }
}
