//! The acceptor: records promises, accepted values and committed values.

use serde::{Deserialize, Serialize};

use crate::{AcceptorReply, AcceptorRequest, Ballot, Incarnation, RegisterValue, ReplyOutcome, Versioned};

/// The durable state of an acceptor.
///
/// It is encoded by position (`bincode`) on disk: the fields keep their order and types.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct AcceptorState<V> {
    /// Incarnation of the disk that holds this state.
    pub incarnation: Incarnation,
    /// The highest promised ballot: nothing below it is accepted. Never below the ballot of `accepted`.
    pub promised: Ballot,
    /// The value that was accepted with the highest ballot. Never older than `committed`.
    pub accepted: Option<Versioned<V>>,
    /// The newest value known to be committed.
    pub committed: Option<Versioned<V>>,
}

impl<V> AcceptorState<V> {
    /// The state of a disk that was just initialized.
    pub fn empty(incarnation: Incarnation) -> Self {
        Self { incarnation, promised: Ballot::default(), accepted: None, committed: None }
    }
}

/// The reply to a request, and whether it has to wait for the disk.
#[derive(Clone, Debug)]
pub struct PendingReply<V> {
    /// The reply to send.
    pub reply: AcceptorReply<V>,
    /// Whether [`Acceptor::state`] must be durable before the reply is sent.
    pub must_persist: bool,
}

/// An acceptor of the register.
///
/// If its state cannot be made durable, the reply must not be sent. The state in memory may stay ahead of the disk:
/// each promise and each acceptance requires that the whole state is durable, also a repeated one, since the write
/// of the first may still be in flight.
#[derive(Clone, Debug)]
pub struct Acceptor<V> {
    state: AcceptorState<V>,
}

impl<V: RegisterValue> Acceptor<V> {
    /// Creates an acceptor that continues from a durable state.
    pub fn new(state: AcceptorState<V>) -> Self {
        Self { state }
    }

    /// The state to make durable.
    pub fn state(&self) -> &AcceptorState<V> {
        &self.state
    }

    /// Handles a request.
    pub fn handle(&mut self, request: AcceptorRequest<V>) -> PendingReply<V> {
        match request {
            AcceptorRequest::Prepare(ballot) => self.prepare(ballot),
            AcceptorRequest::Accept(proposed) => self.accept(proposed),
            AcceptorRequest::Learn(committed) => {
                let is_changed = self.learn(committed);
                self.reply(ReplyOutcome::Learned, is_changed)
            }
            AcceptorRequest::Read => self.reply(self.current(), false),
            AcceptorRequest::ReadNewer(known) => self.reply(self.newer_than(known), false),
        }
    }

    /// Records the first value of the register, if this disk never promised, accepted or learned anything.
    ///
    /// Replies [`ReplyOutcome::Learned`] if the value was recorded, else [`ReplyOutcome::Current`].
    pub fn initialize(&mut self, first: Versioned<V>) -> PendingReply<V> {
        if !self.is_untouched() {
            return self.reply(self.current(), false);
        }
        let is_changed = self.learn(first);
        self.reply(ReplyOutcome::Learned, is_changed)
    }

    fn is_untouched(&self) -> bool {
        let state = &self.state;
        state.promised == Ballot::default() && state.accepted.is_none() && state.committed.is_none()
    }

    fn reply(&self, outcome: ReplyOutcome<V>, must_persist: bool) -> PendingReply<V> {
        let reply = AcceptorReply { incarnation: self.state.incarnation, outcome };
        PendingReply { reply, must_persist }
    }

    fn prepare(&mut self, ballot: Ballot) -> PendingReply<V> {
        // The promised ballot itself is no rejection: it belongs to the same proposal, whose request was repeated.
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
    /// The value also becomes the accepted one, unless a newer value was accepted. That is not a vote for it: the
    /// value has its majorities already.
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

    /// The values of this acceptor if one of them is newer than `known`, otherwise only their ballots.
    fn newer_than(&self, known: Ballot) -> ReplyOutcome<V> {
        let accepted = ballot_of(&self.state.accepted);
        let committed = ballot_of(&self.state.committed);
        if accepted.max(committed) > Some(known) {
            return self.current();
        }
        ReplyOutcome::NothingNewer { accepted, committed }
    }

    fn current(&self) -> ReplyOutcome<V> {
        let AcceptorState { accepted, committed, .. } = &self.state;
        ReplyOutcome::Current { accepted: accepted.clone(), committed: committed.clone() }
    }
}

fn ballot_of<V>(versioned: &Option<Versioned<V>>) -> Option<Ballot> {
    versioned.as_ref().map(|versioned| versioned.ballot)
}
