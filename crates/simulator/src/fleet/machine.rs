//! A machine of a fleet: its disk, its clock and the process that runs on it.

use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;
use settings::NodeSettings;
use storage::simulated::SimulatedDisk;

use super::events::FleetEvent;
use super::shape::MachineKind;
use crate::disk::SyncDelay;
use crate::logging::set_log_context;
use crate::process::{Process, ProcessOptions};
use crate::transport::Outbox;

/// Clocks deviate from the fleet's time by one part in this number, either fast or slow.
const CLOCK_DRIFT_DIVISOR: u32 = 1000;
/// Time between two runs of the process of a slow machine.
const SLOW_RUN_INTERVAL: Duration = Duration::from_millis(120);

/// The clock of a machine, which is always a little fast or slow.
struct MachineClock {
    /// The time of the fleet at which the process was started.
    process_started: Duration,
    /// Whether the clock runs fast; otherwise it runs slow.
    is_fast: bool,
}

impl MachineClock {
    /// Returns the time since the start of the process by this clock.
    fn elapsed(&self, now: Duration) -> Duration {
        let elapsed = now - self.process_started;
        let drift = elapsed / CLOCK_DRIFT_DIVISOR;
        if self.is_fast {
            elapsed + drift
        } else {
            elapsed - drift
        }
    }
}

/// Whether a machine runs its process normally, slowly or not at all.
#[derive(Default)]
struct Execution {
    is_frozen: bool,
    is_slow: bool,
    /// Events that arrived at the machine while it was frozen.
    deferred: VecDeque<FleetEvent>,
}

/// Whether a machine is leaving the fleet or has been removed.
#[derive(Default)]
struct Lifecycle {
    /// Whether the machine is to be removed after the exit of its process.
    is_leaving: bool,
    is_removed: bool,
}

/// A machine with at most one process.
pub(super) struct Machine {
    /// The name in the settings, for example `node-0`.
    pub(super) name: String,
    pub(super) kind: MachineKind,
    /// The value of the setting `firstStart`: whether the process may start a new system. It becomes false
    /// when a process of the machine ends.
    pub(super) is_first_start: bool,
    /// The machines that the settings list as seeds; `None` for the default seeds.
    pub(super) configured_seeds: Option<Vec<usize>>,
    pub(super) disk: SimulatedDisk,
    pub(super) sync_delay: SyncDelay,
    /// `None` while the machine is down.
    process: Option<Process>,
    clock: MachineClock,
    execution: Execution,
    lifecycle: Lifecycle,
    /// Number of processes that have ended on this machine, including failed starts. It identifies the
    /// current process.
    process_exits: u64,
}

impl Machine {
    /// Creates a machine with an empty disk and no process. Whether its clock is fast or slow is random.
    pub(super) fn new(name: String, kind: MachineKind, is_first_start: bool, random: &mut Rng) -> Self {
        let disk = SimulatedDisk::new(random.u64(..));
        let clock = MachineClock { process_started: Duration::ZERO, is_fast: random.bool() };
        Self {
            name,
            kind,
            is_first_start,
            configured_seeds: None,
            disk,
            sync_delay: SyncDelay::default(),
            process: None,
            clock,
            execution: Execution::default(),
            lifecycle: Lifecycle::default(),
            process_exits: 0,
        }
    }

    pub(super) fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    pub(super) fn process_exits(&self) -> u64 {
        self.process_exits
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.execution.is_frozen
    }

    pub(super) fn is_slow(&self) -> bool {
        self.execution.is_slow
    }

    pub(super) fn is_removed(&self) -> bool {
        self.lifecycle.is_removed
    }

    /// Whether the machine has been removed, or will be removed after the exit of its process.
    pub(super) fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving || self.lifecycle.is_removed
    }

    /// Whether the machine has a process and is not frozen.
    pub(super) fn is_running(&self) -> bool {
        self.process.is_some() && !self.execution.is_frozen
    }

    /// Starts a process. Returns whether it is running: it exits immediately if its disk cannot be opened.
    pub(super) fn start(
        &mut self,
        index: usize,
        now: Duration,
        settings: &NodeSettings,
        outbox: &Outbox,
        seed: u64,
        max_item_duration: Duration,
    ) -> bool {
        let options = ProcessOptions {
            machine: index,
            settings,
            disk: &self.disk,
            sync_delay: &self.sync_delay,
            outbox,
            seed,
            max_item_duration,
        };
        set_log_context(now, &self.name);
        self.process = Process::start(&options);
        self.clock.process_started = now;
        if self.process.is_none() {
            self.process_exits += 1;
        }
        self.process.is_some()
    }

    /// Runs the process until its clock has caught up with `now`. A slow machine runs only at intervals.
    pub(super) fn run(&mut self, now: Duration) {
        if !self.is_running() {
            return;
        }
        set_log_context(now, &self.name);
        let clock = self.clock.elapsed(now);
        let Some(process) = &mut self.process else { return };
        if !self.execution.is_slow {
            process.run_until(clock);
        } else if clock > process.clock() + SLOW_RUN_INTERVAL {
            process.jump_to(clock);
        }
    }

    pub(super) fn freeze(&mut self) {
        self.execution.is_frozen = true;
    }

    /// Ends the freeze and advances the clock of the process to the present time. Returns the events that
    /// arrived during the freeze.
    pub(super) fn thaw(&mut self, now: Duration) -> VecDeque<FleetEvent> {
        self.execution.is_frozen = false;
        let clock = self.clock.elapsed(now);
        if let Some(process) = &mut self.process {
            process.jump_to(clock);
        }
        std::mem::take(&mut self.execution.deferred)
    }

    /// Keeps an event of a frozen machine until [`Machine::thaw`].
    pub(super) fn defer(&mut self, event: FleetEvent) {
        self.execution.deferred.push_back(event);
    }

    pub(super) fn set_slow(&mut self, is_slow: bool) {
        self.execution.is_slow = is_slow;
    }

    /// Asks the process to shut down gracefully. With `is_leaving`, the machine is removed afterwards.
    pub(super) fn terminate(&mut self, is_leaving: bool) {
        self.lifecycle.is_leaving |= is_leaving;
        if let Some(process) = &self.process {
            process.terminate();
        }
    }

    /// Whether the process has shut down gracefully.
    pub(super) fn has_shut_down(&self) -> bool {
        self.process.as_ref().is_some_and(Process::has_shut_down)
    }

    /// Whether the machine is to be removed after the exit of its process.
    pub(super) fn leaves_after_exit(&self) -> bool {
        self.lifecycle.is_leaving
    }

    /// Erases the disk and marks the machine as removed.
    pub(super) fn set_removed(&mut self) {
        self.disk.wipe();
        self.lifecycle.is_removed = true;
    }

    /// Kills the process with all its tasks, and ends the freeze, slowness and disk stall of the machine.
    pub(super) fn end_process(&mut self) {
        self.process = None;
        self.execution = Execution::default();
        self.sync_delay.set_stalled(false);
        self.is_first_start = false;
        self.process_exits += 1;
    }
}
