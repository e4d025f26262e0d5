//! Terms of ownership, by which stores decide between several owners of a batch job.

use serde::{Deserialize, Serialize};

/// Identity of a store: the incarnation of its disk. A store whose disk is replaced gets a new identity.
pub type StoreId = u64;

/// Proposal number of an ownership of a batch job; the ownership with the greatest term wins. The derived
/// order compares the fields in the order of their declaration.
///
/// Terms are unique: no two claims use the same one, not even two of the same store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnershipTerm {
    /// Epoch of the store set under which the owner claimed the batch job.
    pub epoch: u64,
    /// Number of the claim within the epoch, starting at 1.
    pub number: u64,
    /// Identity of the store that claims the batch job.
    pub owner: StoreId,
    /// Random number, which distinguishes claims that the same store makes before and after a restart.
    pub nonce: u64,
}

impl OwnershipTerm {
    /// Returns a term of `owner` in `epoch` that is greater than `highest`.
    ///
    /// Returns `None` if `highest` belongs to a later epoch: the owner's store set is then outdated and
    /// may not contain the replicas of the batch job.
    #[must_use]
    pub fn above(highest: Self, epoch: u64, owner: StoreId, nonce: u64) -> Option<Self> {
        let number = if highest.epoch == epoch { highest.number + 1 } else { 1 };
        (highest.epoch <= epoch).then_some(Self { epoch, number, owner, nonce })
    }

    /// Returns the lowest term of an epoch. No claim uses it, since the number of a claim is at least 1.
    #[must_use]
    pub fn lowest_of(epoch: u64) -> Self {
        Self { epoch, ..Self::default() }
    }
}
