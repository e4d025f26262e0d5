//! The acceptor: records promises, accepted values and committed values.

use serde::{Deserialize, Serialize};

use crate::{AcceptorReply, AcceptorRequest, Ballot, Incarnation, RegisterValue, ReplyOutcome, Versioned};

/// State that an acceptor keeps on its disk across restarts.
///
/// The encoding on disk (`bincode`) identifies fields by their position: keep their order and types.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct AcceptorState<V> {
    /// Incarnation of the disk on which this state is stored.
    pub incarnation: Incarnation,
    /// Highest promised ballot; the default ballot if none was promised. Prepare and accept requests with a
    /// lower ballot are rejected. Never below the ballot of `accepted`.
    pub promised: Ballot,
    /// Value that was accepted with the highest ballot; `None` if nothing was accepted or learned. Never
    /// older than `committed`.
    pub accepted: Option<Versioned<V>>,
    /// Newest value known to be committed; `None` if no committed value was learned.
    pub committed: Option<Versioned<V>>,
}

impl<V> AcceptorState<V> {
    /// Creates the state of a newly initialized disk: nothing is promised, accepted or learned.
    pub fn empty(incarnation: Incarnation) -> Self {
        Self { incarnation, promised: Ballot::default(), accepted: None, committed: None }
    }
}

/// Reply to a request, and whether the state must be durable before the reply is sent.
#[derive(Clone, Debug)]
pub struct PendingReply<V> {
    /// Reply to send to the proposer. Discard it if the state must be durable and the write fails.
    pub reply: AcceptorReply<V>,
    /// Whether [`Acceptor::state`] must be durable before `reply` is sent.
    pub must_persist: bool,
}

/// Acceptor of the register: handles the requests of proposers and keeps the resulting state in memory.
///
/// The caller makes the state durable. If that fails, the reply must not be sent; the state in memory may
/// then stay ahead of the disk. Each promise and each acceptance requires the complete state to be durable.
/// This includes the reply to a repeated request, since the write for the first one may still be in flight. A
/// learn request requires it only if it changes the state.
#[derive(Clone, Debug)]
pub struct Acceptor<V> {
    state: AcceptorState<V>,
}

impl<V: RegisterValue> Acceptor<V> {
    /// Creates an acceptor that continues from a durable state.
    pub fn new(state: AcceptorState<V>) -> Self {
        Self { state }
    }

    /// Returns the state that the caller has to make durable.
    pub fn state(&self) -> &AcceptorState<V> {
        &self.state
    }

    /// Applies a request to the state and returns the reply.
    pub fn handle(&mut self, request: AcceptorRequest<V>) -> PendingReply<V> {
        match request {
            AcceptorRequest::Prepare(ballot) => self.prepare(ballot),
            AcceptorRequest::Accept(proposed) => self.accept(proposed),
            AcceptorRequest::Learn(committed) => {
                let is_changed = self.learn(committed);
                self.reply(ReplyOutcome::Learned, is_changed)
            }
            AcceptorRequest::Read => self.reply(self.current_values(), false),
            AcceptorRequest::ReadNewer(known) => self.reply(self.values_newer_than(known), false),
        }
    }

    /// Records the first value of the register, unless this disk has already promised, accepted or learned
    /// something.
    ///
    /// Replies [`ReplyOutcome::Learned`] if the value was recorded, else [`ReplyOutcome::Current`].
    pub fn initialize(&mut self, first: Versioned<V>) -> PendingReply<V> {
        if !self.has_empty_state() {
            return self.reply(self.current_values(), false);
        }
        let is_changed = self.learn(first);
        self.reply(ReplyOutcome::Learned, is_changed)
    }

    /// Returns whether this disk has never promised, accepted or learned anything.
    fn has_empty_state(&self) -> bool {
        let state = &self.state;
        state.promised == Ballot::default() && state.accepted.is_none() && state.committed.is_none()
    }

    fn reply(&self, outcome: ReplyOutcome<V>, must_persist: bool) -> PendingReply<V> {
        let reply = AcceptorReply { incarnation: self.state.incarnation, outcome };
        PendingReply { reply, must_persist }
    }

    fn prepare(&mut self, ballot: Ballot) -> PendingReply<V> {
        // An equal ballot is not rejected: no ballot is used twice, so this is a repeated request of the same
        // proposal.
        if ballot < self.state.promised {
            return self.reply(ReplyOutcome::Rejected(self.state.promised), false);
        }
        self.state.promised = ballot;
        self.reply(ReplyOutcome::Promised(self.state.accepted.clone()), true)
    }

    fn accept(&mut self, proposed: Versioned<V>) -> PendingReply<V> {
        if proposed.ballot < self.state.promised {
            return self.reply(ReplyOutcome::Rejected(self.state.promised), false);
        }
        self.state.promised = proposed.ballot;
        self.state.accepted = Some(proposed);
        self.reply(ReplyOutcome::Accepted, true)
    }

    /// Records a committed value and returns whether the state has changed.
    ///
    /// The value also becomes the accepted one, unless a newer value was accepted. This does not count as a
    /// vote: the required majorities have accepted the value already.
    fn learn(&mut self, committed: Versioned<V>) -> bool {
        if ballot_of(&self.state.committed) >= Some(committed.ballot) {
            return false;
        }
        if ballot_of(&self.state.accepted) < Some(committed.ballot) {
            self.state.accepted = Some(committed.clone());
            self.state.promised = self.state.promised.max(committed.ballot);
        }
        self.state.committed = Some(committed);
        true
    }

    /// Returns the values of this acceptor if one of them is newer than `known`, otherwise only their
    /// ballots.
    fn values_newer_than(&self, known: Ballot) -> ReplyOutcome<V> {
        let accepted = ballot_of(&self.state.accepted);
        let committed = ballot_of(&self.state.committed);
        if accepted.max(committed) > Some(known) {
            return self.current_values();
        }
        ReplyOutcome::NothingNewer { accepted, committed }
    }

    fn current_values(&self) -> ReplyOutcome<V> {
        let AcceptorState { accepted, committed, .. } = &self.state;
        ReplyOutcome::Current { accepted: accepted.clone(), committed: committed.clone() }
    }
}

fn ballot_of<V>(versioned: &Option<Versioned<V>>) -> Option<Ballot> {
    versioned.as_ref().map(|versioned| versioned.ballot)
}
