//! The size of a fleet and the kinds of its machines.

use std::time::Duration;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Traffic nodes with a disk.
    pub nodes: usize,
    /// Traffic nodes without a disk.
    pub diskless_nodes: usize,
    /// Stores.
    pub stores: usize,
    /// Model servers.
    pub servers: usize,
    /// How many machines with a disk may fail at a time.
    pub tolerated_failures: usize,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self { nodes: 3, diskless_nodes: 0, stores: 3, servers: 4, tolerated_failures: 1 }
    }
}

impl FleetShape {
    /// How long a machine counts as failed after its start (`catchUpS`), as deployments of this size set it.
    #[must_use]
    pub fn catch_up_time(&self) -> Duration {
        Duration::from_millis(if self.tolerated_failures > 1 { 6000 } else { 4500 })
    }
}

/// What a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineKind {
    /// A traffic node with a disk.
    Node,
    /// A traffic node without a disk.
    DisklessNode,
    /// A store.
    Store,
}
