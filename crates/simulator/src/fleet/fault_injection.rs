//! Faults of machines, disks and connections.

use std::time::Duration;

use storage::simulated::RandomWriteFaults;

use super::{Fleet, MachineKind, MAX_RESTART_DELAY};
use crate::process;

impl Fleet {
    /// Kills a process; its machine starts another within a second.
    pub fn kill(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].disk.kill();
        self.end_process(machine);
        self.calls.reset_connections(machine);
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Cuts the power of a machine, possibly in the middle of a write; its process starts again within a second.
    pub fn lose_power(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        let mut write_faults = RandomWriteFaults::new(self.random.u64(..));
        self.machines[machine].disk.lose_power(&mut write_faults);
        self.end_process(machine);
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Asks a process to shut down gracefully; its machine starts another within a second, or is removed if it
    /// `is_leaving`.
    pub fn terminate(&mut self, machine: usize, is_leaving: bool) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].terminate(is_leaving);
    }

    /// Lets the next sync of a machine's disk fail.
    pub fn fail_sync(&mut self, machine: usize) {
        self.machines[machine].disk.fail_syncs(1);
    }

    /// Stalls the disk of a machine, or lets it continue.
    pub fn stall_disk(&mut self, machine: usize, is_stalled: bool) {
        self.machines[machine].sync_delay.set_stalled(is_stalled);
    }

    /// Erases the disk of a machine; its process starts again with an empty one within a second.
    pub fn lose_disk(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].disk.wipe();
        self.end_process(machine);
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Ends a process and appends a record to its disk that its role cannot decode, as another build might have; the
    /// process starts again within a second.
    pub fn append_undecodable_record(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].disk.kill();
        self.end_process(machine);
        process::append_undecodable_record(&self.machines[machine].disk, self.is_store(machine));
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Counts a machine as failed until it, or its successor, has returned within this time and has caught up.
    pub fn record_failure(&mut self, machine: usize, returns_within: Duration) {
        if self.kind(machine) == MachineKind::DisklessNode {
            return;
        }
        let until = self.now + returns_within + self.shape.catch_up_time();
        self.failures.record(machine, until);
    }

    /// How many machines with a disk count as failed now.
    #[must_use]
    pub fn failed_machine_count(&self) -> usize {
        self.failures.failed_at(self.now)
    }

    /// Removes a machine for good.
    pub fn remove_machine(&mut self, machine: usize) {
        self.machines[machine].set_removed();
        self.end_process(machine);
    }

    /// Removes a machine for good and adds another of the same kind with a new address and an empty disk; returns the
    /// index of the other.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.remove_machine(machine);
        self.add_machine(self.machines[machine].kind, false)
    }

    /// Suspends a machine; what is sent to it waits.
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].freeze();
    }

    /// Lets a frozen machine continue.
    pub fn thaw(&mut self, machine: usize) {
        self.record_failure(machine, Duration::ZERO);
        for event in self.machines[machine].thaw(self.now) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Slows a machine down so that it only runs now and then, or ends that.
    pub fn slow_down(&mut self, machine: usize, is_slow: bool) {
        self.machines[machine].set_slow(is_slow);
    }

    /// Resets all connections of a machine: no pending call to it or by it is replied to.
    pub fn reset_connections(&mut self, machine: usize) {
        self.calls.reset_connections(machine);
    }

    /// Changes the seeds in the settings of a machine, and reloads them if its process runs.
    pub fn set_seeds(&mut self, machine: usize, seeds: Vec<usize>) {
        self.machines[machine].configured_seeds = Some(seeds);
        let settings = self.settings_of(machine);
        if let Some(process) = self.machines[machine].process() {
            process.reload(&settings);
        }
    }

    /// Ends a process without a trace of its calls.
    fn end_process(&mut self, machine: usize) {
        self.machines[machine].end_process();
        self.calls.drop_calls_of(machine);
    }
}
