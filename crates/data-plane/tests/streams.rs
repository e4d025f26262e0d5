//! Clients' streams through a front to stand-in servers.

mod support;

use support::node::{node_before, sends, stand_ins};
use support::{answer, event, refusal, stream_text, Act, StandIn};
use yare::parameterized;

#[tokio::test]
async fn given_a_stream_when_asked_then_its_events_go_through() {
    let (first, second) = (event(1), format!(": hi\n\n{}", event(2)));
    let servers = stand_ins(vec![Act::Write(stream_text("", &[&first, &second], true))]).await;
    let node = node_before(&servers).await;
    let response = node.get("/stream/x").await;
    assert_eq!(response.headers()["postmark"], "stamp");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert_eq!(response.text().await.expect("a body"), format!("{first}{second}"));
}

#[tokio::test]
async fn given_a_stream_that_goes_on_when_events_come_then_each_is_passed_on_at_once() {
    let begun = stream_text("", &[&event(1), "id: 2\nda"], false);
    let servers = stand_ins(vec![Act::WriteAndHang(begun)]).await;
    let node = node_before(&servers).await;
    let mut response = node.get("/stream/x").await;
    assert_eq!(response.chunk().await.expect("a piece").expect("a piece"), event(1));
    drop(response);
    servers[0].hang_closed().await;
}

#[tokio::test]
async fn given_a_cut_stream_when_it_may_not_be_resumed_then_the_answer_is_broken_off() {
    let cut = Act::WriteAndClose(stream_text("", &[&event(1), "id: 2\nda"], false));
    let servers = stand_ins(vec![cut.clone(), cut]).await;
    let node = node_before(&servers).await;
    let mut response = node.get("/stream/x").await;
    assert_eq!(response.chunk().await.expect("a piece").expect("a piece"), event(1));
    let rest = response.chunk().await;
    assert!(rest.is_err(), "{rest:?}");
    assert_eq!(sends(&servers), 1);
}

#[tokio::test]
async fn given_a_cut_stream_when_it_may_be_resumed_then_another_server_goes_on() {
    let cut = stream_text("", &[&event(1), "id: 2\nda"], false);
    let mut servers = Vec::new();
    for id in ["a", "b"] {
        let cut = cut.clone();
        let script = move |seen: &support::Seen, _| match seen.header("last-event-id") {
            "" => Act::WriteAndClose(cut.clone()),
            "1" => Act::Write(stream_text("", &[&event(2), &event(3)], true)),
            other => panic!("not asked for: {other}"),
        };
        servers.push(StandIn::start(id, script).await);
    }
    let node = node_before(&servers).await;
    let text = node.get("/resumed/x").await.text().await.expect("a whole body");
    assert_eq!(text, format!("{}{}{}", event(1), event(2), event(3)));
    assert!(servers.iter().all(|server| server.seen().len() == 1));
}

#[parameterized(
    error = { answer(500, "Postmark: p\r\n", "bad"), 500, "bad" },
    missing = { answer(404, "Postmark: p\r\n", "no such thing"), 404, "no such thing" },
    refused = { refusal(), 503, "" },
    reset = { Act::WriteAndClose(String::new()), 502, "" },
)]
#[test_macro(tokio::test)]
async fn given_no_stream_when_one_is_asked_for_then_the_answer_tells(script: Act, status: u16, body: &str) {
    let servers = stand_ins(vec![script]).await;
    let node = node_before(&servers).await;
    let response = node.post("/stream/x").await;
    assert_eq!(response.status(), status);
    assert_eq!(response.text().await.expect("a body"), body);
}

#[tokio::test]
async fn given_bytes_behind_the_last_event_when_the_stream_ends_properly_then_they_go_through() {
    let text = stream_text("", &[&event(1), "data: rest"], true);
    let servers = stand_ins(vec![Act::Write(text)]).await;
    let node = node_before(&servers).await;
    let body = node.get("/stream/x").await.text().await.expect("a body");
    assert_eq!(body, format!("{}data: rest", event(1)));
}

#[tokio::test]
async fn given_a_stream_that_starts_anew_when_it_is_resumed_then_the_answer_is_broken_off() {
    let cut = Act::WriteAndClose(stream_text("", &[&event(1), &event(2)], false));
    let servers = stand_ins(vec![cut.clone(), cut]).await;
    let node = node_before(&servers).await;
    assert!(node.get("/resumed/x").await.text().await.is_err());
}
