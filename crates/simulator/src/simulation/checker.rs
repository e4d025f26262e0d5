//! Invariants that are checked throughout a run: no committed value of the register is lost or changed, at
//! most one process leads, and servers receive no conflicting orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use register::{Ballot, Versioned};
use state::ControlState;

use super::violation::RegisterViolation;
use crate::Fleet;

/// Minimum time between the orders of two lease holders (setting `leaseMs`).
const MIN_GAP_BETWEEN_HOLDERS: Duration = Duration::from_secs(3);

/// Records the committed values and lease holders that it observes, and checks each observation against them.
#[derive(Default)]
pub(super) struct Checker {
    /// All committed values that were observed at any process, by ballot.
    committed: BTreeMap<Ballot, Arc<ControlState>>,
    /// The first observed value of each revision. A second, different value means that a committed change was
    /// lost.
    by_revision: BTreeMap<u64, Arc<ControlState>>,
    /// The ballot of the last committed value of each process. A process is identified by the index of its
    /// machine and the number of earlier processes there.
    last_ballots: BTreeMap<(usize, u64), Ballot>,
    /// The fencing token of the last observed lease holder.
    last_fence: u64,
}

impl Checker {
    /// Checks all invariants on the present state of the fleet.
    pub(super) fn check(&mut self, fleet: &Fleet) -> Result<(), RegisterViolation> {
        for machine in fleet.machines() {
            if let Some(committed) = fleet.committed(machine) {
                self.check_committed(fleet, machine, &committed)?;
            }
        }
        self.check_holders(fleet)?;
        match fleet.conflicting_orders(MIN_GAP_BETWEEN_HOLDERS) {
            Some(orders) => Err(RegisterViolation::ConflictingOrders { orders: Box::new(orders) }),
            None => Ok(()),
        }
    }

    /// Returns the number of different committed values that were observed.
    pub(super) fn value_count(&self) -> usize {
        self.committed.len()
    }

    /// Returns the committed state with this version of the configuration; `None` if none was observed.
    pub(super) fn state_with_configuration(&self, version: u64) -> Option<&ControlState> {
        self.by_revision.values().find(|state| state.configuration_version == version).map(|state| &**state)
    }

    /// Checks that a process does not go back to an older value, and that each ballot has only one value.
    fn check_committed(
        &mut self,
        fleet: &Fleet,
        machine: usize,
        committed: &Versioned<ControlState>,
    ) -> Result<(), RegisterViolation> {
        let ballot = committed.ballot;
        let last_ballot = self.last_ballots.entry((machine, fleet.process_exits(machine))).or_default();
        if ballot < *last_ballot {
            let machine = fleet.name(machine).to_owned();
            return Err(RegisterViolation::CommittedValueRegressed {
                machine,
                before: *last_ballot,
                now: ballot,
            });
        }
        if ballot == *last_ballot {
            return Ok(());
        }
        *last_ballot = ballot;
        let first = self.committed.entry(ballot).or_insert_with(|| Arc::clone(&committed.value));
        if **first != *committed.value {
            let machine = fleet.name(machine).to_owned();
            return Err(RegisterViolation::ConflictingValues { machine, ballot });
        }
        self.check_revision(ballot, &committed.value)
    }

    /// Checks that a value with a higher ballot has no lower revision, and that each revision has only one
    /// value.
    fn check_revision(&mut self, ballot: Ballot, value: &Arc<ControlState>) -> Result<(), RegisterViolation> {
        let revision = value.revision;
        let before = self.committed.range(..ballot).next_back();
        let after = self.committed.range(ballot..).nth(1);
        let is_ordered = before.is_none_or(|(_, state)| state.revision <= revision)
            && after.is_none_or(|(_, state)| state.revision >= revision);
        if !is_ordered {
            return Err(RegisterViolation::RevisionOutOfOrder { revision, ballot });
        }
        let first = self.by_revision.entry(revision).or_insert_with(|| Arc::clone(value));
        if first != value {
            return Err(RegisterViolation::ConflictingRevisions { revision });
        }
        Ok(())
    }

    /// Checks that at most one process holds the leader lease, and that fencing tokens do not decrease.
    fn check_holders(&mut self, fleet: &Fleet) -> Result<(), RegisterViolation> {
        let holders: Vec<(usize, u64)> =
            fleet.machines().filter_map(|machine| Some((machine, fleet.fence(machine)?))).collect();
        if holders.len() > 1 {
            return Err(RegisterViolation::MultipleLeaseHolders { holders });
        }
        let Some((machine, fence)) = holders.first().copied() else { return Ok(()) };
        if fence < self.last_fence {
            let machine = fleet.name(machine).to_owned();
            let before = self.last_fence;
            return Err(RegisterViolation::FencingTokenRegressed { machine, fence, before });
        }
        self.last_fence = fence;
        Ok(())
    }
}
