//! Calls to servers that are still in flight when the term of the lease that started them has ended.

use std::time::Duration;

use control_plane::{CallOutcome, CallTag, OrderTracker};
use rollout::{OrderReply, RolloutAction, RolloutServer, ServerId, ServerReport, VersionOrder};
use yare::parameterized;

const SERVER: &str = "i-1";

fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a server whose model is one version behind.
fn server(id: &str) -> RolloutServer {
    RolloutServer {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        is_closing: false,
        models: [("m".into(), 1)].into(),
    }
}

/// Returns the calls that are due in the present term, with these servers.
fn due_actions_at(tracker: &mut OrderTracker, now: Duration, servers: &[&str]) -> Vec<RolloutAction> {
    tracker.set_servers(servers.iter().map(|id| server(id)));
    let Some(planner) = tracker.planner() else { return Vec::new() };
    planner.set_target_version(now, "m", 2);
    planner.next_actions(now)
}

/// Returns the calls that are due in the present term, with one server.
fn due_actions(tracker: &mut OrderTracker, now: Duration) -> Vec<RolloutAction> {
    due_actions_at(tracker, now, &[SERVER])
}

/// Records all due calls as sent and returns them with their tags.
fn send_due_calls(tracker: &mut OrderTracker, now: Duration) -> Vec<(CallTag, RolloutAction)> {
    let actions = due_actions(tracker, now);
    actions
        .into_iter()
        .map(|action| (tracker.record_call(&action).expect("a term has begun"), action))
        .collect()
}

fn report_outcome() -> CallOutcome {
    let report: ServerReport =
        serde_json::from_str(r#"{"models":[{"name":"m","edition":1}]}"#).expect("the report is valid");
    CallOutcome::Reported(ServerId::from(SERVER), Box::new(report))
}

/// Returns a tracker whose first term has an order in flight, that order and its tag.
fn tracker_with_order_in_flight() -> (OrderTracker, VersionOrder, CallTag) {
    let mut tracker = OrderTracker::default();
    tracker.set_term(Some(1));
    let requested = send_due_calls(&mut tracker, millis(0));
    assert!(
        matches!(&requested[..], [(_, RolloutAction::RequestReport(_))]),
        "a report is requested before the first order: {requested:?}"
    );
    tracker.record_outcome(millis(10), requested[0].0, &report_outcome());
    let ordered = send_due_calls(&mut tracker, millis(600));
    let [(tag, RolloutAction::SendOrder(order))] = &ordered[..] else { panic!("{ordered:?}") };
    (tracker, order.clone(), *tag)
}

#[parameterized(
    accepted = { OrderReply::Accepted },
    indeterminate = { OrderReply::Indeterminate },
)]
fn given_an_order_in_flight_when_another_term_begins_then_no_call_is_sent_before_the_order_has_finished(
    reply: OrderReply,
) {
    let (mut tracker, order, tag) = tracker_with_order_in_flight();
    tracker.set_term(None);
    tracker.set_term(Some(2));
    assert!(
        due_actions(&mut tracker, millis(700)).is_empty(),
        "an order with the old token may still arrive"
    );
    tracker.record_outcome(millis(900), tag, &CallOutcome::Answered(order, reply));
    assert!(
        matches!(&due_actions(&mut tracker, millis(900))[..], [RolloutAction::RequestReport(_)]),
        "the new term requests a report first"
    );
}

/// Guards against a new term that waits for the order of one server before it orders any other.
#[test]
fn given_an_order_in_flight_when_another_term_begins_then_the_other_servers_get_their_calls() {
    let (mut tracker, order, tag) = tracker_with_order_in_flight();
    tracker.set_term(None);
    tracker.set_term(Some(2));
    let servers = [SERVER, "i-2"];
    let requested: Vec<RolloutAction> = due_actions_at(&mut tracker, millis(700), &servers);
    let [RolloutAction::RequestReport(request)] = &requested[..] else { panic!("{requested:?}") };
    assert_eq!(&*request.server, "i-2");
    let outcome = CallOutcome::Answered(order, OrderReply::Accepted);
    assert!(tracker.record_outcome(millis(900), tag, &outcome), "an order of an earlier term has finished");
    let requested = due_actions_at(&mut tracker, millis(900), &servers);
    let [RolloutAction::RequestReport(request)] = &requested[..] else { panic!("{requested:?}") };
    assert_eq!(&*request.server, SERVER);
}

#[test]
fn given_an_order_of_an_earlier_term_when_it_is_rejected_late_then_the_present_term_continues() {
    let (mut tracker, order, tag) = tracker_with_order_in_flight();
    tracker.set_term(Some(2));
    tracker.record_outcome(millis(700), tag, &CallOutcome::Answered(order, OrderReply::Fenced));
    let requested = send_due_calls(&mut tracker, millis(700));
    assert!(
        matches!(&requested[..], [(_, RolloutAction::RequestReport(_))]),
        "the rejected token is not that of the present term: {requested:?}"
    );
}

#[test]
fn given_a_report_for_an_earlier_term_when_it_arrives_late_then_the_present_term_waits_for_its_own_report() {
    let mut tracker = OrderTracker::default();
    tracker.set_term(Some(1));
    let earlier = send_due_calls(&mut tracker, millis(0))[0].0;
    tracker.set_term(Some(2));
    let present = send_due_calls(&mut tracker, millis(100))[0].0;
    tracker.record_outcome(millis(200), earlier, &report_outcome());
    assert!(
        due_actions(&mut tracker, millis(700)).is_empty(),
        "the request of the present term has no reply yet"
    );
    tracker.record_outcome(millis(700), present, &report_outcome());
    assert!(matches!(&due_actions(&mut tracker, millis(1300))[..], [RolloutAction::SendOrder(_)]));
}
