//! Values, members and replies for the tests of the register.
#![allow(dead_code, reason = "each test program uses some of the helpers")]

pub mod oracle;
pub mod simulation;

use std::sync::Arc;

use register::{
    AcceptorReply, AcceptorRequest, AddressedRequest, Ballot, Incarnation, Member, RegisterValue,
    ReplyOutcome, Versioned,
};

/// Register value that records all changes from which it resulted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Numbers of the changes, oldest first.
    pub changes: Vec<u32>,
    /// Acceptors that are responsible for the value.
    pub acceptors: Vec<Member>,
}

impl RegisterValue for History {
    fn acceptors(&self) -> &[Member] {
        &self.acceptors
    }
}

impl History {
    /// Returns the value with one more change.
    pub fn with_change(&self, change: u32) -> Self {
        let mut changed = self.clone();
        changed.changes.push(change);
        changed
    }

    /// Returns the value with one more change and with other acceptors.
    pub fn with_acceptors(&self, change: u32, acceptors: Vec<Member>) -> Self {
        Self { acceptors, ..self.with_change(change) }
    }

    /// Returns whether `later` descends from this value or has the same changes.
    pub fn is_prefix_of(&self, later: &Self) -> bool {
        later.changes.starts_with(&self.changes)
    }
}

/// Request of a proposer, with the acceptor that receives it.
pub type Request = AddressedRequest<History>;

/// Returns the member for the machine with this number, whose disk has this incarnation.
pub fn member_with_disk(machine: usize, incarnation: u64) -> Member {
    Member {
        name: format!("machine-{machine}"),
        incarnation: Incarnation(incarnation),
        address: format!("address-{machine}"),
    }
}

/// Returns the member for the machine with this number and its first disk.
pub fn member(machine: usize) -> Member {
    member_with_disk(machine, first_incarnation(machine).0)
}

/// Returns the members for the machines with these numbers and their first disks.
pub fn members(machines: &[usize]) -> Vec<Member> {
    machines.iter().map(|machine| member(*machine)).collect()
}

/// Returns the incarnation of a machine's first disk.
pub fn first_incarnation(machine: usize) -> Incarnation {
    Incarnation(machine as u64 + 1)
}

/// Returns the number of a member's machine.
pub fn machine_of(member: &Member) -> usize {
    let number = member.name.strip_prefix("machine-").and_then(|number| number.parse().ok());
    number.expect("the name ends with the number of the machine")
}

/// Returns the ballot of this round; the proposer is always 1.
pub fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

/// Returns a value with the ballot of this round.
pub fn versioned(round: u64, changes: &[u32], acceptors: Vec<Member>) -> Versioned<History> {
    Versioned::new(ballot(round), Arc::new(History { changes: changes.to_vec(), acceptors }))
}

/// Returns a reply from the disk of this member.
pub fn reply(from: &Member, outcome: ReplyOutcome<History>) -> AcceptorReply<History> {
    AcceptorReply { incarnation: from.incarnation, outcome }
}

/// Returns the names of the machines that receive these requests.
pub fn receivers(requests: &[Request]) -> Vec<&str> {
    requests.iter().map(|request| request.to.name.as_str()).collect()
}

/// Returns the value of an accept request; `None` for other requests.
pub fn accept_value(request: &Request) -> Option<&Versioned<History>> {
    match &request.request {
        AcceptorRequest::Accept(proposed) => Some(proposed),
        _ => None,
    }
}
