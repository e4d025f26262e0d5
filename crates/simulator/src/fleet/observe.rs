//! Read access to the state of a fleet, for tests and checks.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use register::{Incarnation, Versioned};
use state::ControlState;
use store_plane::MigrationStatus;

use super::machine::Machine;
use super::{Fleet, FleetShape, MachineKind};
use crate::logging::set_log_context;
use crate::model_server::ORDER_PATH;
use crate::process::Process;
use crate::transport::Endpoint;

impl Fleet {
    /// Returns the indices of the traffic nodes with a disk that the fleet had at its start.
    #[must_use]
    pub fn nodes(&self) -> Range<usize> {
        0..self.shape.nodes
    }

    /// Returns the indices of the traffic nodes without a disk that the fleet had at its start.
    #[must_use]
    pub fn diskless_nodes(&self) -> Range<usize> {
        let first = self.shape.nodes + self.shape.stores;
        first..first + self.shape.diskless_nodes
    }

    /// Returns the indices of all machines, including removed ones.
    #[must_use]
    pub fn machines(&self) -> Range<usize> {
        0..self.machines.len()
    }

    /// Returns the shape of the fleet at its start.
    #[must_use]
    pub fn shape(&self) -> FleetShape {
        self.shape
    }

    /// Returns the name of a machine in its settings, for example `node-0`.
    #[must_use]
    pub fn name(&self, machine: usize) -> &str {
        &self.machines[machine].name
    }

    /// Returns the role of a machine.
    #[must_use]
    pub fn kind(&self, machine: usize) -> MachineKind {
        self.machines[machine].kind
    }

    /// Returns the largest memory that the present process of a machine has had, in bytes; `None` if it has no
    /// process.
    #[must_use]
    pub fn peak_memory(&self, machine: usize) -> Option<usize> {
        self.machines[machine].process().map(Process::peak_memory)
    }

    /// Whether a machine is a store.
    #[must_use]
    pub fn is_store(&self, machine: usize) -> bool {
        self.machines[machine].kind == MachineKind::Store
    }

    /// Returns the indices of the traffic nodes that operators and trainers send requests to: all that are
    /// neither removed nor leaving.
    #[must_use]
    pub fn present_nodes(&self) -> Vec<usize> {
        self.machines().filter(|machine| !self.is_store(*machine) && !self.is_leaving(*machine)).collect()
    }

    /// Whether a machine has been removed, or will be removed after the exit of its process.
    #[must_use]
    pub fn is_leaving(&self, machine: usize) -> bool {
        self.machines[machine].is_leaving()
    }

    /// Whether a machine has a process, frozen or not.
    #[must_use]
    pub fn has_process(&self, machine: usize) -> bool {
        self.machines[machine].process().is_some()
    }

    /// Whether a machine has a process that is not frozen.
    #[must_use]
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].is_running()
    }

    /// Returns the number of processes of a machine that have ended.
    #[must_use]
    pub fn process_exits(&self, machine: usize) -> u64 {
        self.machines[machine].process_exits()
    }

    /// Returns the incarnation of a machine's disk; `None` without a disk or a process.
    #[must_use]
    pub fn incarnation(&self, machine: usize) -> Option<Incarnation> {
        self.machines[machine].process().and_then(Process::incarnation)
    }

    /// Returns the newest committed value that a machine's process has learned; `None` without a process or a
    /// value.
    #[must_use]
    pub fn committed(&self, machine: usize) -> Option<Versioned<ControlState>> {
        self.machines[machine].process()?.committed()
    }

    /// Returns the newest committed state that a machine's process has learned; `None` without a process or a
    /// state.
    #[must_use]
    pub fn state(&self, machine: usize) -> Option<Arc<ControlState>> {
        self.committed(machine).map(|committed| committed.value)
    }

    /// Returns the newest committed state that the acceptor of a machine has recorded durably; `None` without
    /// one.
    #[must_use]
    pub fn recorded_state(&self, machine: usize) -> Option<Arc<ControlState>> {
        let acceptor = self.machines[machine].process()?.acceptor()?;
        acceptor.committed().map(|committed| committed.value)
    }

    /// Returns the newest committed state that any process has learned.
    #[must_use]
    pub fn newest_state(&self) -> Option<Arc<ControlState>> {
        self.machines().filter_map(|machine| self.state(machine)).max_by_key(|state| state.revision)
    }

    /// Returns the fencing token of a machine's process while it holds the leader lease and is not frozen;
    /// `None` otherwise.
    #[must_use]
    pub fn fence(&self, machine: usize) -> Option<u64> {
        let machine = &self.machines[machine];
        machine.process().filter(|_| !machine.is_frozen())?.fence()
    }

    /// Returns the time since a majority of the acceptors last confirmed the state of a machine's process;
    /// `None` without a process or a confirmation.
    #[must_use]
    pub fn confirmed_age(&self, machine: usize) -> Option<Duration> {
        self.machines[machine].process()?.confirmed_age()
    }

    /// Returns the node that raised the fencing token last, according to the newest state of any process.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let owner = self.newest_state()?.fence_owner.clone()?;
        self.machines.iter().position(|machine| machine.name == owner)
    }

    /// Whether an order to a server is on its way, or the reply to it.
    #[must_use]
    pub fn has_order_in_flight(&self, server: usize) -> bool {
        let mut pending = self.calls.pending.values();
        pending.any(|call| call.to == Endpoint::Server(server) && call.path == ORDER_PATH)
    }

    /// Returns the progress of a store in the migration of its batch jobs; `None` for a traffic node or
    /// without a process.
    #[must_use]
    pub fn migration_status(&self, machine: usize) -> Option<MigrationStatus> {
        Some(self.machines[machine].process()?.jobs()?.migration_status())
    }

    /// Logs the state of each machine, for the analysis of a failed run.
    pub fn log_state(&self) {
        for machine in &self.machines {
            set_log_context(self.now, &machine.name);
            match machine.process() {
                Some(process) => log_process(machine, process),
                None => log::info!(is_removed = machine.is_removed(); "machine has no process"),
            }
        }
    }
}

fn log_process(machine: &Machine, process: &Process) {
    let incarnation = process.incarnation().map(|incarnation| incarnation.0);
    log::info!(incarnation, is_frozen = machine.is_frozen(), is_slow = machine.is_slow(); "process is running");
    log_value("learned value", process.committed().as_ref());
    if let Some(jobs) = process.jobs() {
        log::info!("migration of batch jobs: {:?}", jobs.migration_status());
        log::debug!("{}", jobs.describe());
    }
    if let Some(acceptor) = process.acceptor() {
        log_value("accepted value", acceptor.accepted().as_ref());
        log_value("committed value", acceptor.committed().as_ref());
    }
}

fn log_value(description: &str, value: Option<&Versioned<ControlState>>) {
    let Some(value) = value else { return log::info!("no {description}") };
    let acceptors: Vec<&str> = value.value.acceptors.iter().map(|member| &*member.name).collect();
    log::info!(
        round = value.ballot.round, revision = value.value.revision;
        "{description}, acceptors {}", acceptors.join(", ")
    );
}
