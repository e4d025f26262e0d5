//! Expands a scenario's events to steps at times, all drawn from its seed before the run begins.

use std::time::Duration;

use crate::scenario::{EventKind, Scenario};

/// Machine failures on an ordinary day.
const FAILURES_PER_DAY: f64 = 130.0;
/// Restarts and replacements of servers on an ordinary day.
const RESTARTS_PER_DAY: f64 = 4_100.0;
/// Changes of the configuration on an ordinary day.
const CHANGES_PER_DAY: f64 = 1_300.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Time in which a restarted server drains, in seconds; a failed machine is taken off the list after the same time.
const DRAIN_S: f64 = 2.0;
/// Time after which a restarted server or failed machine is back, in seconds from the begin of the drain or failure.
const RESTART_S: f64 = 5.0;

/// One change of the emulated fleet. Servers are identified by their slots.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Servers begin to drain.
    Drain(Vec<usize>),
    /// The processes of servers end, and discovery takes them off the list.
    Leave(Vec<usize>),
    /// Machines stop responding; they stay on the list.
    StopResponding(Vec<usize>),
    /// Discovery takes unresponsive servers off the list.
    Unlist(Vec<usize>),
    /// Servers restart under their names and are listed again.
    Return(Vec<usize>),
    /// New servers are added in slots, and the servers that occupied them begin to drain.
    Replace {
        /// Identifies the servers that are replaced together.
        batch: usize,
        /// The slots.
        slots: Vec<usize>,
    },
    /// The servers that a batch replaced end and leave the list.
    Retire {
        /// The batch.
        batch: usize,
    },
    /// The configuration of a service changes.
    SetServiceWeight {
        /// The service.
        service: usize,
        /// The new weight of its servers.
        weight: f64,
    },
    /// A region is partitioned from the others, or the partition heals.
    Partition {
        /// The region.
        region: usize,
        /// Whether the partition begins or heals.
        partitioned: bool,
    },
    /// The discovery agents of all regions stop responding, or respond again.
    DiscoveryAnswering(bool),
    /// Nodes are restarted.
    RestartNodes(Vec<usize>),
}

/// A step and when it is due, from the begin of the run.
pub type TimedStep = (Duration, Step);

/// All steps of a scenario in the order in which they are due.
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
    // A stable sort: steps due at the same time keep the order of the file.
    generator.steps.sort_by_key(|(at, _)| *at);
    generator.steps
}

struct StepGenerator<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    next_batch: usize,
    steps: Vec<TimedStep>,
}

impl StepGenerator<'_> {
    fn push(&mut self, at_s: f64, step: Step) {
        self.steps.push((Duration::from_secs_f64(at_s), step));
    }

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
                self.push(at, Step::DiscoveryAnswering(false));
                self.push(at + for_s, Step::DiscoveryAnswering(true));
            }
        }
    }

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

    fn set_service_weight(&mut self, at: f64) {
        let service = self.random.usize(0..self.scenario.size.services);
        let weight = 0.5 + f64::from(self.random.u8(0..=10)) / 10.0;
        self.push(at, Step::SetServiceWeight { service, weight });
    }

    /// Machines fail, are taken off the list unless they are back before, and come back warming up.
    fn fail_machines(&mut self, at: f64, slots: &[usize], noticed_s: f64, for_s: f64) {
        self.push(at, Step::StopResponding(slots.to_vec()));
        if noticed_s < for_s {
            self.push(at + noticed_s, Step::Unlist(slots.to_vec()));
        }
        self.push(at + for_s, Step::Return(slots.to_vec()));
    }

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
