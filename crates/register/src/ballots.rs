//! Unique ballots.

use crate::Ballot;

/// Draws the ballots of one process; none is drawn twice.
#[derive(Clone, Debug)]
pub struct BallotSource {
    proposer: u64,
    round: u64,
}

impl BallotSource {
    /// A source for a process that drew the random number `proposer` at its start.
    pub fn new(proposer: u64) -> Self {
        Self { proposer, round: 0 }
    }

    /// Remembers a ballot that was seen, so that the next one is above it.
    pub fn observe(&mut self, seen: Ballot) {
        self.round = self.round.max(seen.round);
    }

    /// A ballot above all that were drawn and observed.
    pub fn next_ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot { round: self.round, proposer: self.proposer }
    }
}
