//! The faults of a run: their kinds, how they are drawn from a seed, and how they are injected.

mod failure_limits;
mod injection;
mod plan;

use std::time::Duration;

pub(super) use injection::{inject, lose_power_of_all, ActiveFault};
pub(super) use plan::plan_faults;

/// A kind of fault. The machine is chosen when the fault is injected, by [`Fault::selector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed.
    Kill,
    /// The process of the lease holder is killed.
    KillLeader,
    /// A machine loses power, half of the time in the middle of a write.
    LosePower,
    /// All nodes, or all machines, lose power.
    LosePowerOfMany,
    /// The disk of a machine is erased.
    LoseDisk,
    /// A machine is removed, and one with another address and an empty disk is added.
    Replace,
    /// A process is shut down gracefully, and started again.
    Terminate,
    /// The machine of an acceptor is removed, and one with another address and an empty disk is added.
    ReplaceAcceptor,
    /// A node is added first; later one is shut down gracefully and removed.
    ReplacePlanned,
    /// A machine is suspended.
    Freeze,
    /// The machine of the lease holder is suspended.
    FreezeLeader,
    /// A machine runs slowly.
    SlowDown,
    /// A machine is partitioned from all others.
    Isolate,
    /// The machine of the lease holder is partitioned from all others.
    IsolateLeader,
    /// All messages of a machine are stopped, or all messages to it.
    PartitionOneWay,
    /// The machines are partitioned into two halves.
    PartitionInHalves,
    /// All connections of a machine are reset.
    ResetConnections,
    /// A disk stalls.
    StallDisk,
    /// A sync fails.
    FailSync,
    /// A process ends, and the newest record on its disk cannot be decoded any more: its disk counts as
    /// failed.
    SpoilRecord,
    /// The network drops a tenth of all messages, duplicates a tenth and delays a twentieth.
    LossyNetwork,
    /// All settings name other nodes as seeds, with or without a disk.
    ChangeSeeds,
}

impl FaultKind {
    /// Whether the fault ends after [`Fault::duration`]; all others are over at once.
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

    /// Whether the fault concerns the lease holder rather than any machine.
    fn targets_leader(self) -> bool {
        matches!(self, Self::KillLeader | Self::FreezeLeader | Self::IsolateLeader)
    }
}

/// Which faults are drawn, and when the next disk may be erased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMix {
    /// All kinds; a disk is erased only when the system has recovered from earlier failures.
    All,
    /// Mostly machines that are replaced, and changes of seeds; a disk may be erased as soon as earlier
    /// failures no longer count.
    Turnover,
    /// Long suspensions and partitions, in which acceptors are replaced one after the other; a disk is erased
    /// only when the system has recovered from earlier failures.
    Absences,
    /// Disks that fail for a moment, stall, lose power or have a record that cannot be decoded; a disk is
    /// erased or spoilt only when the system has recovered from earlier failures.
    Disks,
}

/// A fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it is injected, counted from the first configuration.
    pub at: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// A random number that selects the machine among those that run then.
    pub selector: usize,
    /// How long it lasts, if its kind has a duration.
    pub duration: Duration,
}
