//! The proposer's side of one change: a prepare round and an accept round.

use std::collections::HashSet;
use std::sync::Arc;

use crate::quorum::{has_majority, is_majority_impossible};
use crate::reconfiguration::{is_single_step, same_members};
use crate::{
    AcceptorReply, AcceptorRequest, AddressedRequest, Ballot, Incarnation, Member, RegisterValue,
    ReplyOutcome, Versioned,
};

/// What to do after a reply.
#[derive(Clone, Debug)]
pub enum ProposalStep<V> {
    /// Nothing: more replies are needed, or this one came too late to matter.
    Wait,
    /// Send these requests as well.
    Send(Vec<AddressedRequest<V>>),
    /// The promises are complete, and this is the current value. Continue with [`Proposal::propose`].
    Prepared(Versioned<V>),
    /// This value is committed. It is not the proposed one if [`Proposal::propose`] had to propose the value that
    /// was read once more.
    Committed(Versioned<V>),
    /// Another proposer uses this higher ballot. The value may still be committed by a later proposal that reads it.
    Preempted(Ballot),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalPhase {
    /// Collects promises.
    Preparing,
    /// The promises are complete; the value to propose is awaited.
    Prepared,
    /// Collects acceptances.
    Accepting,
    /// Committed, or preempted by a higher ballot.
    Finished,
}

/// A proposal under one ballot.
///
/// Pass in only replies to this proposal's own requests: a reply does not name the ballot that it answers.
#[derive(Clone, Debug)]
pub struct Proposal<V> {
    ballot: Ballot,
    /// The committed value from which the proposal started.
    base: Versioned<V>,
    /// The value with the highest ballot that was read so far, at first `base`. Never older than `base`.
    current: Versioned<V>,
    /// The value that was sent to be accepted. `None` before the accept round, and after a preemption.
    proposed: Option<Versioned<V>>,
    phase: ProposalPhase,
    /// The acceptors that were sent a prepare request, each once.
    prepare_sent_to: Vec<Member>,
    /// Acceptors that have promised this ballot.
    promises: HashSet<Incarnation>,
    /// Acceptors that have accepted `proposed`.
    acceptances: HashSet<Incarnation>,
    /// Acceptors that promised a higher ballot to another proposer.
    rejections: HashSet<Incarnation>,
}

impl<V: RegisterValue> Proposal<V> {
    /// Starts from `base`, which must be committed, under a ballot that was never used.
    ///
    /// Returns the proposal and the prepare requests to send.
    pub fn start(ballot: Ballot, base: Versioned<V>) -> (Self, Vec<AddressedRequest<V>>) {
        let mut proposal = Self {
            ballot,
            current: base.clone(),
            base,
            proposed: None,
            phase: ProposalPhase::Preparing,
            prepare_sent_to: Vec::new(),
            promises: HashSet::new(),
            acceptances: HashSet::new(),
            rejections: HashSet::new(),
        };
        let requests = proposal.prepare_requests();
        (proposal, requests)
    }

    /// The ballot of this proposal.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether the value that was read is known to be committed.
    ///
    /// If not, this proposal cannot change the acceptors: propose the value unchanged, and start again from the
    /// committed result.
    pub fn is_known_committed(&self) -> bool {
        self.current.ballot == self.base.ballot
    }

    /// Handles the reply of `from` to one of this proposal's requests.
    ///
    /// A reply of another disk at the address of `from` does not count.
    pub fn on_reply(&mut self, from: &Member, reply: AcceptorReply<V>) -> ProposalStep<V> {
        if from.incarnation != reply.incarnation {
            return ProposalStep::Wait;
        }
        match reply.outcome {
            ReplyOutcome::Promised(accepted) => self.on_promise(reply.incarnation, accepted),
            ReplyOutcome::Accepted => self.on_acceptance(reply.incarnation),
            ReplyOutcome::Rejected(ballot) => self.on_rejection(reply.incarnation, ballot),
            ReplyOutcome::Learned | ReplyOutcome::Current { .. } | ReplyOutcome::NothingNewer { .. } => {
                ProposalStep::Wait
            }
        }
    }

    /// Proposes a value in place of the one that was read, and returns the accept requests to send.
    ///
    /// Returns nothing unless the last step was [`ProposalStep::Prepared`]. A value with other acceptors is proposed
    /// only if the value that was read [is known to be committed](Self::is_known_committed) and
    /// [one step](is_single_step) leads to them; otherwise the value that was read is proposed again unchanged.
    pub fn propose(&mut self, value: V) -> Vec<AddressedRequest<V>> {
        if self.phase != ProposalPhase::Prepared {
            return Vec::new();
        }
        let value = if self.may_follow(&value) { Arc::new(value) } else { Arc::clone(&self.current.value) };
        let (previous_acceptors, predecessor) = self.origin_of(&value);
        let proposed = Versioned { ballot: self.ballot, value, previous_acceptors, predecessor };
        self.phase = ProposalPhase::Accepting;
        self.proposed = Some(proposed.clone());
        requests_to_all(&proposed, AcceptorRequest::Accept)
    }

    /// After [`ProposalStep::Committed`]: requests that let the previous and the new acceptors learn the value.
    pub fn learn_requests(&self) -> Vec<AddressedRequest<V>> {
        match &self.proposed {
            Some(committed) if self.phase == ProposalPhase::Finished => {
                requests_to_all(committed, AcceptorRequest::Learn)
            }
            _ => Vec::new(),
        }
    }

    /// Whether a value may be proposed on top of the one that was read: it has the same acceptors, or one step leads to
    /// its acceptors from those of a committed value.
    fn may_follow(&self, value: &V) -> bool {
        let current = self.current.value.acceptors();
        same_members(current, value.acceptors())
            || (self.is_known_committed() && is_single_step(current, value.acceptors()))
    }

    /// The acceptors of the committed value that `value` is made from, if they differ from its own, and the ballot of
    /// that committed value.
    ///
    /// A value that takes the place of one that is not known to be committed has the same origin as that one.
    fn origin_of(&self, value: &V) -> (Arc<[Member]>, Ballot) {
        let current = self.current.value.acceptors();
        if self.depends_on_previous_acceptors() {
            (Arc::clone(&self.current.previous_acceptors), self.current.predecessor)
        } else if same_members(current, value.acceptors()) {
            (Arc::default(), Ballot::default())
        } else {
            (current.into(), self.current.ballot)
        }
    }

    /// Whether the value that was read may stem from a change of the acceptors that is not committed yet.
    ///
    /// It does not if the base is newer than the committed value from which the acceptors were changed: then the base
    /// is that change or comes after it, and has the same acceptors as the value that was read.
    fn depends_on_previous_acceptors(&self) -> bool {
        !self.is_known_committed() && self.current.predecessor >= self.base.ballot
    }

    fn on_promise(&mut self, from: Incarnation, accepted: Option<Versioned<V>>) -> ProposalStep<V> {
        if self.phase != ProposalPhase::Preparing {
            return ProposalStep::Wait;
        }
        self.promises.insert(from);
        let mut requests = Vec::new();
        if let Some(newer) = accepted.filter(|accepted| accepted.ballot > self.current.ballot) {
            self.current = newer;
            requests = self.prepare_requests();
        }
        if self.has_all_promises() {
            self.phase = ProposalPhase::Prepared;
            return ProposalStep::Prepared(self.current.clone());
        }
        if requests.is_empty() {
            ProposalStep::Wait
        } else {
            ProposalStep::Send(requests)
        }
    }

    /// Whether majorities of all sets of acceptors have promised that may be responsible for the current value.
    fn has_all_promises(&self) -> bool {
        let has_current = if self.depends_on_previous_acceptors() {
            has_both_majorities(&self.current, &self.promises)
        } else {
            has_majority(self.current.value.acceptors(), &self.promises)
        };
        has_current && has_majority(self.base.value.acceptors(), &self.promises)
    }

    /// Prepare requests to the acceptors of the current value that were not sent one yet.
    fn prepare_requests(&mut self) -> Vec<AddressedRequest<V>> {
        let depends_on_previous = self.depends_on_previous_acceptors();
        let previous: &[Member] = if depends_on_previous { &self.current.previous_acceptors } else { &[] };
        let mut requests = Vec::new();
        for member in union(self.current.value.acceptors(), previous) {
            let is_sent = self.prepare_sent_to.iter().any(|sent| sent.incarnation == member.incarnation);
            if !is_sent {
                self.prepare_sent_to.push(member.clone());
                requests
                    .push(AddressedRequest { to: member, request: AcceptorRequest::Prepare(self.ballot) });
            }
        }
        requests
    }

    fn on_acceptance(&mut self, from: Incarnation) -> ProposalStep<V> {
        if self.phase != ProposalPhase::Accepting {
            return ProposalStep::Wait;
        }
        self.acceptances.insert(from);
        match &self.proposed {
            Some(proposed) if has_both_majorities(proposed, &self.acceptances) => {
                self.phase = ProposalPhase::Finished;
                ProposalStep::Committed(proposed.clone())
            }
            _ => ProposalStep::Wait,
        }
    }

    fn on_rejection(&mut self, from: Incarnation, promised: Ballot) -> ProposalStep<V> {
        if promised <= self.ballot {
            return ProposalStep::Wait;
        }
        self.rejections.insert(from);
        if !self.is_preempted() {
            return ProposalStep::Wait;
        }
        self.phase = ProposalPhase::Finished;
        self.proposed = None;
        ProposalStep::Preempted(promised)
    }

    /// Whether the rejections leave no way to go on. A proposal that prepares gives up at the first one, since
    /// nothing is lost by a higher ballot; one whose value was sent goes on as long as it can be committed.
    fn is_preempted(&self) -> bool {
        match (self.phase, &self.proposed) {
            (ProposalPhase::Preparing, _) => true,
            (ProposalPhase::Accepting, Some(proposed)) => {
                let previous = &proposed.previous_acceptors;
                (!previous.is_empty() && is_majority_impossible(previous, &self.rejections))
                    || is_majority_impossible(proposed.value.acceptors(), &self.rejections)
            }
            _ => false,
        }
    }
}

/// Whether a majority of the value's acceptors is among the votes, and of its previous acceptors, if any.
fn has_both_majorities<V: RegisterValue>(versioned: &Versioned<V>, votes: &HashSet<Incarnation>) -> bool {
    let previous = &versioned.previous_acceptors;
    let has_previous = previous.is_empty() || has_majority(previous, votes);
    has_previous && has_majority(versioned.value.acceptors(), votes)
}

/// One request about a value to each of its previous and its own acceptors.
fn requests_to_all<V: RegisterValue>(
    versioned: &Versioned<V>,
    request: impl Fn(Versioned<V>) -> AcceptorRequest<V>,
) -> Vec<AddressedRequest<V>> {
    let members = union(&versioned.previous_acceptors, versioned.value.acceptors());
    members.into_iter().map(|to| AddressedRequest { to, request: request(versioned.clone()) }).collect()
}

/// The members of both sets, each incarnation once.
fn union(left: &[Member], right: &[Member]) -> Vec<Member> {
    let mut members = left.to_vec();
    for member in right {
        if !members.iter().any(|known| known.incarnation == member.incarnation) {
            members.push(member.clone());
        }
    }
    members
}
