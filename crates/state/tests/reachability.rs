//! Failure detection: counting of the rounds of pings without a reply.

mod common;

use std::time::Duration;

use common::{observe, responders, store, system, with_surplus_store, MAX_ROUND_ELAPSED, ROUND};
use state::change::{next_reconciliation, QuorumMargin, Reachability};
use yare::parameterized;

#[parameterized(
    short_timeout = { 1000, 2 },
    medium_timeout = { 1800, 3 },
    limited_to_the_maximum = { 9000, 5 },
)]
fn given_a_replacement_timeout_when_a_store_misses_rounds_then_it_may_be_replaced_after_the_timeout_in_full_rounds(
    timeout_ms: u64,
    rounds: u32,
) {
    let state = system(3);
    let mut reachability = Reachability::with_replacement_timeout(ROUND, Duration::from_millis(timeout_ms));
    for round in 1..=rounds {
        reachability.record_round(&state, &responders(&state, &["v1"]), ROUND, MAX_ROUND_ELAPSED);
        assert_eq!(reachability.may_be_replaced(&store("v1", 11).member), round == rounds);
    }
}

#[test]
fn given_a_suspended_leader_when_it_resumes_then_no_member_is_removed() {
    let state = with_surplus_store();
    let mut observed = observe(&state, &["v1"], 4);
    observed.reachability.record_round(&state, &[], MAX_ROUND_ELAPSED * 10, MAX_ROUND_ELAPSED);
    assert_eq!(next_reconciliation(&state, 0, &observed), None);
    observed.reachability.record_round(&state, &responders(&state, &["v1"]), ROUND, MAX_ROUND_ELAPSED);
    assert_eq!(next_reconciliation(&state, 0, &observed), None, "the count of missed rounds starts again");
}

#[test]
fn given_no_replies_from_a_majority_when_rounds_are_recorded_then_no_member_is_removed() {
    let state = with_surplus_store();
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["b", "c", "v1"], 50)), None);
}

#[test]
fn given_a_reply_in_every_fifth_round_when_pinged_then_the_member_may_not_be_removed() {
    let state = with_surplus_store();
    let mut reachability = Reachability::default();
    for round in 0..50 {
        let unresponsive: &[&str] = if round % 5 == 4 { &[] } else { &["v1"] };
        reachability.record_round(&state, &responders(&state, unresponsive), ROUND, MAX_ROUND_ELAPSED);
        assert!(!reachability.may_be_removed(&store("v1", 11).member));
    }
}

#[parameterized(
    all_reply = { &[], 3, Some(1) },
    minimal_majority_replies = { &["c"], 2, Some(0) },
    no_majority_replies = { &["b", "c"], 0, None },
)]
fn given_unresponsive_acceptors_when_the_quorum_margin_is_computed_then_it_counts_the_tolerated_failures(
    unresponsive: &[&str],
    responding: usize,
    tolerated_failures: Option<usize>,
) {
    let state = system(3);
    let margin = observe(&state, unresponsive, 1).reachability.quorum_margin(&state);
    assert_eq!(margin, QuorumMargin { acceptors: 3, responding, tolerated_failures });
}
