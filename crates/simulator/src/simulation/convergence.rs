//! Checks whether the fleet has recovered after the last fault of a run.

use std::fmt;
use std::time::Duration;

use register::{Incarnation, Member};
use state::ControlState;

use crate::Fleet;

/// A condition of recovery that is not met yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unconverged {
    /// No running process holds the leader lease with the newest fencing token.
    LeaseHolder {
        /// The fencing token of the lease holder; `None` without a holder.
        fence: Option<u64>,
        /// The newest committed fencing token.
        newest: u64,
    },
    /// Batch jobs are still being migrated to a new store set.
    Migration {
        /// The epoch of the new store set.
        epoch: u64,
        /// The stores of the previous set that have not migrated all their batch jobs, each with a
        /// description of its state.
        waits_for: Vec<String>,
    },
    /// A process has not learned the newest state.
    StaleState {
        /// The name of the machine.
        machine: String,
        /// The revision that the process has; `None` without any state.
        revision: Option<u64>,
        /// The newest revision of any process.
        newest: u64,
    },
    /// A machine with a disk is not a member of the register or the store set with its present disk.
    NotMember {
        /// The name of the machine.
        machine: String,
    },
    /// An operator's order has no conclusive reply.
    PendingOrder {
        /// Description of the order.
        order: String,
        /// The time at which the order was first sent.
        since: Duration,
    },
    /// A batch job has not been ended and read for the last time.
    OpenJob {
        /// The id of the batch job.
        job: String,
        /// Number of results that were read.
        results: usize,
    },
    /// Servers do not have the target version of the weights.
    StaleServers {
        /// Number of these servers.
        servers: usize,
        /// The target version.
        version: u64,
    },
}

impl fmt::Display for Unconverged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseHolder { fence, newest } => {
                write!(f, "the lease holder has fencing token {fence:?}, not the newest {newest}")
            }
            Self::Migration { epoch, waits_for } => {
                write!(
                    f,
                    "batch jobs are still being migrated to the store set of epoch {epoch}; not finished: {}",
                    waits_for.join(", ")
                )
            }
            Self::StaleState { machine, revision, newest } => {
                write!(f, "{machine} has revision {revision:?} of the state, not the newest {newest}")
            }
            Self::NotMember { machine } => write!(f, "{machine} is not a member with its present disk"),
            Self::PendingOrder { order, since } => {
                write!(f, "{order} was sent at {since:?} and has no conclusive reply")
            }
            Self::OpenJob { job, results } => {
                write!(f, "batch job {job} has not ended, {results} results were read")
            }
            Self::StaleServers { servers, version } => {
                write!(f, "{servers} servers do not have target version {version}")
            }
        }
    }
}

/// Checks that the control plane has recovered: one process leads, no migration is in progress, all processes
/// have the newest state, and all machines with a disk are members with their present disk. Returns the first
/// condition that is not met.
pub(super) fn check_fleet(fleet: &Fleet) -> Option<Unconverged> {
    let newest = fleet.newest_state()?;
    let fence = fleet.machines().find_map(|machine| fleet.fence(machine));
    if fence != Some(newest.fence) {
        return Some(Unconverged::LeaseHolder { fence, newest: newest.fence });
    }
    if newest.previous_stores.is_some() {
        let waits_for = unmigrated_stores(fleet, &newest);
        return Some(Unconverged::Migration { epoch: newest.stores.epoch, waits_for });
    }
    let present = fleet.machines().filter(|machine| fleet.has_process(*machine));
    let mut unconverged = present.filter_map(|machine| check_machine(fleet, machine, &newest));
    unconverged.next()
}

/// Describes the stores of the previous set that have not migrated all their batch jobs.
fn unmigrated_stores(fleet: &Fleet, newest: &ControlState) -> Vec<String> {
    let previous = newest.previous_stores.iter().flat_map(|set| &set.members).map(|store| &store.member);
    let machine_of = |member: &Member| {
        fleet.machines().find(|machine| fleet.incarnation(*machine) == Some(member.incarnation))
    };
    let describe = |member: &Member| {
        let Some(machine) = machine_of(member) else { return Some(format!("{} (no process)", member.name)) };
        let revision = fleet.state(machine).map_or(0, |state| state.revision);
        let status = fleet.migration_status(machine)?;
        let is_done = status.is_complete && status.epoch >= newest.stores.epoch;
        let (name, epoch) = (&member.name, status.epoch);
        (!is_done).then(|| format!("{name} (epoch {epoch}, revision {revision} of {})", newest.revision))
    };
    previous.filter_map(describe).collect()
}

/// Checks that a machine has the newest state and, if it has a disk, is a member with this disk.
fn check_machine(fleet: &Fleet, machine: usize, newest: &ControlState) -> Option<Unconverged> {
    let name = fleet.name(machine).to_owned();
    let revision = fleet.state(machine).map(|state| state.revision);
    if revision != Some(newest.revision) {
        return Some(Unconverged::StaleState { machine: name, revision, newest: newest.revision });
    }
    let incarnation = fleet.incarnation(machine)?;
    (!is_member(newest, &name, incarnation)).then_some(Unconverged::NotMember { machine: name })
}

/// Whether a machine is an acceptor, a standby or a store with this incarnation of its disk.
fn is_member(state: &ControlState, name: &str, incarnation: Incarnation) -> bool {
    let stores = state.stores.members.iter().map(|store| &store.member);
    let mut members = state.acceptors.iter().chain(&state.standbys).chain(stores);
    members.any(|member| member.name == name && member.incarnation == incarnation)
}
