//! Injection of faults into a fleet, and their end if they have a duration.

use std::time::Duration;

use super::failure_limits::{may_lose_disk, may_terminate};
use super::{Fault, FaultKind, FaultMix};
use crate::{Fleet, MachineKind, ServerPartitionKind};

/// Number of messages in a thousand that an ordinary network drops. It duplicates the same number.
const ORDINARY_LOSS_PER_MILLE: u32 = 10;
/// Number of messages in a thousand that a lossy network drops. It duplicates the same number.
const HIGH_LOSS_PER_MILLE: u32 = 100;
/// Maximum duration of a partition behind a proxy. What the proxy buffers arrives within the termination grace
/// period.
const MAX_PROXIED_PARTITION: Duration = Duration::from_secs(5);
/// Number of seeds in the changed settings.
const SEEDS_PER_MACHINE: usize = 3;

/// An injected fault that has a duration and has not ended yet.
#[derive(Debug)]
pub(in crate::simulation) struct ActiveFault {
    kind: FaultKind,
    machine: usize,
    /// The end of the fault, in simulated time.
    ends_at: Duration,
}

impl ActiveFault {
    /// Whether the duration of the fault is over.
    pub(in crate::simulation) fn is_expired(&self, now: Duration) -> bool {
        self.ends_at <= now
    }

    /// Ends the fault. At the end of [`FaultKind::ReplacePlanned`] the machine is removed if its disk may be
    /// lost.
    pub(in crate::simulation) fn end(&self, mix: FaultMix, fleet: &mut Fleet) {
        match self.kind {
            FaultKind::Freeze | FaultKind::FreezeLeader => fleet.thaw(self.machine),
            FaultKind::SlowDown => fleet.slow_down(self.machine, false),
            FaultKind::Isolate
            | FaultKind::IsolateLeader
            | FaultKind::PartitionOneWay
            | FaultKind::PartitionInHalves => fleet.network.heal(),
            FaultKind::ReplacePlanned if may_lose_disk(fleet, mix, self.machine) => {
                fleet.terminate(self.machine, true);
            }
            FaultKind::StallDisk => fleet.stall_disk(self.machine, false),
            FaultKind::LossyNetwork => set_loss(fleet, ORDINARY_LOSS_PER_MILLE),
            _ => {}
        }
    }
}

/// Injects a fault and returns it if it has a duration. Erasing a disk, which includes the removal of a
/// machine, has no effect if too many machines have failed already; with some mixes, so has a shutdown.
pub(in crate::simulation) fn inject(fault: &Fault, mix: FaultMix, fleet: &mut Fleet) -> Option<ActiveFault> {
    let machine = select_target(fault, fleet)?;
    match fault.kind {
        FaultKind::Kill | FaultKind::KillLeader => fleet.kill(machine),
        FaultKind::Terminate | FaultKind::TerminateLeader if may_terminate(fleet, mix) => {
            fleet.terminate(machine, false);
        }
        FaultKind::Terminate | FaultKind::TerminateLeader => {}
        FaultKind::Freeze | FaultKind::FreezeLeader => fleet.freeze(machine),
        FaultKind::SlowDown => fleet.slow_down(machine, true),
        FaultKind::LosePower => lose_power(fleet, machine),
        FaultKind::LosePowerOfMany => lose_power_of_many(fleet, fault.selector),
        FaultKind::LoseDisk if may_lose_disk(fleet, mix, machine) => fleet.lose_disk(machine),
        FaultKind::SpoilRecord if may_lose_disk(fleet, mix, machine) => {
            fleet.append_undecodable_record(machine)
        }
        FaultKind::Replace if may_lose_disk(fleet, mix, machine) => drop(fleet.replace(machine)),
        FaultKind::ReplaceAcceptor if may_lose_disk(fleet, mix, machine) => drop(fleet.replace(machine)),
        FaultKind::LoseDisk | FaultKind::SpoilRecord | FaultKind::Replace | FaultKind::ReplaceAcceptor => {}
        // A planned removal of a store requires a drain, which `tests/scenarios/membership.rs` covers.
        FaultKind::ReplacePlanned if fleet.is_store(machine) => return None,
        FaultKind::ReplacePlanned => drop(fleet.add_machine(MachineKind::Node, false)),
        FaultKind::StallDisk => fleet.stall_disk(machine, true),
        FaultKind::FailSync => fleet.fail_sync(machine),
        FaultKind::ChangeSeeds => change_seeds(fleet),
        FaultKind::ResetConnections => fleet.reset_connections(machine),
        FaultKind::PartitionServer | FaultKind::PartitionProxiedServer => partition_server(fault, fleet),
        FaultKind::Isolate
        | FaultKind::IsolateLeader
        | FaultKind::PartitionOneWay
        | FaultKind::PartitionInHalves
        | FaultKind::LossyNetwork => inject_into_network(fault, fleet, machine),
    }
    if !fault.kind.has_duration() {
        return None;
    }
    record_failures(fault, fleet, machine);
    Some(ActiveFault { kind: fault.kind, machine, ends_at: fleet.now + fault.duration })
}

/// Partitions a random model server from all machines.
fn partition_server(fault: &Fault, fleet: &mut Fleet) {
    let server = fault.selector % fleet.servers.len();
    let (kind, duration) = match fault.kind {
        FaultKind::PartitionProxiedServer => {
            (ServerPartitionKind::BufferedByProxy, fault.duration.min(MAX_PROXIED_PARTITION))
        }
        _ => (ServerPartitionKind::Unacknowledged, fault.duration),
    };
    fleet.partition_server(server, kind, duration);
}

/// Injects a partition or a higher loss of messages.
fn inject_into_network(fault: &Fault, fleet: &mut Fleet, machine: usize) {
    let machines = fleet.machines();
    match fault.kind {
        FaultKind::Isolate | FaultKind::IsolateLeader => fleet.network.isolate(machine, machines.end),
        FaultKind::PartitionOneWay => {
            for other in machines.filter(|other| *other != machine) {
                let (from, to) =
                    if fault.selector.is_multiple_of(2) { (machine, other) } else { (other, machine) };
                fleet.network.partition_one_way(from, to);
            }
        }
        FaultKind::PartitionInHalves => {
            let half: Vec<usize> =
                fleet.machines().filter(|machine| machine % 2 == fault.selector % 2).collect();
            fleet.network.partition_group(&half, machines.end);
        }
        FaultKind::LossyNetwork => set_loss(fleet, HIGH_LOSS_PER_MILLE),
        _ => {}
    }
}

/// Counts partitioned, suspended and slow machines as failed for the duration of the fault.
fn record_failures(fault: &Fault, fleet: &mut Fleet, machine: usize) {
    match fault.kind {
        FaultKind::ReplacePlanned | FaultKind::StallDisk | FaultKind::LossyNetwork => {}
        FaultKind::PartitionInHalves => {
            fleet.machines().for_each(|machine| fleet.record_failure(machine, fault.duration));
        }
        _ => fleet.record_failure(machine, fault.duration),
    }
}

/// Selects the machine of a fault among the running machines: the leader's machine if the kind requires it
/// and it is running, an acceptor's machine for [`FaultKind::ReplaceAcceptor`], otherwise any machine.
fn select_target(fault: &Fault, fleet: &Fleet) -> Option<usize> {
    if fault.kind.targets_leader() {
        if let Some(leader) = fleet.leader().filter(|leader| fleet.is_running(*leader)) {
            return Some(leader);
        }
    }
    let is_eligible =
        |machine: &usize| fault.kind != FaultKind::ReplaceAcceptor || is_acceptor(fleet, *machine);
    let machines: Vec<usize> = running_machines(fleet).filter(is_eligible).collect();
    (!machines.is_empty()).then(|| machines[fault.selector % machines.len()])
}

/// Whether a machine is an acceptor in the newest state of any process.
fn is_acceptor(fleet: &Fleet, machine: usize) -> bool {
    let newest = fleet.newest_state();
    newest.is_some_and(|state| state.acceptors.iter().any(|member| member.name == fleet.name(machine)))
}

/// Returns the indices of the machines with a process that is not frozen.
fn running_machines(fleet: &Fleet) -> impl Iterator<Item = usize> + '_ {
    fleet.machines().filter(|machine| fleet.is_running(*machine))
}

/// Cuts the power of a machine, in half of the cases after a failed sync, which leaves written data unsynced.
fn lose_power(fleet: &mut Fleet, machine: usize) {
    if fleet.random.bool() {
        fleet.fail_sync(machine);
        fleet.step();
    }
    fleet.lose_power(machine);
}

/// Cuts the power of all running nodes if `selector` is even, otherwise of all running machines.
fn lose_power_of_many(fleet: &mut Fleet, selector: usize) {
    let only_nodes = selector.is_multiple_of(2);
    let affected: Vec<usize> =
        running_machines(fleet).filter(|machine| !only_nodes || !fleet.is_store(*machine)).collect();
    affected.into_iter().for_each(|machine| lose_power(fleet, machine));
}

/// Sets the share of dropped and of duplicated messages. The share of late messages is half of it.
fn set_loss(fleet: &mut Fleet, per_mille: u32) {
    let network = &mut fleet.network;
    network.dropped_per_mille = per_mille;
    network.duplicated_per_mille = per_mille;
    network.late_per_mille = per_mille / 2;
}

/// Makes random present nodes the seeds of all machines.
fn change_seeds(fleet: &mut Fleet) {
    let mut nodes = fleet.present_nodes();
    fleet.random.shuffle(&mut nodes);
    nodes.truncate(SEEDS_PER_MACHINE);
    fleet.machines().for_each(|machine| fleet.set_seeds(machine, nodes.clone()));
}

/// Cuts the power of all running machines at the same time. Erases the disks of as many of them as the
/// settings still tolerate.
pub(in crate::simulation) fn lose_power_of_all(fleet: &mut Fleet) {
    let mut machines: Vec<usize> = running_machines(fleet).collect();
    fleet.random.shuffle(&mut machines);
    let max_erased = fleet.shape().tolerated_failures.saturating_sub(fleet.failed_machine_count());
    let has_disk = |machine: &usize| fleet.kind(*machine) != MachineKind::DisklessNode;
    let erased: Vec<usize> = machines.iter().copied().filter(has_disk).take(max_erased).collect();
    for machine in machines {
        if erased.contains(&machine) {
            fleet.lose_disk(machine);
        } else {
            fleet.lose_power(machine);
        }
    }
}
