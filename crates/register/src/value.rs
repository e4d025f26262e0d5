//! The value of the register, and its version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ballot, Member};

/// A value that names the acceptors responsible for it.
pub trait RegisterValue: Clone {
    /// The acceptors of this value: a majority of them must accept it, and must promise before it is replaced.
    fn acceptors(&self) -> &[Member];
}

/// A value with the ballot under which it was proposed.
///
/// Versions with the same ballot are the same version, since no ballot is used twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<V> {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// The value itself.
    pub value: Arc<V>,
    /// Acceptors of the committed value that this one was made from, if they differ from its own; else empty.
    ///
    /// Until this value is known to be committed, it needs a majority of these acceptors as well as of its own.
    pub previous_acceptors: Arc<[Member]>,
    /// Ballot of the committed value that this one was made from, if [`previous_acceptors`] is not empty.
    ///
    /// A proposer that knows a newer committed value does not need the previous acceptors any more.
    ///
    /// [`previous_acceptors`]: Self::previous_acceptors
    pub predecessor: Ballot,
}

impl<V> Versioned<V> {
    /// Creates a value whose acceptors are those of the value before it, such as the first value.
    pub fn new(ballot: Ballot, value: Arc<V>) -> Self {
        Self { ballot, value, previous_acceptors: Arc::default(), predecessor: Ballot::default() }
    }
}
