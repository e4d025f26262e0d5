//! What can be seen of a fleet.

use std::sync::Arc;
use std::time::Duration;

use register::Incarnation;
use register::Versioned;
use state::ControlState;

use super::{Fleet, MachineKind, Shape};
use crate::logging::set_context;
use crate::process::Process;

impl Fleet {
    /// The traffic nodes that were there at the start.
    #[must_use]
    pub fn nodes(&self) -> std::ops::Range<usize> {
        0..self.shape.nodes
    }

    /// All machines.
    #[must_use]
    pub fn machines(&self) -> std::ops::Range<usize> {
        0..self.machines.len()
    }

    /// The size of the fleet at its start.
    #[must_use]
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The name of a machine.
    #[must_use]
    pub fn station(&self, machine: usize) -> &str {
        &self.machines[machine].station
    }

    /// What a machine is for.
    #[must_use]
    pub fn kind(&self, machine: usize) -> MachineKind {
        self.machines[machine].kind
    }

    /// Whether a machine keeps batch jobs.
    #[must_use]
    pub fn is_store(&self, machine: usize) -> bool {
        self.machines[machine].kind == MachineKind::Store
    }

    /// The traffic nodes that the operators' list shows: all that are not gone for good.
    #[must_use]
    pub fn present_nodes(&self) -> Vec<usize> {
        self.machines().filter(|machine| !self.is_store(*machine) && !self.is_leaving(*machine)).collect()
    }

    /// Whether a process is there, frozen or not.
    #[must_use]
    pub fn has_process(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some()
    }

    /// Whether a process runs there, and is not frozen.
    #[must_use]
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some() && !self.machines[machine].is_frozen
    }

    /// The traffic nodes without a disk that were there at the start.
    #[must_use]
    pub fn diskless_nodes(&self) -> std::ops::Range<usize> {
        let first = self.shape.nodes + self.shape.stores;
        first..first + self.shape.diskless
    }

    /// The incarnation of the disk of a machine, if it has one, while its process runs.
    #[must_use]
    pub fn incarnation(&self, machine: usize) -> Option<Incarnation> {
        self.machines[machine].process.as_ref().and_then(Process::incarnation)
    }

    /// How many times a process has ended there.
    #[must_use]
    pub fn life(&self, machine: usize) -> u64 {
        self.machines[machine].life
    }

    /// The committed value that a machine knows, while its process runs.
    #[must_use]
    pub fn committed(&self, machine: usize) -> Option<Versioned<ControlState>> {
        self.machines[machine].process.as_ref()?.committed()
    }

    /// The committed state that a machine knows, while its process runs.
    #[must_use]
    pub fn state(&self, machine: usize) -> Option<Arc<ControlState>> {
        self.committed(machine).map(|committed| committed.value)
    }

    /// The newest committed state that any process knows.
    #[must_use]
    pub fn newest_state(&self) -> Option<Arc<ControlState>> {
        self.machines().filter_map(|machine| self.state(machine)).max_by_key(|state| state.revision)
    }

    /// The fencing token of a machine's process, while it holds the leader lease and is not frozen.
    #[must_use]
    pub fn fence(&self, machine: usize) -> Option<u64> {
        let machine = &self.machines[machine];
        machine.process.as_ref().filter(|_| !machine.is_frozen)?.fence()
    }

    /// How long ago a majority has confirmed what a machine knows.
    #[must_use]
    pub fn confirmed_age(&self, machine: usize) -> Option<Duration> {
        self.machines[machine].process.as_ref()?.confirmed_age()
    }

    /// Logs what each machine knows.
    pub fn log_state(&self) {
        for index in self.machines() {
            let machine = &self.machines[index];
            set_context(self.now, &machine.station);
            let Some(process) = &machine.process else {
                log::info!("no process, removed {}", machine.is_removed);
                continue;
            };
            let known = process.committed();
            log::info!(
                "incarnation {:?}, frozen {}, slow {}, knows {:?}",
                process.incarnation(),
                machine.is_frozen,
                machine.is_slow,
                known.map(|known| (known.ballot, known.value.revision, known.value.acceptors.clone()))
            );
            if let Some(jobs) = process.jobs() {
                log::info!("{:?}", jobs.migration_status());
                log::debug!("{}", jobs.describe());
            }
            if let Some(acceptor) = process.acceptor() {
                let of = |value: Option<Versioned<ControlState>>| {
                    value.map(|v| {
                        (v.ballot, v.value.revision, v.value.acceptors.clone(), v.previous_acceptors.clone())
                    })
                };
                log::info!(
                    "accepted {:?}, committed {:?}",
                    of(acceptor.accepted()),
                    of(acceptor.committed())
                );
            }
        }
    }

    /// The node that was the last to raise the fencing token, as far as any node knows.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let holder = self.newest_state()?.fence_owner.clone()?;
        self.machines.iter().position(|machine| machine.station == holder)
    }
}
