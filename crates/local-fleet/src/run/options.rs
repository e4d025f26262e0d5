//! The options of a run: the machines, the workload and the faults.

use std::path::PathBuf;
use std::time::Duration;

use super::error::LocalError;
use crate::deployment::{Layout, ProcessFault, MAX_MACHINES_PER_KIND};

/// How many machines of each kind a fleet has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Traffic nodes; the first three have a disk.
    pub nodes: u8,
    /// Stores.
    pub stores: u8,
    /// Plain servers.
    pub plain_servers: u8,
    /// Engines.
    pub engines: u8,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self { nodes: 3, stores: 3, plain_servers: 3, engines: 4 }
    }
}

/// The work that clients and the trainer give the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Training steps.
    pub steps: u64,
    /// Groups of a batch job.
    pub groups: usize,
    /// Items of a group.
    pub items_per_group: usize,
    /// Complete groups that a step needs.
    pub required_groups: usize,
    /// Events of a text.
    pub events: u64,
    /// One version of the weights must generate a complete text.
    pub single_version: bool,
    /// Every so many streams of an engine, one breaks off; 0: none.
    pub truncate_every: u64,
    /// Time from one request of the clients to the next.
    pub request_period: Duration,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            steps: 5,
            groups: 10,
            items_per_group: 4,
            required_groups: 7,
            events: 26,
            single_version: true,
            truncate_every: 0,
            request_period: Duration::from_millis(100),
        }
    }
}

/// What to run, and where.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// The machines.
    pub size: FleetSize,
    /// The work.
    pub workload: Workload,
    /// Faults to inject.
    pub faults: Vec<ProcessFault>,
    /// The program under test.
    pub executable: PathBuf,
    /// The directory for the files of all processes.
    pub directory: PathBuf,
    /// The third octet of all addresses; fleets with different ones can run side by side.
    pub subnet: u8,
}

impl LocalOptions {
    /// A small fleet of the program `executable`, with its files under `directory`.
    #[must_use]
    pub fn new(executable: PathBuf, directory: PathBuf) -> Self {
        let (size, workload, faults) = (FleetSize::default(), Workload::default(), Vec::new());
        Self { size, workload, faults, executable, directory, subnet: 1 }
    }

    /// The addresses of the fleet.
    ///
    /// # Errors
    ///
    /// [`LocalError::Options`] when an option is out of its range.
    pub(super) fn layout(&self) -> Result<Layout, LocalError> {
        let FleetSize { nodes, stores, plain_servers, engines } = self.size;
        let counts = [nodes, stores, plain_servers, engines];
        if counts.iter().any(|count| !(1..=MAX_MACHINES_PER_KIND).contains(count)) {
            return Err(LocalError::Options("machines of each kind: 1 to 24"));
        }
        let Workload { groups, items_per_group, required_groups, events, .. } = self.workload;
        if required_groups == 0 || required_groups > groups || items_per_group == 0 || events == 0 {
            return Err(LocalError::Options(
                "wanted groups: 1 to all; items of a group and events: 1 or more",
            ));
        }
        Ok(Layout { subnet: self.subnet, nodes, stores, plain_servers, engines })
    }
}
