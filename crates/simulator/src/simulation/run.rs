//! One simulation run, from the first configuration until the fleet has recovered from all faults.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use super::checker::Checker;
use super::convergence::{self, Unconverged};
use super::faults::{inject, lose_power_of_all, ActiveFault, Fault};
use super::operators::Operators;
use super::setup::Setup;
use super::trainers::Trainers;
use super::violation::SimulationViolation;
use crate::Fleet;

/// Time between two ticks, in which operators and trainers act and the invariants are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of a megabyte in the settings.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Time limit for the acknowledgement of the first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the recovery from the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which operators and trainers still start new work after the final loss of power.
const TIME_AFTER_POWER_LOSS: Duration = Duration::from_secs(10);

/// The summary of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Number of planned faults, including those without effect, for example because too many machines had
    /// failed.
    pub faults: usize,
    /// Number of acknowledged changes of the configuration.
    pub changes: usize,
    /// Number of committed values of the register that were observed.
    pub values: usize,
    /// Number of accepted batch jobs.
    pub jobs: usize,
    /// The longest time from an order to its conclusive reply.
    pub longest_order: Duration,
    /// Digest of all messages of the run. Two runs with the same seed have the same digest.
    pub digest: u64,
}

/// A run that ended with a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// The simulated time of the violation, since the start of the fleet.
    pub at: Duration,
    /// The violated invariant.
    pub violation: SimulationViolation,
    /// Digest of all messages up to the violation. Two runs with the same seed have the same digest.
    pub digest: u64,
}

/// Runs a fleet with this seed and injects the faults.
///
/// # Errors
///
/// Returns the first violation of an invariant.
pub fn simulate(seed: u64, setup: &Setup, faults: &[Fault]) -> Result<RunSummary, FailedRun> {
    let mut run = Run::new(seed, setup);
    let result = catch_unwind(AssertUnwindSafe(|| run.execute(faults)));
    match result {
        Ok(Ok(())) => Ok(RunSummary { faults: faults.len(), ..run.summary() }),
        Ok(Err(violation)) => {
            run.fleet.log_state();
            Err(run.failed_run(violation))
        }
        Err(_) => Err(run.failed_run(SimulationViolation::Panicked)),
    }
}

/// Finds the smallest number of faults, counted from the first one, with which the run still ends with a
/// violation. Returns this number and the failed run; `None` if no run fails.
///
/// Each attempt is a complete run with fewer faults, which may take a different course. The first failure,
/// with the fewest faults, is returned.
#[must_use]
pub fn shrink(seed: u64, setup: &Setup, faults: &[Fault]) -> Option<(usize, FailedRun)> {
    (0..=faults.len()).find_map(|count| {
        let result = simulate(seed, setup, &faults[..count]);
        result.err().map(|failed| (count, failed))
    })
}

/// A run in progress.
struct Run<'a> {
    setup: &'a Setup,
    fleet: Fleet,
    operators: Operators,
    trainers: Trainers,
    checker: Checker,
    /// Faults that have been injected and have not ended yet.
    active_faults: Vec<ActiveFault>,
}

impl<'a> Run<'a> {
    fn new(seed: u64, setup: &'a Setup) -> Self {
        Self {
            setup,
            fleet: Fleet::start(seed, setup.shape),
            operators: Operators::new(seed, setup.changes_per_second),
            trainers: Trainers::new(seed, setup.job_load),
            checker: Checker::default(),
            active_faults: Vec::new(),
        }
    }

    /// Sends the first configuration, injects the faults at their times, and waits until the fleet has
    /// recovered.
    fn execute(&mut self, faults: &[Fault]) -> Result<(), SimulationViolation> {
        self.operators.put_first_configuration(&mut self.fleet, START_TIMEOUT)?;
        let started = self.fleet.now;
        for fault in faults {
            self.run_until(started + fault.at)?;
            self.active_faults.extend(inject(fault, self.setup.mix, &mut self.fleet));
        }
        self.run_until(started + self.setup.length)?;
        self.end_all_faults();
        if self.setup.ends_with_power_loss {
            lose_power_of_all(&mut self.fleet);
            self.run_until(self.fleet.now + TIME_AFTER_POWER_LOSS)?;
        }
        self.recover()
    }

    /// Advances the fleet until `until`, with new work of operators and trainers. Faults end when their
    /// duration is over.
    fn run_until(&mut self, until: Duration) -> Result<(), SimulationViolation> {
        while self.fleet.now < until {
            self.end_expired_faults();
            self.tick(true)?;
            self.fleet.run_for(TICK_INTERVAL);
        }
        Ok(())
    }

    /// Ends the faults whose duration is over.
    fn end_expired_faults(&mut self) {
        let (now, mix) = (self.fleet.now, self.setup.mix);
        let fleet = &mut self.fleet;
        self.active_faults.retain(|fault| {
            let is_expired = fault.is_expired(now);
            if is_expired {
                fault.end(mix, fleet);
            }
            !is_expired
        });
    }

    /// Ends all active faults and all partitions.
    fn end_all_faults(&mut self) {
        for fault in self.active_faults.drain(..) {
            fault.end(self.setup.mix, &mut self.fleet);
        }
        self.fleet.network.heal();
    }

    /// Lets operators and trainers act once, and checks the invariants.
    fn tick(&mut self, starts_new_work: bool) -> Result<(), SimulationViolation> {
        self.operators.tick(&mut self.fleet, starts_new_work)?;
        self.trainers.tick(&mut self.fleet, starts_new_work)?;
        self.checker.check(&self.fleet)?;
        self.check_memory()
    }

    /// Checks that no store has had more memory than its settings allow, unless they have the default. The platform
    /// would have killed it.
    fn check_memory(&self) -> Result<(), SimulationViolation> {
        let Some(memory_mb) = self.setup.shape.store_memory_mb else { return Ok(()) };
        let stores = self.fleet.machines().filter(|machine| self.fleet.is_store(*machine));
        let limit = (memory_mb * BYTES_PER_MB) as usize;
        let mut peaks = stores.filter_map(|store| Some((store, self.fleet.peak_memory(store)?)));
        match peaks.find(|(_, bytes)| *bytes > limit) {
            Some((store, bytes)) => {
                let machine = self.fleet.name(store).to_owned();
                Err(SimulationViolation::MemoryExceeded { machine, bytes, limit })
            }
            None => Ok(()),
        }
    }

    /// Advances the fleet after the last fault until all started work has ended and the fleet has recovered.
    /// Then checks the acknowledged changes.
    fn recover(&mut self) -> Result<(), SimulationViolation> {
        let deadline = self.fleet.now + RECOVERY_TIMEOUT;
        loop {
            self.tick(false)?;
            let Some(missing) = self.first_unconverged() else { break };
            if self.fleet.now >= deadline {
                return Err(SimulationViolation::NotConverged { timeout: RECOVERY_TIMEOUT, missing });
            }
            self.fleet.run_for(TICK_INTERVAL);
        }
        Ok(self.operators.check_acknowledged(&self.checker)?)
    }

    /// Returns the first condition of recovery that is not met yet; `None` after the recovery.
    fn first_unconverged(&self) -> Option<Unconverged> {
        self.operators
            .pending_order()
            .or_else(|| self.trainers.unconverged(&self.fleet))
            .or_else(|| convergence::check_fleet(&self.fleet))
    }

    /// Returns the summary of the run so far, without the number of faults.
    fn summary(&self) -> RunSummary {
        RunSummary {
            faults: 0,
            changes: self.operators.acknowledged_changes(),
            values: self.checker.value_count(),
            jobs: self.trainers.accepted_jobs(),
            longest_order: self.operators.longest_order(),
            digest: self.fleet.digest(),
        }
    }

    /// Describes the end of the run by a violation at the present time.
    fn failed_run(&self, violation: SimulationViolation) -> FailedRun {
        FailedRun { at: self.fleet.now, violation, digest: self.fleet.digest() }
    }
}
