//! Injection of faults into machines, disks and connections.

use std::time::Duration;

use storage::simulated::RandomWriteFaults;

use super::{Fleet, MachineKind, MAX_RESTART_DELAY};
use crate::process;
use crate::ServerPartitionKind;

impl Fleet {
    /// Kills the process of a machine. The machine starts another process within a second.
    pub fn kill(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].disk.kill();
        self.machines[machine].end_process();
        self.calls.close_calls_of(machine);
        self.calls.reset_connections(machine);
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Cuts the power of a machine, possibly in the middle of a write. The machine starts another process
    /// within a second.
    pub fn lose_power(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        let mut write_faults = RandomWriteFaults::new(self.random.u64(..));
        self.machines[machine].disk.lose_power(&mut write_faults);
        self.end_process(machine);
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Asks the process of a machine to shut down gracefully. Afterwards the machine is removed if
    /// `is_leaving`; otherwise it starts another process within a second.
    pub fn terminate(&mut self, machine: usize, is_leaving: bool) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].terminate(is_leaving);
    }

    /// Makes the next sync of a machine's disk fail.
    pub fn fail_sync(&mut self, machine: usize) {
        self.machines[machine].disk.fail_syncs(1);
    }

    /// Stalls the disk of a machine, or ends the stall. No sync completes during a stall.
    pub fn stall_disk(&mut self, machine: usize, is_stalled: bool) {
        self.machines[machine].sync_delay.set_stalled(is_stalled);
    }

    /// Erases the disk of a machine and ends its process. The machine starts another process with the empty
    /// disk within a second.
    pub fn lose_disk(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].disk.wipe();
        self.end_process(machine);
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Ends the process of a machine and appends a record to its journal that the role cannot decode, as a
    /// different build could have written. The machine starts another process within a second.
    pub fn append_undecodable_record(&mut self, machine: usize) {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.machines[machine].disk.kill();
        self.end_process(machine);
        process::append_undecodable_record(&self.machines[machine].disk, self.is_store(machine));
        self.schedule_start(machine, MAX_RESTART_DELAY);
    }

    /// Counts a machine as failed for the time `returns_within`, in which the machine or its successor
    /// returns, plus the catch-up time. Nodes without a disk do not count.
    pub fn record_failure(&mut self, machine: usize, returns_within: Duration) {
        if self.kind(machine) == MachineKind::DisklessNode {
            return;
        }
        let until = self.now + returns_within + self.shape.catch_up_time();
        self.failures.record(machine, until);
    }

    /// Returns the number of machines with a disk that count as failed now.
    #[must_use]
    pub fn failed_machine_count(&self) -> usize {
        self.failures.failed_at(self.now)
    }

    /// Removes a machine and erases its disk. The machine never returns.
    pub fn remove_machine(&mut self, machine: usize) {
        self.machines[machine].set_removed();
        self.end_process(machine);
    }

    /// Removes a machine and adds another of the same kind, with a new address and an empty disk. Returns the
    /// index of the added machine.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.record_failure(machine, MAX_RESTART_DELAY);
        self.remove_machine(machine);
        self.add_machine(self.machines[machine].kind, false)
    }

    /// Suspends a machine. Messages to this machine are delivered after [`Fleet::thaw`].
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].freeze();
    }

    /// Resumes a frozen machine and delivers the messages that arrived during the freeze.
    pub fn thaw(&mut self, machine: usize) {
        self.record_failure(machine, Duration::ZERO);
        for event in self.machines[machine].thaw(self.now) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Slows a machine down, so that its process runs only at long intervals, or ends the slowness.
    pub fn slow_down(&mut self, machine: usize, is_slow: bool) {
        self.machines[machine].set_slow(is_slow);
    }

    /// Resets all connections of a machine: pending calls from and to this machine fail with an unknown
    /// outcome.
    pub fn reset_connections(&mut self, machine: usize) {
        self.calls.reset_connections(machine);
    }

    /// Partitions a model server from all machines for this time.
    pub fn partition_server(&mut self, server: usize, kind: ServerPartitionKind, duration: Duration) {
        self.network.partition_server(server, kind, self.now + duration);
    }

    /// Changes the seeds in the settings of a machine, and reloads the settings if the machine has a process.
    pub fn set_seeds(&mut self, machine: usize, seeds: Vec<usize>) {
        self.machines[machine].configured_seeds = Some(seeds);
        let settings = self.settings_of(machine);
        if let Some(process) = self.machines[machine].process() {
            process.reload(&settings);
        }
    }

    /// Ends the process of a machine and removes the calls that it has made, as a loss of power does.
    fn end_process(&mut self, machine: usize) {
        self.machines[machine].end_process();
        self.calls.drop_calls_of(machine);
    }
}
