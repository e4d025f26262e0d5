//! One random run, from the first configuration until the fleet has recovered from all faults.

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

/// Time from one turn of operators, trainers and checks to the next.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for the acknowledgement of the first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the recovery from the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long operators and trainers start new work after the loss of power in the end.
const TIME_AFTER_POWER_LOSS: Duration = Duration::from_secs(10);

/// The summary of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Faults that were planned.
    pub faults: usize,
    /// Changes of the configuration that were acknowledged.
    pub changes: usize,
    /// Committed values of the register.
    pub values: usize,
    /// Batch jobs that were accepted.
    pub jobs: usize,
    /// The longest time from an order to its conclusive reply.
    pub longest_order: Duration,
    /// Digest of all messages of the run: two runs of one seed have the same.
    pub digest: u64,
}

/// A run that has broken a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// When, in time of the fleet.
    pub at: Duration,
    /// The rule that was broken.
    pub violation: SimulationViolation,
    /// Digest of all messages up to then: two runs of one seed have the same.
    pub digest: u64,
}

/// Plays faults on a fleet with this seed.
///
/// # Errors
///
/// The first violation.
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

/// The smallest number of first faults with which the run still breaks a rule, and how it fails then.
///
/// Each shorter run is played from its start, so that its course may differ; the shortest that fails is
/// returned.
#[must_use]
pub fn shrink(seed: u64, setup: &Setup, faults: &[Fault]) -> Option<(usize, FailedRun)> {
    (0..=faults.len()).find_map(|count| {
        let result = simulate(seed, setup, &faults[..count]);
        result.err().map(|failed| (count, failed))
    })
}

struct Run<'a> {
    setup: &'a Setup,
    fleet: Fleet,
    operators: Operators,
    trainers: Trainers,
    checker: Checker,
    active_faults: Vec<ActiveFault>,
}

impl<'a> Run<'a> {
    fn new(seed: u64, setup: &'a Setup) -> Self {
        Self {
            setup,
            fleet: Fleet::start(seed, setup.shape),
            operators: Operators::new(seed, setup.changes_per_second),
            trainers: Trainers::new(seed),
            checker: Checker::default(),
            active_faults: Vec::new(),
        }
    }

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

    /// Lets operators and trainers work while faults end in their time.
    fn run_until(&mut self, until: Duration) -> Result<(), SimulationViolation> {
        while self.fleet.now < until {
            self.end_expired_faults();
            self.tick(true)?;
            self.fleet.run_for(TICK_INTERVAL);
        }
        Ok(())
    }

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

    fn end_all_faults(&mut self) {
        for fault in self.active_faults.drain(..) {
            fault.end(self.setup.mix, &mut self.fleet);
        }
        self.fleet.network.heal();
    }

    /// One turn of operators, trainers and checks.
    fn tick(&mut self, starts_new_work: bool) -> Result<(), SimulationViolation> {
        self.operators.tick(&mut self.fleet, starts_new_work)?;
        self.trainers.tick(&mut self.fleet, starts_new_work)?;
        Ok(self.checker.check(&self.fleet)?)
    }

    /// After the last fault, all work that was started comes to its end, and the fleet recovers.
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

    fn first_unconverged(&self) -> Option<Unconverged> {
        self.operators
            .pending_order()
            .or_else(|| self.trainers.unconverged(&self.fleet))
            .or_else(|| convergence::check_fleet(&self.fleet))
    }

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

    fn failed_run(&self, violation: SimulationViolation) -> FailedRun {
        FailedRun { at: self.fleet.now, violation, digest: self.fleet.digest() }
    }
}
