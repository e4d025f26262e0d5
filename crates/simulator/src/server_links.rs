//! Partitions between the machines and the model servers.

use std::collections::BTreeMap;
use std::time::Duration;

use control_plane::ORDER_DELIVERY_TIMEOUT;

/// Time after which TCP first retransmits unacknowledged bytes. Each further interval is twice as long.
const FIRST_RETRANSMISSION_AFTER: Duration = Duration::from_millis(200);
/// What becomes of bytes that are sent to or by a server during a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPartitionKind {
    /// Nothing acknowledges the bytes. They are dropped when the sender's TCP gives up (`ORDER_DELIVERY_TIMEOUT`).
    Unacknowledged,
    /// A proxy on the near side of the partition has acknowledged the bytes. It retransmits them until they arrive,
    /// also if the sender has closed or reset its connection or has ended.
    BufferedByProxy,
}

/// A partition of one server.
#[derive(Clone, Copy, Debug)]
struct Partition {
    kind: ServerPartitionKind,
    ends_at: Duration,
}

/// The links of the model servers, and which of them are partitioned.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLinks {
    /// Partitions by the index of the server. Those that have ended stay until the next one.
    partitions: BTreeMap<usize, Partition>,
}

impl ServerLinks {
    /// Partitions a server from all machines until `ends_at`.
    pub(crate) fn partition(&mut self, server: usize, kind: ServerPartitionKind, ends_at: Duration) {
        self.partitions.insert(server, Partition { kind, ends_at });
    }

    /// Returns the time after which bytes that are sent at `now` pass the link of a server: zero, or the time of the
    /// first retransmission after the partition; `None` if they never pass.
    pub(crate) fn retransmission_delay(&self, server: usize, now: Duration) -> Option<Duration> {
        let Some(partition) = self.partitions.get(&server) else { return Some(Duration::ZERO) };
        let mut sent_after = Duration::ZERO;
        let mut interval = FIRST_RETRANSMISSION_AFTER;
        while now + sent_after < partition.ends_at {
            sent_after += interval;
            interval *= 2;
        }
        let is_dropped =
            partition.kind == ServerPartitionKind::Unacknowledged && sent_after >= ORDER_DELIVERY_TIMEOUT;
        (!is_dropped).then_some(sent_after)
    }
}
