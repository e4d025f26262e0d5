//! Observes all proposals and acceptances, and reports violations of the register's safety.

use std::collections::{HashMap, HashSet};

use register::{Ballot, Incarnation, Member, RegisterValue, Versioned};

use super::History;

/// Checks each event of a simulation against the events before it. Finds values that do not descend from a
/// committed one, ballots that are used twice, and wrong claims that a value is committed or the newest.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Proposed values by their ballots.
    proposed: HashMap<Ballot, Proposed>,
    /// Values that were accepted by the required majorities, in the order in which that happened. The first
    /// value of the register comes first.
    chosen: Vec<Versioned<History>>,
    /// Description of the first violation that was found.
    pub violation: Option<String>,
}

/// Proposed value and the disks on which its acceptance is durable.
#[derive(Clone, Debug)]
struct Proposed {
    value: Versioned<History>,
    durable_at: HashSet<Incarnation>,
    is_chosen: bool,
}

impl Oracle {
    /// Creates the oracle of a register whose first value is `first`.
    pub fn new(first: Versioned<History>) -> Self {
        Self { chosen: vec![first], ..Self::default() }
    }

    /// Returns the number of chosen values, including the first value of the register.
    pub fn chosen_count(&self) -> usize {
        self.chosen.len()
    }

    /// Returns the chosen value with the highest ballot.
    pub fn newest_chosen(&self) -> &Versioned<History> {
        self.chosen
            .iter()
            .max_by_key(|chosen| chosen.ballot)
            .expect("the first value of the register is chosen")
    }

    /// Records that a proposer sends a value to be accepted.
    pub fn on_propose(&mut self, value: Versioned<History>) {
        for chosen in &self.chosen {
            check_order(chosen, &value, &mut self.violation);
        }
        let ballot = value.ballot;
        let proposed = Proposed { value, durable_at: HashSet::new(), is_chosen: false };
        if self.proposed.insert(ballot, proposed).is_some() {
            self.record_violation(format!("{ballot:?} was used twice"));
        }
    }

    /// Records that an acceptor, which had not promised a higher ballot, has accepted the value with this
    /// ballot, and that the acceptance is durable.
    pub fn on_durable(&mut self, ballot: Ballot, acceptor: Incarnation) {
        let Some(proposed) = self.proposed.get_mut(&ballot) else {
            return;
        };
        proposed.durable_at.insert(acceptor);
        let previous = &proposed.value.previous_acceptors;
        let is_chosen = (previous.is_empty() || is_majority(previous, &proposed.durable_at))
            && is_majority(proposed.value.value.acceptors(), &proposed.durable_at);
        if is_chosen && !proposed.is_chosen {
            proposed.is_chosen = true;
            let chosen = proposed.value.clone();
            for other in self.proposed.values() {
                check_order(&chosen, &other.value, &mut self.violation);
            }
            self.chosen.push(chosen);
        }
    }

    /// Checks a value that a proposer considers committed.
    pub fn on_committed(&mut self, value: &Versioned<History>) {
        if !self.chosen.contains(value) {
            self.record_violation(format!(
                "a proposer considers {value:?} committed, but the required majorities did not accept it"
            ));
        }
    }

    /// Checks a confirmation that the value with the ballot `known` is the newest. `newest_before` is the
    /// ballot of the newest value that was chosen when the confirmation started.
    pub fn on_confirmed(&mut self, known: Ballot, newest_before: Ballot) {
        if known < newest_before {
            self.record_violation(format!("{known:?} was confirmed after {newest_before:?} was committed"));
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

/// Checks that `other` descends from the chosen value if it has a higher ballot.
fn check_order(chosen: &Versioned<History>, other: &Versioned<History>, violation: &mut Option<String>) {
    let is_derived = chosen.value.is_prefix_of(&other.value);
    if other.ballot > chosen.ballot && !is_derived {
        violation.get_or_insert(format!("{other:?} does not descend from {chosen:?}, which is committed"));
    }
}

fn is_majority(members: &[Member], votes: &HashSet<Incarnation>) -> bool {
    let count = members.iter().filter(|member| votes.contains(&member.incarnation)).count();
    2 * count > members.len()
}
