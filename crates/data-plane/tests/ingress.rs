//! Tests of requests that an ingress forwards from a client to fake servers, and of the node's own responses.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use data_plane::Forwarder;
use reqwest::Method;
use support::node::{fake_servers, node_with, received_count, Node};
use support::{
    configuration, forwarder, forwarder_with_entries, rejection, response, response_text, server_entry,
    success, unused_address, FakeServer, Reaction,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The time limit for a rejection before the body is received; the timeout of the route is longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

#[tokio::test]
async fn given_a_route_when_a_request_matches_it_then_request_and_response_are_forwarded_unchanged() {
    let extra_headers = "Postmark: stamp\r\nX-More: yes\r\nKeep-Alive: timeout=9\r\n";
    let servers = fake_servers(vec![response(201, extra_headers, "the bytes")]).await;
    let node = node_with(&servers).await;
    let url = format!("http://{}/safe/a%20b//c?d=%2F&e", node.address);
    let request = node.client.post(url).header("host", "H.example:80").header("attempt-id", "try1");
    let request = request.header("time-left-ms", "1500").header("x-own", "kept");
    let request = request.header("connection", "x-hop").header("x-hop", "dropped").body("a body");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status(), 201);
    let header = |name: &str| response.headers().get(name).map(|value| value.to_str().expect("text"));
    assert_eq!((header("postmark"), header("attempt-id")), (Some("stamp"), Some("try1")));
    assert_eq!((header("x-more"), header("keep-alive")), (Some("yes"), None));
    assert_eq!(response.text().await.expect("a body"), "the bytes");
    let received = &servers[0].received()[0];
    assert_eq!(received.line, "POST /safe/a%20b//c?d=%2F&e HTTP/1.1");
    assert_eq!((received.header("host"), received.header("x-own")), ("H.example:80", "kept"));
    assert_eq!((received.header("x-hop"), received.header("expected-carrier")), ("", "server0"));
    assert_eq!(received.body, b"a body");
    let time_left: u64 = received.header("time-left-ms").parse().expect("a number");
    assert!((1..1500).contains(&time_left), "time left: {time_left} ms");
}

#[tokio::test]
async fn given_consecutive_requests_when_forwarded_then_the_connection_is_reused() {
    let servers = fake_servers(vec![success("x")]).await;
    let node = node_with(&servers).await;
    for _ in 0..5 {
        assert_eq!(node.get("/safe/x").await.text().await.expect("a body"), "x");
    }
    assert!(servers[0].received().iter().all(|received| received.connection == 0));
}

#[parameterized(
    server_error = { response(500, "Postmark: p\r\n", "bad"), 500 },
    not_found = { response(404, "Postmark: p\r\n", "none"), 404 },
    redirect = { response(303, "Postmark: p\r\nLocation: /elsewhere\r\n", ""), 303 },
)]
#[test_macro(tokio::test)]
async fn given_an_error_or_redirect_when_received_then_it_is_forwarded(reaction: Reaction, status: u16) {
    let servers = fake_servers(vec![reaction]).await;
    let node = node_with(&servers).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(
        (response.status().as_u16(), &response.headers()["postmark"]),
        (status, &"p".parse().expect("text"))
    );
    assert_eq!(received_count(&servers), 1);
}

#[parameterized(
    rejected = { rejection(), 503 },
    other_server = { response(421, "", ""), 503 },
    truncated = { Reaction::WriteAndClose(response_text(200, "Postmark: p\r\n", "complete").replace("complete", "cut")), 502 },
    connection_closed = { Reaction::WriteAndClose(String::new()), 502 },
    no_http_response = { Reaction::WriteAndClose("garbage\r\n\r\n".into()), 502 },
    no_stamp = { response(200, "", "x"), 502 },
    encoded = { response(200, "Postmark: p\r\nContent-Encoding: gzip\r\n", "x"), 502 },
    no_length_reset = { Reaction::WriteAndReset("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\n\r\nx".into()), 502 },
    other_request = { Reaction::Write(response_text(200, "Postmark: p\r\n", "x").replace("{id}", "other")), 502 },
    unavailable_without_not_run = { response(503, "Postmark: p\r\n", "x"), 503 },
)]
#[test_macro(tokio::test)]
async fn given_no_valid_response_when_attempted_once_then_the_status_shows_whether_it_may_have_been_executed(
    reaction: Reaction,
    status: u16,
) {
    let servers = fake_servers(vec![reaction]).await;
    let node = node_with(&servers).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), status);
    let is_from_node = !response.headers().contains_key("postmark");
    assert_eq!(response.headers().contains_key("retry-after"), status == 503 && is_from_node);
    assert_eq!(received_count(&servers), 1);
}

#[tokio::test]
async fn given_a_response_without_length_when_it_ends_with_its_connection_then_it_is_complete() {
    let text = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\n\r\nthe bytes";
    let servers = fake_servers(vec![Reaction::WriteAndClose(text.into())]).await;
    let node = node_with(&servers).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!((response.status().as_u16(), response.content_length()), (200, Some(9)));
    assert_eq!(response.text().await.expect("a body"), "the bytes");
    assert_eq!(received_count(&servers), 1);
}

#[tokio::test]
async fn given_a_rejection_when_an_unsafe_request_is_sent_then_another_server_runs_it() {
    let servers = fake_servers(vec![rejection(), success("x"), rejection()]).await;
    let node = node_with(&servers).await;
    assert_eq!(node.post("/unsafe/x").await.status(), 200);
    assert_eq!(servers[1].received().len(), 1);
}

#[tokio::test]
async fn given_a_closed_connection_when_an_unsafe_request_is_sent_then_no_other_server_receives_it() {
    let closing = Reaction::WriteAndClose(String::new());
    let servers = fake_servers(vec![closing.clone(), closing.clone(), closing]).await;
    let node = node_with(&servers).await;
    assert_eq!(node.post("/unsafe/x").await.status(), 502);
    assert_eq!(received_count(&servers), 1);
}

#[tokio::test]
async fn given_closed_connections_when_a_safe_request_is_sent_then_the_route_limits_the_attempts() {
    let closing = Reaction::WriteAndClose(String::new());
    let servers = fake_servers(vec![closing; 5]).await;
    let node = node_with(&servers).await;
    assert_eq!(node.post("/safe/x").await.status(), 502);
    assert_eq!(received_count(&servers), 3);
}

#[tokio::test]
async fn given_one_healthy_server_when_a_safe_request_is_sent_then_it_is_served() {
    let closing = Reaction::WriteAndClose(String::new());
    let servers = fake_servers(vec![closing, success("x"), response(500, "Postmark: p\r\n", "")]).await;
    let node = node_with(&servers).await;
    for _ in 0..20 {
        assert_eq!(node.post("/safe/x").await.status(), 200);
    }
}

#[tokio::test]
async fn given_unreachable_servers_when_a_request_is_sent_then_the_response_has_retry_after() {
    let (forwarder, _view_sender) = forwarder_with_entries(vec![
        server_entry("a", unused_address().await, "s"),
        server_entry("b", unused_address().await, "s"),
    ]);
    let node = Node::start(forwarder).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn given_an_unresponsive_server_when_the_hedge_delay_has_passed_then_a_hedged_request_is_served() {
    let servers = fake_servers(vec![Reaction::Hang, success("x")]).await;
    let node = node_with(&servers).await;
    for _ in 0..2 {
        assert_eq!(node.get("/hasty/x").await.status(), 200);
    }
}

#[tokio::test]
async fn given_an_unresponsive_server_when_the_route_times_out_then_the_status_is_504() {
    let servers = fake_servers(vec![Reaction::Hang]).await;
    let node = node_with(&servers).await;
    assert_eq!(node.get("/short/x").await.status(), 504);
    servers[0].wait_for_close().await;
}

#[tokio::test]
async fn given_a_surplus_response_when_the_next_request_is_sent_then_it_never_receives_the_surplus_one() {
    let surplus = format!(
        "{}{}",
        response_text(200, "Postmark: p\r\n", "right"),
        response_text(200, "Postmark: p\r\n", "late")
    );
    let servers = fake_servers(vec![Reaction::Write(surplus.replace("late", "l{id}"))]).await;
    let node = node_with(&servers).await;
    for number in 0..10 {
        let url = format!("http://{}/safe/x", node.address);
        let request = node.client.get(url).header("host", "h.example");
        let response = request.header("attempt-id", format!("n{number}")).send().await.expect("a response");
        if response.status() == 200 {
            assert_eq!(response.headers()["attempt-id"], format!("n{number}"));
            assert_eq!(response.text().await.expect("a body"), "right");
        }
    }
}

#[tokio::test]
async fn given_a_long_response_when_forwarded_then_a_truncated_one_is_not_received_as_complete() {
    let long = "x".repeat(2_000_000);
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 2000000\r\n\r\n";
    let servers = fake_servers(vec![Reaction::Write(format!("{head}{long}"))]).await;
    let node = node_with(&servers).await;
    let response = node.get("/safe/x").await;
    assert_eq!(response.content_length(), Some(2_000_000));
    assert_eq!(response.bytes().await.expect("a body").len(), 2_000_000);

    let servers = fake_servers(vec![Reaction::WriteAndClose(format!("{head}{}", &long[..1_500_000]))]).await;
    let node = node_with(&servers).await;
    assert!(node.get("/safe/x").await.bytes().await.is_err());
}

#[parameterized(
    unknown_path = { "/none/x", true, 404 },
    prefix_without_trailing_slash = { "/safe", true, 404 },
    unconfirmed = { "/none/x", false, 503 },
    no_servers = { "/nowhere/x", true, 503 },
)]
#[test_macro(tokio::test)]
async fn given_no_route_or_server_when_a_request_is_sent_then_it_is_rejected_without_an_attempt(
    path: &str,
    confirmed: bool,
    status: u16,
) {
    let servers = fake_servers(vec![success("")]).await;
    let node = node_with(&servers).await;
    node.confirmed.store(confirmed, Ordering::Relaxed);
    let response = node.get(path).await;
    assert_eq!(response.status(), status);
    assert_eq!(response.headers().contains_key("retry-after"), status == 503);
    assert_eq!(received_count(&servers), 0);
}

#[tokio::test]
async fn given_size_limits_when_a_request_exceeds_them_then_it_is_rejected() {
    let servers = fake_servers(vec![success("")]).await;
    let node = node_with(&servers).await;
    let large = "x".repeat(5001);
    let response = node.send(Method::POST, "/safe/x", &large).await.expect("a response");
    assert_eq!(response.status(), 413);
    let url = format!("http://{}/safe/x", node.address);
    let request = node.client.get(url).header("host", "h.example").header("attempt-id", "try1");
    let response = request.header("x-long", &large[..2000]).send().await.expect("a response");
    assert_eq!(response.status(), 431);
    assert_eq!(received_count(&servers), 0);
}

#[tokio::test]
async fn given_a_declared_length_over_the_limit_when_no_body_is_sent_then_it_is_rejected_immediately() {
    const HEAD: &[u8] =
        b"POST /safe/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: try1\r\ncontent-length: 5001\r\n\r\n";
    let servers = fake_servers(vec![success("")]).await;
    let node = node_with(&servers).await;
    let mut connection = TcpStream::connect(&node.address).await.expect("a connection");
    connection.write_all(HEAD).await.expect("the head can be sent");
    let mut status_line = [0; 12];
    let read = connection.read_exact(&mut status_line);
    tokio::time::timeout(RESPONSE_TIMEOUT, read).await.expect("an immediate response").expect("a response");
    assert_eq!(&status_line, b"HTTP/1.1 413");
    assert_eq!(received_count(&servers), 0);
}

#[parameterized(
    submit = { Method::POST, "/rollout/1", 202 },
    read = { Method::GET, "/api/lots/abc", 202 },
    end = { Method::DELETE, "/api/lots/abc", 202 },
    body = { Method::GET, "/api/items/abc", 202 },
    wrong_method = { Method::GET, "/rollout/1", 405 },
)]
#[test_macro(tokio::test)]
async fn given_requests_that_concern_batch_jobs_when_sent_then_the_job_endpoint_responds(
    method: Method,
    path: &str,
    status: u16,
) {
    let node = node_with(&[]).await;
    let response = node.send(method, path, "").await.expect("a response");
    assert_eq!(response.status(), status);
    if status == 202 {
        assert_eq!(response.text().await.expect("a body"), path);
    }
}

#[tokio::test]
async fn given_a_client_that_disconnects_when_its_request_is_in_flight_then_the_attempt_is_cancelled() {
    let servers = fake_servers(vec![Reaction::Hang]).await;
    let node = node_with(&servers).await;
    let pending_request = tokio::spawn({
        let url = format!("http://{}/safe/x", node.address);
        let request = node.client.get(url).header("host", "h.example").header("attempt-id", "try1");
        request.send()
    });
    while servers[0].received().is_empty() {
        tokio::task::yield_now().await;
    }
    pending_request.abort();
    servers[0].wait_for_close().await;
}

#[tokio::test]
async fn given_readiness_probes_when_the_node_is_ready_or_draining_then_the_status_shows_it() {
    let node = node_with(&[]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let url = format!("http://{}/api/ready", listener.local_addr().expect("an address"));
    let ingress = node.ingress.clone();
    tokio::spawn(async move { ingress.serve_ready(listener).await });
    let probe = || async { node.client.get(&url).send().await.expect("a response").status() };
    assert_eq!(probe().await, 200);
    node.ready.store(false, Ordering::Relaxed);
    assert_eq!(probe().await, 503);
    node.ready.store(true, Ordering::Relaxed);
    node.ingress.drain();
    assert_eq!(probe().await, 503);
}

#[tokio::test]
async fn given_a_draining_ingress_when_a_request_is_sent_then_it_is_served_and_the_connection_is_closed() {
    let servers = fake_servers(vec![success("x")]).await;
    let node = node_with(&servers).await;
    node.ingress.drain();
    let response = node.get("/safe/x").await;
    assert_eq!(response.headers()["connection"], "close");
    assert_eq!(response.text().await.expect("a body"), "x");
    assert!(!node.serving.is_finished());
}

#[tokio::test]
async fn given_no_configuration_when_a_request_is_sent_then_the_response_has_retry_after() {
    let (_view_sender, view) = tokio::sync::watch::channel(Arc::new(state::View::default()));
    let node = Node::start(Forwarder::new(view, "zone".into())).await;
    let response = node.get("/safe/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn given_a_newer_view_when_the_next_request_is_sent_then_the_newer_view_is_used() {
    let servers = fake_servers(vec![success("x"), success("x")]).await;
    let (forwarder, view_sender) = forwarder(&[&servers[0]]);
    let node = Node::start(forwarder).await;
    assert_eq!(node.get("/safe/x").await.status(), 200);
    view_sender.send_replace(Arc::new(state::View {
        configuration: Some(Arc::new(configuration())),
        servers: support::server_list(vec![server_entry("server1", servers[1].address, "s")]),
        ..state::View::default()
    }));
    assert_eq!(node.get("/safe/x").await.status(), 200);
    assert_eq!((servers[0].received().len(), servers[1].received().len()), (1, 1));
}

#[tokio::test]
async fn given_one_server_that_closes_connections_when_a_safe_request_is_sent_then_it_is_retried_there() {
    let script = |_: &support::ReceivedRequest, number| match number {
        0 | 1 => Reaction::WriteAndClose(String::new()),
        _ => success("x"),
    };
    let servers = [FakeServer::start("a", script).await];
    let node = node_with(&servers).await;
    assert_eq!(node.get("/safe/x").await.status(), 200);
    assert_eq!(received_count(&servers), 3);
}

#[tokio::test]
async fn given_a_head_request_when_forwarded_then_the_response_has_the_declared_length() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 70\r\n\r\n";
    let servers = fake_servers(vec![Reaction::Write(head.into())]).await;
    let node = node_with(&servers).await;
    let response = node.send(Method::HEAD, "/safe/x", "").await.expect("a response");
    assert_eq!(
        (response.status().as_u16(), &response.headers()["content-length"]),
        (200, &"70".parse().expect("text"))
    );
}

#[tokio::test]
async fn given_a_request_in_flight_when_the_ingress_drains_then_it_is_completed_before_serving_ends() {
    let notification = Arc::new(tokio::sync::Notify::new());
    let reaction = Reaction::WriteWhenNotified(
        Arc::clone(&notification),
        response_text(200, "Postmark: p\r\n", "complete"),
    );
    let servers = fake_servers(vec![reaction]).await;
    let (forwarder, _view_sender) = forwarder(&[&servers[0]]);
    let node = Node::start_with_accept_time(forwarder, Duration::ZERO).await;
    let url = format!("http://{}/unsafe/x", node.address);
    let request = node.client.post(url).header("host", "h.example").header("attempt-id", "try1");
    let pending_request = tokio::spawn(request.send());
    while servers[0].received().is_empty() {
        tokio::task::yield_now().await;
    }
    node.ingress.drain();
    // Once connections are refused, the ingress has closed its listener and waits for the requests in flight.
    while tokio::net::TcpStream::connect(node.address).await.is_ok() {}
    assert!(!node.serving.is_finished());
    notification.notify_one();
    let response = pending_request.await.expect("a task that does not panic").expect("a response");
    assert_eq!(response.headers()["connection"], "close");
    assert_eq!(response.text().await.expect("a body"), "complete");
    assert!(node.serving.await.expect("a task that does not panic").is_ok());
}
