//! The rules that a run can break.

use std::fmt;
use std::time::Duration;

use batch::ItemResult;
use register::Ballot;

use super::convergence::Unconverged;
use crate::{ExternalReply, ReceivedOrder};

/// A committed value of the register has disappeared or changed, or several processes lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterViolation {
    /// A process has an older committed value than before.
    CommittedValueRegressed {
        /// The machine.
        machine: String,
        /// The ballot of the value before.
        before: Ballot,
        /// The ballot of the value now.
        now: Ballot,
    },
    /// Two processes have different committed values under one ballot.
    ConflictingValues {
        /// The machine that showed the second value.
        machine: String,
        /// The ballot.
        ballot: Ballot,
    },
    /// A higher ballot has a lower revision than one before.
    RevisionOutOfOrder {
        /// The revision.
        revision: u64,
        /// Its ballot.
        ballot: Ballot,
    },
    /// One revision has two values, so that one of two committed changes has disappeared.
    ConflictingRevisions {
        /// The revision.
        revision: u64,
    },
    /// Several processes have the leader lease at the same time.
    MultipleLeaseHolders {
        /// Each machine with its fencing token.
        holders: Vec<(usize, u64)>,
    },
    /// A lease holder has a lower fencing token than the one before.
    FencingTokenRegressed {
        /// The machine.
        machine: String,
        /// Its fencing token.
        fence: u64,
        /// The fencing token of the holder before.
        before: u64,
    },
    /// A server received two orders that must not follow each other.
    ConflictingOrders {
        /// The earlier order and the later one.
        orders: Box<[ReceivedOrder; 2]>,
    },
}

impl fmt::Display for RegisterViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CommittedValueRegressed { machine, before, now } => {
                write!(f, "{machine} went back from {before:?} to {now:?}")
            }
            Self::ConflictingValues { machine, ballot } => {
                write!(f, "{machine}: two values under {ballot:?}")
            }
            Self::RevisionOutOfOrder { revision, ballot } => {
                write!(f, "revision {revision} under {ballot:?} is out of order")
            }
            Self::ConflictingRevisions { revision } => {
                write!(f, "two values of revision {revision}: a committed change was lost")
            }
            Self::MultipleLeaseHolders { holders } => {
                write!(f, "several machines hold the lease, with fencing tokens: {holders:?}")
            }
            Self::FencingTokenRegressed { machine, fence, before } => {
                write!(f, "{machine} leads with fencing token {fence} after {before}")
            }
            Self::ConflictingOrders { orders } => write!(f, "conflicting orders: {orders:?}"),
        }
    }
}

/// A change of the configuration: the version that results, and the route that it adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcknowledgedChange {
    /// The version.
    pub version: u64,
    /// The name of the route.
    pub route: String,
}

/// What was acknowledged to operators contradicts itself, or is not what was committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationViolation {
    /// The first configuration was not acknowledged in time.
    NotStarted,
    /// A change was acknowledged after it had been rejected.
    AcknowledgedAfterRejection {
        /// The route that the change adds.
        route: String,
    },
    /// A change was rejected when it was sent again after its acknowledgement.
    RejectedAfterAcknowledgement {
        /// The route that the change adds.
        route: String,
    },
    /// Two changes on top of one version were both acknowledged.
    BothAcknowledged {
        /// The version before both.
        expected: u64,
        /// The two changes.
        changes: Box<[AcknowledgedChange; 2]>,
    },
    /// The committed version is not the change that was acknowledged.
    ChangeReplaced {
        /// The version before the change.
        expected: u64,
        /// The version after it.
        version: u64,
    },
    /// No process has the newest version that was acknowledged.
    ChangeLost {
        /// The version.
        version: u64,
    },
    /// A read returned an older version than one that was acknowledged before.
    StaleRead {
        /// The version that was read.
        version: u64,
        /// The acknowledged version.
        at_least: u64,
    },
}

impl fmt::Display for ConfigurationViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted => f.write_str("the first configuration is not acknowledged"),
            Self::AcknowledgedAfterRejection { route } => {
                write!(f, "{route} was rejected and then acknowledged")
            }
            Self::RejectedAfterAcknowledgement { route } => {
                write!(f, "{route} was acknowledged and then rejected")
            }
            Self::BothAcknowledged { expected, changes } => {
                write!(f, "{changes:?} were both acknowledged on top of {expected}")
            }
            Self::ChangeReplaced { expected, version } => {
                write!(f, "version {version} on top of {expected} is not the one that was acknowledged")
            }
            Self::ChangeLost { version } => {
                write!(f, "version {version} was acknowledged, and no process knows it")
            }
            Self::StaleRead { version, at_least } => {
                write!(f, "read version {version} after {at_least} was acknowledged")
            }
        }
    }
}

/// The results of a batch job have changed or are not what servers generated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobViolation {
    /// The results do not start with those that were read before.
    ResultsChanged {
        /// The batch job.
        job: String,
        /// The results that were read before.
        before: Vec<ItemResult>,
        /// The results now.
        now: Vec<ItemResult>,
    },
    /// A result occurs twice, or has a text that no server generated for its item.
    InvalidResult {
        /// The batch job.
        job: String,
        /// The result.
        result: Box<ItemResult>,
    },
}

impl fmt::Display for JobViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResultsChanged { job, before, now } => {
                write!(f, "{job}: {now:?} does not start with {before:?}")
            }
            Self::InvalidResult { job, result } => write!(f, "{job}: invalid result {result:?}"),
        }
    }
}

/// A rule that a run has broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SimulationViolation {
    /// A rule of the register, the leader lease or orders to servers.
    Register(RegisterViolation),
    /// A rule of changes of the configuration.
    Configuration(ConfigurationViolation),
    /// A rule of batch jobs.
    Job(JobViolation),
    /// A request got a reply that its state does not allow.
    UnexpectedReply {
        /// The request.
        request: String,
        /// The reply.
        reply: ExternalReply,
    },
    /// The fleet had not recovered in time after the last fault.
    NotConverged {
        /// The time that it had.
        timeout: Duration,
        /// The first thing that was missing.
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
            Self::UnexpectedReply { request, reply } => write!(f, "{request} got the reply {reply:?}"),
            Self::NotConverged { timeout, missing } => {
                write!(f, "not recovered after {timeout:?}: {missing}")
            }
            Self::Panicked => f.write_str("a process panicked"),
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
