//! Expands the events of a scenario into steps with due times. All random numbers are derived from the seed
//! of the scenario and drawn before the run begins.

use std::time::Duration;

use crate::scenario::{EventKind, Scenario};

/// Number of machine failures on an ordinary day.
const FAILURES_PER_DAY: f64 = 130.0;
/// Number of restarts and replacements of servers on an ordinary day. Both are emulated as restarts.
const RESTARTS_PER_DAY: f64 = 4_100.0;
/// Number of changes of the configuration on an ordinary day.
const CHANGES_PER_DAY: f64 = 1_300.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Drain time of a server that is restarted, in seconds. A failed machine is removed from the list after the
/// same time.
const DRAIN_S: f64 = 2.0;
/// Time after which a restarted server or a failed machine is listed as active again, in seconds from the
/// start of the drain or from the failure.
const RESTART_S: f64 = 5.0;

/// One change of the emulated fleet. Servers are identified by the slots that they occupy.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Servers begin to drain.
    Drain(Vec<usize>),
    /// The processes of servers end, and discovery removes the servers from the list.
    Leave(Vec<usize>),
    /// Machines stop responding. Their servers stay on the list.
    StopResponding(Vec<usize>),
    /// Discovery removes unresponsive servers from the list.
    Unlist(Vec<usize>),
    /// Servers restart under their old names and are listed as active again. Their new start time makes them
    /// warm up.
    Return(Vec<usize>),
    /// New servers are added in slots, and the servers that occupied the slots begin to drain.
    Replace {
        /// Identifies the servers that are replaced together.
        batch: usize,
        /// The slots that get new servers.
        slots: Vec<usize>,
    },
    /// The processes of the servers that a batch replaced end, and discovery removes these servers from the
    /// list.
    Retire {
        /// The batch of the earlier [`Step::Replace`].
        batch: usize,
    },
    /// The weight of the servers of a service changes.
    SetServiceWeight {
        /// Index of the service.
        service: usize,
        /// The new weight of all servers of the service.
        weight: f64,
    },
    /// A partition between a region and all others begins or ends.
    Partition {
        /// Index of the region.
        region: usize,
        /// True if the partition begins, false if it ends.
        partitioned: bool,
    },
    /// The discovery agents of all regions stop responding (false) or respond again (true).
    SetDiscoveryResponsive(bool),
    /// Nodes restart without a list.
    RestartNodes(Vec<usize>),
}

/// A step and its due time, measured from the start of the run.
pub type TimedStep = (Duration, Step);

/// Expands a scenario into its steps, sorted by due time.
#[must_use]
pub fn steps(scenario: &Scenario) -> Vec<TimedStep> {
    let mut generator = StepGenerator {
        scenario,
        random: fastrand::Rng::with_seed(scenario.seed),
        next_batch: 0,
        steps: Vec::new(),
    };
    for event in &scenario.events {
        generator.add(event.at_s, &event.kind);
    }
    // The sort is stable: steps with the same due time keep the order of the events in the scenario file.
    generator.steps.sort_by_key(|(at, _)| *at);
    generator.steps
}

/// Generates the steps of one event after the other.
struct StepGenerator<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    /// Identifier of the next batch of a rolling replacement.
    next_batch: usize,
    steps: Vec<TimedStep>,
}

impl StepGenerator<'_> {
    fn push(&mut self, at_s: f64, step: Step) {
        self.steps.push((Duration::from_secs_f64(at_s), step));
    }

    /// Adds the steps of an event that begins at `at` seconds.
    fn add(&mut self, at: f64, kind: &EventKind) {
        let size = self.scenario.size;
        match *kind {
            EventKind::OrdinaryDay { for_s, speed } => self.ordinary_day(at, for_s, speed),
            EventKind::RollingReplacement { part, batches, over_s, drain_s } => {
                self.rolling_replacement(at, part, batches, over_s, drain_s);
            }
            EventKind::RackLost { rack, noticed_s, for_s } => {
                self.fail_machines(at, &size.slots(|slot_rack| slot_rack == rack), noticed_s, for_s);
            }
            EventKind::ZoneLost { zone, noticed_s, for_s } => {
                self.fail_machines(at, &size.slots(|rack| size.zone(rack) == zone), noticed_s, for_s);
            }
            EventKind::RegionPartitioned { region, for_s } => {
                self.push(at, Step::Partition { region, partitioned: true });
                self.push(at + for_s, Step::Partition { region, partitioned: false });
            }
            EventKind::RestartNodes { region, over_s } => {
                let nodes = (0..size.nodes).filter(|node| size.region(size.zone(*node)) == region);
                let nodes: Vec<usize> = nodes.collect();
                for (i, node) in nodes.iter().enumerate() {
                    let at = at + over_s * i as f64 / nodes.len() as f64;
                    self.push(at, Step::RestartNodes(vec![*node]));
                }
            }
            EventKind::ConfigurationStorm { changes, over_s } => {
                for i in 0..changes {
                    self.set_service_weight(at + over_s * i as f64 / changes as f64);
                }
            }
            EventKind::DiscoveryUnresponsive { for_s } => {
                self.push(at, Step::SetDiscoveryResponsive(false));
                self.push(at + for_s, Step::SetDiscoveryResponsive(true));
            }
        }
    }

    /// Adds steps that replace a random fraction `part` of the servers, in batches whose starts are evenly
    /// distributed over `over_s`.
    fn rolling_replacement(&mut self, at: f64, part: f64, batches: usize, over_s: f64, drain_s: f64) {
        let size = self.scenario.size;
        let mut slots: Vec<usize> = (0..size.servers).collect();
        self.random.shuffle(&mut slots);
        slots.truncate((part * size.servers as f64).round() as usize);
        let batch_size = slots.len().div_ceil(batches).max(1);
        for (i, slots) in slots.chunks(batch_size).enumerate() {
            let starts_at = at + over_s * i as f64 / batches as f64;
            self.push(starts_at, Step::Replace { batch: self.next_batch, slots: slots.to_vec() });
            self.push(starts_at + drain_s, Step::Retire { batch: self.next_batch });
            self.next_batch += 1;
        }
    }

    /// Adds a step that sets the weight of a random service to a random value from 0.5 to 1.5.
    fn set_service_weight(&mut self, at: f64) {
        let service = self.random.usize(0..self.scenario.size.services);
        let weight = 0.5 + f64::from(self.random.u8(0..=10)) / 10.0;
        self.push(at, Step::SetServiceWeight { service, weight });
    }

    /// Adds the steps of a failure of machines. The machines stop responding at `at`. After `noticed_s`
    /// discovery removes their servers from the list, unless the machines have returned before. After `for_s`
    /// the servers are listed with a new start time, which makes them warm up.
    fn fail_machines(&mut self, at: f64, slots: &[usize], noticed_s: f64, for_s: f64) {
        self.push(at, Step::StopResponding(slots.to_vec()));
        if noticed_s < for_s {
            self.push(at + noticed_s, Step::Unlist(slots.to_vec()));
        }
        self.push(at + for_s, Step::Return(slots.to_vec()));
    }

    /// Adds the steps of failures, restarts and configuration changes, whose times are independent Poisson
    /// processes.
    fn ordinary_day(&mut self, at: f64, for_s: f64, speed: f64) {
        let event_times = |per_day: f64, random: &mut fastrand::Rng| {
            let mut times = Vec::new();
            let mut next = at;
            loop {
                next -= (1.0 - random.f64()).ln() * SECONDS_PER_DAY / (per_day * speed);
                if next >= at + for_s {
                    return times;
                }
                times.push(next);
            }
        };
        let failures = event_times(FAILURES_PER_DAY, &mut self.random);
        let restarts = event_times(RESTARTS_PER_DAY, &mut self.random);
        let changes = event_times(CHANGES_PER_DAY, &mut self.random);
        for at in failures {
            let slot = self.random.usize(0..self.scenario.size.servers);
            self.fail_machines(at, &[slot], DRAIN_S, RESTART_S);
        }
        for at in restarts {
            let slot = vec![self.random.usize(0..self.scenario.size.servers)];
            self.push(at, Step::Drain(slot.clone()));
            self.push(at + DRAIN_S, Step::Leave(slot.clone()));
            self.push(at + RESTART_S, Step::Return(slot));
        }
        for at in changes {
            self.set_service_weight(at);
        }
    }
}
