//! The value of the register, with the ballot under which it was proposed.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ballot, Member};

/// Value of the register. Each value names the acceptors that are responsible for it.
pub trait RegisterValue: Clone {
    /// Returns the acceptors of this value. A majority of them must accept it to commit it, and a majority
    /// must promise before another value replaces it.
    fn acceptors(&self) -> &[Member];
}

/// Value with the ballot under which it was proposed, which serves as its version.
///
/// Two versions with the same ballot are equal, since no ballot is used twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<V> {
    /// Ballot of the proposal that proposed the value. Newer values have higher ballots.
    pub ballot: Ballot,
    /// Content of the register, shared between copies of this version.
    pub value: Arc<V>,
    /// Acceptors of the committed value from which this value was derived, if they differ from the acceptors
    /// of this value; else empty.
    ///
    /// Until this value is known to be committed, promises and acceptances are needed from a majority of
    /// these acceptors and from a majority of the value's acceptors.
    pub previous_acceptors: Arc<[Member]>,
    /// Ballot of the committed value from which this value was derived, if [`previous_acceptors`] is not
    /// empty; else the default ballot.
    ///
    /// A proposer that starts from a newer committed value does not need the previous acceptors.
    ///
    /// [`previous_acceptors`]: Self::previous_acceptors
    pub predecessor: Ballot,
}

impl<V> Versioned<V> {
    /// Creates a version whose acceptors did not change from its predecessor, or the first version of the
    /// register.
    pub fn new(ballot: Ballot, value: Arc<V>) -> Self {
        Self { ballot, value, previous_acceptors: Arc::default(), predecessor: Ballot::default() }
    }
}
