//! The setups of random runs.

use std::time::Duration;

use super::faults::{self, Fault, FaultMix};
use crate::FleetShape;

/// The setup of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The size of the fleet.
    pub shape: FleetShape,
    /// For how long faults are injected.
    pub length: Duration,
    /// The mean time between two faults.
    pub fault_interval: Duration,
    /// How many changes of the configuration all operators attempt in a second, together.
    pub changes_per_second: f64,
    /// Which faults are drawn.
    pub mix: FaultMix,
    /// Whether all machines lose power at one moment in the end, and some of them their disks.
    pub ends_with_power_loss: bool,
}

impl Setup {
    /// The faults of a seed, in the order of their times.
    #[must_use]
    pub fn plan_faults(&self, seed: u64) -> Vec<Fault> {
        faults::plan_faults(seed, self.mix, self.length, self.fault_interval)
    }

    /// A small deployment with all kinds of faults.
    #[must_use]
    pub fn small() -> Self {
        Self {
            shape: FleetShape::default(),
            length: Duration::from_secs(40),
            fault_interval: Duration::from_millis(1500),
            changes_per_second: 2.0,
            mix: FaultMix::All,
            ends_with_power_loss: false,
        }
    }

    /// As [`Setup::small`], with five nodes and five stores of which two may fail.
    #[must_use]
    pub fn large() -> Self {
        let shape = FleetShape { nodes: 5, diskless_nodes: 0, stores: 5, servers: 6, tolerated_failures: 2 };
        Self { shape, ..Self::small() }
    }

    /// Machines are replaced one after the other, each as soon as the one before no longer counts as failed;
    /// seeds may be nodes without a disk; in the end all machines lose power.
    #[must_use]
    pub fn turnover() -> Self {
        let shape = FleetShape { diskless_nodes: 3, ..FleetShape::default() };
        Self { shape, mix: FaultMix::Turnover, ends_with_power_loss: true, ..Self::small() }
    }

    /// As [`Setup::turnover`], with five nodes and five stores of which two may fail.
    #[must_use]
    pub fn large_turnover() -> Self {
        let shape = FleetShape { diskless_nodes: 3, ..Self::large().shape };
        Self { shape, ..Self::turnover() }
    }

    /// Machines are suspended or partitioned for long, and acceptors are replaced one after the other
    /// meanwhile.
    #[must_use]
    pub fn absences() -> Self {
        let shape = FleetShape { diskless_nodes: 2, ..FleetShape::default() };
        Self { shape, mix: FaultMix::Absences, ..Self::small() }
    }

    /// Disks fail for a moment, stall, lose power, and have records that cannot be decoded, all the time.
    #[must_use]
    pub fn disks() -> Self {
        let fault_interval = Duration::from_millis(500);
        Self { mix: FaultMix::Disks, fault_interval, changes_per_second: 6.0, ..Self::small() }
    }

    /// Many changes of the configuration.
    #[must_use]
    pub fn many_changes() -> Self {
        Self { length: Duration::from_secs(120), changes_per_second: 20.0, ..Self::small() }
    }
}
