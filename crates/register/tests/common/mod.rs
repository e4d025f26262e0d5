//! Helpers of the register tests.
#![allow(dead_code, reason = "each test program uses some of the helpers")]

pub mod oracle;
pub mod world;

use std::sync::Arc;

use register::{
    AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, RegisterValue, ReplyOutcome, Versioned,
};

/// A value that remembers all changes that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The changes, oldest first.
    pub changes: Vec<u32>,
    /// The acceptors.
    pub members: Vec<Member>,
}

impl RegisterValue for History {
    fn members(&self) -> &[Member] {
        &self.members
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
    pub fn with_members(&self, change: u32, members: Vec<Member>) -> Self {
        Self { members, ..self.with_change(change) }
    }

    /// Whether this value came before the other one, or is the same.
    pub fn is_prefix_of(&self, later: &Self) -> bool {
        later.changes.starts_with(&self.changes)
    }
}

/// A message of a proposer to an acceptor.
pub type Request = (Member, AcceptorRequest<History>);

/// The machine of this number, with its disk of that incarnation.
pub fn member_of(station: usize, incarnation: u64) -> Member {
    Member {
        name: format!("station-{station}"),
        incarnation: Incarnation(incarnation),
        address: format!("address-{station}"),
    }
}

/// The machine of this number with its first disk.
pub fn member(station: usize) -> Member {
    member_of(station, station as u64 + 1)
}

/// The machines of these numbers with their first disks.
pub fn members(stations: &[usize]) -> Vec<Member> {
    stations.iter().map(|station| member(*station)).collect()
}

pub fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

/// A value under the ballot of this round.
pub fn versioned(round: u64, changes: &[u32], members: Vec<Member>) -> Versioned<History> {
    Versioned::new(ballot(round), Arc::new(History { changes: changes.to_vec(), members }))
}

/// The reply of a member.
pub fn reply(from: &Member, outcome: ReplyOutcome<History>) -> AcceptorReply<History> {
    AcceptorReply { incarnation: from.incarnation, outcome }
}

/// The numbers of the machines that requests go to.
pub fn receivers(requests: &[Request]) -> Vec<&str> {
    requests.iter().map(|(member, _)| member.name.as_str()).collect()
}
