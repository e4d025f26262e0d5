//! Messages between candidates and grantors.
//!
//! They are encoded by position (`bincode`) between processes: variants and fields keep their order and types.

use serde::{Deserialize, Serialize};

/// Identity of a grantor: the incarnation of the acceptor beside which it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantorId(pub u64);

/// Asks a grantor for the lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the candidate, unique to one run of its process.
    pub holder: String,
    /// Number of the candidate's round.
    pub term: u64,
    /// Requested duration of the grant, in milliseconds.
    pub ttl_ms: u64,
    /// Revision of the state from which the candidate knows the grantors.
    pub revision: u64,
    /// All grantors of the round.
    pub grantors: Vec<GrantorId>,
}

/// The reply to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The lease is granted, from when the grantor handled the request.
    Granted {
        /// For how long the grantor has known that the grantors of the request are the committed ones, in
        /// milliseconds; 0 if it knows others.
        committed_for_ms: u64,
    },
    /// The lease is not granted.
    Rejected {
        /// The candidate that has the grant. Empty if none has, and the grantor waits until grants that it may have
        /// given before a restart have expired, or does not accept the request at all.
        holder: String,
        /// For how long yet, in milliseconds.
        remaining_ms: u64,
    },
}

/// Returns the grants of a candidate that does not hold the lease, or no longer wants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// Name of the candidate.
    pub holder: String,
    /// The candidate's newest round: a grant of a later round is kept.
    pub term: u64,
}
