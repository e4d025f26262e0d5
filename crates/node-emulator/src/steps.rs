//! What a scenario's events come down to: steps at times, all drawn from its seed before the play begins.

use std::time::Duration;

use crate::scenario::{Kind, Scenario};

/// On a usual day so many machines fail, ...
const FAILURES_A_DAY: f64 = 130.0;
/// ... so many servers are restarted or replaced, ...
const RESTARTS_A_DAY: f64 = 4_100.0;
/// ... and the configuration changes so often.
const CHANGES_A_DAY: f64 = 1_300.0;
const DAY_S: f64 = 86_400.0;
/// A server that is restarted drains for so long, ...
const DRAIN_S: f64 = 2.0;
/// ... and is back after so long. A failed machine is off the list after the first and back after the second.
const BACK_S: f64 = 5.0;

/// One thing done to the world. Servers are named by their slots.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Servers begin to drain.
    Drain(Vec<usize>),
    /// Their processes end, and discovery knows.
    Leave(Vec<usize>),
    /// Machines stop answering; discovery does not know yet.
    Silence(Vec<usize>),
    /// Discovery takes unresponsive servers off the list.
    Unlist(Vec<usize>),
    /// Servers restart under their names.
    Return(Vec<usize>),
    /// New servers come into slots, and those that stood there begin to drain.
    Replace {
        /// Names what is replaced together.
        batch: usize,
        /// Where.
        slots: Vec<usize>,
    },
    /// What a batch replaced leaves.
    Retire {
        /// The batch.
        batch: usize,
    },
    /// The configuration of a service changes.
    Weigh {
        /// Which.
        service: usize,
        /// The new weight of its servers.
        weight: f64,
    },
    /// A region is cut off or joined again.
    Partition {
        /// Which.
        region: usize,
        /// Cut off, or joined.
        partitioned: bool,
    },
    /// The agents of all regions stop answering, or answer again.
    DiscoveryAnswering(bool),
    /// Nodes are restarted.
    RestartNodes(Vec<usize>),
}

/// A step and when it is due, from the start of the play.
pub type Timed = (Duration, Step);

/// All steps of a scenario in the order that they are due.
#[must_use]
pub fn steps(scenario: &Scenario) -> Vec<Timed> {
    let mut plan =
        Plan { scenario, random: fastrand::Rng::with_seed(scenario.seed), batch: 0, steps: Vec::new() };
    for event in &scenario.events {
        plan.add(event.at_s, &event.kind);
    }
    // What is due at the same time keeps the order of the file.
    plan.steps.sort_by_key(|(at, _)| *at);
    plan.steps
}

struct Plan<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    batch: usize,
    steps: Vec<Timed>,
}

impl Plan<'_> {
    fn push(&mut self, at_s: f64, step: Step) {
        self.steps.push((Duration::from_secs_f64(at_s), step));
    }

    fn add(&mut self, at: f64, kind: &Kind) {
        let size = self.scenario.size;
        match *kind {
            Kind::OrdinaryDay { for_s, speed } => self.ordinary_day(at, for_s, speed),
            Kind::RollingReplacement { part, batches, over_s, drain_s } => {
                self.rolling_replacement(at, part, batches, over_s, drain_s);
            }
            Kind::RackLost { rack, noticed_s, for_s } => {
                self.lose(at, &size.slots(|of| of == rack), noticed_s, for_s);
            }
            Kind::ZoneLost { zone, noticed_s, for_s } => {
                self.lose(at, &size.slots(|rack| size.zone(rack) == zone), noticed_s, for_s);
            }
            Kind::RegionCut { region, for_s } => {
                self.push(at, Step::Partition { region, partitioned: true });
                self.push(at + for_s, Step::Partition { region, partitioned: false });
            }
            Kind::RestartNodes { region, over_s } => {
                let nodes = (0..size.nodes).filter(|node| size.region(size.zone(*node)) == region);
                let nodes: Vec<usize> = nodes.collect();
                for (i, node) in nodes.iter().enumerate() {
                    let at = at + over_s * i as f64 / nodes.len() as f64;
                    self.push(at, Step::RestartNodes(vec![*node]));
                }
            }
            Kind::ConfigurationStorm { changes, over_s } => {
                for i in 0..changes {
                    self.weigh(at + over_s * i as f64 / changes as f64);
                }
            }
            Kind::DiscoverySilent { for_s } => {
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
        let each = slots.len().div_ceil(batches).max(1);
        for (i, slots) in slots.chunks(each).enumerate() {
            let begins = at + over_s * i as f64 / batches as f64;
            self.push(begins, Step::Replace { batch: self.batch, slots: slots.to_vec() });
            self.push(begins + drain_s, Step::Retire { batch: self.batch });
            self.batch += 1;
        }
    }

    fn weigh(&mut self, at: f64) {
        let service = self.random.usize(0..self.scenario.size.services);
        let weight = 0.5 + f64::from(self.random.u8(0..=10)) / 10.0;
        self.push(at, Step::Weigh { service, weight });
    }

    /// Machines vanish, are noticed to be gone, unless they are back before, and come back warming up.
    fn lose(&mut self, at: f64, slots: &[usize], noticed_s: f64, for_s: f64) {
        self.push(at, Step::Silence(slots.to_vec()));
        if noticed_s < for_s {
            self.push(at + noticed_s, Step::Unlist(slots.to_vec()));
        }
        self.push(at + for_s, Step::Return(slots.to_vec()));
    }

    fn ordinary_day(&mut self, at: f64, for_s: f64, speed: f64) {
        let times = |a_day: f64, random: &mut fastrand::Rng| {
            let mut times = Vec::new();
            let mut next = at;
            loop {
                next -= (1.0 - random.f64()).ln() * DAY_S / (a_day * speed);
                if next >= at + for_s {
                    return times;
                }
                times.push(next);
            }
        };
        let failures = times(FAILURES_A_DAY, &mut self.random);
        let restarts = times(RESTARTS_A_DAY, &mut self.random);
        let changes = times(CHANGES_A_DAY, &mut self.random);
        for at in failures {
            let slot = self.random.usize(0..self.scenario.size.servers);
            self.lose(at, &[slot], DRAIN_S, BACK_S);
        }
        for at in restarts {
            let slot = vec![self.random.usize(0..self.scenario.size.servers)];
            self.push(at, Step::Drain(slot.clone()));
            self.push(at + DRAIN_S, Step::Leave(slot.clone()));
            self.push(at + BACK_S, Step::Return(slot));
        }
        for at in changes {
            self.weigh(at);
        }
    }
}
