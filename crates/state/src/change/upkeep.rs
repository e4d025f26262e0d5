//! Upkeep of the members by the leader: what is lost and replaced is removed, what is to be emptied is moved.

use std::collections::BTreeMap;
use std::time::Duration;

use register::{without_member, Incarnation, Member};

use super::successor;
use crate::{ControlState, DrainState, StoreMember, StoreSet};

/// A member is silent for too long after this many rounds of pings in a row without an answer.
const LOST_AFTER_ROUNDS: u32 = 5;

/// Counts for each member the rounds of pings since it was last heard of.
///
/// Silence is counted in rounds, not in time: a leader that was frozen has missed the answers itself.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    missed: BTreeMap<Incarnation, u32>,
}

impl Reachability {
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
    let mut members: Vec<&Member> = state.acceptors.iter().chain(stores).collect();
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
    /// The epoch to which each store that answered has moved all its batch jobs.
    pub settled: BTreeMap<Incarnation, u64>,
}

impl Observation {
    /// Everyone to ping.
    #[must_use]
    pub fn to_ping(state: &ControlState) -> Vec<Member> {
        members_of(state).into_iter().cloned().collect()
    }
}

/// The one next step that the state wants of the holder of this fencing token, if any.
#[must_use]
pub fn next_upkeep(state: &ControlState, fence: u64, observed: &Observation) -> Option<ControlState> {
    if state.fence != fence {
        return None;
    }
    let mut next = successor(state);
    finish_move(&mut next, observed)
        .or_else(|| start_drain(&mut next))
        .or_else(|| remove_store(&mut next, observed))
        .or_else(|| remove_acceptor(&mut next, observed))
        .or_else(|| note_lost_acceptors(&mut next, observed))?;
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
        if !present.iter().any(|store| store.member.station == *station) {
            *drain = DrainState::Delivered;
        }
    }
    Some(())
}

/// How many stores of a set can be missed while a majority of the copies of each batch job is still heard.
fn may_be_lost(set: &StoreSet) -> usize {
    set.copies.min(set.members.len()).saturating_sub(1) / 2
}

/// Begins to empty a store machine that the operator wants emptied.
fn start_drain(next: &mut ControlState) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let is_leaving = |store: &StoreMember| next.draining.contains_key(&store.member.station);
    let leaving = next.stores.members.iter().position(is_leaving)?;
    remove_from_stores(next, leaving);
    next.stores.wanted = next.stores.wanted.min(next.stores.members.len());
    Some(())
}

/// Removes a store that another has replaced.
fn remove_store(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let stores = &next.stores;
    if next.previous_stores.is_some() || stores.members.len() <= stores.wanted.max(stores.copies) {
        return None;
    }
    let lost = stores.members.iter().position(|store| observed.reachability.is_lost(&store.member))?;
    remove_from_stores(next, lost);
    Some(())
}

fn remove_from_stores(next: &mut ControlState, index: usize) {
    next.previous_stores = Some(next.stores.clone());
    next.stores.epoch += 1;
    next.stores.members.remove(index);
}

/// Removes an acceptor that another has replaced.
fn remove_acceptor(next: &mut ControlState, observed: &Observation) -> Option<()> {
    if next.acceptors.len() <= next.acceptors_wanted {
        return None;
    }
    let lost = next.acceptors.iter().find(|member| observed.reachability.is_lost(member))?;
    next.set_acceptors(without_member(&next.acceptors, lost.incarnation));
    Some(())
}

/// Notes which acceptors cannot be reached, so that one that joins takes the place of such a one in a single step.
fn note_lost_acceptors(next: &mut ControlState, observed: &Observation) -> Option<()> {
    let reachability = &observed.reachability;
    let is_lost = |member: &&Member| {
        let was_lost = next.lost_acceptors.contains(&member.incarnation);
        reachability.is_lost(member) || (was_lost && !reachability.is_heard(member))
    };
    let lost = next.acceptors.iter().filter(is_lost).map(|member| member.incarnation).collect();
    if next.lost_acceptors == lost {
        return None;
    }
    next.lost_acceptors = lost;
    Some(())
}
