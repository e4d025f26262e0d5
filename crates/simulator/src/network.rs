//! Simulated network that drops, duplicates, delays and reorders messages, and can be partitioned.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::server_links::{ServerLinks, ServerPartitionKind};
use crate::transport::Endpoint;

/// Range of the delay of a message that is not late, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 500..12_000;
/// Range of the delay of a late message, in microseconds.
const LATE_DELAY_MICROS: std::ops::Range<u64> = 100_000..3_000_000;

/// Range of the delay of a late message to a model server, in microseconds. It ends at the user timeout of the
/// program's connections to servers, after which TCP does not send an order again.
const LATE_DELAY_TO_SERVER_MICROS: std::ops::Range<u64> = 100_000..1_000_000;

/// The network of a fleet: probabilities of lost, duplicated and late messages, and the present partitions.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Number of messages in a thousand that are dropped.
    pub dropped_per_mille: u32,
    /// Number of messages in a thousand that are duplicated.
    pub duplicated_per_mille: u32,
    /// Number of messages in a thousand that are late. Most of them arrive after the caller has stopped
    /// waiting.
    pub late_per_mille: u32,
    /// Pairs of machine indices `(from, to)`: messages from the first machine to the second do not arrive.
    partitions: BTreeSet<(usize, usize)>,
    server_links: ServerLinks,
}

impl Network {
    /// Returns a network that drops and duplicates 1 % of the messages and delays 0.5 % of them.
    #[must_use]
    pub fn ordinary() -> Self {
        Self { dropped_per_mille: 10, duplicated_per_mille: 10, late_per_mille: 5, ..Self::default() }
    }

    /// Stops all messages from one machine to another until [`Network::heal`]; the opposite direction still
    /// works.
    pub fn partition_one_way(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    /// Stops all messages between a machine and the other machines whose index is below `machines`.
    pub fn isolate(&mut self, machine: usize, machines: usize) {
        self.partition_group(&[machine], machines);
    }

    /// Stops all messages between the machines of `group` and the other machines whose index is below
    /// `machines`.
    pub fn partition_group(&mut self, group: &[usize], machines: usize) {
        for other in (0..machines).filter(|other| !group.contains(other)) {
            for machine in group {
                self.partition_one_way(*machine, other);
                self.partition_one_way(other, *machine);
            }
        }
    }

    /// Partitions a model server from all machines until `ends_at`, in simulated time.
    pub fn partition_server(&mut self, server: usize, kind: ServerPartitionKind, ends_at: Duration) {
        self.server_links.partition(server, kind, ends_at);
    }

    /// Ends all partitions of machines. The probabilities of lost, duplicated and late messages stay.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Whether a partition stops messages from one endpoint to the other. Partitions exist between machines
    /// only.
    pub(crate) fn is_partitioned(&self, from: Endpoint, to: Endpoint) -> bool {
        match (from, to) {
            (Endpoint::Machine(from), Endpoint::Machine(to)) => self.partitions.contains(&(from, to)),
            _ => false,
        }
    }

    /// Draws the delay of each copy of a message that is sent at `now`: none if the message is dropped, two if it is
    /// duplicated. A message of an endpoint to itself is delivered once, without delay. A partition of a server adds
    /// the time until the message is retransmitted after it; partitions of machines are not included.
    pub(crate) fn delays(
        &self,
        random: &mut Rng,
        now: Duration,
        from: Endpoint,
        to: Endpoint,
    ) -> Vec<Duration> {
        let delays = self.delays_without_partition(random, from, to);
        let ((Endpoint::Server(server), _) | (_, Endpoint::Server(server))) = (from, to) else {
            return delays;
        };
        let Some(retransmitted_after) = self.server_links.retransmission_delay(server, now) else {
            return Vec::new();
        };
        delays.into_iter().map(|delay| retransmitted_after + delay).collect()
    }

    fn delays_without_partition(&self, random: &mut Rng, from: Endpoint, to: Endpoint) -> Vec<Duration> {
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

    /// Draws the delay of one copy; `late` is the range for late messages.
    fn delay(&self, random: &mut Rng, late: std::ops::Range<u64>) -> Duration {
        let is_late = random.u32(..1000) < self.late_per_mille;
        Duration::from_micros(random.u64(if is_late { late } else { DELAY_MICROS }))
    }
}
