//! What candidates and grantors say to each other.

use serde::{Deserialize, Serialize};

/// Identity of a grantor: the incarnation of the acceptor that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantorId(pub u64);

/// Asks a grantor for the lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the candidate, unique to one life of its process.
    pub holder: String,
    /// Number of the candidate's round.
    pub term: u64,
    /// How long the lease is to last.
    pub ttl_ms: u64,
    /// Revision of the state from which the candidate knows the grantors.
    pub revision: u64,
    /// The grantors that it asks.
    pub grantors: Vec<GrantorId>,
}

/// Answers a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The grantor lends itself to the candidate, from when it handled the request.
    Granted {
        /// For how long it has known that the grantors that are asked are the committed ones; 0 if it knows others.
        settled_ms: u64,
    },
    /// It does not.
    Held {
        /// Who has its grant; empty if nobody, and the grantor waits for grants of an earlier life to end.
        holder: String,
        /// For how long yet.
        remaining_ms: u64,
    },
}

/// Gives back the grants of a candidate that does not hold the lease, or no longer wants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// Name of the candidate.
    pub holder: String,
    /// Its newest round; a grant of a later round stays.
    pub term: u64,
}
