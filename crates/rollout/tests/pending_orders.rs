//! Tests of [`Planner`](rollout::Planner) while the outcome of an order is unknown.

mod common;

use common::{ms, order_to, orders, planner_with_idle_servers, server, MODEL};
use rollout::{OrderReply, Pacing, RolloutAction, UpdateMethod};

#[test]
fn given_an_order_without_outcome_when_it_times_out_then_it_counts_as_indeterminate() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.next_actions(ms(1)).len(), 1);
    let deadline = planner.next_wakeup(ms(1)).expect("the order has a timeout");
    assert!(planner.next_actions(deadline).is_empty());
    let deadline = planner.next_wakeup(deadline).expect("a report is scheduled");
    let actions = planner.next_actions(deadline);
    assert!(matches!(actions[..], [RolloutAction::RequestReport(_)]), "{actions:?}");
}

/// Guards against an order that counts as finished because of the reply to an earlier one: the server got a further
/// order while it was pending, and the delayed one took it back to an older version.
#[test]
fn given_an_order_whose_version_was_observed_when_its_reply_arrives_then_the_next_order_stays_in_flight() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(orders(&planner.next_actions(ms(1))), [("i-0", 2, UpdateMethod::Drain)]);
    planner.on_version_observed("i-0", MODEL, 2);
    planner.set_target_version(ms(2), MODEL, 3);
    assert_eq!(orders(&planner.next_actions(ms(2))), [("i-0", 3, UpdateMethod::Drain)]);
    planner.on_order_reply(ms(3), &order_to("i-0", 2), OrderReply::NotAccepted);
    planner.set_target_version(ms(4), MODEL, 4);
    assert!(planner.next_actions(ms(2000)).is_empty(), "the order for version 3 is pending");
    planner.on_order_reply(ms(2001), &order_to("i-0", 3), OrderReply::AlreadyLoaded);
    assert_eq!(orders(&planner.next_actions(ms(2001))), [("i-0", 4, UpdateMethod::Drain)]);
}

/// Guards against a further order that arrives before a delayed earlier one, which then takes the server back.
#[test]
fn given_an_order_without_outcome_when_a_newer_version_is_targeted_then_the_server_gets_no_order_before_the_timeout(
) {
    let pacing = Pacing::default();
    let mut planner = planner_with_idle_servers(pacing, &[server(0, "a", 1), server(1, "a", 1)]);
    assert_eq!(orders(&planner.next_actions(ms(1))).len(), 2);
    planner.on_order_reply(ms(2), &order_to("i-1", 2), OrderReply::AlreadyLoaded);
    planner.set_target_version(ms(2), MODEL, 3);
    assert_eq!(orders(&planner.next_actions(ms(2))), [("i-1", 3, UpdateMethod::Drain)]);
    planner.on_order_reply(ms(3), &order_to("i-1", 3), OrderReply::AlreadyLoaded);
    let mut now = ms(3);
    while now < ms(1) + pacing.order_timeout {
        assert!(planner.next_actions(now).is_empty(), "a call at {now:?}");
        now = planner.next_wakeup(now).expect("the order has a timeout");
    }
    planner.on_order_reply(now, &order_to("i-0", 2), OrderReply::AlreadyLoaded);
    assert_eq!(orders(&planner.next_actions(now)), [("i-0", 3, UpdateMethod::Drain)]);
}
