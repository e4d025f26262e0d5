//! Failure detection by the leader, which pings all members in rounds and counts missing replies.

use std::collections::BTreeMap;
use std::time::Duration;

use register::{Incarnation, Member};

use crate::ControlState;

/// Number of consecutive rounds without a reply after which a member may be removed without a replacement.
const REMOVE_AFTER_ROUNDS: u32 = 5;
/// Number of consecutive rounds without a reply after which a store may be replaced by a waiting machine,
/// unless [`Reachability::with_replacement_timeout`] sets another.
const DEFAULT_REPLACE_AFTER_ROUNDS: u32 = 3;

/// Number of consecutive rounds of pings to which each member has not replied.
///
/// Rounds are counted instead of elapsed time, because replies that the leader missed while its process was
/// suspended are no evidence against the members.
#[derive(Clone, Debug)]
pub struct Reachability {
    /// Rounds since the latest reply of a member: 0 if it replied in the latest round. A member that was not
    /// pinged in the latest round has no entry.
    missed_rounds: BTreeMap<Incarnation, u32>,
    /// Rounds without a reply after which a store may be replaced; from 1 to [`REMOVE_AFTER_ROUNDS`].
    replace_after_rounds: u32,
}

impl Default for Reachability {
    fn default() -> Self {
        Self { missed_rounds: BTreeMap::new(), replace_after_rounds: DEFAULT_REPLACE_AFTER_ROUNDS }
    }
}

impl Reachability {
    /// Creates an instance without recorded rounds. A round takes the duration `round`. A store may be
    /// replaced after it has not replied for `replace_after`, rounded up to full rounds and limited to the
    /// number of rounds after which it may be removed.
    #[must_use]
    pub fn with_replacement_timeout(round: Duration, replace_after: Duration) -> Self {
        let rounds = replace_after.as_millis().div_ceil(round.as_millis().max(1));
        let rounds = u32::try_from(rounds).unwrap_or(REMOVE_AFTER_ROUNDS);
        Self { replace_after_rounds: rounds.clamp(1, REMOVE_AFTER_ROUNDS), ..Self::default() }
    }

    /// Records a round of pings that took the time `elapsed` and to which `responders` replied.
    ///
    /// If the round took longer than `max_elapsed`, or no majority of the acceptors replied, the cause is
    /// more likely this process or its network than the members. All counts are then discarded.
    pub fn record_round(
        &mut self,
        state: &ControlState,
        responders: &[Member],
        elapsed: Duration,
        max_elapsed: Duration,
    ) {
        let replies = state.acceptors.iter().filter(|member| responders.contains(member)).count();
        if elapsed > max_elapsed || replies * 2 <= state.acceptors.len() {
            self.missed_rounds.clear();
            return;
        }
        let previous_rounds = std::mem::take(&mut self.missed_rounds);
        for member in monitored_members(state) {
            let missed = previous_rounds.get(&member.incarnation).copied().unwrap_or(0) + 1;
            let missed = if responders.contains(member) { 0 } else { missed };
            self.missed_rounds.insert(member.incarnation, missed);
        }
    }

    /// Whether a member replied in the latest round.
    #[must_use]
    pub fn is_responding(&self, member: &Member) -> bool {
        self.missed_rounds.get(&member.incarnation) == Some(&0)
    }

    /// Whether a store has not replied for long enough to be replaced by a waiting machine.
    #[must_use]
    pub fn may_be_replaced(&self, member: &Member) -> bool {
        self.has_missed(member, self.replace_after_rounds)
    }

    /// Whether a member has not replied for long enough to be removed without a replacement.
    #[must_use]
    pub fn may_be_removed(&self, member: &Member) -> bool {
        self.has_missed(member, REMOVE_AFTER_ROUNDS)
    }

    /// Computes how many further failures of acceptors the register tolerates.
    #[must_use]
    pub fn quorum_margin(&self, state: &ControlState) -> QuorumMargin {
        let acceptors = state.acceptors.len();
        let responding = state.acceptors.iter().filter(|member| self.is_responding(member)).count();
        let majority = acceptors / 2 + 1;
        QuorumMargin { acceptors, responding, tolerated_failures: responding.checked_sub(majority) }
    }

    fn has_missed(&self, member: &Member, rounds: u32) -> bool {
        self.missed_rounds.get(&member.incarnation).is_some_and(|missed| *missed >= rounds)
    }
}

/// Number of acceptors that reply, and how many of them may still fail before the register has no majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumMargin {
    /// Number of acceptors in the control state.
    pub acceptors: usize,
    /// Number of acceptors that replied in the latest round of pings.
    pub responding: usize,
    /// Number of responding acceptors that may fail while a majority of all acceptors still replies; `None`
    /// if fewer than a majority reply.
    pub tolerated_failures: Option<usize>,
}

/// Returns all members that the leader monitors, without duplicates and in ascending order: acceptors,
/// stores, standbys and joining stores.
pub(super) fn monitored_members(state: &ControlState) -> Vec<&Member> {
    let mut members: Vec<&Member> = state.members().collect();
    members.sort();
    members.dedup();
    members
}
