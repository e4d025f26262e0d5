//! The initial state, and how acceptors agree on one.

mod common;

use std::sync::Arc;

use common::{store, system};
use register::{Ballot, Versioned};
use state::change::{choose_initial_value, initial_state};
use state::ControlState;
use yare::parameterized;

#[test]
fn given_no_acceptor_when_bootstrapped_then_there_is_no_state() {
    assert_eq!(initial_state(Vec::new(), vec![store("v", 1)], 1), None);
}

fn first(stores: u64) -> Versioned<ControlState> {
    Versioned::new(Ballot { round: 1, proposer: 0 }, Arc::new(system(stores)))
}

#[test]
fn given_a_coordinator_that_failed_midway_when_another_takes_over_then_it_continues_with_the_first_value() {
    let chosen = choose_initial_value(first(3), vec![None, Some(first(2))]);
    assert_eq!(chosen, Some(first(2)));
}

#[parameterized(
    all_empty = { 3, true },
    majority = { 2, true },
    minority = { 1, false },
    nobody = { 0, false },
)]
fn given_empty_acceptors_when_a_majority_replies_then_the_coordinator_offers_its_own_value(
    answers: usize,
    offers: bool,
) {
    assert_eq!(choose_initial_value(first(3), vec![None; answers]), offers.then(|| first(3)));
}
