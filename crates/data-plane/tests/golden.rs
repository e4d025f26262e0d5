//! Compares the HTTP messages that a node sends, requests to servers and responses to clients, with golden
//! files.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use data_plane::{Forwarder, ItemProgress, ItemRequest};
use support::golden::{assert_golden, exchange};
use support::node::{fake_servers, node_with, Node};
use support::{
    event, forwarder, rejection, response, response_text, stream_text, success, FakeServer, Reaction,
    ReceivedRequest, LONG_TIMEOUT,
};
use tokio::net::TcpListener;
use tokio::time::Instant;
use yare::parameterized;

/// Headers of a client's request: some that are forwarded to the server, and some hop-by-hop headers.
const CLIENT_HEADERS: &str =
    "Host: H.example:80\r\nAttempt-Id: try1\r\nX-First: one\r\nX-Twice: a\r\nX-Twice: b\r\n\
    Accept: */*\r\nUser-Agent: trainer/1\r\nAccept-Encoding: gzip\r\nAuthorization: secret\r\n\
    Connection: keep-alive, x-hop\r\nX-Hop: dropped\r\nKeep-Alive: timeout=3\r\nTE: trailers\r\n\
    Proxy-Authorization: dropped\r\nX-Last: two\r\n";

/// Returns the bytes of a client's request. `extra_headers` holds additional header lines, each with its line
/// break.
fn request(line: &str, extra_headers: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!("{line} HTTP/1.1\r\n{CLIENT_HEADERS}{extra_headers}{length}\r\n{body}")
}

/// Returns the head and the body of a request that a server received.
fn forwarded(received: &ReceivedRequest) -> String {
    format!("{}{}", received.head, String::from_utf8(received.body.clone()).expect("valid UTF-8"))
}

#[parameterized(
    plain_post = { "request_plain_post", "POST /safe/a%20b//c?d=%2F&e", "Time-Left-Ms: 1500\r\n", "a body" },
    plain_post_empty = { "request_plain_post_empty", "POST /unsafe/x", "", "" },
    plain_put = { "request_plain_put", "PUT /unsafe/x", "Content-Type: text/plain\r\n", "a body" },
    plain_get = { "request_plain_get", "GET /safe/x", "", "" },
    plain_delete = { "request_plain_delete", "DELETE /unsafe/x", "", "" },
    plain_version = { "request_plain_version", "POST /safe/x", "Model: m\r\nExpect-Version: 3\r\n", "a body" },
    stream = { "request_stream", "GET /stream/x?y", "", "" },
    stream_post = { "request_stream_post", "POST /stream/x", "Model: m\r\n", "a body" },
    stream_after_event = { "request_stream_from", "GET /resumed/x", "Last-Event-Id: 7\r\n", "" },
)]
#[test_macro(tokio::test)]
async fn given_a_client_request_when_it_is_sent_to_a_server_then_its_bytes_match_the_golden_file(
    name: &str,
    line: &str,
    extra_headers: &str,
    body: &str,
) {
    let servers = fake_servers(vec![success("x")]).await;
    let node = node_with(&servers).await;
    exchange(node.address, &request(line, extra_headers, body)).await;
    assert_golden(name, &forwarded(&servers[0].received()[0]));
}

#[tokio::test]
async fn given_a_truncated_stream_when_it_is_resumed_then_the_request_matches_the_golden_file() {
    let truncated = stream_text("", &[&event(1), &event(2)], false);
    let script = move |received: &ReceivedRequest, _| match received.header("last-event-id") {
        "" => Reaction::WriteAndClose(truncated.clone()),
        _ => Reaction::Write(stream_text("", &[&event(3)], true)),
    };
    let script = Arc::new(script);
    let mut servers = Vec::new();
    for id in ["server0", "server1"] {
        let script = Arc::clone(&script);
        servers.push(FakeServer::start(id, move |received, number| script(received, number)).await);
    }
    let node = node_with(&servers).await;
    exchange(node.address, &request("GET /resumed/x", "", "")).await;
    let received = servers.iter().flat_map(FakeServer::received);
    let resumed: Vec<_> = received.filter(|received| !received.header("last-event-id").is_empty()).collect();
    // The stream may be resumed at either server, so the id of the server is replaced by a constant one.
    let head = forwarded(&resumed[0]).replace("expected-carrier: server0", "expected-carrier: server1");
    assert_golden("request_stream_resumed", &head);
}

fn item(forwarder: &Forwarder, path: &str, progress: ItemProgress) -> ItemRequest {
    let configuration = forwarder.configuration().expect("a configuration");
    ItemRequest {
        route: Arc::clone(configuration.route("h.example", path).expect("a route")),
        host: "h.example".into(),
        path: path.into(),
        headers: vec![
            ("Tokens".into(), "5,6".into()),
            ("Connection".into(), "x-hop".into()),
            ("X-Hop".into(), "dropped".into()),
            ("X-Own".into(), "kept".into()),
        ],
        id: "item1".into(),
        body: Bytes::from_static(b"prompt"),
        model: Some("m".into()),
        oldest_version: 3,
        group: Some("group1".into()),
        progress,
        deadline: Instant::now() + LONG_TIMEOUT,
    }
}

#[parameterized(
    new = { "request_item", "/rollout/3/x?y=1", &[] },
    resumed = { "request_item_resumed", "/rollout/x", &[1, 2] },
    single_version = { "request_item_single_version", "/single/x", &[] },
    single_version_resumed = { "request_item_single_version_resumed", "/single/x", &[1, 2] },
)]
#[test_macro(tokio::test)]
async fn given_an_item_when_it_is_sent_to_a_server_then_its_bytes_match_the_golden_file(
    name: &str,
    path: &str,
    events: &[u64],
) {
    let server = FakeServer::start("server0", |_, _| rejection()).await;
    let (forwarder, _view_sender) = forwarder(&[&server]);
    let progress = ItemProgress {
        events: events.iter().map(|id| Bytes::from(format!("e{id}"))).collect(),
        last_event_id: events.last().copied(),
        versions: events.iter().map(|_| 3).collect(),
    };
    forwarder.run_item(item(&forwarder, path, progress)).await;
    assert_golden(name, &forwarded(&server.received()[0]));
}

#[tokio::test]
async fn given_a_reward_call_when_it_is_sent_to_a_server_then_its_bytes_match_the_golden_file() {
    let server = FakeServer::start("server0", |_, _| success("x")).await;
    let (forwarder, _view_sender) = forwarder(&[&server]);
    forwarder
        .call_reward("h.example", "/safe/r?s=1", "reward1", Bytes::from_static(b"text"), LONG_TIMEOUT)
        .await;
    assert_golden("request_reward", &forwarded(&server.received()[0]));
}

/// Headers of a server's response: some that are forwarded to the client, and some hop-by-hop headers.
const SERVER_HEADERS: &str = "Postmark: stamp\r\nX-More: yes\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=9\r\n\
    Carrier-Load: 1,2,4\r\nWeight-Editions: 3\r\nX-Twice: a\r\nX-Twice: b\r\nConnection: keep-alive, x-hop\r\n\
    X-Hop: dropped\r\n";

/// Returns a reaction that rejects the request with this `Retry-After`.
fn rejection_after(seconds: &str) -> Reaction {
    response(503, &format!("Not-Run: 1\r\nRetry-After: {seconds}\r\n"), "full")
}

#[parameterized(
    plain = { "response_plain", "POST /safe/x", response(201, SERVER_HEADERS, "the bytes") },
    plain_empty = { "response_plain_empty", "POST /safe/x", response(204, "Postmark: stamp\r\n", "") },
    plain_chunked = { "response_plain_chunked", "POST /safe/x",
        Reaction::Write(stream_text("", &["ab", "cd"], true).replace("text/event-stream", "text/plain")) },
    head = { "response_head", "HEAD /safe/x", Reaction::Write(response_text(200, SERVER_HEADERS, "")
        .replace("Content-Length: 0", "Content-Length: 70")) },
    server_error_safe = { "response_server_error_safe", "POST /safe/x", response(500, SERVER_HEADERS, "bad") },
    server_error_unsafe = { "response_server_error_unsafe", "POST /unsafe/x", response(500, SERVER_HEADERS, "bad") },
    server_unavailable = { "response_server_unavailable", "POST /unsafe/x",
        response(503, "Postmark: stamp\r\nRetry-After: 9\r\n", "may have run") },
    stream = { "response_stream", "GET /stream/x",
        Reaction::Write(stream_text("X-More: yes\r\nKeep-Alive: timeout=9\r\n", &[&event(1), ": note\n\n", &event(2), "data: rest"], true)) },
    stream_truncated = { "response_stream_broken_off", "GET /stream/x",
        Reaction::WriteAndClose(stream_text("", &[&event(1), "id: 2\nda"], false)) },
    stream_no_events = { "response_stream_no_events", "GET /stream/x", response(404, SERVER_HEADERS, "none") },
    rejected = { "response_rejected", "POST /unsafe/x", rejection_after("0.25") },
    rejected_for_long = { "response_rejected_for_long", "POST /unsafe/x", rejection_after("7") },
    rejected_without_time = { "response_rejected_without_time", "POST /unsafe/x", response(503, "Not-Run: 1\r\n", "full") },
    rejected_other_server = { "response_rejected_other_server", "POST /unsafe/x", response(421, "", "") },
    stream_rejected = { "response_stream_rejected", "GET /stream/x", rejection_after("0.25") },
    stream_rejected_for_long = { "response_stream_rejected_for_long", "GET /stream/x", rejection_after("7") },
    stream_rejected_without_time = { "response_stream_rejected_without_time", "GET /stream/x", response(503, "Not-Run: 1\r\n", "full") },
    connection_closed = { "response_bad_gateway", "POST /unsafe/x", Reaction::WriteAndClose(String::new()) },
    stream_connection_closed = { "response_stream_bad_gateway", "GET /stream/x", Reaction::WriteAndClose(String::new()) },
    timed_out = { "response_gateway_timeout", "POST /short/x", Reaction::Hang },
    no_route = { "response_no_route", "GET /none/x", success("") },
    no_server = { "response_no_server", "GET /nowhere/x", success("") },
    batch_job = { "response_batch_job", "POST /rollout/1", success("") },
    batch_job_method = { "response_batch_job_method", "GET /rollout/1", success("") },
)]
#[test_macro(tokio::test)]
async fn given_a_request_when_answered_then_the_response_matches_the_golden_file(
    name: &str,
    line: &str,
    reaction: Reaction,
) {
    let servers = fake_servers(vec![reaction]).await;
    let node = node_with(&servers).await;
    assert_golden(name, &exchange(node.address, &request(line, "", "")).await);
}

#[tokio::test]
async fn given_an_unresponsive_server_when_a_stream_times_out_then_the_response_matches_the_golden_file() {
    let servers = fake_servers(vec![Reaction::Hang]).await;
    let node = node_with(&servers).await;
    let response = exchange(node.address, &request("GET /stream/x", "Time-Left-Ms: 30\r\n", "")).await;
    assert_golden("response_stream_gateway_timeout", &response);
}

#[parameterized(
    no_attempt_id = { "response_no_attempt_id", "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n" },
    changed_path = { "response_unsendable_path", "GET /safe/../x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: try1\r\n\r\n" },
    no_host = { "response_no_host", "GET /safe/x HTTP/1.1\r\nAttempt-Id: try1\r\n\r\n" },
    body_too_slow = { "response_body_timeout",
        "POST /short/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: try1\r\nContent-Length: 5\r\n\r\nab" },
)]
#[test_macro(tokio::test)]
async fn given_an_invalid_request_when_it_is_rejected_then_the_response_matches_the_golden_file(
    name: &str,
    request: &str,
) {
    let servers = fake_servers(vec![success("")]).await;
    let node = node_with(&servers).await;
    assert_golden(name, &exchange(node.address, request).await);
    assert!(servers[0].received().is_empty());
}

#[tokio::test]
async fn given_a_head_over_the_limit_when_it_is_rejected_then_the_response_matches_the_golden_file() {
    let servers = fake_servers(vec![success("")]).await;
    let node = node_with(&servers).await;
    let long = format!("X-Long: {}\r\n", "x".repeat(2000));
    assert_golden(
        "response_head_too_large",
        &exchange(node.address, &request("GET /safe/x", &long, "")).await,
    );
}

#[tokio::test]
async fn given_a_body_over_the_limit_when_it_is_rejected_then_the_response_matches_the_golden_file() {
    let servers = fake_servers(vec![success("")]).await;
    let node = node_with(&servers).await;
    let long = request("POST /safe/x", "", &"x".repeat(5001));
    assert_golden("response_body_too_large", &exchange(node.address, &long).await);
}

#[tokio::test]
async fn given_a_long_response_when_it_is_forwarded_then_its_head_matches_the_golden_file() {
    let long = response(200, SERVER_HEADERS, &"x".repeat(2_000_000));
    let servers = fake_servers(vec![long]).await;
    let node = node_with(&servers).await;
    let response = exchange(node.address, &request("GET /safe/x", "", "")).await;
    let (head, body) = response.split_once("\r\n\r\n").expect("a complete head");
    assert_golden("response_long_head", &format!("{head}\r\n\r\n"));
    assert_eq!(body.len(), 2_000_000);
}

#[tokio::test]
async fn given_no_configuration_when_a_request_is_sent_then_the_response_matches_the_golden_file() {
    let (_view_sender, view) = tokio::sync::watch::channel(Arc::new(state::View::default()));
    let node = Node::start(Forwarder::new(view, "zone".into())).await;
    assert_golden(
        "response_no_configuration",
        &exchange(node.address, &request("GET /safe/x", "", "")).await,
    );
}

#[tokio::test]
async fn given_an_unconfirmed_configuration_when_no_route_is_found_then_the_response_matches_the_golden_file()
{
    let node = node_with(&[]).await;
    node.confirmed.store(false, Ordering::Relaxed);
    assert_golden("response_no_route_yet", &exchange(node.address, &request("GET /none/x", "", "")).await);
}

#[tokio::test]
async fn given_a_draining_node_when_a_request_is_sent_then_the_response_matches_the_golden_file() {
    let servers = fake_servers(vec![success("x")]).await;
    let node = node_with(&servers).await;
    node.ingress.drain();
    assert_golden("response_draining", &exchange(node.address, &request("GET /safe/x", "", "")).await);
}

#[tokio::test]
async fn given_readiness_probes_when_answered_then_the_responses_match_the_golden_files() {
    let node = node_with(&[]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let ingress = node.ingress.clone();
    tokio::spawn(async move { ingress.serve_ready(listener).await });
    let probe = |path: &'static str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: probe\r\n\r\n");
        async move { exchange(address, &request).await }
    };
    assert_golden("response_ready", &probe("/api/ready").await);
    assert_golden("response_ready_other_path", &probe("/other").await);
    node.ready.store(false, Ordering::Relaxed);
    assert_golden("response_not_ready", &probe("/api/ready").await);
}
