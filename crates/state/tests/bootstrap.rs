//! The initial state, and the selection of the initial value that a coordinator offers to the acceptors.

mod common;

use std::sync::Arc;

use common::{store, system};
use register::{Ballot, Versioned};
use state::change::{initial_state, select_initial_value};
use state::ControlState;
use yare::parameterized;

#[test]
fn given_no_acceptors_when_bootstrapped_then_there_is_no_initial_state() {
    assert_eq!(initial_state(Vec::new(), vec![store("v", 1)], 1), None);
}

/// Returns the initial value of a system with this number of stores.
fn initial_value(stores: u64) -> Versioned<ControlState> {
    Versioned::new(Ballot { round: 1, proposer: 0 }, Arc::new(system(stores)))
}

#[test]
fn given_an_interrupted_coordinator_when_another_one_takes_over_then_it_selects_the_value_of_the_first() {
    let selected = select_initial_value(initial_value(3), vec![None, Some(initial_value(2))]);
    assert_eq!(selected, Some(initial_value(2)));
}

#[parameterized(
    all_empty = { 3, true },
    majority = { 2, true },
    minority = { 1, false },
    none = { 0, false },
)]
fn given_acceptors_without_a_value_when_some_reply_then_the_proposed_value_is_selected_if_they_are_a_majority(
    reply_count: usize,
    is_proposed_value_selected: bool,
) {
    assert_eq!(
        select_initial_value(initial_value(3), vec![None; reply_count]),
        is_proposed_value_selected.then(|| initial_value(3))
    );
}
