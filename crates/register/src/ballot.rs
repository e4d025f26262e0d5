//! Ballots: the unique, ordered numbers of proposals.

use serde::{Deserialize, Serialize};

/// Number of a proposal. Ballots are ordered by round, then by proposer, and no ballot is used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Round number, higher than all rounds that the proposer had observed. Compared first.
    pub round: u64,
    /// Random number that the proposing process drew at its start. Distinguishes ballots of the same round.
    pub proposer: u64,
}

/// Source of the ballots of one process. It issues no ballot twice.
#[derive(Clone, Debug)]
pub struct BallotSource {
    /// Random number that the process drew at its start.
    proposer: u64,
    /// Highest round that was issued or observed; 0 at first.
    round: u64,
}

impl BallotSource {
    /// Creates the ballot source of a process. `proposer` is the random number that the process drew at its
    /// start.
    pub fn new(proposer: u64) -> Self {
        Self { proposer, round: 0 }
    }

    /// Records a ballot of any proposer, so that the next ballot issued here is higher.
    pub fn observe(&mut self, seen: Ballot) {
        self.round = self.round.max(seen.round);
    }

    /// Issues a ballot that is higher than all that were issued or observed here.
    pub fn next_ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot { round: self.round, proposer: self.proposer }
    }
}
