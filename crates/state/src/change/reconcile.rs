//! Reconciliation by the leader: computation of the next step from the current members to the intended ones.
//!
//! Failed stores are replaced, new ones are added, draining ones are removed. At most one migration of batch
//! jobs between store sets is in progress at a time: a step that changes the stores waits until the previous
//! migration has finished.

use std::collections::BTreeMap;

use register::{Incarnation, Member};

use super::reachability::monitored_members;
use super::{successor, Reachability};
use crate::{ControlState, DrainState, StoreMember, StoreSet};

/// Results of the pings that the leader has sent to the members.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Number of rounds for which each member has not replied.
    pub reachability: Reachability,
    /// For each store, the latest epoch of the store set to which it has migrated all its batch jobs.
    pub committed_epochs: BTreeMap<Incarnation, u64>,
}

impl Observation {
    /// Records the epoch to which a store has migrated all its batch jobs. A lower epoch than the recorded
    /// one is ignored, because a store accepts nothing of an older epoch afterwards.
    pub fn record_committed_epoch(&mut self, store: Incarnation, epoch: u64) {
        let committed = self.committed_epochs.entry(store).or_default();
        *committed = epoch.max(*committed);
    }

    /// Returns all members that the leader has to ping, without duplicates.
    #[must_use]
    pub fn members_to_ping(state: &ControlState) -> Vec<Member> {
        monitored_members(state).into_iter().cloned().collect()
    }
}

/// Returns the state after the next reconciliation step of the leader with the fencing token `fence`, or
/// `None` if there is nothing to do or another token is the latest one.
#[must_use]
pub fn next_reconciliation(state: &ControlState, fence: u64, observed: &Observation) -> Option<ControlState> {
    if state.fence != fence {
        return None;
    }
    // Each function changes `next` and returns `Some`, or leaves it unchanged and returns `None`. Only the
    // first step that applies is taken.
    let mut next = successor(state);
    finish_migration(&mut next, observed)
        .or_else(|| replace_failed_stores(&mut next, observed))
        .or_else(|| start_drain(&mut next))
        .or_else(|| add_stores(&mut next, observed))
        .or_else(|| remove_surplus_store(&mut next, observed))
        .or_else(|| remove_unresponsive_waiting(&mut next, observed))?;
    Some(next)
}

/// Finishes a migration once enough stores of the previous set have migrated all their batch jobs: these
/// stores must have a majority of the replicas of each job. Draining machines that are not in the current
/// set then become drained.
fn finish_migration(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let previous = next.previous_stores.as_ref()?;
    let epoch = next.stores.epoch;
    let has_migrated = |store: &&StoreMember| {
        observed.committed_epochs.get(&store.member.incarnation).is_some_and(|committed| *committed >= epoch)
    };
    let pending = previous.members.len() - previous.members.iter().filter(has_migrated).count();
    if pending > tolerated_failures(previous) {
        return None;
    }
    next.previous_stores = None;
    let current_stores = &next.stores.members;
    for (name, drain) in &mut next.draining {
        if !current_stores.iter().any(|store| store.member.name == *name) {
            *drain = DrainState::Drained;
        }
    }
    Some(())
}

/// Returns the number of stores of a set that may be missing while the others have a majority of the replicas
/// of each batch job.
fn tolerated_failures(set: &StoreSet) -> usize {
    set.replication_factor.min(set.members.len()).saturating_sub(1) / 2
}

/// Replaces as many failed stores by waiting machines as possible in one step.
fn replace_failed_stores(next: &mut ControlState, observed: &Observation) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let has_failed = |store: &&StoreMember| observed.reachability.may_be_replaced(&store.member);
    let failed: Vec<StoreMember> = next.stores.members.iter().filter(has_failed).cloned().collect();
    let joining = responding_joining_stores(next, observed);
    if failed.is_empty() || joining.is_empty() {
        return None;
    }
    next.migrate_stores(|members| {
        for (failed, joining) in failed.iter().zip(joining) {
            members.retain(|store| store != failed);
            members.push(joining);
        }
    });
    remove_joined(next);
    Some(())
}

/// Removes one draining machine from the store set. The intended number of stores is lowered to the number
/// that remain, if it is higher.
fn start_drain(next: &mut ControlState) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let is_draining = |store: &StoreMember| next.draining.contains_key(&store.member.name);
    let draining_index = next.stores.members.iter().position(is_draining)?;
    next.migrate_stores(|members| drop(members.remove(draining_index)));
    next.stores.target_size = next.stores.target_size.min(next.stores.members.len());
    Some(())
}

/// Adds all waiting machines that reply to the store set, if all members of the set reply. A member that does
/// not reply may have failed; a waiting machine is then needed to replace it.
fn add_stores(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let is_responding = |store: &StoreMember| observed.reachability.is_responding(&store.member);
    let joining = responding_joining_stores(next, observed);
    if next.previous_stores.is_some() || joining.is_empty() || !next.stores.members.iter().all(is_responding)
    {
        return None;
    }
    next.migrate_stores(|members| members.extend(joining));
    remove_joined(next);
    Some(())
}

/// Removes a failed store without a replacement, if there are more stores than intended.
fn remove_surplus_store(next: &mut ControlState, observed: &Observation) -> Option<()> {
    if next.previous_stores.is_some() || !next.has_surplus_store() {
        return None;
    }
    let has_failed = |store: &StoreMember| observed.reachability.may_be_removed(&store.member);
    let failed_index = next.stores.members.iter().position(has_failed)?;
    next.migrate_stores(|members| drop(members.remove(failed_index)));
    Some(())
}

/// Removes standbys and joining stores that have failed. A machine that returns registers again.
fn remove_unresponsive_waiting(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let is_kept = |member: &Member| !observed.reachability.may_be_removed(member);
    let previous_count = next.standbys.len() + next.joining_stores.len();
    next.standbys.retain(is_kept);
    next.joining_stores.retain(|store| is_kept(&store.member));
    (next.standbys.len() + next.joining_stores.len() < previous_count).then_some(())
}

/// Returns the joining stores that reply to pings.
fn responding_joining_stores(next: &ControlState, observed: &Observation) -> Vec<StoreMember> {
    let is_responding = |store: &&StoreMember| observed.reachability.is_responding(&store.member);
    next.joining_stores.iter().filter(is_responding).cloned().collect()
}

/// Removes the machines that have become stores from the joining stores.
fn remove_joined(next: &mut ControlState) {
    let current_stores = &next.stores.members;
    next.joining_stores.retain(|store| !current_stores.contains(store));
}
