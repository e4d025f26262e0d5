//! Items and reward calls at stand-in servers.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use configuration::Route;
use data_plane::{ItemCall, ItemOutcome, ItemProgress, RewardOutcome, Sender};
use support::{answer, event, nobody, refusal, sender, sender_to, stream_text, success, Act, StandIn, LONG};
use tokio::time::Instant;
use yare::parameterized;

fn route(sender: &Sender, path: &str) -> Arc<Route> {
    let configuration = sender.configuration().expect("a configuration");
    Arc::clone(configuration.route("h.example", path).expect("a route"))
}

fn item(sender: &Sender, path: &str, progress: ItemProgress) -> ItemCall {
    ItemCall {
        route: route(sender, path),
        host: "h.example".into(),
        path: path.into(),
        headers: vec![("Model".into(), "m".into()), ("Tokens".into(), "5,6".into())],
        id: "item1".into(),
        body: Bytes::from_static(b"\x00body"),
        model: Some("m".into()),
        oldest_version: 3,
        group: None,
        tokens: 11,
        progress,
        deadline: Instant::now() + LONG,
    }
}

fn progress(events: &[u64], versions: &[u64]) -> ItemProgress {
    ItemProgress {
        events: events.iter().map(|id| Bytes::from(format!("e{id}"))).collect(),
        last_event_id: events.last().copied(),
        versions: versions.iter().copied().collect(),
    }
}

async fn run(script: Act, path: &str, before: ItemProgress) -> (ItemOutcome, StandIn) {
    let server = StandIn::start("a", move |_, _| script.clone()).await;
    let (sender, _changes) = sender(&[&server]);
    let end = sender.run_item(item(&sender, path, before)).await;
    (end, server)
}

const TOLD: &str = "Weight-Editions: 3\r\n";

#[tokio::test]
async fn given_a_whole_stream_when_an_item_runs_then_its_text_is_whole_and_the_request_is_right() {
    let text = stream_text(TOLD, &[&event(1), &event(2)], true);
    let (end, server) = run(Act::Write(text), "/rollout/3/x?y=1", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Whole(progress(&[1, 2], &[3])));
    let seen = &server.seen()[0];
    assert_eq!(seen.line, "POST /rollout/3/x?y=1 HTTP/1.1");
    assert_eq!(seen.body, b"\x00body");
    let header = |name| seen.header(name);
    assert_eq!((header("attempt-id"), header("expected-carrier")), ("item1", "a"));
    assert_eq!((header("host"), header("model"), header("tokens")), ("h.example", "m", "5,6"));
    assert_eq!((header("expect-version"), header("last-event-id")), ("", ""));
    assert!(header("time-left-ms").parse::<u64>().expect("a number") > 50_000);
}

#[tokio::test]
async fn given_one_version_a_text_when_an_item_runs_then_that_version_is_expected() {
    let text = stream_text(TOLD, &[&event(1)], true);
    let (end, server) = run(Act::Write(text), "/single/x", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Whole(progress(&[1], &[3])));
    assert_eq!(server.seen()[0].header("expect-version"), "3");
}

#[parameterized(
    between_events = {&["id: 1\ndata: e1\n\n"]},
    within_an_event = {&["id: 1\ndata: e1\n\nid: 2\nda"]},
    before_the_blank_line = {&["id: 1\ndata: e1\n\n", "id: 2\ndata: e2\n"]},
)]
#[test_macro(tokio::test)]
async fn given_a_cut_when_an_item_runs_then_whole_events_are_kept(pieces: &[&str]) {
    let cut = Act::WriteAndClose(stream_text(TOLD, pieces, false));
    let (end, _) = run(cut, "/rollout/x", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Interrupted(progress(&[1], &[3])));
}

#[tokio::test]
async fn given_a_proper_end_within_an_event_when_an_item_runs_then_it_is_not_whole() {
    let text = stream_text(TOLD, &[&event(1), "id: 2\nda"], true);
    let (end, _) = run(Act::Write(text), "/rollout/x", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Interrupted(progress(&[1], &[3])));
}

#[tokio::test]
async fn given_progress_when_an_item_runs_then_it_goes_on_behind_its_last_event() {
    let text = stream_text(TOLD, &[&event(3)], true);
    let (end, server) = run(Act::Write(text), "/rollout/x", progress(&[1, 2], &[3])).await;
    assert_eq!(end, ItemOutcome::Whole(progress(&[1, 2, 3], &[3])));
    assert_eq!(server.seen()[0].header("last-event-id"), "2");
}

#[parameterized(gap = {4}, repeat = {2}, anew = {1})]
#[test_macro(tokio::test)]
async fn given_an_event_that_does_not_follow_when_an_item_runs_then_it_is_not_taken(id: u64) {
    let text = stream_text(TOLD, &[&event(id)], true);
    let (end, _) = run(Act::Write(text), "/rollout/x", progress(&[1, 2], &[3])).await;
    assert_eq!(end, ItemOutcome::Interrupted(progress(&[1, 2], &[3])));
}

#[tokio::test]
async fn given_a_change_of_version_when_an_item_runs_then_both_versions_are_told() {
    let second = format!("weight-editions: 4\n{}", event(2));
    let text = stream_text(TOLD, &[&event(1), &second, &event(3)], true);
    let (end, _) = run(Act::Write(text), "/rollout/x", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Whole(progress(&[1, 2, 3], &[3, 4])));
}

#[tokio::test]
async fn given_one_version_a_text_when_it_changes_midway_then_nothing_is_kept() {
    let second = format!("weight-editions: 4\n{}", event(2));
    let text = stream_text(TOLD, &[&event(1), &second], true);
    let (end, _) = run(Act::Write(text), "/single/x", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Interrupted(ItemProgress::default()));
}

#[tokio::test]
async fn given_a_version_that_is_too_old_when_an_item_runs_then_its_events_are_not_taken() {
    let text = stream_text("Weight-Editions: 2\r\n", &[&event(1)], true);
    let (end, _) = run(Act::Write(text), "/rollout/x", ItemProgress::default()).await;
    assert_eq!(end, ItemOutcome::Interrupted(ItemProgress::default()));
}

#[parameterized(
    error = { answer(500, "Postmark: stamp\r\n", "bad"), ItemOutcome::Failed },
    impossible = { answer(422, "Postmark: stamp\r\n", "no"), ItemOutcome::Impossible },
    full = { refusal(), ItemOutcome::NotRun { retry_after: std::time::Duration::from_millis(250) } },
    other_version = { answer(421, "", ""), ItemOutcome::NotRun { retry_after: std::time::Duration::from_millis(50) } },
    reset = { Act::WriteAndClose(String::new()), ItemOutcome::Interrupted(ItemProgress::default()) },
    other_answer = { Act::Write(stream_text(TOLD, &["id: 1\ndata: e1\n\n"], true).replace("{id}", "other")),
        ItemOutcome::Interrupted(ItemProgress::default()) },
)]
#[test_macro(tokio::test)]
async fn given_no_text_when_an_item_runs_then_its_end_tells_why(script: Act, expected: ItemOutcome) {
    let (end, _) = run(script, "/rollout/x", ItemProgress::default()).await;
    assert_eq!(end, expected);
}

#[tokio::test]
async fn given_no_server_with_the_version_when_an_item_runs_then_it_has_not_run() {
    let server = StandIn::start("a", |_, _| success("")).await;
    let (sender, _changes) = sender(&[&server]);
    let newer = ItemCall { oldest_version: 4, ..item(&sender, "/rollout/x", ItemProgress::default()) };
    assert_eq!(sender.free_capacity(&newer.route.targets, Some("m"), 4), 0);
    assert!(sender.free_capacity(&newer.route.targets, Some("m"), 3) > 0);
    assert!(matches!(sender.run_item(newer).await, ItemOutcome::NotRun { .. }));
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn given_nobody_at_the_address_when_an_item_runs_then_it_has_not_run() {
    let (sender, _changes) = sender_to(vec![support::entry("a", nobody().await, "s")]);
    let end = sender.run_item(item(&sender, "/rollout/x", ItemProgress::default())).await;
    assert!(matches!(end, ItemOutcome::NotRun { .. }), "{end:?}");
}

#[tokio::test]
async fn given_an_item_that_is_dropped_when_it_runs_then_its_connection_closes_and_its_place_is_free() {
    let begun = stream_text(TOLD, &[&event(1)], false);
    let server = StandIn::start("a", move |_, _| Act::WriteAndHang(begun.clone())).await;
    let (sender, _changes) = sender(&[&server]);
    let call = item(&sender, "/rollout/x", ItemProgress::default());
    let targets = call.route.targets.clone();
    let room = sender.free_capacity(&targets, Some("m"), 3);
    let running = tokio::spawn({
        let sender = sender.clone();
        async move { sender.run_item(call).await }
    });
    while server.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(sender.free_capacity(&targets, Some("m"), 3), room - 1);
    running.abort();
    server.hang_closed().await;
    assert!(running.await.is_err());
    assert_eq!(sender.free_capacity(&targets, Some("m"), 3), room);
}

async fn reward(sender: &Sender, path: &str) -> RewardOutcome {
    sender.reward("h.example", path, "reward1", Bytes::from_static(b"score"), LONG).await
}

#[tokio::test]
async fn given_a_stamped_answer_when_a_reward_is_asked_then_the_stamp_is_its_grade() {
    let server = StandIn::start("a", |_, _| success("ok")).await;
    let (sender, _changes) = sender(&[&server]);
    assert_eq!(reward(&sender, "/safe/r").await, RewardOutcome::Graded("stamp".into()));
    let seen = &server.seen()[0];
    assert_eq!(seen.line, "POST /safe/r HTTP/1.1");
    assert_eq!((seen.header("attempt-id"), seen.body.as_slice()), ("reward1", b"score".as_slice()));
    assert_eq!(reward(&sender, "/none/r").await, RewardOutcome::NoRoute);
}

#[tokio::test]
async fn given_errors_of_all_tries_when_a_reward_is_asked_then_it_has_failed() {
    let mut servers = Vec::new();
    for id in ["a", "b", "c"] {
        servers.push(StandIn::start(id, |_, _| answer(500, "Postmark: stamp\r\n", "")).await);
    }
    let (sender, _changes) = sender(&servers.iter().collect::<Vec<_>>());
    assert_eq!(reward(&sender, "/safe/r").await, RewardOutcome::Failed { answers: 3 });
    let ids: BTreeSet<_> =
        servers.iter().flat_map(StandIn::seen).map(|seen| seen.headers["expected-carrier"].clone()).collect();
    assert_eq!(ids.len(), 3);
}

#[tokio::test]
async fn given_one_server_that_fails_all_tries_of_a_reward_then_each_answer_is_counted() {
    let server = StandIn::start("a", |_, _| answer(500, "Postmark: stamp\r\n", "")).await;
    let (sender, _changes) = sender(&[&server]);
    assert_eq!(reward(&sender, "/safe/r").await, RewardOutcome::Failed { answers: 3 });
}

#[tokio::test]
async fn given_refusals_when_a_reward_is_asked_then_it_may_be_asked_again() {
    let server = StandIn::start("a", |_, _| refusal()).await;
    let (sender, _changes) = sender(&[&server]);
    assert_eq!(reward(&sender, "/safe/r").await, RewardOutcome::Again);
}

#[tokio::test]
async fn given_a_load_in_the_answer_when_an_item_has_run_then_fewer_places_are_free() {
    let loaded = format!("{TOLD}Carrier-Load: 3,1,4\r\n");
    let text = stream_text(&loaded, &[&event(1)], true);
    let server = StandIn::start("a", move |_, _| Act::Write(text.clone())).await;
    let (sender, _changes) = sender(&[&server]);
    let call = item(&sender, "/rollout/x", ItemProgress::default());
    let targets = call.route.targets.clone();
    let room = sender.free_capacity(&targets, Some("m"), 3);
    assert!(matches!(sender.run_item(call).await, ItemOutcome::Whole(_)));
    // One of the four was the item itself.
    assert_eq!(sender.free_capacity(&targets, Some("m"), 3), room - 3);
}

#[tokio::test]
async fn given_a_newer_version_in_the_answer_when_an_item_has_run_then_the_server_is_known_to_have_it() {
    let text = stream_text("Weight-Editions: 5\r\n", &[&event(1)], true);
    let server = StandIn::start("a", move |_, _| Act::Write(text.clone())).await;
    let (sender, _changes) = sender(&[&server]);
    let call = item(&sender, "/rollout/x", ItemProgress::default());
    let targets = call.route.targets.clone();
    assert_eq!(sender.free_capacity(&targets, Some("m"), 5), 0);
    assert!(matches!(sender.run_item(call).await, ItemOutcome::Whole(_)));
    assert!(sender.free_capacity(&targets, Some("m"), 5) > 0);
}

#[tokio::test]
async fn given_a_refused_version_when_an_item_runs_then_the_server_is_left_out_for_a_moment() {
    let server = StandIn::start("a", |_, _| answer(421, "", "")).await;
    let (sender, _changes) = sender(&[&server]);
    for _ in 0..2 {
        let end = sender.run_item(item(&sender, "/single/x", ItemProgress::default())).await;
        assert!(matches!(end, ItemOutcome::NotRun { .. }));
    }
    assert_eq!(server.seen().len(), 1);
}
