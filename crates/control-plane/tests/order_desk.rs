//! Calls to servers that outlive their term of the lease.

use std::time::Duration;

use control_plane::{CallOutcome, CallTag, OrderTracker};
use rollout::{OrderReply, RolloutAction, RolloutServer, ServerId, ServerReport};
use yare::parameterized;

const SERVER: &str = "i-1";

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// What the present term wants done now, for one server that is a version behind.
fn wanted(desk: &mut OrderTracker, now: Duration) -> Vec<RolloutAction> {
    let Some(planner) = desk.planner() else { return Vec::new() };
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

/// Everything that is wanted goes out.
fn send(desk: &mut OrderTracker, now: Duration) -> Vec<(CallTag, RolloutAction)> {
    let actions = wanted(desk, now);
    actions.into_iter().map(|action| (desk.begin(&action).expect("a term"), action)).collect()
}

fn report() -> CallOutcome {
    let report: ServerReport =
        serde_json::from_str(r#"{"models":[{"name":"m","edition":1}]}"#).expect("a report");
    CallOutcome::Reported(ServerId::from(SERVER), Box::new(report))
}

/// A desk whose first term has an order under way.
fn with_order() -> (OrderTracker, CallTag) {
    let mut desk = OrderTracker::default();
    desk.follow(Some(1));
    let asked = send(&mut desk, at(0));
    assert!(
        matches!(&asked[..], [(_, RolloutAction::RequestReport(_))]),
        "a server is asked before its first order: {asked:?}"
    );
    desk.finish(at(10), asked[0].0, &report());
    let ordered = send(&mut desk, at(600));
    assert!(matches!(&ordered[..], [(_, RolloutAction::SendOrder(_))]), "{ordered:?}");
    (desk, ordered[0].0)
}

#[parameterized(
    answered = { OrderReply::Accepted },
    without_clear_answer = { OrderReply::Indeterminate },
)]
fn given_an_order_under_way_when_another_term_begins_then_nothing_goes_out_before_it_has_ended(
    answer: OrderReply,
) {
    let (mut desk, tag) = with_order();
    desk.follow(None);
    desk.follow(Some(2));
    assert!(wanted(&mut desk, at(700)).is_empty(), "an order with the old token may still arrive");
    desk.finish(at(900), tag, &CallOutcome::Answered(SERVER.into(), answer));
    assert!(
        matches!(&wanted(&mut desk, at(900))[..], [RolloutAction::RequestReport(_)]),
        "the new term asks first"
    );
}

#[test]
fn given_a_refusal_of_an_earlier_term_when_it_comes_late_then_the_present_one_goes_on() {
    let (mut desk, tag) = with_order();
    desk.follow(Some(2));
    desk.finish(at(700), tag, &CallOutcome::Answered(SERVER.into(), OrderReply::Fenced));
    let asked = send(&mut desk, at(700));
    assert!(
        matches!(&asked[..], [(_, RolloutAction::RequestReport(_))]),
        "it was not the present token that was refused: {asked:?}"
    );
}

#[test]
fn given_a_report_that_an_earlier_term_asked_for_when_it_comes_late_then_it_does_not_answer_the_present_one()
{
    let mut desk = OrderTracker::default();
    desk.follow(Some(1));
    let earlier = send(&mut desk, at(0))[0].0;
    desk.follow(Some(2));
    let present = send(&mut desk, at(100))[0].0;
    desk.finish(at(200), earlier, &report());
    assert!(wanted(&mut desk, at(700)).is_empty(), "its own question has no answer yet");
    desk.finish(at(700), present, &report());
    assert!(matches!(&wanted(&mut desk, at(1300))[..], [RolloutAction::SendOrder(_)]));
}
