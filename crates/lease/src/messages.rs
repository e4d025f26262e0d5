//! Messages between candidates and grantors.
//!
//! The encoding (`bincode`) identifies variants and fields by their position: keep their order and types.

use serde::{Deserialize, Serialize};

/// Identity of a grantor: the incarnation of the acceptor beside which the grantor runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantorId(pub u64);

/// Request of a candidate to a grantor for the lease, or for a renewal of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the candidate, unique to one run of its process.
    pub holder: String,
    /// Number of the candidate's round, which rises with each round.
    pub term: u64,
    /// Requested duration of the grant, in milliseconds.
    pub ttl_ms: u64,
    /// Revision of the register's value from which the candidate took `grantors`.
    pub revision: u64,
    /// All grantors of the round. A grantor that is not one of them rejects the request.
    pub grantors: Vec<GrantorId>,
}

/// Reply of a grantor to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The lease is granted for the requested duration, which starts when the grantor handles the request.
    Granted {
        /// Time for which the grantor has known that the grantors of the request are the committed ones, in
        /// milliseconds; 0 if the newest committed set that it learned is another one, or if it learned none.
        committed_for_ms: u64,
    },
    /// The lease is not granted.
    Rejected {
        /// Name of the candidate that has the grant. Empty if none has: the grantor was started less than one
        /// TTL ago, so that a grant from before a restart may still be valid, or it does not accept the
        /// request (too long, outdated, or addressed to other grantors).
        holder: String,
        /// Time until the grant or the wait after a restart ends, in milliseconds; 0 if the request is not
        /// accepted.
        remaining_ms: u64,
    },
}

/// Message by which a candidate gives back its grants, because its round failed or because it
/// resigned the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// Name of the candidate.
    pub holder: String,
    /// Newest round of the candidate. Grants of later rounds are kept, so a delayed release does not end
    /// them.
    pub term: u64,
}
