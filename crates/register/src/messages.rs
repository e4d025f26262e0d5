//! Messages between proposers and acceptors.
//!
//! The encoding (`bincode`) identifies variants and fields by their position: keep their order and types.

use serde::{Deserialize, Serialize};

use crate::{Ballot, Incarnation, Member, Versioned};

/// Request of a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorRequest<V> {
    /// Asks for a promise to reject prepare and accept requests with a lower ballot, and for the accepted
    /// value.
    Prepare(Ballot),
    /// Asks to accept this value, unless a higher ballot was promised.
    Accept(Versioned<V>),
    /// Reports that this value is committed.
    Learn(Versioned<V>),
    /// Asks for the newest accepted value and the newest value known to be committed.
    Read,
    /// Asks for the same values as `Read`, or only for their ballots if neither value is newer than this
    /// ballot.
    ReadNewer(Ballot),
}

/// Request together with the acceptor that is to handle it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest<V> {
    /// Acceptor that is to handle the request. Only a reply from its incarnation counts.
    pub to: Member,
    /// Request to send to the address of `to`.
    pub request: AcceptorRequest<V>,
}

/// Reply of an acceptor to any request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorReply<V> {
    /// Incarnation of the disk that replies. The reply counts only for the member with this incarnation.
    pub incarnation: Incarnation,
    /// Effect of the request, or the values that it asked for.
    pub outcome: ReplyOutcome<V>,
}

/// Effect of a request on an acceptor, or the values that the request asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome<V> {
    /// The ballot is promised. Contains the value that was accepted with the highest ballot so far, if any.
    Promised(Option<Versioned<V>>),
    /// The value is accepted.
    Accepted,
    /// The request is rejected because this higher ballot was promised.
    Rejected(Ballot),
    /// The committed value that was sent, or a newer one, is recorded.
    Learned,
    /// Values of the acceptor, in reply to `Read` or `ReadNewer`, or to an initialization that was rejected.
    Current {
        /// Value that was accepted with the highest ballot; `None` if none was accepted.
        accepted: Option<Versioned<V>>,
        /// Newest value known to be committed; `None` if none was learned.
        committed: Option<Versioned<V>>,
    },
    /// Reply to `ReadNewer`: neither value is newer than the ballot of the request.
    NothingNewer {
        /// Highest ballot with which a value was accepted; `None` if none was accepted.
        accepted: Option<Ballot>,
        /// Ballot of the newest value known to be committed; `None` if none was learned.
        committed: Option<Ballot>,
    },
}
