//! The proposer's part of one change to the register: a prepare round and an accept round.

use std::collections::HashSet;
use std::sync::Arc;

use crate::quorum::{has_majority, is_majority_impossible};
use crate::reconfiguration::{is_single_step, same_members};
use crate::{
    AcceptorReply, AcceptorRequest, AddressedRequest, Ballot, Incarnation, Member, RegisterValue,
    ReplyOutcome, Versioned,
};

/// Next step of a proposer after it has received a reply.
#[derive(Clone, Debug)]
pub enum ProposalStep<V> {
    /// Wait for more replies: the last one completed nothing, or it arrived too late to have an effect.
    Wait,
    /// Send these additional prepare requests: the value that was read names further acceptors.
    Send(Vec<AddressedRequest<V>>),
    /// The required majorities have promised, and the current value of the register is given here. Continue
    /// with [`Proposal::propose`].
    Prepared(Versioned<V>),
    /// The value given here is committed. It differs from the value passed to [`Proposal::propose`] if that
    /// function had to propose the value that was read instead.
    Committed(Versioned<V>),
    /// Another proposer uses the higher ballot given here, and this proposal has ended. Its value may still
    /// be committed by a later proposal that reads it.
    Preempted(Ballot),
}

/// Progress of a proposal. Replies that belong to another phase are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalPhase {
    /// Promises are being collected.
    Preparing,
    /// The required majorities have promised; the caller has not passed the value to propose yet.
    Prepared,
    /// Acceptances are being collected.
    Accepting,
    /// The value is committed, or a higher ballot preempted the proposal.
    Finished,
}

/// Proposal under one ballot, in the prepare round or the accept round.
///
/// Pass in only replies to the requests of this proposal: a reply does not contain the ballot of its request.
#[derive(Clone, Debug)]
pub struct Proposal<V> {
    /// Ballot of all requests of this proposal.
    ballot: Ballot,
    /// Committed value from which the proposal started.
    base: Versioned<V>,
    /// Value with the highest ballot that was read so far; initially `base`, and never older than `base`.
    current: Versioned<V>,
    /// Value in the accept requests. `None` before the accept round, and after a preemption.
    proposed: Option<Versioned<V>>,
    phase: ProposalPhase,
    /// Acceptors that were sent a prepare request, without duplicates.
    prepare_sent_to: Vec<Member>,
    /// Acceptors that have promised this ballot.
    promises: HashSet<Incarnation>,
    /// Acceptors that have accepted `proposed`.
    acceptances: HashSet<Incarnation>,
    /// Acceptors that promised a higher ballot to another proposer.
    rejections: HashSet<Incarnation>,
}

impl<V: RegisterValue> Proposal<V> {
    /// Starts a proposal from `base`, which must be committed, under a ballot that was not used before.
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

    /// Returns the ballot of this proposal.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns whether the value that was read is known to be committed.
    ///
    /// If it is not, this proposal cannot change the acceptors. Propose the value unchanged, and start
    /// another proposal from the committed result.
    pub fn is_known_committed(&self) -> bool {
        self.current.ballot == self.base.ballot
    }

    /// Handles the reply of `from` to one of this proposal's requests.
    ///
    /// A reply from another disk at the address of `from` does not count.
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

    /// Proposes a value instead of the one that was read, and returns the accept requests to send.
    ///
    /// Returns no requests unless the last step was [`ProposalStep::Prepared`]. A value with other acceptors
    /// is proposed only if the value that was read [is known to be committed](Self::is_known_committed) and
    /// its acceptors can be changed to the new ones in [one step](is_single_step). Otherwise the value that
    /// was read is proposed again unchanged.
    pub fn propose(&mut self, value: V) -> Vec<AddressedRequest<V>> {
        if self.phase != ProposalPhase::Prepared {
            return Vec::new();
        }
        let value =
            if self.is_valid_successor(&value) { Arc::new(value) } else { Arc::clone(&self.current.value) };
        let (previous_acceptors, predecessor) = self.predecessor_of(&value);
        let proposed = Versioned { ballot: self.ballot, value, previous_acceptors, predecessor };
        self.phase = ProposalPhase::Accepting;
        self.proposed = Some(proposed.clone());
        requests_to_acceptors(&proposed, AcceptorRequest::Accept)
    }

    /// Returns requests that report the committed value to its previous and its new acceptors. Returns none
    /// before [`ProposalStep::Committed`].
    pub fn learn_requests(&self) -> Vec<AddressedRequest<V>> {
        match &self.proposed {
            Some(committed) if self.phase == ProposalPhase::Finished => {
                requests_to_acceptors(committed, AcceptorRequest::Learn)
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether a value may replace the one that was read: it has the same acceptors, or the value
    /// that was read is known to be committed and its acceptors can be changed to the new ones in one step.
    fn is_valid_successor(&self, value: &V) -> bool {
        let current = self.current.value.acceptors();
        same_members(current, value.acceptors())
            || (self.is_known_committed() && is_single_step(current, value.acceptors()))
    }

    /// Returns the acceptors and the ballot of the committed value from which `value` is derived, or an empty
    /// set and the default ballot if that value has the same acceptors as `value`.
    ///
    /// If the value that was read may stem from an uncommitted change of the acceptors, `value` replaces it
    /// and gets the same previous acceptors and predecessor.
    fn predecessor_of(&self, value: &V) -> (Arc<[Member]>, Ballot) {
        let current = self.current.value.acceptors();
        if self.depends_on_previous_acceptors() {
            (Arc::clone(&self.current.previous_acceptors), self.current.predecessor)
        } else if same_members(current, value.acceptors()) {
            (Arc::default(), Ballot::default())
        } else {
            (current.into(), self.current.ballot)
        }
    }

    /// Returns whether the value that was read may stem from a change of the acceptors that is not committed
    /// yet.
    ///
    /// That is ruled out if the base is newer than the committed value from which the acceptors were changed.
    /// The base then is that change or a later value, and has the same acceptors as the value that was read.
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
        if self.has_required_promises() {
            self.phase = ProposalPhase::Prepared;
            return ProposalStep::Prepared(self.current.clone());
        }
        if requests.is_empty() {
            ProposalStep::Wait
        } else {
            ProposalStep::Send(requests)
        }
    }

    /// Returns whether a majority has promised among the base's acceptors, and in each set of acceptors that
    /// may be responsible for the current value.
    fn has_required_promises(&self) -> bool {
        let has_current = if self.depends_on_previous_acceptors() {
            has_required_majorities(&self.current, &self.promises)
        } else {
            has_majority(self.current.value.acceptors(), &self.promises)
        };
        has_current && has_majority(self.base.value.acceptors(), &self.promises)
    }

    /// Returns prepare requests for the acceptors of the current value that were not sent one yet. They
    /// include its previous acceptors, if the change of the acceptors may be uncommitted.
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
            Some(proposed) if has_required_majorities(proposed, &self.acceptances) => {
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

    /// Returns whether the rejections end this proposal. In the prepare round the first rejection does, since
    /// no value was sent yet and a retry under a higher ballot loses nothing. In the accept round the
    /// proposal continues as long as the required majorities are possible.
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

/// Returns whether `votes` contains a majority of the value's acceptors and, if it has previous acceptors, a
/// majority of those too.
fn has_required_majorities<V: RegisterValue>(versioned: &Versioned<V>, votes: &HashSet<Incarnation>) -> bool {
    let previous = &versioned.previous_acceptors;
    let has_previous = previous.is_empty() || has_majority(previous, votes);
    has_previous && has_majority(versioned.value.acceptors(), votes)
}

/// Builds one request about a value for each of its acceptors and previous acceptors.
fn requests_to_acceptors<V: RegisterValue>(
    versioned: &Versioned<V>,
    request: impl Fn(Versioned<V>) -> AcceptorRequest<V>,
) -> Vec<AddressedRequest<V>> {
    let members = union(&versioned.previous_acceptors, versioned.value.acceptors());
    members.into_iter().map(|to| AddressedRequest { to, request: request(versioned.clone()) }).collect()
}

/// Returns the members of both sets, with each incarnation once. Where both name one, the entry of `left` is
/// kept.
fn union(left: &[Member], right: &[Member]) -> Vec<Member> {
    let mut members = left.to_vec();
    for member in right {
        if !members.iter().any(|known| known.incarnation == member.incarnation) {
            members.push(member.clone());
        }
    }
    members
}
