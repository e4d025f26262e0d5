//! One change of the register, in two quorum rounds.

use std::collections::HashSet;
use std::sync::Arc;

use crate::members::{can_change, has_majority, is_blocked, same_members};
use crate::{
    AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, RegisterValue, ReplyOutcome, Versioned,
};

/// Requests with the acceptors that they go to.
type Requests<V> = Vec<(Member, AcceptorRequest<V>)>;

/// What to do after a reply.
#[derive(Clone, Debug)]
pub enum ProposalStep<V> {
    /// Nothing: more replies are needed, or this one came late.
    Wait,
    /// Send these requests too.
    Send(Vec<(Member, AcceptorRequest<V>)>),
    /// The promises are given; this is the current value. Go on with [`Proposal::propose`].
    Read(Versioned<V>),
    /// The value is committed. It is not the proposed one if [`Proposal::propose`] had to settle the value that
    /// was read.
    Committed(Versioned<V>),
    /// Another proposer has this higher ballot. The value may yet be committed by a later proposal that reads it.
    Preempted(Ballot),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Preparing,
    Read,
    Accepting,
    Done,
}

/// A proposal under one ballot.
///
/// Only replies to this proposal's own requests may be handed in: a reply does not name its ballot.
#[derive(Clone, Debug)]
pub struct Proposal<V> {
    ballot: Ballot,
    base: Versioned<V>,
    current: Versioned<V>,
    proposed: Option<Versioned<V>>,
    phase: Phase,
    asked: Vec<Member>,
    promises: HashSet<Incarnation>,
    acceptances: HashSet<Incarnation>,
    refusals: HashSet<Incarnation>,
}

impl<V: RegisterValue> Proposal<V> {
    /// Starts from `base`, which must be committed, under a ballot that was never used.
    pub fn start(ballot: Ballot, base: Versioned<V>) -> (Self, Vec<(Member, AcceptorRequest<V>)>) {
        let mut proposal = Self {
            ballot,
            current: base.clone(),
            base,
            proposed: None,
            phase: Phase::Preparing,
            asked: Vec::new(),
            promises: HashSet::new(),
            acceptances: HashSet::new(),
            refusals: HashSet::new(),
        };
        let requests = proposal.prepare_current();
        (proposal, requests)
    }

    /// The ballot of this proposal.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether the value that was read is known to be committed. If not, the acceptors can't be changed by this
    /// proposal; propose the value unchanged first, and start again from the outcome.
    pub fn is_known_committed(&self) -> bool {
        self.current.ballot == self.base.ballot
    }

    /// Takes a reply to one of this proposal's requests.
    pub fn on_reply(&mut self, from: &Member, reply: AcceptorReply<V>) -> ProposalStep<V> {
        if from.incarnation != reply.incarnation {
            return ProposalStep::Wait;
        }
        match reply.outcome {
            ReplyOutcome::Promised(accepted) => self.on_promise(reply.incarnation, accepted),
            ReplyOutcome::Accepted => self.on_acceptance(reply.incarnation),
            ReplyOutcome::Rejected(ballot) => self.on_refusal(reply.incarnation, ballot),
            ReplyOutcome::Learned | ReplyOutcome::Current { .. } | ReplyOutcome::NothingNewer { .. } => {
                ProposalStep::Wait
            }
        }
    }

    /// Proposes a value in place of the one that was read. Nothing is sent unless the promises are given.
    ///
    /// A value with other acceptors is only proposed if the value that was read [is settled](Self::is_settled)
    /// and [one step](can_change) leads to them; otherwise the value that was read is proposed again unchanged.
    pub fn propose(&mut self, value: V) -> Vec<(Member, AcceptorRequest<V>)> {
        if self.phase != Phase::Read {
            return Vec::new();
        }
        let value = if self.may_follow(&value) { Arc::new(value) } else { Arc::clone(&self.current.value) };
        let (previous, predecessor) = self.previous_of(&value);
        let proposed = Versioned { ballot: self.ballot, value, previous, predecessor };
        self.phase = Phase::Accepting;
        self.proposed = Some(proposed.clone());
        let members = union(&proposed.previous, proposed.value.members());
        members.into_iter().map(|member| (member, AcceptorRequest::Accept(proposed.clone()))).collect()
    }

    /// After [`Step::Committed`]: tells the old and the new acceptors.
    pub fn announcements(&self) -> Vec<(Member, AcceptorRequest<V>)> {
        let Some(committed) = self.proposed.as_ref().filter(|_| self.phase == Phase::Done) else {
            return Vec::new();
        };
        let members = union(&committed.previous, committed.value.members());
        members.into_iter().map(|member| (member, AcceptorRequest::Learn(committed.clone()))).collect()
    }

    fn may_follow(&self, value: &V) -> bool {
        let current = self.current.value.members();
        same_members(current, value.members())
            || (self.is_known_committed() && can_change(current, value.members()))
    }

    /// The acceptors of the committed value that the proposed one comes from, if others than its own, and the ballot
    /// of that value. A value that is not settled comes from the same one as what is proposed in its place.
    fn previous_of(&self, value: &V) -> (Arc<[Member]>, Ballot) {
        let current = self.current.value.members();
        if !self.is_known_committed() && self.needs_previous() {
            (Arc::clone(&self.current.previous), self.current.predecessor)
        } else if same_members(current, value.members()) {
            (Arc::default(), Ballot::default())
        } else {
            (current.into(), self.current.ballot)
        }
    }

    /// Whether the value that was read may come from a change of the acceptors that is not committed yet.
    ///
    /// It does not if the base is newer than the committed value from which the acceptors were changed: the base then
    /// is that change or comes after it, and has the same acceptors as the value that was read.
    fn needs_previous(&self) -> bool {
        self.current.predecessor >= self.base.ballot
    }

    fn on_promise(&mut self, from: Incarnation, accepted: Option<Versioned<V>>) -> ProposalStep<V> {
        if self.phase != Phase::Preparing {
            return ProposalStep::Wait;
        }
        self.promises.insert(from);
        let newer = accepted.filter(|accepted| accepted.ballot > self.current.ballot);
        let requests = newer.map(|newer| self.follow(newer)).unwrap_or_default();
        if self.is_promised() {
            self.phase = Phase::Read;
            return ProposalStep::Read(self.current.clone());
        }
        if requests.is_empty() {
            ProposalStep::Wait
        } else {
            ProposalStep::Send(requests)
        }
    }

    fn is_promised(&self) -> bool {
        let is_current_promised = if self.is_known_committed() || !self.needs_previous() {
            has_majority(self.current.value.members(), &self.promises)
        } else {
            has_majorities(&self.current, &self.promises)
        };
        is_current_promised && has_majority(self.base.value.members(), &self.promises)
    }

    fn follow(&mut self, newer: Versioned<V>) -> Requests<V> {
        self.current = newer;
        self.prepare_current()
    }

    fn prepare_current(&mut self) -> Requests<V> {
        let mut requests = Vec::new();
        let is_alone = self.is_known_committed() || !self.needs_previous();
        let previous: &[Member] = if is_alone { &[] } else { &self.current.previous };
        for member in union(self.current.value.members(), previous) {
            let is_asked = self.asked.iter().any(|asked| asked.incarnation == member.incarnation);
            if !is_asked {
                self.asked.push(member.clone());
                requests.push((member, AcceptorRequest::Prepare(self.ballot)));
            }
        }
        requests
    }

    fn on_acceptance(&mut self, from: Incarnation) -> ProposalStep<V> {
        if self.phase != Phase::Accepting {
            return ProposalStep::Wait;
        }
        self.acceptances.insert(from);
        match &self.proposed {
            Some(proposed) if has_majorities(proposed, &self.acceptances) => {
                self.phase = Phase::Done;
                ProposalStep::Committed(proposed.clone())
            }
            _ => ProposalStep::Wait,
        }
    }

    fn on_refusal(&mut self, from: Incarnation, ballot: Ballot) -> ProposalStep<V> {
        if ballot <= self.ballot {
            return ProposalStep::Wait;
        }
        self.refusals.insert(from);
        let is_lost = match (&self.phase, &self.proposed) {
            (Phase::Preparing, _) => true,
            (Phase::Accepting, Some(proposed)) => {
                (!proposed.previous.is_empty() && is_blocked(&proposed.previous, &self.refusals))
                    || is_blocked(proposed.value.members(), &self.refusals)
            }
            _ => false,
        };
        if !is_lost {
            return ProposalStep::Wait;
        }
        self.phase = Phase::Done;
        self.proposed = None;
        ProposalStep::Preempted(ballot)
    }
}

/// Whether the votes hold a majority of the value's acceptors, and of those that it was handed over from.
fn has_majorities<V: RegisterValue>(versioned: &Versioned<V>, votes: &HashSet<Incarnation>) -> bool {
    let is_handed_over = versioned.previous.is_empty() || has_majority(&versioned.previous, votes);
    is_handed_over && has_majority(versioned.value.members(), votes)
}

/// The members of both sets, each disk once.
fn union(left: &[Member], right: &[Member]) -> Vec<Member> {
    let mut members = left.to_vec();
    for member in right {
        if !members.iter().any(|known| known.incarnation == member.incarnation) {
            members.push(member.clone());
        }
    }
    members
}
