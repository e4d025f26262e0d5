//! Ballots: the unique, ordered numbers of proposals.

use serde::{Deserialize, Serialize};

/// The number of a proposal. Ballots order proposals, and no proposer uses one twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Compared first: the ballot of the higher round wins.
    pub round: u64,
    /// Random number that the proposing process drew at its start. Makes ballots of the same round unique.
    pub proposer: u64,
}

/// Issues the ballots of one process. No ballot is issued twice.
#[derive(Clone, Debug)]
pub struct BallotSource {
    proposer: u64,
    /// The highest round that was issued or observed.
    round: u64,
}

impl BallotSource {
    /// Creates the source of a process that drew the random number `proposer` at its start.
    pub fn new(proposer: u64) -> Self {
        Self { proposer, round: 0 }
    }

    /// Records a ballot of any proposer, so that the next one issued is higher.
    pub fn observe(&mut self, seen: Ballot) {
        self.round = self.round.max(seen.round);
    }

    /// Issues a ballot that is higher than all that were issued or observed.
    pub fn next_ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot { round: self.round, proposer: self.proposer }
    }
}
