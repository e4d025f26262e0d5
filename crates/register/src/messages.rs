//! Messages between proposers and acceptors.
//!
//! They are encoded by position (`bincode`) between processes: variants and fields keep their order and types.

use serde::{Deserialize, Serialize};

use crate::{Ballot, Incarnation, Member, Versioned};

/// A request of a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorRequest<V> {
    /// Promise to accept nothing below this ballot.
    Prepare(Ballot),
    /// Accept this value.
    Accept(Versioned<V>),
    /// Learn that this value is committed.
    Learn(Versioned<V>),
    /// Return the newest accepted value and the newest value known to be committed.
    Read,
    /// The same as `Read`, but without the values if neither is newer than this ballot.
    ReadNewer(Ballot),
}

/// A request together with the acceptor to which it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest<V> {
    /// The acceptor. Only a reply from this incarnation counts.
    pub to: Member,
    /// The request to send.
    pub request: AcceptorRequest<V>,
}

/// The reply of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorReply<V> {
    /// Incarnation of the disk that replies. The reply counts only for the member with this incarnation.
    pub incarnation: Incarnation,
    /// What the acceptor did, or the state that it was asked for.
    pub outcome: ReplyOutcome<V>,
}

/// What an acceptor replies to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome<V> {
    /// The promise is given. Holds the value that was accepted with the highest ballot so far.
    Promised(Option<Versioned<V>>),
    /// The value is accepted.
    Accepted,
    /// The request is rejected because this higher ballot was promised.
    Rejected(Ballot),
    /// The committed value is recorded.
    Learned,
    /// The values of the acceptor.
    Current {
        /// The value that was accepted with the highest ballot.
        accepted: Option<Versioned<V>>,
        /// The newest value known to be committed.
        committed: Option<Versioned<V>>,
    },
    /// Neither value is newer than the ballot of the request.
    NothingNewer {
        /// Ballot of the value that was accepted with the highest ballot.
        accepted: Option<Ballot>,
        /// Ballot of the newest value known to be committed.
        committed: Option<Ballot>,
    },
}
