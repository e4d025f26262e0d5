//! A network that loses, repeats, delays and reorders messages, and can be cut.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::messages::Endpoint;

/// The shortest and the longest way of a message, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 500..12_000;

/// The network of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// How many of a thousand messages are lost.
    pub lost_per_mille: u32,
    /// How many of a thousand messages come twice.
    pub repeated_per_mille: u32,
    cuts: BTreeSet<(usize, usize)>,
}

impl Network {
    /// A network that loses and repeats now and then.
    #[must_use]
    pub fn ordinary() -> Self {
        Self { lost_per_mille: 10, repeated_per_mille: 10, ..Self::default() }
    }

    /// Nothing gets from one machine to the other any more.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Nothing gets between a machine and the others.
    pub fn cut_off(&mut self, machine: usize, machines: usize) {
        for other in (0..machines).filter(|other| *other != machine) {
            self.cut_one_way(machine, other);
            self.cut_one_way(other, machine);
        }
    }

    /// All cuts end.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// How long each copy of a message takes; none for a lost one.
    pub(crate) fn delays(&self, random: &mut Rng, from: Endpoint, to: Endpoint) -> Vec<Duration> {
        if let (Endpoint::Machine(from), Endpoint::Machine(to)) = (from, to) {
            if self.cuts.contains(&(from, to)) {
                return Vec::new();
            }
        }
        if from == to {
            return vec![Duration::ZERO];
        }
        let copies = match random.u32(..1000) {
            drawn if drawn < self.lost_per_mille => 0,
            drawn if drawn >= 1000 - self.repeated_per_mille => 2,
            _ => 1,
        };
        (0..copies).map(|_| Duration::from_micros(random.u64(DELAY_MICROS))).collect()
    }
}
