//! Calls to servers that are still in flight when the term of the lease that started them has ended.

use std::time::Duration;

use control_plane::{CallOutcome, CallTag, OrderTracker};
use rollout::{OrderReply, RolloutAction, RolloutServer, ServerId, ServerReport};
use yare::parameterized;

const SERVER: &str = "i-1";

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the calls that are due in the present term, for one server whose model is one version behind.
fn due_actions(tracker: &mut OrderTracker, now: Duration) -> Vec<RolloutAction> {
    let Some(planner) = tracker.planner() else { return Vec::new() };
    planner.set_target_version(now, "m", 2);
    planner.set_servers([RolloutServer {
        id: SERVER.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        is_closing: false,
        models: [("m".into(), 1)].into(),
    }]);
    planner.next_actions(now)
}

/// Records all due calls as sent and returns them with their tags.
fn send(tracker: &mut OrderTracker, now: Duration) -> Vec<(CallTag, RolloutAction)> {
    let actions = due_actions(tracker, now);
    actions.into_iter().map(|action| (tracker.record_call(&action).expect("a term"), action)).collect()
}

fn report() -> CallOutcome {
    let report: ServerReport =
        serde_json::from_str(r#"{"models":[{"name":"m","edition":1}]}"#).expect("a report");
    CallOutcome::Reported(ServerId::from(SERVER), Box::new(report))
}

/// Returns a tracker whose first term has an order in flight, and the tag of that order.
fn with_order() -> (OrderTracker, CallTag) {
    let mut tracker = OrderTracker::default();
    tracker.set_term(Some(1));
    let requested = send(&mut tracker, at(0));
    assert!(
        matches!(&requested[..], [(_, RolloutAction::RequestReport(_))]),
        "a report is requested before the first order: {requested:?}"
    );
    tracker.record_outcome(at(10), requested[0].0, &report());
    let ordered = send(&mut tracker, at(600));
    assert!(matches!(&ordered[..], [(_, RolloutAction::SendOrder(_))]), "{ordered:?}");
    (tracker, ordered[0].0)
}

#[parameterized(
    acknowledged = { OrderReply::Accepted },
    indeterminate = { OrderReply::Indeterminate },
)]
fn given_an_order_in_flight_when_another_term_begins_then_nothing_is_sent_before_it_has_finished(
    reply: OrderReply,
) {
    let (mut tracker, tag) = with_order();
    tracker.set_term(None);
    tracker.set_term(Some(2));
    assert!(due_actions(&mut tracker, at(700)).is_empty(), "an order with the old token may still arrive");
    tracker.record_outcome(at(900), tag, &CallOutcome::Answered(SERVER.into(), reply));
    assert!(
        matches!(&due_actions(&mut tracker, at(900))[..], [RolloutAction::RequestReport(_)]),
        "the new term requests a report first"
    );
}

#[test]
fn given_a_late_rejection_of_an_earlier_term_when_it_arrives_then_the_present_term_continues() {
    let (mut tracker, tag) = with_order();
    tracker.set_term(Some(2));
    tracker.record_outcome(at(700), tag, &CallOutcome::Answered(SERVER.into(), OrderReply::Fenced));
    let requested = send(&mut tracker, at(700));
    assert!(
        matches!(&requested[..], [(_, RolloutAction::RequestReport(_))]),
        "it was not the present token that was rejected: {requested:?}"
    );
}

#[test]
fn given_a_late_report_to_an_earlier_term_when_it_arrives_then_it_does_not_answer_the_present_term() {
    let mut tracker = OrderTracker::default();
    tracker.set_term(Some(1));
    let earlier = send(&mut tracker, at(0))[0].0;
    tracker.set_term(Some(2));
    let present = send(&mut tracker, at(100))[0].0;
    tracker.record_outcome(at(200), earlier, &report());
    assert!(due_actions(&mut tracker, at(700)).is_empty(), "its own request has no reply yet");
    tracker.record_outcome(at(700), present, &report());
    assert!(matches!(&due_actions(&mut tracker, at(1300))[..], [RolloutAction::SendOrder(_)]));
}
