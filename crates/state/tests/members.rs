//! Members that join, are lost, and are replaced.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{member, store, system};
use register::{Ballot, Incarnation, Member, Versioned};
use state::change::{
    choose_first, first_state, may_issue_orders_immediately, next_reconciliation, with_acceptor,
    with_draining, with_fence, with_order_issuer, with_standby, with_store, without_acceptor, without_store,
    AlreadyMember, LeaderLease, NoVacancy, Observation, QuorumMargin, Reachability, StillRequired,
    Superseded,
};
use state::{ControlState, DrainState};
use yare::parameterized;

const ROUND: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_millis(2400);

/// `rounds` of pings that all but `silent` answer.
fn observe(state: &ControlState, silent: &[&str], rounds: u32) -> Observation {
    let mut observed = Observation::default();
    for _ in 0..rounds {
        observed.reachability.round(state, &others(state, silent), ROUND, LONGEST);
    }
    observed
}

fn others(state: &ControlState, silent: &[&str]) -> Vec<Member> {
    let mut members = Observation::to_ping(state);
    members.retain(|member| !silent.contains(&&*member.name));
    members
}

/// A holder that knows the newest state raises the token.
fn raised(state: &ControlState, station: &str) -> ControlState {
    with_fence(state, station, state.fence).expect("nobody raised it since")
}

fn stations(members: &[Member]) -> Vec<&str> {
    members.iter().map(|member| &*member.name).collect()
}

#[test]
fn given_no_acceptor_when_started_first_then_there_is_no_state() {
    assert_eq!(first_state(Vec::new(), vec![store("v", 1)], 1), None);
}

fn incarnations(members: &[u64]) -> Vec<Incarnation> {
    members.iter().copied().map(Incarnation).collect()
}

/// The standby `d` waits beside three acceptors.
fn with_a_standby() -> ControlState {
    with_standby(&system(3), &member("d", 4)).expect("it waits")
}

#[test]
fn given_a_lost_disk_when_the_machine_joins_then_it_takes_the_place_of_its_former_self_in_one_step() {
    let again = member("b", 20);
    let joined = with_acceptor(&system(3), &again, &[]).expect("it joins");
    assert_eq!(joined.acceptors, [member("a", 1), member("c", 3), again.clone()]);
    assert_eq!(with_acceptor(&joined, &again, &[]), Err(NoVacancy));
}

#[test]
fn given_all_acceptors_when_another_machine_comes_then_it_stands_by_and_the_set_stays() {
    assert_eq!(with_acceptor(&system(3), &member("d", 4), &[]), Err(NoVacancy));
    let waiting = with_a_standby();
    assert_eq!(waiting.acceptors, system(3).acceptors);
    assert_eq!(waiting.standbys, [member("d", 4)]);
    assert_eq!(with_standby(&waiting, &member("d", 4)), Err(AlreadyMember));
    assert_eq!(with_standby(&waiting, &member("a", 1)), Err(AlreadyMember), "it is an acceptor");
    let again = with_standby(&waiting, &member("d", 40)).expect("it lost its disk");
    assert_eq!(again.standbys, [member("d", 40)]);
}

#[test]
fn given_an_acceptor_that_is_gone_when_a_standby_joins_then_it_takes_its_place_in_one_step() {
    let joined = with_acceptor(&with_a_standby(), &member("d", 4), &incarnations(&[3])).expect("it joins");
    assert_eq!(stations(&joined.acceptors), ["a", "b", "d"]);
    assert!(joined.standbys.is_empty());
    let late = with_acceptor(&joined, &member("e", 5), &incarnations(&[3]));
    assert_eq!(late, Err(NoVacancy), "another one has taken that place");
}

#[test]
fn given_two_acceptors_gone_when_two_standbys_join_then_each_takes_a_place() {
    let gone = incarnations(&[2, 3]);
    let first = with_acceptor(&system(3), &member("d", 4), &gone).expect("it joins");
    let second = with_acceptor(&first, &member("e", 5), &gone).expect("it joins");
    assert_eq!(stations(&second.acceptors), ["a", "d", "e"]);
}

#[test]
fn given_a_removed_acceptor_when_it_is_back_then_it_stands_by() {
    let joined = with_acceptor(&with_a_standby(), &member("d", 4), &incarnations(&[3])).expect("it joins");
    assert_eq!(with_acceptor(&joined, &member("c", 3), &[]), Err(NoVacancy));
    assert_eq!(with_standby(&joined, &member("c", 3)).expect("it waits").standbys, [member("c", 3)]);
}

#[test]
fn given_fewer_acceptors_than_losses_want_when_another_machine_comes_then_it_joins_beside_them() {
    let first =
        first_state(vec![member("a", 1), member("b", 2)], Vec::new(), 1).expect("there are acceptors");
    let joined = with_acceptor(&first, &member("c", 3), &[]).expect("one loss wants three");
    assert_eq!(stations(&joined.acceptors), ["a", "b", "c"]);
    assert_eq!(with_acceptor(&joined, &member("d", 4), &[]), Err(NoVacancy));
}

#[test]
fn given_an_acceptor_that_ends_when_a_standby_waits_then_it_hands_over_in_one_step() {
    assert_eq!(without_acceptor(&system(3), &member("c", 3), &member("d", 4)), Err(StillRequired));
    let left = without_acceptor(&with_a_standby(), &member("c", 3), &member("d", 4)).expect("it leaves");
    assert_eq!(stations(&left.acceptors), ["a", "b", "d"]);
    assert!(left.standbys.is_empty());
    assert_eq!(without_acceptor(&with_a_standby(), &member("e", 9), &member("d", 4)), Err(StillRequired));
}

#[test]
fn given_the_same_disk_at_another_address_when_it_joins_then_the_address_is_replaced() {
    let moved = Member { address: "b:2".into(), ..member("b", 2) };
    let state = with_acceptor(&system(3), &moved, &[]).expect("it changes");
    assert_eq!(state.acceptors.len(), 3);
    assert!(state.acceptors.contains(&moved));
    assert_eq!(with_acceptor(&state, &moved, &[]), Err(NoVacancy));
}

#[test]
fn given_machines_that_wait_when_they_are_silent_for_long_then_they_are_forgotten() {
    let state = with_store(&with_a_standby(), &store("v9", 90)).expect("it is noted");
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["d", "v9"], 4)), None);
    let next = next_reconciliation(&state, 0, &observe(&state, &["d", "v9"], 5)).expect("they are forgotten");
    assert!(next.standbys.is_empty() && next.joining_stores.is_empty());
    assert_eq!((next.acceptors, next.stores), (state.acceptors, state.stores));
}

#[parameterized(acceptor = { "c" }, store = { "v0" })]
fn given_no_replacement_when_a_member_is_silent_then_it_stays(silent: &str) {
    let state = system(3);
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &[silent], 50)), None);
}

/// A store `v9` waits beside these.
fn joining(state: &ControlState) -> ControlState {
    let waiting = with_store(state, &store("v9", 90)).expect("it is noted");
    assert_eq!((&waiting.stores, waiting.joining_stores.len()), (&state.stores, 1));
    waiting
}

/// A store `v9` was added, and the batch jobs are on their way.
fn moving(state: &ControlState) -> ControlState {
    let state = joining(state);
    next_reconciliation(&state, state.fence, &observe(&state, &[], 1)).expect("it is added")
}

#[test]
fn given_all_stores_when_another_waits_then_it_is_added() {
    let added = moving(&system(3));
    assert_eq!((added.stores.epoch, added.stores.members.len()), (2, 4));
    assert_eq!(added.previous_stores, Some(system(3).stores));
    assert!(added.joining_stores.is_empty());
    assert_eq!(with_store(&added, &store("v9", 90)), Err(AlreadyMember));
}

#[test]
fn given_a_store_that_may_be_gone_when_another_waits_then_it_is_added_in_its_place_in_one_step() {
    let state = joining(&system(3));
    for rounds in 1..3 {
        assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1"], rounds)), None, "it may be back");
    }
    let next = next_reconciliation(&state, 0, &observe(&state, &["v1"], 3)).expect("it is replaced");
    let members: Vec<&str> = next.stores.members.iter().map(|store| &*store.member.name).collect();
    assert_eq!(members, ["v0", "v2", "v9"]);
    assert_eq!((next.previous_stores, next.stores.epoch), (Some(system(3).stores), 2));
}

#[test]
fn given_two_stores_gone_when_two_wait_then_both_are_replaced_in_one_step() {
    let first = with_store(&system(5), &store("v8", 80)).expect("it is noted");
    let state = with_store(&first, &store("v9", 90)).expect("it is noted");
    let next = next_reconciliation(&state, 0, &observe(&state, &["v0", "v4"], 3)).expect("they are replaced");
    let members: Vec<&str> = next.stores.members.iter().map(|store| &*store.member.name).collect();
    assert_eq!(members, ["v1", "v2", "v3", "v8", "v9"]);
    assert_eq!(next.stores.epoch, 2);
}

#[test]
fn given_a_silent_machine_that_waits_when_a_store_is_gone_then_it_does_not_take_its_place() {
    let state = joining(&system(3));
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1", "v9"], 4)), None);
}

#[test]
fn given_a_move_when_another_store_waits_then_it_waits_for_the_end() {
    let state = with_store(&moving(&system(3)), &store("v8", 80)).expect("it is noted");
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1"], 4)), None);
}

#[parameterized(
    short = { 1000, 2 },
    usual = { 1800, 3 },
    longest = { 9000, 5 },
)]
fn given_a_time_of_silence_when_it_is_counted_in_rounds_then_a_store_is_gone_after_as_many(
    silence_ms: u64,
    rounds: u32,
) {
    let state = system(3);
    let mut reachability = Reachability::counting(ROUND, Duration::from_millis(silence_ms));
    for round in 1..=rounds {
        reachability.round(&state, &others(&state, &["v1"]), ROUND, LONGEST);
        assert_eq!(reachability.is_gone(&store("v1", 11).member), round == rounds);
    }
}

#[test]
fn given_a_store_too_many_when_one_is_silent_then_it_is_removed_but_never_a_second() {
    let state = ControlState { previous_stores: None, ..moving(&system(3)) };
    let next = next_reconciliation(&state, 0, &observe(&state, &["v1", "v2"], 5)).expect("one is removed");
    assert_eq!(next.stores.members.len(), 3);
    let next = ControlState { previous_stores: None, ..next };
    assert_eq!(next_reconciliation(&next, 0, &observe(&next, &["v1", "v2"], 5)), None);
}

#[test]
fn given_a_store_that_ends_when_another_has_come_in_its_place_then_it_leaves() {
    let leaving = store("v1", 11).member;
    assert_eq!(without_store(&system(3), &leaving), Err(StillRequired), "it is expected back");
    assert_eq!(without_store(&moving(&system(3)), &leaving), Err(StillRequired), "one move at a time");
    let state = ControlState { previous_stores: None, ..moving(&system(3)) };
    let left = without_store(&state, &leaving).expect("it leaves");
    assert_eq!((left.stores.epoch, left.stores.members.len()), (3, 3));
    assert_eq!(left.previous_stores, Some(state.stores));
}

/// A store is lost and there are more than wanted: something is to be done once it was silent for long.
fn with_surplus_store() -> ControlState {
    ControlState { previous_stores: None, ..moving(&system(3)) }
}

#[test]
fn given_a_frozen_leader_when_it_thaws_then_nobody_is_lost() {
    let state = with_surplus_store();
    let mut observed = observe(&state, &["v1"], 4);
    observed.reachability.round(&state, &[], LONGEST * 10, LONGEST);
    assert_eq!(next_reconciliation(&state, 0, &observed), None);
    observed.reachability.round(&state, &others(&state, &["v1"]), ROUND, LONGEST);
    assert_eq!(next_reconciliation(&state, 0, &observed), None, "the count begins anew");
}

#[test]
fn given_a_leader_without_majority_when_it_pings_then_nobody_is_lost() {
    let state = with_surplus_store();
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["b", "c", "v1"], 50)), None);
}

#[test]
fn given_an_answer_now_and_then_when_pinged_then_the_member_stays() {
    let state = with_surplus_store();
    let mut reachability = Reachability::default();
    for round in 0..50 {
        let silent: &[&str] = if round % 5 == 4 { &[] } else { &["v1"] };
        reachability.round(&state, &others(&state, silent), ROUND, LONGEST);
        assert!(!reachability.is_lost(&store("v1", 11).member));
    }
}

#[parameterized(
    all_answer = { &[], 3, Some(1) },
    no_more_to_lose = { &["c"], 2, Some(0) },
    no_majority = { &["b", "c"], 0, None },
)]
fn given_silent_acceptors_when_the_margin_is_asked_then_it_tells_how_many_more_may_be_lost(
    silent: &[&str],
    answering: usize,
    further_losses: Option<usize>,
) {
    let state = system(3);
    let margin = observe(&state, silent, 1).reachability.quorum_margin(&state);
    assert_eq!(margin, QuorumMargin { acceptors: 3, answering, further_losses });
}

#[test]
fn given_another_holder_of_the_lease_when_a_late_upkeep_comes_then_it_changes_nothing() {
    let state = raised(&with_surplus_store(), "b");
    let observed = observe(&state, &["v1"], 5);
    assert_eq!(next_reconciliation(&state, 0, &observed), None);
    assert!(next_reconciliation(&state, 1, &observed).is_some());
}

#[parameterized(
    one_missing = { &[10, 11], 2, true },
    two_missing = { &[10], 2, false },
    old_epoch = { &[10, 11, 12], 1, false },
    none = { &[], 2, false },
)]
fn given_a_move_when_stores_have_settled_then_it_ends_if_a_majority_of_each_batch_job_is_heard(
    settled: &[u64],
    epoch: u64,
    ends: bool,
) {
    let state = moving(&system(3));
    let settled = settled.iter().map(|id| (register::Incarnation(*id), epoch)).collect();
    let next = next_reconciliation(&state, 0, &Observation { settled, ..Observation::default() });
    assert_eq!(next.is_some_and(|next| next.previous_stores.is_none()), ends);
}

#[test]
fn given_fewer_stores_than_copies_when_one_has_not_settled_then_the_move_does_not_end() {
    let state = moving(&system(2));
    let settled = [(register::Incarnation(10), 2)].into();
    assert_eq!(next_reconciliation(&state, 0, &Observation { settled, ..Observation::default() }), None);
}

#[test]
fn given_answers_about_another_set_when_the_move_changed_meanwhile_then_they_do_not_end_it() {
    let state = moving(&system(3));
    let strangers = [77, 78, 79].map(|id| (register::Incarnation(id), 9)).into();
    assert_eq!(
        next_reconciliation(&state, 0, &Observation { settled: strangers, ..Observation::default() }),
        None
    );
}

#[test]
fn given_a_store_being_emptied_when_its_process_starts_again_then_it_does_not_join_again() {
    let state = with_draining(&system(4), "v1").expect("three are left");
    let moving = next_reconciliation(&state, 0, &Observation::default()).expect("the move begins");
    let moved = ControlState { previous_stores: None, ..moving };
    assert_eq!(with_store(&moved, &store("v1", 11)), Err(AlreadyMember));
    assert_eq!(moved.draining["v1"], DrainState::Rolling);
}

#[test]
fn given_a_store_without_its_disk_when_it_joins_then_it_takes_the_place_of_its_former_self() {
    let state = with_store(&system(3), &store("v1", 99)).expect("it joins");
    assert_eq!(state.stores.members.len(), 3);
    assert!(state.stores.members.contains(&store("v1", 99)));
    let waiting = with_store(&state, &store("v9", 98)).expect("it is noted");
    assert_eq!(waiting.stores, state.stores, "one move at a time");
}

#[test]
fn given_a_move_when_another_store_is_back_without_its_disk_then_it_is_replaced_and_the_set_before_stays() {
    let before = system(5);
    let first = with_store(&before, &store("v1", 91)).expect("it joins");
    let second = with_store(&first, &store("v2", 92)).expect("it joins amid the move");
    assert_eq!((second.stores.epoch, second.stores.members.len()), (3, 5));
    assert!(
        second.stores.members.contains(&store("v1", 91)) && second.stores.members.contains(&store("v2", 92))
    );
    assert_eq!(
        second.previous_stores,
        Some(before.stores),
        "what the first one kept may be in that set only"
    );
    assert_eq!(with_store(&second, &store("v2", 92)), Err(AlreadyMember));
}

#[test]
fn given_a_holder_that_never_sent_orders_when_the_one_before_returns_then_it_need_not_wait() {
    let state = raised(&system(3), "a");
    assert!(may_issue_orders_immediately(&state, "a"), "nobody has sent orders yet");
    let state = with_order_issuer(&state, "a", 1).expect("it holds the token");
    let state = raised(&raised(&state, "b"), "a");
    assert!(may_issue_orders_immediately(&state, "a"));
}

#[test]
fn given_a_holder_that_raises_its_token_twice_when_another_sent_orders_then_it_must_still_wait() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let state = raised(&raised(&state, "b"), "b");
    assert!(!may_issue_orders_immediately(&state, "b"));
    assert_eq!(with_order_issuer(&state, "a", 1), Err(Superseded));
    assert!(may_issue_orders_immediately(
        &with_order_issuer(&state, "b", 3).expect("it holds the token"),
        "b"
    ));
}

#[test]
fn given_a_raise_of_the_token_when_another_holder_raised_it_since_then_it_is_declined() {
    let state = system(3);
    let next_holder = raised(&state, "b");
    assert_eq!(with_fence(&next_holder, "a", state.fence), Err(Superseded));
    assert!(with_fence(&next_holder, "a", next_holder.fence).is_ok());
}

const BETWEEN: Duration = Duration::from_secs(4);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn given_the_first_holder_when_it_leads_then_it_sends_orders_once_the_register_says_so() {
    let state = raised(&system(3), "a");
    let mut held = LeaderLease::won(&state, "a", at(100), at(1400), BETWEEN, at(0));
    assert_eq!((held.fence_at(at(100)), held.order_fence_at(at(100))), (Some(1), None));
    assert_eq!(held.order_issuer_due(at(100)), Some(1));
    held.record_order_issuer(7);
    assert_eq!(held.order_fence_at(at(100)), None, "that was another lease");
    held.record_order_issuer(1);
    assert_eq!((held.order_fence_at(at(100)), held.order_issuer_due(at(100))), (Some(1), None));
}

#[test]
fn given_a_holder_that_was_restarted_when_it_leads_at_once_then_an_order_of_its_earlier_life_cannot_come_later(
) {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let held = LeaderLease::won(&raised(&state, "a"), "a", at(400), at(60_000), BETWEEN, at(1000));
    assert_eq!((held.fence_at(at(400)), held.order_fence_at(at(999))), (Some(2), None));
    assert_eq!((held.orders_allowed_at(at(999)), held.orders_allowed_at(at(1000))), (Some(at(1000)), None));
    assert_eq!(held.order_fence_at(at(1000)), Some(2));
}

#[test]
fn given_another_holder_before_when_a_station_leads_then_it_waits_before_its_first_order() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let held = LeaderLease::won(&raised(&state, "b"), "b", at(0), at(60_000), BETWEEN, at(0));
    assert_eq!(held.order_issuer_due(at(3999)), None);
    assert_eq!(held.order_issuer_due(at(4000)), Some(2));
}

#[test]
fn given_a_wait_between_holders_when_asked_for_its_end_then_it_is_known_until_it_is_over() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let mut held = LeaderLease::won(&raised(&state, "b"), "b", at(100), at(60_000), BETWEEN, at(0));
    assert_eq!(held.order_issuer_due_at(at(100)), Some(at(4100)));
    assert_eq!(held.order_issuer_due_at(at(4099)), Some(at(4100)));
    assert_eq!(
        held.order_issuer_due_at(at(4100)),
        None,
        "a failed attempt is repeated with the next renewal"
    );
    held.record_order_issuer(2);
    assert_eq!(held.order_issuer_due_at(at(200)), None);
}

#[test]
fn given_a_lease_lost_in_the_wait_when_won_again_with_nobody_between_then_the_wait_goes_on() {
    let ordered = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let first = raised(&ordered, "b");
    let earlier = LeaderLease::won(&first, "b", at(0), at(1350), BETWEEN, at(0));
    let second = raised(&first, "b");
    let again = LeaderLease::won(&second, "b", at(2000), at(60_000), BETWEEN, at(0)).following(earlier);
    assert_eq!(again.order_issuer_due(at(3999)), None);
    assert_eq!(again.order_issuer_due(at(4000)), Some(3));
}

#[test]
fn given_a_lease_lost_in_the_wait_when_another_raised_the_token_between_then_the_wait_begins_anew() {
    let ordered = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let first = raised(&ordered, "b");
    let earlier = LeaderLease::won(&first, "b", at(0), at(1350), BETWEEN, at(0));
    let third = raised(&raised(&first, "c"), "b");
    let again = LeaderLease::won(&third, "b", at(2000), at(60_000), BETWEEN, at(0)).following(earlier);
    assert_eq!(again.order_issuer_due(at(5999)), None);
    assert_eq!(again.order_issuer_due(at(6000)), Some(4));
}

#[test]
fn given_the_holder_of_before_when_it_leads_again_then_there_is_no_wait() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let held = LeaderLease::won(&raised(&state, "a"), "a", at(100), at(1400), BETWEEN, at(0));
    assert_eq!(held.order_issuer_due_at(at(100)), None);
    assert_eq!(held.order_fence_at(at(100)), Some(2));
}

#[test]
fn given_a_holder_that_was_frozen_when_it_thaws_then_it_holds_nothing_and_cannot_renew() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let held = LeaderLease::won(&state, "a", at(0), at(1350), BETWEEN, at(0));
    assert_eq!(held.order_fence_at(at(1349)), Some(1));
    assert_eq!((held.fence_at(at(1350)), held.order_fence_at(at(9000))), (None, None));
    assert_eq!(held.renewed(at(9000), at(10_000)), None);
    let renewed = held.renewed(at(500), at(1850)).expect("it is held");
    assert_eq!(renewed.order_fence_at(at(1849)), Some(1));
    assert_eq!(renewed.renewed(at(600), at(700)), Some(renewed), "it never gets shorter");
}

fn first(stores: u64) -> Versioned<ControlState> {
    Versioned::new(Ballot { round: 1, proposer: 0 }, Arc::new(system(stores)))
}

#[test]
fn given_a_collector_that_died_midway_when_another_takes_over_then_it_goes_on_with_the_first_value() {
    let chosen = choose_first(first(3), vec![None, Some(first(2))]);
    assert_eq!(chosen, Some(first(2)));
}

#[parameterized(
    all_empty = { 3, true },
    majority = { 2, true },
    minority = { 1, false },
    nobody = { 0, false },
)]
fn given_empty_acceptors_when_a_majority_answers_then_the_collector_offers_its_own(
    answers: usize,
    offers: bool,
) {
    assert_eq!(choose_first(first(3), vec![None; answers]), offers.then(|| first(3)));
}
