//! Tests of event streams that an ingress relays from fake servers to a client.

mod support;

use support::node::{fake_servers, node_with, received_count};
use support::{event, rejection, response, stream_text, FakeServer, Reaction};
use yare::parameterized;

#[tokio::test]
async fn given_a_stream_when_requested_then_its_events_are_forwarded() {
    let (first_event, second_event) = (event(1), format!(": hi\n\n{}", event(2)));
    let servers =
        fake_servers(vec![Reaction::Write(stream_text("", &[&first_event, &second_event], true))]).await;
    let node = node_with(&servers).await;
    let response = node.get("/stream/x").await;
    assert_eq!(response.headers()["postmark"], "stamp");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert_eq!(response.text().await.expect("a body"), format!("{first_event}{second_event}"));
}

#[tokio::test]
async fn given_an_open_stream_when_an_event_is_complete_then_it_is_forwarded_immediately() {
    let incomplete_stream = stream_text("", &[&event(1), "id: 2\nda"], false);
    let servers = fake_servers(vec![Reaction::WriteAndHang(incomplete_stream)]).await;
    let node = node_with(&servers).await;
    let mut response = node.get("/stream/x").await;
    assert_eq!(response.chunk().await.expect("a chunk").expect("a chunk"), event(1));
    drop(response);
    servers[0].wait_for_close().await;
}

#[tokio::test]
async fn given_a_truncated_stream_when_it_may_not_be_resumed_then_the_response_is_truncated() {
    let truncated = Reaction::WriteAndClose(stream_text("", &[&event(1), "id: 2\nda"], false));
    let servers = fake_servers(vec![truncated.clone(), truncated]).await;
    let node = node_with(&servers).await;
    let mut response = node.get("/stream/x").await;
    assert_eq!(response.chunk().await.expect("a chunk").expect("a chunk"), event(1));
    let rest = response.chunk().await;
    assert!(rest.is_err(), "{rest:?}");
    assert_eq!(received_count(&servers), 1);
}

#[tokio::test]
async fn given_a_truncated_stream_when_it_may_be_resumed_then_another_server_continues_it() {
    let truncated = stream_text("", &[&event(1), "id: 2\nda"], false);
    let mut servers = Vec::new();
    for id in ["a", "b"] {
        let truncated = truncated.clone();
        let script = move |received: &support::ReceivedRequest, _| match received.header("last-event-id") {
            "" => Reaction::WriteAndClose(truncated.clone()),
            "1" => Reaction::Write(stream_text("", &[&event(2), &event(3)], true)),
            other => panic!("unexpected Last-Event-Id: {other}"),
        };
        servers.push(FakeServer::start(id, script).await);
    }
    let node = node_with(&servers).await;
    let text = node.get("/resumed/x").await.text().await.expect("a complete body");
    assert_eq!(text, format!("{}{}{}", event(1), event(2), event(3)));
    assert!(servers.iter().all(|server| server.received().len() == 1));
}

#[parameterized(
    server_error = { response(500, "Postmark: p\r\n", "bad"), 500, "bad" },
    not_found = { response(404, "Postmark: p\r\n", "no such thing"), 404, "no such thing" },
    rejected = { rejection(), 503, "" },
    connection_closed = { Reaction::WriteAndClose(String::new()), 502, "" },
)]
#[test_macro(tokio::test)]
async fn given_a_server_that_sends_no_stream_when_one_is_requested_then_the_status_shows_the_reason(
    reaction: Reaction,
    status: u16,
    body: &str,
) {
    let servers = fake_servers(vec![reaction]).await;
    let node = node_with(&servers).await;
    let response = node.post("/stream/x").await;
    assert_eq!(response.status(), status);
    assert_eq!(response.text().await.expect("a body"), body);
}

#[tokio::test]
async fn given_several_rejections_when_a_stream_is_requested_then_the_smallest_retry_after_is_forwarded() {
    let rejections = ["0.5", "0.1", "0.4"]
        .map(|seconds| response(503, &format!("Not-Run: 1\r\nRetry-After: {seconds}\r\n"), "full"));
    let servers = fake_servers(rejections.to_vec()).await;
    let node = node_with(&servers).await;
    let response = node.post("/stream/x").await;
    let retry_after = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    assert_eq!((response.status().as_u16(), retry_after), (503, Some("0.100")));
    assert!(servers.iter().all(|server| server.received().len() == 1));
}

#[tokio::test]
async fn given_bytes_after_the_last_event_when_the_stream_ends_properly_then_they_are_forwarded() {
    let text = stream_text("", &[&event(1), "data: rest"], true);
    let servers = fake_servers(vec![Reaction::Write(text)]).await;
    let node = node_with(&servers).await;
    let body = node.get("/stream/x").await.text().await.expect("a body");
    assert_eq!(body, format!("{}data: rest", event(1)));
}

#[tokio::test]
async fn given_a_server_that_restarts_the_stream_when_it_is_resumed_then_the_response_is_truncated() {
    let truncated = Reaction::WriteAndClose(stream_text("", &[&event(1), &event(2)], false));
    let servers = fake_servers(vec![truncated.clone(), truncated]).await;
    let node = node_with(&servers).await;
    assert!(node.get("/resumed/x").await.text().await.is_err());
}
