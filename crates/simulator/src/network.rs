//! A network that loses, repeats, delays and reorders messages, and can be cut.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::wire::Place;

/// The shortest and the longest way of a message, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 500..12_000;
/// The same for a message that is late.
const LATE_MICROS: std::ops::Range<u64> = 100_000..3_000_000;

/// The same on the way to a server: an order arrives within the time limit of its call, or never.
const LATE_TO_SERVER_MICROS: std::ops::Range<u64> = 100_000..1_000_000;

/// The network of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// How many of a thousand messages are lost.
    pub lost_per_mille: u32,
    /// How many of a thousand messages come twice.
    pub repeated_per_mille: u32,
    /// How many of a thousand messages come late, most after the caller has gone on.
    pub late_per_mille: u32,
    cuts: BTreeSet<(usize, usize)>,
}

impl Network {
    /// A network that loses, repeats and delays now and then.
    #[must_use]
    pub fn ordinary() -> Self {
        Self { lost_per_mille: 10, repeated_per_mille: 10, late_per_mille: 5, ..Self::default() }
    }

    /// Nothing gets from one machine to the other any more.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Nothing gets between a machine and the others.
    pub fn cut_off(&mut self, machine: usize, machines: usize) {
        self.cut_apart(&[machine], machines);
    }

    /// Nothing gets between these machines and the others.
    pub fn cut_apart(&mut self, group: &[usize], machines: usize) {
        for other in (0..machines).filter(|other| !group.contains(other)) {
            for machine in group {
                self.cut_one_way(*machine, other);
                self.cut_one_way(other, *machine);
            }
        }
    }

    /// All cuts end.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether nothing gets from one place to the other now.
    pub(crate) fn is_cut(&self, from: Place, to: Place) -> bool {
        match (from, to) {
            (Place::Machine(from), Place::Machine(to)) => self.cuts.contains(&(from, to)),
            _ => false,
        }
    }

    /// How long each copy of a message takes; none for a lost one.
    pub(crate) fn delays(&self, random: &mut Rng, from: Place, to: Place) -> Vec<Duration> {
        if from == to {
            return vec![Duration::ZERO];
        }
        let copies = match random.u32(..1000) {
            drawn if drawn < self.lost_per_mille => 0,
            drawn if drawn >= 1000 - self.repeated_per_mille => 2,
            _ => 1,
        };
        let late = if matches!(to, Place::Server(_)) { LATE_TO_SERVER_MICROS } else { LATE_MICROS };
        (0..copies).map(|_| self.delay(random, late.clone())).collect()
    }

    fn delay(&self, random: &mut Rng, late: std::ops::Range<u64>) -> Duration {
        let is_late = random.u32(..1000) < self.late_per_mille;
        Duration::from_micros(random.u64(if is_late { late } else { DELAY_MICROS }))
    }
}
