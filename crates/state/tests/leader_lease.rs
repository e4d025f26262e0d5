//! The leader lease, its fencing token, and the delay before orders.

mod common;

use std::time::Duration;

use common::{raised, system};
use state::change::{
    may_issue_orders_immediately, with_order_issuer, with_raised_fence, LeaderLease, Superseded,
};

#[test]
fn given_a_leader_that_never_sent_orders_when_the_previous_one_returns_then_it_issues_orders_immediately() {
    let state = raised(&system(3), "a");
    assert!(may_issue_orders_immediately(&state, "a"), "nobody has sent orders yet");
    let state = with_order_issuer(&state, "a", 1).expect("it holds the token");
    let state = raised(&raised(&state, "b"), "a");
    assert!(may_issue_orders_immediately(&state, "a"));
}

#[test]
fn given_a_leader_that_raises_its_token_twice_when_another_sent_orders_then_it_must_still_wait() {
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
fn given_a_raised_token_when_another_leader_raises_it_from_an_older_one_then_it_is_rejected() {
    let state = system(3);
    let next_leader = raised(&state, "b");
    assert_eq!(with_raised_fence(&next_leader, "a", state.fence), Err(Superseded));
    assert!(with_raised_fence(&next_leader, "a", next_leader.fence).is_ok());
}

const ORDER_GAP: Duration = Duration::from_secs(4);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn given_the_first_leader_when_the_register_names_it_as_issuer_then_it_sends_orders() {
    let state = raised(&system(3), "a");
    let mut lease = LeaderLease::acquired(&state, "a", at(100), at(1400), ORDER_GAP, at(0));
    assert_eq!((lease.fence_at(at(100)), lease.fence_for_orders_at(at(100))), (Some(1), None));
    assert_eq!(lease.order_issuer_due(at(100)), Some(1));
    lease.record_order_issuer(7);
    assert_eq!(lease.fence_for_orders_at(at(100)), None, "that was another lease");
    lease.record_order_issuer(1);
    assert_eq!((lease.fence_for_orders_at(at(100)), lease.order_issuer_due(at(100))), (Some(1), None));
}

#[test]
fn given_a_restarted_leader_when_it_leads_at_once_then_orders_of_its_earlier_incarnation_cannot_arrive_later()
{
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let lease = LeaderLease::acquired(&raised(&state, "a"), "a", at(400), at(60_000), ORDER_GAP, at(1000));
    assert_eq!((lease.fence_at(at(400)), lease.fence_for_orders_at(at(999))), (Some(2), None));
    assert_eq!((lease.orders_allowed_at(at(999)), lease.orders_allowed_at(at(1000))), (Some(at(1000)), None));
    assert_eq!(lease.fence_for_orders_at(at(1000)), Some(2));
}

#[test]
fn given_another_previous_leader_when_a_member_leads_then_it_waits_before_its_first_order() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let lease = LeaderLease::acquired(&raised(&state, "b"), "b", at(0), at(60_000), ORDER_GAP, at(0));
    assert_eq!(lease.order_issuer_due(at(3999)), None);
    assert_eq!(lease.order_issuer_due(at(4000)), Some(2));
}

#[test]
fn given_a_delay_between_leaders_when_its_end_is_asked_for_then_it_is_known_until_the_delay_is_over() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let mut lease = LeaderLease::acquired(&raised(&state, "b"), "b", at(100), at(60_000), ORDER_GAP, at(0));
    assert_eq!(lease.order_issuer_due_at(at(100)), Some(at(4100)));
    assert_eq!(lease.order_issuer_due_at(at(4099)), Some(at(4100)));
    assert_eq!(
        lease.order_issuer_due_at(at(4100)),
        None,
        "a failed attempt is repeated with the next renewal"
    );
    lease.record_order_issuer(2);
    assert_eq!(lease.order_issuer_due_at(at(200)), None);
}

#[test]
fn given_a_lease_lost_during_the_delay_when_acquired_again_with_no_leader_between_then_the_delay_continues() {
    let ordered = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let first = raised(&ordered, "b");
    let earlier = LeaderLease::acquired(&first, "b", at(0), at(1350), ORDER_GAP, at(0));
    let second = raised(&first, "b");
    let again =
        LeaderLease::acquired(&second, "b", at(2000), at(60_000), ORDER_GAP, at(0)).continuing(earlier);
    assert_eq!(again.order_issuer_due(at(3999)), None);
    assert_eq!(again.order_issuer_due(at(4000)), Some(3));
}

#[test]
fn given_a_lease_lost_during_the_delay_when_another_raised_the_token_between_then_the_delay_starts_again() {
    let ordered = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let first = raised(&ordered, "b");
    let earlier = LeaderLease::acquired(&first, "b", at(0), at(1350), ORDER_GAP, at(0));
    let third = raised(&raised(&first, "c"), "b");
    let again =
        LeaderLease::acquired(&third, "b", at(2000), at(60_000), ORDER_GAP, at(0)).continuing(earlier);
    assert_eq!(again.order_issuer_due(at(5999)), None);
    assert_eq!(again.order_issuer_due(at(6000)), Some(4));
}

#[test]
fn given_the_previous_leader_when_it_leads_again_then_there_is_no_delay() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let lease = LeaderLease::acquired(&raised(&state, "a"), "a", at(100), at(1400), ORDER_GAP, at(0));
    assert_eq!(lease.order_issuer_due_at(at(100)), None);
    assert_eq!(lease.fence_for_orders_at(at(100)), Some(2));
}

#[test]
fn given_a_suspended_leader_when_it_resumes_after_expiry_then_it_has_no_token_and_cannot_renew() {
    let state = with_order_issuer(&raised(&system(3), "a"), "a", 1).expect("it holds the token");
    let lease = LeaderLease::acquired(&state, "a", at(0), at(1350), ORDER_GAP, at(0));
    assert_eq!(lease.fence_for_orders_at(at(1349)), Some(1));
    assert_eq!((lease.fence_at(at(1350)), lease.fence_for_orders_at(at(9000))), (None, None));
    assert_eq!(lease.renewed(at(9000), at(10_000)), None);
    let renewed = lease.renewed(at(500), at(1850)).expect("it is valid");
    assert_eq!(renewed.fence_for_orders_at(at(1849)), Some(1));
    assert_eq!(renewed.renewed(at(600), at(700)), Some(renewed), "it never expires earlier");
}
