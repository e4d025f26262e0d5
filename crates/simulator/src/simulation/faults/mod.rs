//! Faults of a run: their kinds, their random plan and their injection.

mod failure_limits;
mod injection;
mod plan;

use std::time::Duration;

pub(super) use injection::{inject, lose_power_of_all, ActiveFault};
pub(super) use plan::plan_faults;

/// A kind of fault. The affected machine is selected by [`Fault::selector`] when the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Kills a process.
    Kill,
    /// Kills the process of the lease holder.
    KillLeader,
    /// Cuts the power of a machine, in half of the cases after a failed sync, which leaves written data
    /// unsynced.
    LosePower,
    /// Cuts the power of all nodes or of all machines.
    LosePowerOfMany,
    /// Erases the disk of a machine.
    LoseDisk,
    /// Removes a machine and adds one with a new address and an empty disk.
    Replace,
    /// Shuts a process down gracefully and restarts it.
    Terminate,
    /// Removes the machine of an acceptor and adds one with a new address and an empty disk.
    ReplaceAcceptor,
    /// Adds a node; at the end of the fault the selected node is shut down gracefully and removed. Has no
    /// effect on stores.
    ReplacePlanned,
    /// Suspends a machine.
    Freeze,
    /// Suspends the machine of the lease holder.
    FreezeLeader,
    /// Makes a machine run slowly.
    SlowDown,
    /// Partitions a machine from all others.
    Isolate,
    /// Partitions the machine of the lease holder from all others.
    IsolateLeader,
    /// Stops all messages from a machine or all messages to a machine.
    PartitionOneWay,
    /// Partitions the machines into two halves.
    PartitionInHalves,
    /// Resets all connections of a machine.
    ResetConnections,
    /// Stalls a disk, so that no sync completes.
    StallDisk,
    /// Makes one sync of a disk fail.
    FailSync,
    /// Ends a process and appends a record that cannot be decoded to its journal, so that its disk counts as
    /// failed.
    SpoilRecord,
    /// Makes the network drop a tenth of all messages, duplicate a tenth and delay a twentieth.
    LossyNetwork,
    /// Changes the seeds in all settings to random nodes, with or without a disk.
    ChangeSeeds,
    /// Shuts the process of the lease holder down gracefully and restarts it.
    TerminateLeader,
    /// Partitions a model server from all machines ([`crate::ServerPartitionKind::Unacknowledged`]).
    PartitionServer,
    /// Partitions a model server from the proxy before it, for at most 5 s
    /// ([`crate::ServerPartitionKind::BufferedByProxy`]).
    PartitionProxiedServer,
}

impl FaultKind {
    /// Whether the fault lasts for [`Fault::duration`]. All other faults are instantaneous.
    fn has_duration(self) -> bool {
        matches!(
            self,
            Self::ReplacePlanned
                | Self::Freeze
                | Self::FreezeLeader
                | Self::SlowDown
                | Self::Isolate
                | Self::IsolateLeader
                | Self::PartitionOneWay
                | Self::PartitionInHalves
                | Self::StallDisk
                | Self::LossyNetwork
        )
    }

    /// Whether the fault affects the machine of the lease holder, if that is running.
    fn targets_leader(self) -> bool {
        matches!(self, Self::KillLeader | Self::FreezeLeader | Self::IsolateLeader | Self::TerminateLeader)
    }
}

/// The frequency of each kind of fault, and the condition under which a disk may be erased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMix {
    /// Nearly all kinds. A disk is erased only after the system has recovered from earlier failures.
    All,
    /// Mostly replacements of machines and changes of seeds. A disk may be erased as soon as earlier failures
    /// no longer count.
    Turnover,
    /// Long suspensions and partitions, during which acceptors are replaced one after another. A disk is
    /// erased only after the system has recovered from earlier failures.
    Absences,
    /// Mostly disk faults: failed syncs, stalls, losses of power and records that cannot be decoded. A disk
    /// is erased or gets such a record only after the system has recovered from earlier failures.
    Disks,
    /// Mostly partitions of model servers, and changes of the leader of any kind.
    ServerLinks,
    /// Partitions of model servers behind a proxy, and graceful shutdowns. Other changes of the leader are left out:
    /// nothing can prevent a proxy from delivering an order after its sender was killed.
    ProxiedServerLinks,
}

/// A planned fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The time of injection, counted from the acknowledgement of the first configuration.
    pub at: Duration,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// A random number that selects one of the machines that are running at the time of injection.
    pub selector: usize,
    /// The duration of the fault; ignored if its kind is instantaneous.
    pub duration: Duration,
}
