//! Upkeep of the members by the leader: what is lost and replaced is removed, what is to be emptied is moved.

use std::collections::BTreeMap;
use std::time::Duration;

use register::{Incarnation, Member};

use super::successor;
use crate::{ControlState, DrainState, StoreMember, StoreSet};

/// A member is silent for too long after this many rounds of pings in a row without an answer.
const LOST_AFTER_ROUNDS: u32 = 5;
/// A store is gone after so many such rounds where another machine waits to take its place, unless told otherwise.
const GONE_AFTER_ROUNDS: u32 = 3;

/// Counts for each member the rounds of pings since it was last heard of.
///
/// Silence is counted in rounds, not in time: a leader that was frozen has missed the answers itself.
#[derive(Clone, Debug)]
pub struct Reachability {
    missed: BTreeMap<Incarnation, u32>,
    gone_after: u32,
}

impl Default for Reachability {
    fn default() -> Self {
        Self { missed: BTreeMap::new(), gone_after: GONE_AFTER_ROUNDS }
    }
}

impl Reachability {
    /// A count with rounds of this length, in which a store counts as gone after this silence.
    #[must_use]
    pub fn counting(round: Duration, silence: Duration) -> Self {
        let rounds = silence.as_millis().div_ceil(round.as_millis().max(1));
        let gone_after = u32::try_from(rounds).unwrap_or(LOST_AFTER_ROUNDS).clamp(1, LOST_AFTER_ROUNDS);
        Self { gone_after, ..Self::default() }
    }

    /// Takes the answers of one round that took `took`. A round that took longer than `longest`, or in which no
    /// majority of the acceptors answered, says more of this process than of the others: all begin anew.
    pub fn round(&mut self, state: &ControlState, answered: &[Member], took: Duration, longest: Duration) {
        let heard = state.acceptors.iter().filter(|member| answered.contains(member)).count();
        if took > longest || heard * 2 <= state.acceptors.len() {
            self.missed.clear();
            return;
        }
        let before = std::mem::take(&mut self.missed);
        for member in members_of(state) {
            let missed = before.get(&member.incarnation).copied().unwrap_or(0) + 1;
            let missed = if answered.contains(member) { 0 } else { missed };
            self.missed.insert(member.incarnation, missed);
        }
    }

    /// Whether a member answered in the last round.
    #[must_use]
    pub fn is_heard(&self, member: &Member) -> bool {
        self.missed.get(&member.incarnation) == Some(&0)
    }

    /// How many further losses the register can bear.
    #[must_use]
    pub fn quorum_margin(&self, state: &ControlState) -> QuorumMargin {
        let acceptors = state.acceptors.len();
        let answering = state.acceptors.iter().filter(|member| self.is_heard(member)).count();
        let majority = acceptors / 2 + 1;
        QuorumMargin { acceptors, answering, further_losses: answering.checked_sub(majority) }
    }

    /// Whether a member is gone, where another one waits to take its place.
    #[must_use]
    pub fn is_gone(&self, member: &Member) -> bool {
        self.missed.get(&member.incarnation).is_some_and(|missed| *missed >= self.gone_after)
    }

    /// Whether a member was silent for too long.
    #[must_use]
    pub fn is_lost(&self, member: &Member) -> bool {
        self.missed.get(&member.incarnation).is_some_and(|missed| *missed >= LOST_AFTER_ROUNDS)
    }
}

/// All members that the upkeep looks after, each once.
fn members_of(state: &ControlState) -> Vec<&Member> {
    let sets = [Some(&state.stores), state.previous_stores.as_ref()];
    let stores = sets.into_iter().flatten().flat_map(|set| &set.members).map(|store| &store.member);
    let joining = state.joining_stores.iter().map(|store| &store.member);
    let waiting = state.standbys.iter().chain(joining);
    let mut members: Vec<&Member> = state.acceptors.iter().chain(stores).chain(waiting).collect();
    members.sort();
    members.dedup();
    members
}

/// How many further losses the register can bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumMargin {
    /// Acceptors in the set.
    pub acceptors: usize,
    /// Those that answered the last round of pings.
    pub answering: usize,
    /// How many of these may be lost while a majority of the set still answers; `None` where no majority does.
    pub further_losses: Option<usize>,
}

/// What the pings told.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Who answers.
    pub reachability: Reachability,
    /// The epoch to which each store has moved all its batch jobs, as it told last.
    pub settled: BTreeMap<Incarnation, u64>,
}

impl Observation {
    /// A store tells the epoch to which it has moved all its batch jobs. What it told once stays true: it takes nothing
    /// of an older epoch after.
    pub fn record_committed_epoch(&mut self, store: Incarnation, epoch: u64) {
        let settled = self.settled.entry(store).or_default();
        *settled = epoch.max(*settled);
    }

    /// Everyone to ping.
    #[must_use]
    pub fn to_ping(state: &ControlState) -> Vec<Member> {
        members_of(state).into_iter().cloned().collect()
    }
}

/// The one next step that the state wants of the holder of this fencing token, if any.
#[must_use]
pub fn next_reconciliation(state: &ControlState, fence: u64, observed: &Observation) -> Option<ControlState> {
    if state.fence != fence {
        return None;
    }
    let mut next = successor(state);
    finish_move(&mut next, observed)
        .or_else(|| replace_gone_stores(&mut next, observed))
        .or_else(|| start_drain(&mut next))
        .or_else(|| add_stores(&mut next, observed))
        .or_else(|| remove_store(&mut next, observed))
        .or_else(|| forget_silent_waiting(&mut next, observed))?;
    Some(next)
}

/// Ends a move once all stores of the previous set, but as many as may be lost, have moved what they held.
fn finish_move(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let previous = next.previous_stores.as_ref()?;
    let epoch = next.stores.epoch;
    let is_settled = |store: &&StoreMember| {
        observed.settled.get(&store.member.incarnation).is_some_and(|settled| *settled >= epoch)
    };
    let unsettled = previous.members.len() - previous.members.iter().filter(is_settled).count();
    if unsettled > may_be_lost(previous) {
        return None;
    }
    next.previous_stores = None;
    let present = &next.stores.members;
    for (station, drain) in &mut next.draining {
        if !present.iter().any(|store| store.member.name == *station) {
            *drain = DrainState::Delivered;
        }
    }
    Some(())
}

/// How many stores of a set can be missed while a majority of the copies of each batch job is still heard.
fn may_be_lost(set: &StoreSet) -> usize {
    set.replication_factor.min(set.members.len()).saturating_sub(1) / 2
}

/// Begins to empty a store machine that the operator wants emptied.
fn start_drain(next: &mut ControlState) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let is_leaving = |store: &StoreMember| next.draining.contains_key(&store.member.name);
    let leaving = next.stores.members.iter().position(is_leaving)?;
    next.move_stores(|members| drop(members.remove(leaving)));
    next.stores.target_size = next.stores.target_size.min(next.stores.members.len());
    Some(())
}

/// The machines that wait to become stores and can be reached.
fn reachable_joining(next: &ControlState, observed: &Observation) -> Vec<StoreMember> {
    let is_heard = |store: &&StoreMember| observed.reachability.is_heard(&store.member);
    next.joining_stores.iter().filter(is_heard).cloned().collect()
}

/// Stores wait no more.
fn forget_joined(next: &mut ControlState) {
    let present = &next.stores.members;
    next.joining_stores.retain(|store| !present.contains(store));
}

/// Puts machines that wait in the place of stores that are gone, all in one step.
fn replace_gone_stores(next: &mut ControlState, observed: &Observation) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let is_gone = |store: &&StoreMember| observed.reachability.is_gone(&store.member);
    let gone: Vec<StoreMember> = next.stores.members.iter().filter(is_gone).cloned().collect();
    let joining = reachable_joining(next, observed);
    if gone.is_empty() || joining.is_empty() {
        return None;
    }
    next.move_stores(|members| {
        for (gone, joining) in gone.iter().zip(joining) {
            members.retain(|store| store != gone);
            members.push(joining);
        }
    });
    forget_joined(next);
    Some(())
}

/// Adds machines that wait to the store set, once it is sure that none of its stores is about to be found gone.
fn add_stores(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let is_heard = |store: &StoreMember| observed.reachability.is_heard(&store.member);
    let joining = reachable_joining(next, observed);
    if next.previous_stores.is_some() || joining.is_empty() || !next.stores.members.iter().all(is_heard) {
        return None;
    }
    next.move_stores(|members| members.extend(joining));
    forget_joined(next);
    Some(())
}

/// Removes a store that is lost, where there are more than wanted.
fn remove_store(next: &mut ControlState, observed: &Observation) -> Option<()> {
    if next.previous_stores.is_some() || !next.has_surplus_store() {
        return None;
    }
    let is_lost = |store: &StoreMember| observed.reachability.is_lost(&store.member);
    let lost = next.stores.members.iter().position(is_lost)?;
    next.move_stores(|members| drop(members.remove(lost)));
    Some(())
}

/// Forgets machines that waited for a place and are silent for too long. One that is back tells so again.
fn forget_silent_waiting(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let is_kept = |member: &Member| !observed.reachability.is_lost(member);
    let before = next.standbys.len() + next.joining_stores.len();
    next.standbys.retain(is_kept);
    next.joining_stores.retain(|store| is_kept(&store.member));
    (next.standbys.len() + next.joining_stores.len() < before).then_some(())
}
