//! Number of machines of each kind in a fleet.

use std::time::Duration;

/// Number of machines and servers of a fleet at its start, and the failures that its settings tolerate.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Number of traffic nodes with a disk.
    pub nodes: usize,
    /// Number of traffic nodes without a disk.
    pub diskless_nodes: usize,
    /// Number of stores.
    pub stores: usize,
    /// Number of model servers.
    pub servers: usize,
    /// Number of machines with a disk that may be failed at the same time.
    pub tolerated_failures: usize,
    /// Memory that a store may use (setting `memoryMb`), in megabytes; `None` for the default.
    pub store_memory_mb: Option<f64>,
    /// The longest time that a run of an item of a batch job takes; the shortest is a tenth of it.
    pub max_item_duration: Duration,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl FleetShape {
    /// Three nodes and three stores, of which one may fail.
    pub const DEFAULT: Self = Self {
        nodes: 3,
        diskless_nodes: 0,
        stores: 3,
        servers: 4,
        tolerated_failures: 1,
        store_memory_mb: None,
        max_item_duration: Duration::from_millis(200),
    };

    /// Returns the time for which a machine still counts as failed after its start (setting `catchUpS`): the
    /// value that deployments of this size use.
    #[must_use]
    pub fn catch_up_time(&self) -> Duration {
        Duration::from_millis(if self.tolerated_failures > 1 { 6000 } else { 4500 })
    }
}

/// The role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineKind {
    /// A traffic node with a disk, which can be an acceptor.
    Node,
    /// A traffic node without a disk, which is never an acceptor.
    DisklessNode,
    /// A store, which replicates batch jobs on its disk.
    Store,
}
