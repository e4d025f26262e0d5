//! What must hold at any moment of a run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use register::{Ballot, Incarnation};
use state::ControlState;

use crate::Fleet;

/// The time that must lie between the orders of two holders (`leaseMs`).
const BETWEEN_HOLDERS: Duration = Duration::from_secs(3);

/// What was seen of the register and its holders.
#[derive(Default)]
pub(super) struct Checker {
    /// All committed values that any process knew, by ballot.
    committed: BTreeMap<Ballot, Arc<ControlState>>,
    /// The value of each revision: two that differ mean that one change was lost.
    by_revision: BTreeMap<u64, Arc<ControlState>>,
    /// What each life of a process knew last.
    known: BTreeMap<(usize, u64), Ballot>,
    /// The token of the last holder.
    last_fence: u64,
}

impl Checker {
    pub(super) fn look(&mut self, fleet: &Fleet) -> Result<(), String> {
        for machine in fleet.machines() {
            self.look_at(fleet, machine)?;
        }
        self.check_holders(fleet)?;
        match fleet.forbidden_orders(BETWEEN_HOLDERS) {
            Some(pair) => Err(format!("orders of holders: {pair}")),
            None => Ok(()),
        }
    }

    pub(super) fn values(&self) -> usize {
        self.committed.len()
    }

    /// The committed state with this version of the configuration.
    pub(super) fn of_edition(&self, edition: u64) -> Option<&ControlState> {
        self.by_revision.values().find(|state| state.configuration_version == edition).map(|state| &**state)
    }

    fn look_at(&mut self, fleet: &Fleet, machine: usize) -> Result<(), String> {
        let Some(committed) = fleet.committed(machine) else { return Ok(()) };
        let station = fleet.station(machine);
        let known = self.known.entry((machine, fleet.life(machine))).or_default();
        if committed.ballot < *known {
            return Err(format!("{station} went back from {known:?} to {:?}", committed.ballot));
        }
        if committed.ballot == *known {
            return Ok(());
        }
        *known = committed.ballot;
        let held = self.committed.entry(committed.ballot).or_insert_with(|| Arc::clone(&committed.value));
        if **held != *committed.value {
            return Err(format!("{station}: two values under {:?}", committed.ballot));
        }
        self.check_order(committed.ballot, &committed.value)
    }

    /// Values follow one another: a higher ballot has no lower revision, and a revision has one value.
    fn check_order(&mut self, ballot: Ballot, value: &Arc<ControlState>) -> Result<(), String> {
        let before = self.committed.range(..ballot).next_back();
        let after = self.committed.range(ballot..).nth(1);
        let is_ordered = before.is_none_or(|(_, state)| state.revision <= value.revision)
            && after.is_none_or(|(_, state)| state.revision >= value.revision);
        if !is_ordered {
            return Err(format!("revision {} under {ballot:?} stands out of order", value.revision));
        }
        let held = self.by_revision.entry(value.revision).or_insert_with(|| Arc::clone(value));
        if held != value {
            return Err(format!("two values of revision {}: a committed change was lost", value.revision));
        }
        Ok(())
    }

    /// One holder at a time, each with a higher token than the one before, and with the register's newest.
    fn check_holders(&mut self, fleet: &Fleet) -> Result<(), String> {
        let holders: Vec<(usize, u64)> =
            fleet.machines().filter_map(|machine| Some((machine, fleet.fence(machine)?))).collect();
        if holders.len() > 1 {
            return Err(format!("two hold the lease: {holders:?}"));
        }
        let Some((machine, fence)) = holders.first().copied() else { return Ok(()) };
        if fence < self.last_fence {
            return Err(format!(
                "{} leads with token {fence} after {}",
                fleet.station(machine),
                self.last_fence
            ));
        }
        self.last_fence = fence;
        Ok(())
    }
}

/// What is not yet as it must be once the troubles are over: one leads, all know the newest state, all machines are
/// members with the disk that they have, and all servers have the newest version.
pub(super) fn unfinished(fleet: &Fleet) -> Option<String> {
    let newest = fleet.newest_state()?;
    let present: Vec<usize> = fleet.machines().filter(|machine| fleet.has_process(*machine)).collect();
    let fence = fleet.machines().find_map(|machine| fleet.fence(machine));
    if fence != Some(newest.fence) {
        return Some(format!("the holder has token {fence:?}, not {}", newest.fence));
    }
    if newest.previous_stores.is_some() {
        return Some(format!("batch jobs are still moved to epoch {}", newest.stores.epoch));
    }
    for machine in present {
        let revision = fleet.state(machine).map(|state| state.revision);
        if revision != Some(newest.revision) {
            return Some(format!(
                "{} knows revision {revision:?}, not {}",
                fleet.station(machine),
                newest.revision
            ));
        }
        let incarnation = fleet.incarnation(machine);
        if incarnation.is_some_and(|incarnation| !is_member(&newest, fleet.station(machine), incarnation)) {
            return Some(format!("{} is no member", fleet.station(machine)));
        }
    }
    None
}

fn is_member(state: &ControlState, station: &str, incarnation: Incarnation) -> bool {
    let stores = state.stores.members.iter().map(|store| &store.member);
    let mut members = state.acceptors.iter().chain(&state.standbys).chain(stores);
    members.any(|member| member.name == station && member.incarnation == incarnation)
}
