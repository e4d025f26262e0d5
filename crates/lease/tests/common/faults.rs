//! What goes wrong in a simulation.

use std::time::Duration;

use lease::{Candidate, Grantor};

use super::changes::GrantorSet;
use super::process::{candidate_name, Clock};
use super::{Simulation, ID_STEP_PER_DISK, TTL};

/// Longest time for which a process is frozen, in milliseconds.
const MAX_FREEZE_MS: u64 = 6000;

/// A mistake in the use of the lease that the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    /// No mistake.
    None,
    /// A restarted grantor grants at once.
    GrantsAfterRestart,
    /// Replies to earlier rounds count for the present one.
    AnyTerm,
    /// Grantors grant to candidates that know an older set.
    AnyRevision,
    /// Candidates win with grantors that became the committed ones a moment ago.
    NewGrantors,
    /// A restarted process has the name of its earlier run, and so takes over its grants, while the earlier
    /// run goes on.
    SharedName,
}

/// The faults that are injected into a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Processes restart.
    pub restarts: bool,
    /// Processes freeze and thaw.
    pub freezes: bool,
    /// Messages are lost, late or doubled.
    pub bad_network: bool,
    /// Clocks go back.
    pub clock_jumps: bool,
    /// Grantors are added and removed.
    pub grantor_changes: bool,
    /// Machines that have no grantor of the committed set lose their disks.
    pub lost_disks: bool,
    /// A mistake in the use of the lease.
    pub seeded: SeededFault,
}

impl Simulation {
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

    /// A machine that was replaced comes back with an empty disk.
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

    /// Freezes a candidate or a grantor.
    fn freeze(&mut self) {
        let picked = self.pick_machine();
        let until = self.time + Duration::from_millis(self.random.u64(..MAX_FREEZE_MS));
        if self.random.bool() {
            self.candidates[picked].frozen_until = until;
        } else {
            self.grantors[picked].frozen_until = until;
        }
    }

    /// Sets back the clock of a grantor, or of a candidate that reads it at once: a step back that is shorter
    /// than the time since the last reading cannot be noticed.
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
