//! Reconciliation by the leader: the next step from the present members to the intended ones.
//!
//! Failed stores are replaced, new ones are added, drained ones are removed. At most one migration of batch jobs between
//! store sets is under way at a time: each step that changes the stores waits until the one before has finished.

use std::collections::BTreeMap;

use register::{Incarnation, Member};

use super::reachability::monitored_members;
use super::{successor, Reachability};
use crate::{ControlState, DrainState, StoreMember, StoreSet};

/// What the leader has learned about the members by pinging them.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Which members reply.
    pub reachability: Reachability,
    /// For each store, the latest epoch to which it has completely migrated its batch jobs.
    pub committed_epochs: BTreeMap<Incarnation, u64>,
}

impl Observation {
    /// Records the epoch to which a store has migrated all its batch jobs. Epochs only rise: a store accepts nothing of
    /// an older epoch afterwards.
    pub fn record_committed_epoch(&mut self, store: Incarnation, epoch: u64) {
        let committed = self.committed_epochs.entry(store).or_default();
        *committed = epoch.max(*committed);
    }

    /// All members to ping.
    #[must_use]
    pub fn members_to_ping(state: &ControlState) -> Vec<Member> {
        monitored_members(state).into_iter().cloned().collect()
    }
}

/// The next reconciliation step by the leader with this fencing token, if there is any; `None` for a token that has been
/// superseded.
#[must_use]
pub fn next_reconciliation(state: &ControlState, fence: u64, observed: &Observation) -> Option<ControlState> {
    if state.fence != fence {
        return None;
    }
    // Each step changes `next` and returns `Some`, or leaves it as it is and returns `None`. The first that applies ends
    // the chain: one step at a time, in this order.
    let mut next = successor(state);
    finish_migration(&mut next, observed)
        .or_else(|| replace_failed_stores(&mut next, observed))
        .or_else(|| start_drain(&mut next))
        .or_else(|| add_stores(&mut next, observed))
        .or_else(|| remove_surplus_store(&mut next, observed))
        .or_else(|| remove_unresponsive_waiting(&mut next, observed))?;
    Some(next)
}

/// Finishes a migration once enough stores of the previous set have migrated all their batch jobs: a majority of the
/// replicas of each job must be among them.
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
    let present = &next.stores.members;
    for (name, drain) in &mut next.draining {
        if !present.iter().any(|store| store.member.name == *name) {
            *drain = DrainState::Drained;
        }
    }
    Some(())
}

/// How many stores of a set may be missing while a majority of the replicas of each batch job is still there.
fn tolerated_failures(set: &StoreSet) -> usize {
    set.replication_factor.min(set.members.len()).saturating_sub(1) / 2
}

/// Replaces stores that have failed by machines that wait, all in one step.
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

/// Starts to drain one store machine that the operator has ordered to be drained.
fn start_drain(next: &mut ControlState) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let is_draining = |store: &StoreMember| next.draining.contains_key(&store.member.name);
    let drained = next.stores.members.iter().position(is_draining)?;
    next.migrate_stores(|members| drop(members.remove(drained)));
    next.stores.target_size = next.stores.target_size.min(next.stores.members.len());
    Some(())
}

/// Adds waiting machines to the store set, provided that all its members reply: one that does not may turn out to have
/// failed, and is then replaced instead.
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

/// Removes a store that has failed, where there are more than intended.
fn remove_surplus_store(next: &mut ControlState, observed: &Observation) -> Option<()> {
    if next.previous_stores.is_some() || !next.has_surplus_store() {
        return None;
    }
    let has_failed = |store: &StoreMember| observed.reachability.may_be_removed(&store.member);
    let failed = next.stores.members.iter().position(has_failed)?;
    next.migrate_stores(|members| drop(members.remove(failed)));
    Some(())
}

/// Removes waiting machines that have failed. One that returns registers again.
fn remove_unresponsive_waiting(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let is_kept = |member: &Member| !observed.reachability.may_be_removed(member);
    let before = next.standbys.len() + next.joining_stores.len();
    next.standbys.retain(is_kept);
    next.joining_stores.retain(|store| is_kept(&store.member));
    (next.standbys.len() + next.joining_stores.len() < before).then_some(())
}

/// The machines that wait to become stores and reply to pings.
fn responding_joining_stores(next: &ControlState, observed: &Observation) -> Vec<StoreMember> {
    let is_responding = |store: &&StoreMember| observed.reachability.is_responding(&store.member);
    next.joining_stores.iter().filter(is_responding).cloned().collect()
}

/// Removes machines that have become stores from those that wait.
fn remove_joined(next: &mut ControlState) {
    let present = &next.stores.members;
    next.joining_stores.retain(|store| !present.contains(store));
}
