//! Checks that a known committed value is the newest (scrub and read repair).

use std::collections::HashMap;

use crate::members::majority;
use crate::{
    AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, RegisterValue, ReplyOutcome, Versioned,
};

/// What is known after a reply.
#[derive(Clone, Debug)]
pub enum Verdict<V> {
    /// More replies are needed.
    Wait,
    /// Nothing newer had been committed when the confirmation started.
    Confirmed,
    /// A newer value is committed: take it, and confirm that one.
    Newer(Versioned<V>),
    /// A newer value was accepted somewhere, and may or may not be committed. If it stays so, a proposal that
    /// changes nothing settles it.
    Undecided(Ballot),
}

/// One round of reads at the acceptors of the newest value known to be committed.
#[derive(Clone, Debug)]
pub struct Confirmation<V> {
    known: Versioned<V>,
    shown: HashMap<Incarnation, Shown>,
}

/// What one acceptor showed.
#[derive(Clone, Copy, Debug)]
struct Shown {
    accepted: Option<Ballot>,
    committed: Option<Ballot>,
}

impl<V: RegisterValue> Confirmation<V> {
    /// Starts to confirm `known`, which must be committed.
    pub fn start(known: Versioned<V>) -> (Self, Vec<(Member, AcceptorRequest<V>)>) {
        let request = AcceptorRequest::ReadNewer(known.ballot);
        let members = known.value.members().iter();
        let requests = members.map(|member| (member.clone(), request.clone())).collect();
        (Self { known, shown: HashMap::new() }, requests)
    }

    /// The value that is being confirmed.
    pub fn known(&self) -> &Versioned<V> {
        &self.known
    }

    /// Takes a reply to a request of this confirmation.
    pub fn on_reply(&mut self, from: &Member, reply: AcceptorReply<V>) -> Verdict<V> {
        if from.incarnation != reply.incarnation || !self.is_member(reply.incarnation) {
            return Verdict::Wait;
        }
        let (shown, committed) = match reply.outcome {
            ReplyOutcome::Current { accepted, committed } => {
                let accepted = accepted.as_ref().map(|accepted| accepted.ballot);
                let known = committed.as_ref().map(|committed| committed.ballot);
                (Shown { accepted, committed: known }, committed)
            }
            ReplyOutcome::NothingNewer { accepted, committed } => (Shown { accepted, committed }, None),
            _ => return Verdict::Wait,
        };
        self.shown.insert(reply.incarnation, shown);
        match committed {
            Some(committed) if committed.ballot > self.known.ballot => Verdict::Newer(committed),
            _ => self.judge(),
        }
    }

    /// Acceptors that answered and don't know the committed value yet: they should be told.
    pub fn lagging(&self) -> Vec<(Member, AcceptorRequest<V>)> {
        let members = self.known.value.members().iter();
        let lagging = members.filter(|member| {
            let shown = self.shown.get(&member.incarnation);
            shown.is_some_and(|shown| shown.committed < Some(self.known.ballot))
        });
        lagging.map(|member| (member.clone(), AcceptorRequest::Learn(self.known.clone()))).collect()
    }

    fn is_member(&self, incarnation: Incarnation) -> bool {
        self.known.value.members().iter().any(|member| member.incarnation == incarnation)
    }

    /// A successor would have been accepted by a majority that meets every majority of these acceptors. So a
    /// majority without anything newer confirms, whatever the others show.
    fn judge(&self) -> Verdict<V> {
        let needed = majority(self.known.value.members().len());
        let known = Some(self.known.ballot);
        let without_newer = self.shown.values().filter(|shown| shown.accepted <= known).count();
        if without_newer >= needed {
            return Verdict::Confirmed;
        }
        let newest = self.shown.values().filter_map(|shown| shown.accepted).max();
        match newest {
            Some(newest) if self.shown.len() >= needed && newest > self.known.ballot => {
                Verdict::Undecided(newest)
            }
            _ => Verdict::Wait,
        }
    }
}
