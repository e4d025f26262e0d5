//! A network that drops, duplicates, delays and reorders messages, and can be partitioned.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::transport::Endpoint;

/// The delay of a message, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 500..12_000;
/// The delay of a late message, in microseconds.
const LATE_DELAY_MICROS: std::ops::Range<u64> = 100_000..3_000_000;

/// The delay of a late message to a server: an order arrives within the time limit of its call, or never.
const LATE_DELAY_TO_SERVER_MICROS: std::ops::Range<u64> = 100_000..1_000_000;

/// The network of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// How many of a thousand messages are dropped.
    pub dropped_per_mille: u32,
    /// How many of a thousand messages are duplicated.
    pub duplicated_per_mille: u32,
    /// How many of a thousand messages are late, most of them after the caller has stopped waiting.
    pub late_per_mille: u32,
    /// Pairs of machines of which the first cannot reach the second.
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    /// A network that seldom drops, duplicates and delays messages.
    #[must_use]
    pub fn ordinary() -> Self {
        Self { dropped_per_mille: 10, duplicated_per_mille: 10, late_per_mille: 5, ..Self::default() }
    }

    /// Stops all messages from one machine to another.
    pub fn partition_one_way(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    /// Stops all messages between a machine and the others.
    pub fn isolate(&mut self, machine: usize, machines: usize) {
        self.partition_group(&[machine], machines);
    }

    /// Stops all messages between these machines and the others.
    pub fn partition_group(&mut self, group: &[usize], machines: usize) {
        for other in (0..machines).filter(|other| !group.contains(other)) {
            for machine in group {
                self.partition_one_way(*machine, other);
                self.partition_one_way(other, *machine);
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Whether messages from one endpoint to the other are stopped.
    pub(crate) fn is_partitioned(&self, from: Endpoint, to: Endpoint) -> bool {
        match (from, to) {
            (Endpoint::Machine(from), Endpoint::Machine(to)) => self.partitions.contains(&(from, to)),
            _ => false,
        }
    }

    /// The delay of each copy of a message; none for a dropped one.
    pub(crate) fn delays(&self, random: &mut Rng, from: Endpoint, to: Endpoint) -> Vec<Duration> {
        if from == to {
            return vec![Duration::ZERO];
        }
        let copies = match random.u32(..1000) {
            drawn if drawn < self.dropped_per_mille => 0,
            drawn if drawn >= 1000 - self.duplicated_per_mille => 2,
            _ => 1,
        };
        let late =
            if matches!(to, Endpoint::Server(_)) { LATE_DELAY_TO_SERVER_MICROS } else { LATE_DELAY_MICROS };
        (0..copies).map(|_| self.delay(random, late.clone())).collect()
    }

    fn delay(&self, random: &mut Rng, late: std::ops::Range<u64>) -> Duration {
        let is_late = random.u32(..1000) < self.late_per_mille;
        Duration::from_micros(random.u64(if is_late { late } else { DELAY_MICROS }))
    }
}
