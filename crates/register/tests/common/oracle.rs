//! Observes all proposals and acceptances, and reports when the register is broken.

use std::collections::{HashMap, HashSet};

use register::{Ballot, Incarnation, Member, RegisterValue, Versioned};

use super::History;

/// Checks the safety of the register against everything that happened.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    proposed: HashMap<Ballot, Proposed>,
    /// The values that majorities have accepted, in the order in which that happened.
    chosen: Vec<Versioned<History>>,
    /// The first violation that was found.
    pub violation: Option<String>,
}

#[derive(Clone, Debug)]
struct Proposed {
    value: Versioned<History>,
    durable_at: HashSet<Incarnation>,
    is_chosen: bool,
}

impl Oracle {
    /// The oracle of a register that starts with this value.
    pub fn new(first: Versioned<History>) -> Self {
        Self { chosen: vec![first], ..Self::default() }
    }

    /// How many values were chosen, the first one included.
    pub fn chosen_count(&self) -> usize {
        self.chosen.len()
    }

    /// The chosen value with the highest ballot.
    pub fn newest_chosen(&self) -> &Versioned<History> {
        self.chosen.iter().max_by_key(|chosen| chosen.ballot).expect("the first value")
    }

    /// A proposer sends a value to be accepted.
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

    /// The value of this ballot is durable at an acceptor that had not promised a higher one.
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

    /// A proposer takes this value as committed.
    pub fn on_committed(&mut self, value: &Versioned<History>) {
        if !self.chosen.contains(value) {
            self.record_violation(format!("{value:?} was taken as committed and is not"));
        }
    }

    /// A proposer takes the value of this ballot as the newest; `newest_before` was chosen when it asked.
    pub fn on_confirmed(&mut self, known: Ballot, newest_before: Ballot) {
        if known < newest_before {
            self.record_violation(format!("{known:?} was confirmed after {newest_before:?} was committed"));
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

/// Each value with a higher ballot than a chosen one must descend from it.
fn check_order(chosen: &Versioned<History>, other: &Versioned<History>, violation: &mut Option<String>) {
    let is_derived = chosen.value.is_prefix_of(&other.value);
    if other.ballot > chosen.ballot && !is_derived {
        violation.get_or_insert(format!("{other:?} does not follow {chosen:?}, which is committed"));
    }
}

fn is_majority(members: &[Member], votes: &HashSet<Incarnation>) -> bool {
    let count = members.iter().filter(|member| votes.contains(&member.incarnation)).count();
    2 * count > members.len()
}
