//! Faults that are injected into a simulation.

use std::time::Duration;

use lease::{Candidate, Grantor};

use super::changes::GrantorSet;
use super::process::{candidate_name, Clock};
use super::{Simulation, ID_STEP_PER_DISK, TTL};

/// Longest time for which a process is frozen, in milliseconds.
const MAX_FREEZE_MS: u64 = 6000;

/// Deliberate mistake in the use of the lease, which must lead to two holders at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    /// No mistake.
    None,
    /// A restarted grantor grants at once instead of after one TTL.
    GrantsAfterRestart,
    /// Replies to earlier rounds count as replies to the current round.
    AnyTerm,
    /// Grantors also grant requests with an older set of grantors than they have observed.
    AnyRevision,
    /// Candidates can win at once with grantors that have just been committed.
    NewGrantors,
    /// All restarted candidates have the same name, also on different machines, so that grants to one of them
    /// count for the others.
    SharedName,
}

/// Kinds of faults that are injected into a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Processes restart.
    pub restarts: bool,
    /// Processes stop for up to `MAX_FREEZE_MS` and then continue.
    pub freezes: bool,
    /// Messages are lost, delayed or duplicated.
    pub bad_network: bool,
    /// Clocks are set back.
    pub clock_jumps: bool,
    /// Grantors are added and removed.
    pub grantor_changes: bool,
    /// Machines whose grantors are not in the committed set lose their disks.
    pub lost_disks: bool,
    /// Mistake in the use of the lease that the simulation makes.
    pub seeded: SeededFault,
}

impl Simulation {
    /// Injects random faults of the enabled kinds; called once in each tick.
    pub(super) fn inject_faults(&mut self) {
        let faults = self.faults;
        if faults.restarts && self.random.u16(..1000) == 0 {
            self.restart_grantor();
        }
        if faults.restarts && self.random.u16(..1000) == 0 {
            self.restart_candidate();
        }
        if faults.lost_disks && self.random.u16(..50) == 0 {
            self.lose_disk();
        }
        if faults.freezes && self.random.u16(..500) == 0 {
            self.freeze();
        }
        if faults.clock_jumps && self.random.u16(..500) == 0 {
            self.set_clock_back();
        }
        if faults.grantor_changes && self.time >= self.next_change {
            self.change_grantors();
        }
    }

    /// Restarts the grantor of a random machine, with another clock.
    fn restart_grantor(&mut self) {
        let picked = self.pick_machine();
        let grantor = &mut self.grantors[picked];
        grantor.clock = Clock::new(&mut self.random);
        let now = grantor.now(self.time);
        let started = if self.faults.seeded == SeededFault::GrantsAfterRestart { now - TTL } else { now };
        grantor.state = Grantor::new(self.ids[picked], started, TTL);
        let known = &self.candidates[picked].state.known;
        grantor.state.learn(now, known.revision, &known.grantors);
        self.observe_accepted(picked);
    }

    /// Replaces the disk of a random machine by an empty one with a new grantor id, unless its grantor is in
    /// the committed set.
    fn lose_disk(&mut self) {
        let picked = self.pick_machine();
        if self.committed.grantors.contains(&self.ids[picked]) {
            return;
        }
        self.ids[picked].0 += ID_STEP_PER_DISK;
        self.accepted[picked] = GrantorSet::default();
        let grantor = &mut self.grantors[picked];
        grantor.state = Grantor::new(self.ids[picked], grantor.clock.now(self.time), TTL);
    }

    /// Restarts the candidate of a random machine, with another clock and normally with a new name.
    fn restart_candidate(&mut self) {
        let picked = self.pick_machine();
        let run = self.next_run;
        self.next_run += 1;
        let name = match self.faults.seeded {
            SeededFault::SharedName => "shared".to_owned(),
            _ => candidate_name(run),
        };
        let process = &mut self.candidates[picked];
        process.clock = Clock::new(&mut self.random);
        process.state.candidate = Candidate::new(name, TTL);
        process.state.run = run;
    }

    /// Freezes the candidate or the grantor of a random machine.
    fn freeze(&mut self) {
        let picked = self.pick_machine();
        let until = self.time + Duration::from_millis(self.random.u64(..MAX_FREEZE_MS));
        if self.random.bool() {
            self.candidates[picked].frozen_until = until;
        } else {
            self.grantors[picked].frozen_until = until;
        }
    }

    /// Sets back the clock of a random grantor or candidate. A frozen candidate is left out: it cannot detect
    /// a step back that is shorter than the time since its last reading of the clock.
    fn set_clock_back(&mut self) {
        let picked = self.pick_machine();
        let step = Duration::from_millis(self.random.u64(1000..5000));
        if self.random.bool() {
            let candidate = &mut self.candidates[picked];
            if !candidate.is_frozen(self.time) {
                candidate.clock.set_back += step;
            }
        } else {
            self.grantors[picked].clock.set_back += step;
        }
    }
}
