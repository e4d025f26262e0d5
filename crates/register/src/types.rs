//! Messages and identities of the register.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A random number drawn when a disk is initialised. A machine that lost its disk comes back with another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A machine with a disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The machine's name.
    pub name: String,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
    /// Its address for internal calls.
    pub address: String,
}

/// Orders proposals. Unique: a proposer never uses one twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The higher round wins.
    pub round: u64,
    /// Random number of the proposing process, drawn at its start; breaks ties.
    pub proposer: u64,
}

/// A value that names the acceptors responsible for it.
pub trait RegisterValue: Clone {
    /// The acceptors.
    fn members(&self) -> &[Member];
}

/// A value with the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<V> {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: Arc<V>,
    /// The acceptors of the committed value that this one was made from, if they are others than its own. As long
    /// as this value is not known to be committed, it needs a majority of these too. Empty if they are the same.
    pub previous: Arc<[Member]>,
    /// The ballot of that committed value. Who knows of a newer committed value need not ask its acceptors any more.
    pub predecessor: Ballot,
}

impl<V> Versioned<V> {
    /// A value with the acceptors of the one before it, such as the first value.
    pub fn new(ballot: Ballot, value: Arc<V>) -> Self {
        Self { ballot, value, previous: Arc::default(), predecessor: Ballot::default() }
    }
}

/// What a proposer asks of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorRequest<V> {
    /// Promise to accept nothing below this ballot.
    Prepare(Ballot),
    /// Accept this value.
    Accept(Versioned<V>),
    /// This value is committed.
    Learn(Versioned<V>),
    /// Tell what was accepted and what is known to be committed.
    Read,
    /// As `Read`, but without the values if none of them is newer than this ballot.
    ReadNewer(Ballot),
}

/// What an acceptor answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorReply<V> {
    /// The incarnation of the disk that answers; a reply counts only for that member.
    pub incarnation: Incarnation,
    /// The answer.
    pub outcome: ReplyOutcome<V>,
}

/// The answer of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome<V> {
    /// The promise is given; the value with the highest ballot accepted so far.
    Promised(Option<Versioned<V>>),
    /// The value is accepted.
    Accepted,
    /// A higher ballot was promised.
    Rejected(Ballot),
    /// The committed value was noted.
    Learned,
    /// The newest accepted value and the newest value known to be committed.
    Current {
        /// Accepted last.
        accepted: Option<Versioned<V>>,
        /// Known to be committed.
        committed: Option<Versioned<V>>,
    },
    /// Nothing is newer than the ballot that was asked for.
    NothingNewer {
        /// Ballot of the value that was accepted last.
        accepted: Option<Ballot>,
        /// Ballot of the newest value known to be committed.
        committed: Option<Ballot>,
    },
}
