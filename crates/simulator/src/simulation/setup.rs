//! Predefined setups of simulation runs.

use std::time::Duration;

use super::faults::{self, Fault, FaultMix};
use super::trainers::JobLoad;
use crate::FleetShape;

/// Memory of a store in [`Setup::memory`], in megabytes.
const STORE_MEMORY_MB: f64 = 4.0;

/// The fleet, the faults and the load of a simulation run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The shape of the fleet.
    pub shape: FleetShape,
    /// Time span in which faults are injected.
    pub length: Duration,
    /// Mean time between two faults before a third of the intervals is shortened.
    pub fault_interval: Duration,
    /// Rate at which the operators together start new requests for the configuration, per second.
    pub changes_per_second: f64,
    /// Kinds of faults that are drawn.
    pub mix: FaultMix,
    /// The size of the batch jobs.
    pub job_load: JobLoad,
    /// Whether all machines lose power simultaneously after the last fault, and some of them also lose their
    /// disks.
    pub ends_with_power_loss: bool,
}

impl Setup {
    /// Draws the faults of a seed, in the order of their times.
    #[must_use]
    pub fn plan_faults(&self, seed: u64) -> Vec<Fault> {
        faults::plan_faults(seed, self.mix, self.length, self.fault_interval)
    }

    /// Returns a setup of three nodes and three stores, of which one may fail, with the faults of
    /// [`FaultMix::All`].
    #[must_use]
    pub fn small() -> Self {
        Self {
            shape: FleetShape::default(),
            length: Duration::from_secs(40),
            fault_interval: Duration::from_millis(1500),
            changes_per_second: 2.0,
            mix: FaultMix::All,
            job_load: JobLoad::Mixed,
            ends_with_power_loss: false,
        }
    }

    /// Returns [`Setup::small`] with five nodes and five stores, of which two may fail.
    #[must_use]
    pub fn large() -> Self {
        let shape = FleetShape {
            nodes: 5,
            diskless_nodes: 0,
            stores: 5,
            servers: 6,
            tolerated_failures: 2,
            ..FleetShape::DEFAULT
        };
        Self { shape, ..Self::small() }
    }

    /// Returns a setup in which machines are replaced one after another, each as soon as the previous one no
    /// longer counts as failed. Seeds may be nodes without a disk. At the end all machines lose power.
    #[must_use]
    pub fn turnover() -> Self {
        let shape = FleetShape { diskless_nodes: 3, ..FleetShape::default() };
        Self { shape, mix: FaultMix::Turnover, ends_with_power_loss: true, ..Self::small() }
    }

    /// Returns [`Setup::turnover`] with five nodes and five stores, of which two may fail.
    #[must_use]
    pub fn large_turnover() -> Self {
        let shape = FleetShape { diskless_nodes: 3, ..Self::large().shape };
        Self { shape, ..Self::turnover() }
    }

    /// Returns a setup in which machines are suspended or partitioned for a long time, while acceptors are
    /// replaced one after another.
    #[must_use]
    pub fn absences() -> Self {
        let shape = FleetShape { diskless_nodes: 2, ..FleetShape::default() };
        Self { shape, mix: FaultMix::Absences, ..Self::small() }
    }

    /// Returns a setup with disk faults in quick succession: single failed syncs, stalls, losses of power and
    /// records that cannot be decoded.
    #[must_use]
    pub fn disks() -> Self {
        let fault_interval = Duration::from_millis(500);
        Self { mix: FaultMix::Disks, fault_interval, changes_per_second: 6.0, ..Self::small() }
    }

    /// Returns a setup in which model servers are partitioned from the machines while the leader changes.
    #[must_use]
    pub fn server_links() -> Self {
        Self { mix: FaultMix::ServerLinks, ..Self::small() }
    }

    /// Returns a setup in which proxies buffer what is sent to model servers while nodes shut down gracefully.
    #[must_use]
    pub fn proxied_server_links() -> Self {
        Self { mix: FaultMix::ProxiedServerLinks, ..Self::small() }
    }

    /// Returns [`Setup::small`] with large batch jobs, which together need about as much memory as a store may
    /// use, and of which several are open at the same time.
    #[must_use]
    pub fn memory() -> Self {
        let shape = FleetShape {
            store_memory_mb: Some(STORE_MEMORY_MB),
            max_item_duration: Duration::from_secs(5),
            ..FleetShape::DEFAULT
        };
        Self { shape, job_load: JobLoad::Large, ..Self::small() }
    }

    /// Returns [`Setup::small`] with a longer run and ten times as many changes of the configuration per
    /// second.
    #[must_use]
    pub fn many_changes() -> Self {
        Self { length: Duration::from_secs(120), changes_per_second: 20.0, ..Self::small() }
    }
}
