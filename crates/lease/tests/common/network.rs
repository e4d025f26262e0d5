//! Messages in flight, which may be lost, delayed or duplicated.

use std::time::Duration;

use lease::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

use super::{machine_of, SeededFault, Simulation};

/// Longest delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 40;
/// Longest delay of one in twenty messages on a bad network, in milliseconds; longer than the lease.
const MAX_LATE_DELAY_MS: u64 = 8000;

/// Message between a candidate and a grantor. `run` is the run of the candidate's process that sent the
/// request.
#[derive(Clone)]
pub enum Message {
    Request { run: u64, request: LeaseRequest, to: GrantorId },
    Reply { run: u64, term: u64, from: GrantorId, reply: LeaseReply },
    Release { release: LeaseRelease, to: GrantorId },
}

/// Message in flight.
pub struct Envelope {
    /// Time of the simulation at which the message arrives.
    due: Duration,
    /// Index of the candidate that sends or receives the message.
    candidate: usize,
    message: Message,
}

impl Simulation {
    /// Sends a message with a random delay. A bad network loses 10 % of the messages, duplicates 10 %, and
    /// delays 5 % of the copies for longer.
    pub(super) fn send(&mut self, candidate: usize, message: Message) {
        let copies = match self.random.u8(..100) {
            0..10 if self.faults.bad_network => 0,
            10..20 if self.faults.bad_network => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_late = self.faults.bad_network && self.random.u8(..20) == 0;
            let delay = self.random.u64(..if is_late { MAX_LATE_DELAY_MS } else { MAX_DELAY_MS });
            let due = self.time + Duration::from_millis(delay);
            self.network.push(Envelope { due, candidate, message: message.clone() });
        }
    }

    /// Delivers the due messages in random order. Messages to frozen processes stay in flight.
    pub(super) fn deliver_due_messages(&mut self) {
        let envelopes = std::mem::take(&mut self.network);
        let (mut due, later): (Vec<_>, Vec<_>) =
            envelopes.into_iter().partition(|envelope| self.is_deliverable(envelope));
        self.network = later;
        self.random.shuffle(&mut due);
        for envelope in due {
            self.deliver(envelope.candidate, envelope.message);
        }
    }

    /// Returns whether a message is due and its receiver is not frozen.
    fn is_deliverable(&self, envelope: &Envelope) -> bool {
        let is_frozen = match &envelope.message {
            Message::Request { to, .. } | Message::Release { to, .. } => {
                self.grantors[machine_of(*to)].is_frozen(self.time)
            }
            Message::Reply { .. } => self.candidates[envelope.candidate].is_frozen(self.time),
        };
        envelope.due <= self.time && !is_frozen
    }

    fn deliver(&mut self, candidate: usize, message: Message) {
        match message {
            Message::Request { run, request, to } => {
                let grantor = &mut self.grantors[machine_of(to)];
                let now = grantor.now(self.time);
                let reply = grantor.state.handle(now, &request);
                self.send(candidate, Message::Reply { run, term: request.term, from: to, reply });
            }
            Message::Release { release, to } => self.grantors[machine_of(to)].state.release(&release),
            Message::Reply { run, term, from, reply } => {
                if self.candidates[candidate].state.run == run {
                    self.deliver_reply(candidate, term, from, reply);
                }
            }
        }
    }

    fn deliver_reply(&mut self, candidate: usize, term: u64, from: GrantorId, reply: LeaseReply) {
        let candidate = &mut self.candidates[candidate].state.candidate;
        let term = if self.faults.seeded == SeededFault::AnyTerm { candidate.term() } else { term };
        let reply = match reply {
            LeaseReply::Granted { .. } if self.faults.seeded == SeededFault::NewGrantors => {
                LeaseReply::Granted { committed_for_ms: u64::MAX }
            }
            reply => reply,
        };
        candidate.on_reply(term, from, &reply);
    }
}
