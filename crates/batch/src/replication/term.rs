//! Terms of ownership, by which stores decide between two owners of a batch job.

use serde::{Deserialize, Serialize};

/// Identity of a store: the incarnation of its disk. A store whose disk is replaced is another store.
pub type StoreId = u64;

/// Proposal number of one ownership of a batch job; of two, the greater one wins. The derived order compares the fields
/// in their order.
///
/// Terms are unique: no two claims use the same one, not even two of the same store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnershipTerm {
    /// Epoch of the store set that the owner acts on.
    pub epoch: u64,
    /// Number of the claim within the epoch, from 1 on.
    pub number: u64,
    /// The store that claims the batch job.
    pub owner: StoreId,
    /// Random number of the claim, which distinguishes claims of one store before and after a restart.
    pub nonce: u64,
}

impl OwnershipTerm {
    /// A term of `owner` that wins over `highest` under the store set of `epoch`.
    ///
    /// `None` if `highest` belongs to a later epoch: the owner's store set is outdated, so it doesn't know which
    /// stores to ask.
    #[must_use]
    pub fn above(highest: Self, epoch: u64, owner: StoreId, nonce: u64) -> Option<Self> {
        let number = if highest.epoch == epoch { highest.number + 1 } else { 1 };
        (highest.epoch <= epoch).then_some(Self { epoch, number, owner, nonce })
    }

    /// The lowest term of an epoch. No claim ever uses it.
    #[must_use]
    pub fn lowest_of(epoch: u64) -> Self {
        Self { epoch, ..Self::default() }
    }
}
