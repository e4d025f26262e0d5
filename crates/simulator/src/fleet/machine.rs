//! One machine of a fleet: its disk, its clock and the process that runs on it.

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

/// Clocks run fast or slow by one part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 1000;
/// A slow machine only runs this often.
const SLOW_RUN_INTERVAL: Duration = Duration::from_millis(120);

/// A clock that drifts.
struct MachineClock {
    /// When the process was started, in time of the fleet.
    process_started: Duration,
    /// Whether the clock runs fast; else it runs slow.
    is_fast: bool,
}

impl MachineClock {
    /// How far the clock has moved since the start of the process.
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

/// How a machine executes its process.
#[derive(Default)]
struct Execution {
    is_frozen: bool,
    is_slow: bool,
    /// What arrived while it was frozen.
    deferred: VecDeque<FleetEvent>,
}

/// Whether a machine stays in the fleet.
#[derive(Default)]
struct Lifecycle {
    /// It is removed once its process has ended.
    is_leaving: bool,
    is_removed: bool,
}

/// A machine.
pub(super) struct Machine {
    pub(super) name: String,
    pub(super) kind: MachineKind,
    /// Whether its settings say that the system starts for the first time.
    pub(super) is_first_start: bool,
    /// The seeds that its settings name, if they were set.
    pub(super) configured_seeds: Option<Vec<usize>>,
    pub(super) disk: SimulatedDisk,
    pub(super) sync_delay: SyncDelay,
    process: Option<Process>,
    clock: MachineClock,
    execution: Execution,
    lifecycle: Lifecycle,
    /// How many processes have ended here.
    process_exits: u64,
}

impl Machine {
    /// A machine with an empty disk and no process.
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

    /// Whether it has been removed, or will be once its process has ended.
    pub(super) fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving || self.lifecycle.is_removed
    }

    /// Whether a process runs and is not frozen.
    pub(super) fn is_running(&self) -> bool {
        self.process.is_some() && !self.execution.is_frozen
    }

    /// Starts its process. Returns whether it runs: when its disk cannot be opened, it exits at once.
    pub(super) fn start(
        &mut self,
        index: usize,
        now: Duration,
        settings: &NodeSettings,
        outbox: &Outbox,
        seed: u64,
    ) -> bool {
        let options = ProcessOptions {
            machine: index,
            settings,
            disk: &self.disk,
            sync_delay: &self.sync_delay,
            outbox,
            seed,
        };
        set_log_context(now, &self.name);
        self.process = Process::start(&options);
        self.clock.process_started = now;
        if self.process.is_none() {
            self.process_exits += 1;
        }
        self.process.is_some()
    }

    /// Lets the process run until its clock has caught up with `now`.
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

    /// Lets the process continue, with the time of its clock; returns what arrived meanwhile.
    pub(super) fn thaw(&mut self, now: Duration) -> VecDeque<FleetEvent> {
        self.execution.is_frozen = false;
        let clock = self.clock.elapsed(now);
        if let Some(process) = &mut self.process {
            process.jump_to(clock);
        }
        std::mem::take(&mut self.execution.deferred)
    }

    /// Keeps what arrives at a frozen machine until it is thawed.
    pub(super) fn defer(&mut self, event: FleetEvent) {
        self.execution.deferred.push_back(event);
    }

    pub(super) fn set_slow(&mut self, is_slow: bool) {
        self.execution.is_slow = is_slow;
    }

    /// Asks the process to shut down gracefully; the machine is removed afterwards if it `is_leaving`.
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

    /// Whether it is to be removed once its process has ended.
    pub(super) fn leaves_after_exit(&self) -> bool {
        self.lifecycle.is_leaving
    }

    pub(super) fn set_removed(&mut self) {
        self.disk.wipe();
        self.lifecycle.is_removed = true;
    }

    /// Drops the process with all its tasks.
    pub(super) fn end_process(&mut self) {
        self.process = None;
        self.execution = Execution::default();
        self.sync_delay.set_stalled(false);
        self.is_first_start = false;
        self.process_exits += 1;
    }
}
