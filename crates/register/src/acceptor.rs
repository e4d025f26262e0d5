//! The part that remembers promises and accepted values.

use serde::{Deserialize, Serialize};

use crate::{AcceptorReply, AcceptorRequest, Ballot, Incarnation, RegisterValue, ReplyOutcome, Versioned};

/// What an acceptor must not forget.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct AcceptorState<V> {
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
    /// Nothing below this ballot is accepted any more.
    pub promised: Ballot,
    /// The accepted value with the highest ballot.
    pub accepted: Option<Versioned<V>>,
    /// The newest value known to be committed.
    pub committed: Option<Versioned<V>>,
}

impl<V> AcceptorState<V> {
    /// The state of a disk that was just initialised.
    pub fn empty(incarnation: Incarnation) -> Self {
        Self { incarnation, promised: Ballot::default(), accepted: None, committed: None }
    }
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct Handled<V> {
    /// The answer to send.
    pub reply: AcceptorReply<V>,
    /// Whether [`Acceptor::state`] must be durable before the answer is sent.
    pub must_persist: bool,
}

/// An acceptor of the register.
///
/// When the state could not be made durable, the reply must not be sent. The state in memory may stay ahead of
/// the disk, because every promise and acceptance asks for the whole state to be durable, also a repeated one
/// (the first may still be on its way to the disk).
#[derive(Clone, Debug)]
pub struct Acceptor<V> {
    state: AcceptorState<V>,
}

impl<V: RegisterValue> Acceptor<V> {
    /// Continues from a state that was made durable.
    pub fn new(state: AcceptorState<V>) -> Self {
        Self { state }
    }

    /// What must be made durable.
    pub fn state(&self) -> &AcceptorState<V> {
        &self.state
    }

    /// Answers a request.
    pub fn handle(&mut self, request: AcceptorRequest<V>) -> Handled<V> {
        let (outcome, must_persist) = match request {
            AcceptorRequest::Prepare(ballot) => self.prepare(ballot),
            AcceptorRequest::Accept(proposed) => self.accept(proposed),
            AcceptorRequest::Learn(committed) => (ReplyOutcome::Learned, self.learn(committed)),
            AcceptorRequest::Read => (self.current(), false),
            AcceptorRequest::ReadNewer(known) => (self.newer_than(known), false),
        };
        self.handled(outcome, must_persist)
    }

    /// Takes the first value of the register, if this disk never promised, accepted or learned anything.
    /// Answers [`Outcome::Learned`] when the value was taken, else [`Outcome::Current`].
    pub fn initialise(&mut self, first: Versioned<V>) -> Handled<V> {
        if !self.is_untouched() {
            let outcome = self.current();
            return self.handled(outcome, false);
        }
        let changed = self.learn(first);
        self.handled(ReplyOutcome::Learned, changed)
    }

    fn is_untouched(&self) -> bool {
        let state = &self.state;
        state.promised == Ballot::default() && state.accepted.is_none() && state.committed.is_none()
    }

    fn handled(&self, outcome: ReplyOutcome<V>, must_persist: bool) -> Handled<V> {
        Handled { reply: AcceptorReply { incarnation: self.state.incarnation, outcome }, must_persist }
    }

    fn prepare(&mut self, ballot: Ballot) -> (ReplyOutcome<V>, bool) {
        if ballot < self.state.promised {
            return (ReplyOutcome::Rejected(self.state.promised), false);
        }
        self.state.promised = ballot;
        (ReplyOutcome::Promised(self.state.accepted.clone()), true)
    }

    fn accept(&mut self, proposed: Versioned<V>) -> (ReplyOutcome<V>, bool) {
        if proposed.ballot < self.state.promised {
            return (ReplyOutcome::Rejected(self.state.promised), false);
        }
        self.state.promised = proposed.ballot;
        self.state.accepted = Some(proposed);
        (ReplyOutcome::Accepted, true)
    }

    /// Notes a committed value. It is also shown to proposers as accepted, unless a newer one is; this is not a
    /// vote, for the value has its majorities already.
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

    fn newer_than(&self, known: Ballot) -> ReplyOutcome<V> {
        let accepted = ballot_of(&self.state.accepted);
        let committed = ballot_of(&self.state.committed);
        if accepted.max(committed) > Some(known) {
            return self.current();
        }
        ReplyOutcome::NothingNewer { accepted, committed }
    }

    fn current(&self) -> ReplyOutcome<V> {
        ReplyOutcome::Current {
            accepted: self.state.accepted.clone(),
            committed: self.state.committed.clone(),
        }
    }
}

fn ballot_of<V>(versioned: &Option<Versioned<V>>) -> Option<Ballot> {
    versioned.as_ref().map(|versioned| versioned.ballot)
}
