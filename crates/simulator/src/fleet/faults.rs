//! What may befall the machines of a fleet.

use std::time::Duration;

use storage::simulated::RandomWriteFaults;

use super::{catch_up, Fleet, MachineKind};
use crate::wire::Place;

impl Fleet {
    /// Kills a process; its machine starts it again within a second.
    pub fn kill(&mut self, machine: usize) {
        self.note_loss(machine, Duration::from_secs(1));
        self.machines[machine].disk.kill();
        self.end(machine, true);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Cuts the power of a machine, at times amid a write; it starts again within a second.
    pub fn lose_power(&mut self, machine: usize) {
        self.note_loss(machine, Duration::from_secs(1));
        let mut fates = RandomWriteFaults::new(self.random.u64(..));
        self.machines[machine].disk.lose_power(&mut fates);
        self.end(machine, false);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Tells a process to end in good order; its machine starts it again within a second, or is gone for good.
    pub fn terminate(&mut self, machine: usize, leaves: bool) {
        self.note_loss(machine, Duration::from_secs(1));
        let machine = &mut self.machines[machine];
        machine.leaves |= leaves;
        if let Some(process) = &machine.process {
            process.terminate();
        }
    }

    /// Whether a machine is gone for good, or will be once its process has ended.
    #[must_use]
    pub fn is_leaving(&self, machine: usize) -> bool {
        self.machines[machine].leaves || self.machines[machine].is_removed
    }

    /// The next sync of a machine's disk fails.
    pub fn fail_sync(&mut self, machine: usize) {
        self.machines[machine].disk.fail_syncs(1);
    }

    /// The disk of a machine hangs, or goes on.
    pub fn stall_disk(&mut self, machine: usize, is_stalled: bool) {
        self.machines[machine].pace.set_stalled(is_stalled);
    }

    /// Takes the disk of a machine; it starts again with an empty one within a second.
    pub fn lose_disk(&mut self, machine: usize) {
        self.note_loss(machine, Duration::from_secs(1));
        self.machines[machine].disk.wipe();
        self.end(machine, false);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// A machine counts as lost until it, or its successor, has returned within this time and has caught up.
    pub fn note_loss(&mut self, machine: usize, returns_within: Duration) {
        if self.kind(machine) == MachineKind::DisklessNode {
            return;
        }
        let until = self.now + returns_within + catch_up(self.shape);
        let known = self.lost_until.entry(machine).or_default();
        *known = until.max(*known);
    }

    /// How many machines with a disk count as lost now.
    #[must_use]
    pub fn machines_lost(&self) -> usize {
        self.lost_until.values().filter(|until| **until > self.now).count()
    }

    /// Takes a machine away for good.
    pub fn remove(&mut self, machine: usize) {
        self.machines[machine].disk.wipe();
        self.machines[machine].is_removed = true;
        self.end(machine, false);
    }

    /// Takes a machine away for good and adds another with the same role, a new address and an empty disk.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.note_loss(machine, Duration::from_secs(1));
        self.remove(machine);
        self.add(self.machines[machine].kind, false)
    }

    /// Stops a machine in its tracks; what is sent to it waits.
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].is_frozen = true;
    }

    /// Lets a frozen machine go on.
    pub fn thaw(&mut self, machine: usize) {
        self.note_loss(machine, Duration::ZERO);
        self.machines[machine].is_frozen = false;
        let clock = self.clock_of(machine);
        if let Some(process) = &mut self.machines[machine].process {
            process.jump_to(clock);
        }
        for event in std::mem::take(&mut self.machines[machine].held_up) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Slows a machine down so that it only runs now and then, or ends that.
    pub fn slow_down(&mut self, machine: usize, is_slow: bool) {
        self.machines[machine].is_slow = is_slow;
    }

    /// All connections of a machine are reset: no call to it or by it that is under way is answered.
    pub fn reset_connections(&mut self, machine: usize) {
        for pending in self.calls.values_mut() {
            if pending.from == machine || pending.to == Place::Machine(machine) {
                // The caller sees the reset.
                drop(pending.answer.take());
            }
        }
    }

    /// Names other seeds in the settings of a machine; if its process runs, it reads them again.
    pub fn name_seeds(&mut self, machine: usize, seeds: Vec<usize>) {
        self.seeds.insert(machine, seeds);
        let settings = self.settings_of(machine);
        if let Some(process) = &self.machines[machine].process {
            process.reload(&settings);
        }
    }

    pub(super) fn end(&mut self, index: usize, is_reset: bool) {
        let machine = &mut self.machines[index];
        (machine.process, machine.is_frozen, machine.is_slow) = (None, false, false);
        machine.held_up.clear();
        machine.pace.set_stalled(false);
        machine.first_start = false;
        machine.life += 1;
        self.calls.retain(|_, pending| pending.from != index);
        if is_reset {
            self.reset_connections(index);
        }
    }
}
