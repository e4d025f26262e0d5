//! Violations of invariants that a run can end with.

use std::fmt;
use std::time::Duration;

use batch::ItemResult;
use register::Ballot;

use super::convergence::Unconverged;
use crate::{ExternalReply, ReceivedOrder};

/// A violation of the register, the leader lease or the orders to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterViolation {
    /// The committed value of a process is older than one that it had before.
    CommittedValueRegressed {
        /// The name of the machine.
        machine: String,
        /// The ballot of the earlier value.
        before: Ballot,
        /// The ballot of the present value.
        now: Ballot,
    },
    /// Two processes have different committed values under one ballot.
    ConflictingValues {
        /// The name of the machine whose value differs from the first one that was observed.
        machine: String,
        /// The ballot of both values.
        ballot: Ballot,
    },
    /// A value with a higher ballot has a lower revision.
    RevisionOutOfOrder {
        /// The revision of the value that was observed last.
        revision: u64,
        /// The ballot of this value.
        ballot: Ballot,
    },
    /// Two committed values have the same revision, so that one of two committed changes is lost.
    ConflictingRevisions {
        /// The revision of both values.
        revision: u64,
    },
    /// Several processes hold the leader lease at the same time.
    MultipleLeaseHolders {
        /// The index and the fencing token of each holder.
        holders: Vec<(usize, u64)>,
    },
    /// A lease holder has a lower fencing token than the previous holder.
    FencingTokenRegressed {
        /// The name of the machine that holds the lease.
        machine: String,
        /// The fencing token of this machine.
        fence: u64,
        /// The fencing token of the previous holder.
        before: u64,
    },
    /// A server received two successive orders that must not follow each other.
    ConflictingOrders {
        /// The earlier and the later order.
        orders: Box<[ReceivedOrder; 2]>,
    },
}

impl fmt::Display for RegisterViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CommittedValueRegressed { machine, before, now } => {
                write!(f, "the committed value of {machine} went back from ballot {before:?} to {now:?}")
            }
            Self::ConflictingValues { machine, ballot } => {
                write!(
                    f,
                    "{machine} has a different committed value under ballot {ballot:?} than another process"
                )
            }
            Self::RevisionOutOfOrder { revision, ballot } => {
                write!(f, "revision {revision} under ballot {ballot:?} contradicts the order of the ballots")
            }
            Self::ConflictingRevisions { revision } => {
                write!(f, "revision {revision} has two committed values: a committed change was lost")
            }
            Self::MultipleLeaseHolders { holders } => {
                write!(f, "several machines hold the leader lease (index, fencing token): {holders:?}")
            }
            Self::FencingTokenRegressed { machine, fence, before } => {
                write!(f, "{machine} holds the leader lease with fencing token {fence}, lower than the previous {before}")
            }
            Self::ConflictingOrders { orders } => {
                write!(f, "a server received conflicting orders: {orders:?}")
            }
        }
    }
}

/// A change of the configuration that was acknowledged to an operator. Each change adds a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcknowledgedChange {
    /// The version of the configuration after the change.
    pub version: u64,
    /// The name of the added route, which is unique in a run.
    pub route: String,
}

/// Replies to operators that contradict each other or the committed values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationViolation {
    /// The first configuration was not acknowledged in time.
    NotStarted,
    /// A change was acknowledged after it had been rejected.
    AcknowledgedAfterRejection {
        /// The name of the route that the change adds.
        route: String,
    },
    /// An acknowledged change was rejected when it was sent again.
    RejectedAfterAcknowledgement {
        /// The name of the route that the change adds.
        route: String,
    },
    /// Two changes of the same version were both acknowledged.
    BothAcknowledged {
        /// The version before both changes.
        expected: u64,
        /// The two changes, in the order in which they were acknowledged.
        changes: Box<[AcknowledgedChange; 2]>,
    },
    /// The committed configuration with the version of an acknowledged change does not contain the change.
    ChangeReplaced {
        /// The version before the change.
        expected: u64,
        /// The version after the change.
        version: u64,
    },
    /// The newest acknowledged version was never observed as a committed value of a process.
    ChangeLost {
        /// The acknowledged version.
        version: u64,
    },
    /// A read returned a version older than one that had been acknowledged or read before the read was sent.
    StaleRead {
        /// The version that was read.
        version: u64,
        /// The version that had been acknowledged or read.
        at_least: u64,
    },
}

impl fmt::Display for ConfigurationViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted => f.write_str("the first configuration was not acknowledged in time"),
            Self::AcknowledgedAfterRejection { route } => {
                write!(f, "the change with route {route} was rejected and then acknowledged")
            }
            Self::RejectedAfterAcknowledgement { route } => {
                write!(f, "the change with route {route} was acknowledged and then rejected")
            }
            Self::BothAcknowledged { expected, changes } => {
                write!(f, "two changes of version {expected} were both acknowledged: {changes:?}")
            }
            Self::ChangeReplaced { expected, version } => {
                write!(f, "committed version {version} does not contain the acknowledged change of version {expected}")
            }
            Self::ChangeLost { version } => {
                write!(f, "version {version} was acknowledged, but was never observed as committed")
            }
            Self::StaleRead { version, at_least } => {
                write!(
                    f,
                    "a read returned version {version} although version {at_least} was acknowledged or read before"
                )
            }
        }
    }
}

/// A violation of the results of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobViolation {
    /// The results do not start with the results of an earlier read.
    ResultsChanged {
        /// The id of the batch job.
        job: String,
        /// The results of the earlier read.
        before: Vec<ItemResult>,
        /// The results of the present read.
        now: Vec<ItemResult>,
    },
    /// A result occurs twice, or its text differs from the one that servers generate for its item.
    InvalidResult {
        /// The id of the batch job.
        job: String,
        /// The first invalid result.
        result: Box<ItemResult>,
    },
}

impl fmt::Display for JobViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResultsChanged { job, before, now } => {
                write!(f, "the results of batch job {job} changed from {before:?} to {now:?}")
            }
            Self::InvalidResult { job, result } => {
                write!(f, "batch job {job} has a duplicate or wrong result: {result:?}")
            }
        }
    }
}

/// The reason for which a run failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SimulationViolation {
    /// A violation of the register, the leader lease or the orders to servers.
    Register(RegisterViolation),
    /// A violation of the changes and reads of the configuration.
    Configuration(ConfigurationViolation),
    /// A violation of the results of a batch job.
    Job(JobViolation),
    /// A request received a reply that is not possible in its state.
    UnexpectedReply {
        /// Description of the request.
        request: String,
        /// The reply of the node that received the request.
        reply: ExternalReply,
    },
    /// A store used more memory than its settings allow.
    MemoryExceeded {
        /// The name of the machine.
        machine: String,
        /// The largest memory of its process, in bytes.
        bytes: usize,
        /// The memory that the settings allow, in bytes.
        limit: usize,
    },
    /// The fleet did not recover in time after the last fault.
    NotConverged {
        /// The time limit of the recovery.
        timeout: Duration,
        /// The first condition of recovery that was not met.
        missing: Unconverged,
    },
    /// A process or a check panicked.
    Panicked,
}

impl fmt::Display for SimulationViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Register(violation) => violation.fmt(f),
            Self::Configuration(violation) => violation.fmt(f),
            Self::Job(violation) => violation.fmt(f),
            Self::UnexpectedReply { request, reply } => {
                write!(f, "{request} received the unexpected reply {reply:?}")
            }
            Self::MemoryExceeded { machine, bytes, limit } => {
                write!(f, "{machine} used {bytes} bytes of memory, its limit is {limit}")
            }
            Self::NotConverged { timeout, missing } => {
                write!(f, "the fleet has not recovered {timeout:?} after the last fault: {missing}")
            }
            Self::Panicked => f.write_str("a process or a check panicked"),
        }
    }
}

impl std::error::Error for SimulationViolation {}

impl From<RegisterViolation> for SimulationViolation {
    fn from(violation: RegisterViolation) -> Self {
        Self::Register(violation)
    }
}

impl From<ConfigurationViolation> for SimulationViolation {
    fn from(violation: ConfigurationViolation) -> Self {
        Self::Configuration(violation)
    }
}

impl From<JobViolation> for SimulationViolation {
    fn from(violation: JobViolation) -> Self {
        Self::Job(violation)
    }
}
