//! Helpers of the register tests.
#![allow(dead_code, reason = "each test program uses some of the helpers")]

pub mod oracle;
pub mod simulation;

use std::sync::Arc;

use register::{
    AcceptorReply, AcceptorRequest, AddressedRequest, Ballot, Incarnation, Member, RegisterValue,
    ReplyOutcome, Versioned,
};

/// A value that records all changes that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The changes, oldest first.
    pub changes: Vec<u32>,
    /// The acceptors.
    pub acceptors: Vec<Member>,
}

impl RegisterValue for History {
    fn acceptors(&self) -> &[Member] {
        &self.acceptors
    }
}

impl History {
    /// The value with one more change.
    pub fn with_change(&self, change: u32) -> Self {
        let mut changed = self.clone();
        changed.changes.push(change);
        changed
    }

    /// The value with one more change, and other acceptors.
    pub fn with_acceptors(&self, change: u32, acceptors: Vec<Member>) -> Self {
        Self { acceptors, ..self.with_change(change) }
    }

    /// Whether this value came before the other one, or is the same.
    pub fn is_prefix_of(&self, later: &Self) -> bool {
        later.changes.starts_with(&self.changes)
    }
}

/// A request of a proposer to an acceptor.
pub type Request = AddressedRequest<History>;

/// The machine of this number, with a disk of that incarnation.
pub fn member_with_disk(machine: usize, incarnation: u64) -> Member {
    Member {
        name: format!("machine-{machine}"),
        incarnation: Incarnation(incarnation),
        address: format!("address-{machine}"),
    }
}

/// The machine of this number with its first disk.
pub fn member(machine: usize) -> Member {
    member_with_disk(machine, first_incarnation(machine).0)
}

/// The machines of these numbers with their first disks.
pub fn members(machines: &[usize]) -> Vec<Member> {
    machines.iter().map(|machine| member(*machine)).collect()
}

/// The incarnation of a machine's first disk.
pub fn first_incarnation(machine: usize) -> Incarnation {
    Incarnation(machine as u64 + 1)
}

/// The number of a member's machine.
pub fn machine_of(member: &Member) -> usize {
    let number = member.name.strip_prefix("machine-").and_then(|number| number.parse().ok());
    number.expect("the name ends with the number of the machine")
}

/// The ballot of this round.
pub fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

/// A value under the ballot of this round.
pub fn versioned(round: u64, changes: &[u32], acceptors: Vec<Member>) -> Versioned<History> {
    Versioned::new(ballot(round), Arc::new(History { changes: changes.to_vec(), acceptors }))
}

/// The reply of a member.
pub fn reply(from: &Member, outcome: ReplyOutcome<History>) -> AcceptorReply<History> {
    AcceptorReply { incarnation: from.incarnation, outcome }
}

/// The names of the machines to which requests go.
pub fn receivers(requests: &[Request]) -> Vec<&str> {
    requests.iter().map(|request| request.to.name.as_str()).collect()
}

/// The value that a request asks to accept, if it is such a request.
pub fn accept_value(request: &Request) -> Option<&Versioned<History>> {
    match &request.request {
        AcceptorRequest::Accept(proposed) => Some(proposed),
        _ => None,
    }
}
