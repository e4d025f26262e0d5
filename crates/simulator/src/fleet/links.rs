//! The links of the machines, which transmit one message after the other.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::transport::Endpoint;

/// One direction of one machine's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Out(usize),
    In(usize),
}

/// The bandwidth of the links, and until when each is in use.
#[derive(Default)]
pub(super) struct Links {
    /// Of each machine's link, in each direction; `None`: transmission takes no time.
    bytes_per_second: Option<f64>,
    free_from: BTreeMap<Direction, Duration>,
}

impl Links {
    pub(super) fn set_speed(&mut self, bytes_per_second: f64) {
        self.bytes_per_second = Some(bytes_per_second);
    }

    /// How long a message of this length waits for the links on its way and is transmitted on them.
    pub(super) fn transmit(&mut self, now: Duration, from: Endpoint, to: Endpoint, bytes: usize) -> Duration {
        let Some(speed) = self.bytes_per_second.filter(|_| from != to) else { return Duration::ZERO };
        let transmission = Duration::from_secs_f64(bytes as f64 / speed);
        let mut at = now;
        let ends = [(from, Direction::Out as fn(usize) -> Direction), (to, Direction::In)];
        for (endpoint, direction) in ends {
            if let Endpoint::Machine(machine) = endpoint {
                let free = self.free_from.entry(direction(machine)).or_default();
                at = at.max(*free) + transmission;
                *free = at;
            }
        }
        at - now
    }
}
