//! Checks that the fleet recovers once the faults of a run are over.

use std::fmt;
use std::time::Duration;

use register::{Incarnation, Member};
use state::ControlState;

use crate::Fleet;

/// Something that has not recovered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unconverged {
    /// The lease holder does not have the newest fencing token.
    LeaseHolder {
        /// Its fencing token, if there is a holder.
        fence: Option<u64>,
        /// The newest fencing token.
        newest: u64,
    },
    /// Batch jobs are still migrated to another set of stores.
    Migration {
        /// The epoch of that set.
        epoch: u64,
        /// The stores of the previous set that have not migrated all that they store, each with what it says.
        waits_for: Vec<String>,
    },
    /// A process does not have the newest state.
    StaleState {
        /// The machine.
        machine: String,
        /// The revision that it has; `None` without any state.
        revision: Option<u64>,
        /// The newest revision.
        newest: u64,
    },
    /// A machine with a disk is not a member.
    NotMember {
        /// The machine.
        machine: String,
    },
    /// An order has no conclusive reply.
    PendingOrder {
        /// The order.
        order: String,
        /// When it was first sent.
        since: Duration,
    },
    /// A batch job has not been ended.
    OpenJob {
        /// Its id.
        job: String,
        /// The results that were read.
        results: usize,
    },
    /// Servers do not have the newest version of the weights.
    StaleServers {
        /// How many.
        servers: usize,
        /// The newest version.
        version: u64,
    },
}

impl fmt::Display for Unconverged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseHolder { fence, newest } => {
                write!(f, "the lease holder has fencing token {fence:?}, not {newest}")
            }
            Self::Migration { epoch, waits_for } => {
                write!(
                    f,
                    "batch jobs are still migrated to epoch {epoch}; waits for {}",
                    waits_for.join(", ")
                )
            }
            Self::StaleState { machine, revision, newest } => {
                write!(f, "{machine} knows revision {revision:?}, not {newest}")
            }
            Self::NotMember { machine } => write!(f, "{machine} is no member"),
            Self::PendingOrder { order, since } => {
                write!(f, "{order} has no conclusive reply since {since:?}")
            }
            Self::OpenJob { job, results } => write!(f, "batch job {job} is open with {results} results"),
            Self::StaleServers { servers, version } => write!(f, "{servers} servers lack version {version}"),
        }
    }
}

/// The first thing of the control plane that has not recovered: one process leads, all know the newest state,
/// and all machines with a disk are members with the disk that they have.
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
    let mut missing = present.filter_map(|machine| check_machine(fleet, machine, &newest));
    missing.next()
}

/// The stores of the previous set that have not migrated all their batch jobs, each with its own account of
/// why.
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
        (!is_done)
            .then(|| format!("{name} (in epoch {epoch}, knows revision {revision} of {})", newest.revision))
    };
    previous.filter_map(describe).collect()
}

fn check_machine(fleet: &Fleet, machine: usize, newest: &ControlState) -> Option<Unconverged> {
    let name = fleet.name(machine).to_owned();
    let revision = fleet.state(machine).map(|state| state.revision);
    if revision != Some(newest.revision) {
        return Some(Unconverged::StaleState { machine: name, revision, newest: newest.revision });
    }
    let incarnation = fleet.incarnation(machine)?;
    (!is_member(newest, &name, incarnation)).then_some(Unconverged::NotMember { machine: name })
}

fn is_member(state: &ControlState, name: &str, incarnation: Incarnation) -> bool {
    let stores = state.stores.members.iter().map(|store| &store.member);
    let mut members = state.acceptors.iter().chain(&state.standbys).chain(stores);
    members.any(|member| member.name == name && member.incarnation == incarnation)
}
