//! Checks of the invariants of the replicated log.

use std::collections::{BTreeMap, HashSet};
use std::fmt;

use batch::{LogEntry, Ownership, OwnershipTerm};

/// A violated invariant.
#[derive(Debug)]
pub enum Violation {
    /// Different entries were committed at the same position of the log.
    Changed { position: usize },
    /// The owner of a term lacks entries that an owner of a lower term has committed.
    Lost { term: OwnershipTerm, committed: usize, expected: usize },
    /// Two claims use the same term.
    DuplicateTerm(OwnershipTerm),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Changed { position } => write!(f, "the committed entry at position {position} changed"),
            Self::Lost { term, committed, expected } => {
                write!(f, "the owner of {term:?} has {committed} of {expected} committed entries")
            }
            Self::DuplicateTerm(term) => write!(f, "two claims use the term {term:?}"),
        }
    }
}

/// The entries that owners could expose to trainers so far, with which those of later owners are compared.
#[derive(Default)]
pub struct Checker {
    /// The terms of all claims.
    terms: HashSet<OwnershipTerm>,
    /// Committed entries by position.
    exposed: Vec<LogEntry>,
    /// Number of entries that the owner of each term has exposed.
    exposed_by_term: BTreeMap<OwnershipTerm, usize>,
}

impl Checker {
    /// Returns the number of committed entries.
    pub fn committed(&self) -> usize {
        self.exposed.len()
    }

    /// Checks that no earlier claim uses `term`.
    pub fn check_claim(&mut self, term: OwnershipTerm) -> Result<(), Violation> {
        match self.terms.insert(term) {
            true => Ok(()),
            false => Err(Violation::DuplicateTerm(term)),
        }
    }

    /// Checks the committed entries of an established owner, which it could expose to trainers now.
    pub fn check_owner(&mut self, owner: &Ownership) -> Result<(), Violation> {
        let (term, committed) = (owner.term(), owner.committed());
        let expected = self.exposed_by_term.range(..term).map(|(_, length)| *length).max().unwrap_or(0);
        if committed.len() < expected {
            return Err(Violation::Lost { term, committed: committed.len(), expected });
        }
        let mut pairs = committed.iter().zip(&self.exposed);
        if let Some(position) = pairs.position(|(one, other)| one != other) {
            return Err(Violation::Changed { position });
        }
        if committed.len() > self.exposed.len() {
            self.exposed = committed.to_vec();
        }
        self.exposed_by_term.insert(term, committed.len());
        Ok(())
    }
}
