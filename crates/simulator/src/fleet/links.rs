//! Network links of the machines. A link transmits one message at a time in each direction.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::transport::Endpoint;

/// One direction of the link of the machine with this index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Out(usize),
    In(usize),
}

/// The bandwidth of all links, and the times at which they become free.
#[derive(Default)]
pub(super) struct Links {
    /// Bandwidth of each link in each direction; `None` if transmission takes no time.
    bytes_per_second: Option<f64>,
    /// The time from which a direction of a link is free. Unused directions have no entry.
    free_from: BTreeMap<Direction, Duration>,
}

impl Links {
    pub(super) fn set_speed(&mut self, bytes_per_second: f64) {
        self.bytes_per_second = Some(bytes_per_second);
    }

    /// Reserves the links of the sender and the receiver for a message, one after the other. Returns the time
    /// until the message has passed both links, including the wait for earlier messages. Only machines have
    /// links.
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
