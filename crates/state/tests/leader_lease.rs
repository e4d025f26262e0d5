//! The leader lease, its fencing token, and the delay before the first order of a new leader.

mod common;

use std::time::Duration;

use common::{raise_fence, system};
use state::change::{
    may_issue_orders_immediately, with_order_issuer, with_raised_fence, LeaderLease, Superseded,
};

#[test]
fn given_a_leader_that_sent_no_orders_when_the_previous_issuer_returns_then_it_may_issue_orders_immediately()
{
    let state = raise_fence(&system(3), "a");
    assert!(may_issue_orders_immediately(&state, "a"), "no member has sent orders yet");
    let state = with_order_issuer(&state, "a", 1).expect("the leader has the latest token");
    let state = raise_fence(&raise_fence(&state, "b"), "a");
    assert!(may_issue_orders_immediately(&state, "a"));
}

#[test]
fn given_orders_of_another_member_when_a_leader_raises_the_token_twice_then_its_orders_are_still_delayed() {
    let state =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let state = raise_fence(&raise_fence(&state, "b"), "b");
    assert!(!may_issue_orders_immediately(&state, "b"));
    assert_eq!(with_order_issuer(&state, "a", 1), Err(Superseded));
    assert!(may_issue_orders_immediately(
        &with_order_issuer(&state, "b", 3).expect("the leader has the latest token"),
        "b"
    ));
}

#[test]
fn given_a_newer_token_when_another_leader_raises_an_older_one_then_it_is_rejected() {
    let state = system(3);
    let next_leader = raise_fence(&state, "b");
    assert_eq!(with_raised_fence(&next_leader, "a", state.fence), Err(Superseded));
    assert!(with_raised_fence(&next_leader, "a", next_leader.fence).is_ok());
}

/// Delay before the first order of a leader if another member may have sent orders.
const ORDER_GAP: Duration = Duration::from_secs(4);

/// Returns a time on the clock of the leader.
fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn given_the_first_leader_when_the_register_names_it_as_issuer_then_it_may_send_orders() {
    let state = raise_fence(&system(3), "a");
    let mut lease = LeaderLease::acquired(&state, "a", at(100), at(1400), ORDER_GAP, at(0));
    assert_eq!((lease.fence_at(at(100)), lease.fence_for_orders_at(at(100))), (Some(1), None));
    assert_eq!(lease.order_issuer_due(at(100)), Some(1));
    lease.record_order_issuer(7);
    assert_eq!(lease.fence_for_orders_at(at(100)), None, "token 7 belongs to another lease");
    lease.record_order_issuer(1);
    assert_eq!((lease.fence_for_orders_at(at(100)), lease.order_issuer_due(at(100))), (Some(1), None));
}

/// Until the time `not_before`, here 1000 ms, orders that the process sent before its restart may still
/// arrive.
#[test]
fn given_a_restarted_leader_when_it_leads_again_then_it_sends_no_orders_before_not_before() {
    let state =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let lease =
        LeaderLease::acquired(&raise_fence(&state, "a"), "a", at(400), at(60_000), ORDER_GAP, at(1000));
    assert_eq!((lease.fence_at(at(400)), lease.fence_for_orders_at(at(999))), (Some(2), None));
    assert_eq!((lease.orders_allowed_at(at(999)), lease.orders_allowed_at(at(1000))), (Some(at(1000)), None));
    assert_eq!(lease.fence_for_orders_at(at(1000)), Some(2));
}

#[test]
fn given_orders_of_another_leader_when_a_member_acquires_the_lease_then_its_first_order_is_delayed() {
    let state =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let lease = LeaderLease::acquired(&raise_fence(&state, "b"), "b", at(0), at(60_000), ORDER_GAP, at(0));
    assert_eq!(lease.order_issuer_due(at(3999)), None);
    assert_eq!(lease.order_issuer_due(at(4000)), Some(2));
}

#[test]
fn given_a_delay_between_leaders_when_the_due_time_is_read_then_it_is_returned_until_the_delay_ends() {
    let state =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let mut lease =
        LeaderLease::acquired(&raise_fence(&state, "b"), "b", at(100), at(60_000), ORDER_GAP, at(0));
    assert_eq!(lease.order_issuer_due_at(at(100)), Some(at(4100)));
    assert_eq!(lease.order_issuer_due_at(at(4099)), Some(at(4100)));
    assert_eq!(
        lease.order_issuer_due_at(at(4100)),
        None,
        "the change is due already; a failed attempt is repeated at the next renewal"
    );
    lease.record_order_issuer(2);
    assert_eq!(lease.order_issuer_due_at(at(200)), None);
}

#[test]
fn given_a_lease_lost_during_the_delay_when_reacquired_without_another_leader_then_the_delay_continues() {
    let ordered =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let first = raise_fence(&ordered, "b");
    let earlier = LeaderLease::acquired(&first, "b", at(0), at(1350), ORDER_GAP, at(0));
    let second = raise_fence(&first, "b");
    let reacquired =
        LeaderLease::acquired(&second, "b", at(2000), at(60_000), ORDER_GAP, at(0)).continuing(earlier);
    assert_eq!(reacquired.order_issuer_due(at(3999)), None);
    assert_eq!(reacquired.order_issuer_due(at(4000)), Some(3));
}

#[test]
fn given_a_lease_lost_during_the_delay_when_another_member_led_then_the_delay_starts_again() {
    let ordered =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let first = raise_fence(&ordered, "b");
    let earlier = LeaderLease::acquired(&first, "b", at(0), at(1350), ORDER_GAP, at(0));
    let third = raise_fence(&raise_fence(&first, "c"), "b");
    let reacquired =
        LeaderLease::acquired(&third, "b", at(2000), at(60_000), ORDER_GAP, at(0)).continuing(earlier);
    assert_eq!(reacquired.order_issuer_due(at(5999)), None);
    assert_eq!(reacquired.order_issuer_due(at(6000)), Some(4));
}

#[test]
fn given_the_previous_issuer_when_it_leads_again_then_its_orders_are_not_delayed() {
    let state =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let lease = LeaderLease::acquired(&raise_fence(&state, "a"), "a", at(100), at(1400), ORDER_GAP, at(0));
    assert_eq!(lease.order_issuer_due_at(at(100)), None);
    assert_eq!(lease.fence_for_orders_at(at(100)), Some(2));
}

#[test]
fn given_a_suspended_leader_when_it_resumes_after_expiry_then_it_has_no_token_and_cannot_renew_the_lease() {
    let state =
        with_order_issuer(&raise_fence(&system(3), "a"), "a", 1).expect("the leader has the latest token");
    let lease = LeaderLease::acquired(&state, "a", at(0), at(1350), ORDER_GAP, at(0));
    assert_eq!(lease.fence_for_orders_at(at(1349)), Some(1));
    assert_eq!((lease.fence_at(at(1350)), lease.fence_for_orders_at(at(9000))), (None, None));
    assert_eq!(lease.renewed(at(9000), at(10_000)), None);
    let renewed = lease.renewed(at(500), at(1850)).expect("the lease is valid");
    assert_eq!(renewed.fence_for_orders_at(at(1849)), Some(1));
    assert_eq!(renewed.renewed(at(600), at(700)), Some(renewed), "a renewal never shortens the lease");
}
