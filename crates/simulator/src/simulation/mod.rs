//! Random runs: a fleet under troubles that are drawn from a seed, with operators and trainers at work, watched by
//! a checker.

mod checker;
mod operators;
mod trainers;
mod troubles;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use crate::{Fleet, Shape};

use checker::Checker;
use operators::Operators;
use trainers::Trainers;
pub use troubles::{Kind, Mix, Trouble};

/// How often operators, trainers and the checker look.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Within this time after the last trouble all must be well again.
const RECOVERY: Duration = Duration::from_secs(60);
/// After the loss of power in the end, operators and trainers begin new work for this long.
const AFTER_CLOSE: Duration = Duration::from_secs(10);
/// The first configuration is acknowledged within this time.
const START: Duration = Duration::from_secs(30);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The size of the fleet.
    pub shape: Shape,
    /// How long troubles come.
    pub length: Duration,
    /// The mean time between two troubles.
    pub pause: Duration,
    /// How many changes the operators try in a second, together.
    pub changes_per_second: f64,
    /// Which troubles come.
    pub mix: Mix,
    /// In the end all machines lose power at one moment, and some of them their disks.
    pub closes: bool,
}

impl Setup {
    /// A day as those of the small deployments.
    #[must_use]
    pub fn small() -> Self {
        Self {
            shape: Shape::default(),
            length: Duration::from_secs(40),
            pause: Duration::from_millis(1500),
            changes_per_second: 2.0,
            mix: Mix::All,
            closes: false,
        }
    }

    /// As [`Setup::small`], with five nodes and five stores of which two may be lost.
    #[must_use]
    pub fn large() -> Self {
        let shape = Shape { nodes: 5, diskless: 0, stores: 5, servers: 6, machines_lost: 2 };
        Self { shape, ..Self::small() }
    }

    /// Machines are replaced one after the other, each as soon as the one before counts as back; seeds without a disk
    /// are named; in the end all lose power.
    #[must_use]
    pub fn turnover() -> Self {
        let shape = Shape { diskless: 3, ..Shape::default() };
        Self { shape, mix: Mix::Turnover, closes: true, ..Self::small() }
    }

    /// As [`Setup::turnover`], with five nodes and five stores of which two may be lost.
    #[must_use]
    pub fn large_turnover() -> Self {
        let shape = Shape { diskless: 3, ..Self::large().shape };
        Self { shape, ..Self::turnover() }
    }

    /// Many changes of the configuration.
    #[must_use]
    pub fn many_changes() -> Self {
        Self { length: Duration::from_secs(120), changes_per_second: 20.0, ..Self::small() }
    }
}

/// What a run that broke nothing has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Troubles that were made.
    pub troubles: usize,
    /// Changes of the configuration that were acknowledged.
    pub changes: usize,
    /// Committed values of the register.
    pub values: usize,
    /// Batch jobs that were accepted.
    pub jobs: usize,
    /// The longest time that an order waited for its clear answer.
    pub longest_order: Duration,
    /// Digest of all messages of the run: two runs of one seed have the same.
    pub digest: u64,
}

/// A rule that a run has broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When.
    pub at: Duration,
    /// What.
    pub what: String,
    /// Digest of all messages up to then: two runs of one seed have the same.
    pub digest: u64,
}

/// The troubles of a seed.
#[must_use]
pub fn plan(seed: u64, setup: &Setup) -> Vec<Trouble> {
    troubles::draw(seed, setup)
}

/// Plays the troubles on a fleet with this seed.
///
/// # Errors
///
/// The first rule that was broken.
pub fn play(seed: u64, setup: &Setup, troubles: &[Trouble]) -> Result<Seen, Broken> {
    let mut run = Run {
        fleet: Fleet::start(seed, setup.shape),
        operators: Operators::new(seed, setup.changes_per_second),
        trainers: Trainers::new(seed),
        checker: Checker::default(),
    };
    let played = catch_unwind(AssertUnwindSafe(|| run.play(setup, troubles)));
    match played {
        Ok(Ok(())) => Ok(Seen { troubles: troubles.len(), ..run.seen() }),
        Ok(Err(what)) => {
            run.fleet.log_state();
            Err(run.broken(what))
        }
        Err(_) => Err(run.broken("a process panicked".to_owned())),
    }
}

/// The fewest of the first troubles with which the run still breaks a rule, and what it breaks.
///
/// Each shorter run is played anew, so that its course differs; the shortest that fails is what is wanted.
#[must_use]
pub fn shortest(seed: u64, setup: &Setup, troubles: &[Trouble]) -> Option<(usize, Broken)> {
    (0..=troubles.len()).find_map(|count| {
        let played = play(seed, setup, &troubles[..count]);
        played.err().map(|broken| (count, broken))
    })
}

struct Run {
    fleet: Fleet,
    operators: Operators,
    trainers: Trainers,
    checker: Checker,
}

impl Run {
    fn play(&mut self, setup: &Setup, troubles: &[Trouble]) -> Result<(), String> {
        self.operators.begin(&mut self.fleet, START)?;
        let began = self.fleet.now;
        let mut ends = Vec::new();
        for trouble in troubles {
            self.run_until(began + trouble.at, setup.mix, &mut ends)?;
            if let Some(end) = troubles::begin(trouble, setup.mix, &mut self.fleet) {
                ends.push(end);
            }
        }
        self.run_until(began + setup.length, setup.mix, &mut ends)?;
        ends.drain(..).for_each(|end| troubles::end(&end, setup.mix, &mut self.fleet));
        self.fleet.network.heal();
        if setup.closes {
            troubles::close(&mut self.fleet);
            let until = self.fleet.now + AFTER_CLOSE;
            self.run_until(until, setup.mix, &mut ends)?;
        }
        self.recover()
    }

    /// Operators and trainers go on while troubles end in time.
    fn run_until(&mut self, until: Duration, mix: Mix, ends: &mut Vec<troubles::End>) -> Result<(), String> {
        while self.fleet.now < until {
            let now = self.fleet.now;
            ends.retain(|end| {
                let is_over = end.at <= now;
                if is_over {
                    troubles::end(end, mix, &mut self.fleet);
                }
                !is_over
            });
            self.look(true)?;
            self.fleet.run(LOOK_EVERY);
        }
        Ok(())
    }

    fn look(&mut self, starts_new: bool) -> Result<(), String> {
        self.operators.look(&mut self.fleet, starts_new)?;
        self.trainers.look(&mut self.fleet, starts_new)?;
        self.checker.look(&self.fleet)
    }

    /// After the last trouble, all that was begun comes to its end, and everything is whole again.
    fn recover(&mut self) -> Result<(), String> {
        let until = self.fleet.now + RECOVERY;
        loop {
            self.look(false)?;
            let left = self.unfinished();
            if left.is_none() {
                break;
            }
            if self.fleet.now >= until {
                return Err(format!("not well again after {RECOVERY:?}: {}", left.unwrap_or_default()));
            }
            self.fleet.run(LOOK_EVERY);
        }
        self.operators.check_end(&self.checker)
    }

    fn unfinished(&self) -> Option<String> {
        self.operators
            .unfinished()
            .or_else(|| self.trainers.unfinished(&self.fleet))
            .or_else(|| checker::unfinished(&self.fleet))
    }

    fn seen(&self) -> Seen {
        Seen {
            troubles: 0,
            changes: self.operators.acknowledged(),
            values: self.checker.values(),
            jobs: self.trainers.accepted(),
            longest_order: self.operators.longest(),
            digest: self.fleet.digest(),
        }
    }

    fn broken(&self, what: String) -> Broken {
        Broken { at: self.fleet.now, what, digest: self.fleet.digest() }
    }
}
