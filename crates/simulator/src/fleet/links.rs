//! The links of the machines, which carry a message after the other.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::wire::Place;

/// One direction of one machine's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Out(usize),
    In(usize),
}

/// How fast the links are, and until when each is in use.
#[derive(Default)]
pub(super) struct Links {
    /// Of each machine's link, in each direction; `None`: messages take no time on it.
    bytes_per_second: Option<f64>,
    free_from: BTreeMap<Direction, Duration>,
}

impl Links {
    pub(super) fn set_speed(&mut self, bytes_per_second: f64) {
        self.bytes_per_second = Some(bytes_per_second);
    }

    /// How long a message of this length waits for the links on its way and travels on them.
    pub(super) fn carry(&mut self, now: Duration, from: Place, to: Place, bytes: usize) -> Duration {
        let Some(speed) = self.bytes_per_second.filter(|_| from != to) else { return Duration::ZERO };
        let takes = Duration::from_secs_f64(bytes as f64 / speed);
        let mut at = now;
        let ends = [(from, Direction::Out as fn(usize) -> Direction), (to, Direction::In)];
        for (place, direction) in ends {
            if let Place::Machine(machine) = place {
                let free = self.free_from.entry(direction(machine)).or_default();
                at = at.max(*free) + takes;
                *free = at;
            }
        }
        at - now
    }
}
