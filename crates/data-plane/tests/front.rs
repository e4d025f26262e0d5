//! Clients' requests through a front to stand-in servers.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use data_plane::Sender;
use reqwest::Method;
use support::node::{node_before, sends, stand_ins, Node};
use support::{
    answer, answer_text, configuration, entry, nobody, refusal, sender, sender_to, success, Act, StandIn,
};
use tokio::net::TcpListener;
use yare::parameterized;

#[tokio::test]
async fn given_a_route_when_asked_then_request_and_answer_go_through_unchanged() {
    let more = "Postmark: stamp\r\nX-More: yes\r\nKeep-Alive: timeout=9\r\n";
    let servers = stand_ins(vec![answer(201, more, "the bytes")]).await;
    let node = node_before(&servers).await;
    let url = format!("http://{}/safe/a%20b//c?d=%2F&e", node.address);
    let request = node.client.post(url).header("host", "H.example:80").header("attempt-id", "try1");
    let request = request.header("time-left-ms", "1500").header("x-own", "kept");
    let request = request.header("connection", "x-hop").header("x-hop", "dropped").body("a body");
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 201);
    let header = |name: &str| response.headers().get(name).map(|value| value.to_str().expect("text"));
    assert_eq!((header("postmark"), header("attempt-id")), (Some("stamp"), Some("try1")));
    assert_eq!((header("x-more"), header("keep-alive")), (Some("yes"), None));
    assert_eq!(response.text().await.expect("a body"), "the bytes");
    let seen = &servers[0].seen()[0];
    assert_eq!(seen.line, "POST /safe/a%20b//c?d=%2F&e HTTP/1.1");
    assert_eq!((seen.header("host"), seen.header("x-own")), ("H.example:80", "kept"));
    assert_eq!((seen.header("x-hop"), seen.header("expected-carrier")), ("", "server0"));
    assert_eq!(seen.body, b"a body");
    let left: u64 = seen.header("time-left-ms").parse().expect("a number");
    assert!((1..1500).contains(&left), "{left}");
}

#[tokio::test]
async fn given_many_requests_when_asked_then_connections_are_kept() {
    let servers = stand_ins(vec![success("x")]).await;
    let node = node_before(&servers).await;
    for _ in 0..5 {
        assert_eq!(node.get("/safe/x").await.text().await.expect("a body"), "x");
    }
    assert!(servers[0].seen().iter().all(|seen| seen.connection == 0));
}

#[parameterized(
    error = { answer(500, "Postmark: p\r\n", "bad"), 500 },
    missing = { answer(404, "Postmark: p\r\n", "none"), 404 },
    unsafe_looking = { answer(303, "Postmark: p\r\nLocation: /elsewhere\r\n", ""), 303 },
)]
#[test_macro(tokio::test)]
async fn given_a_failure_of_the_server_when_asked_then_it_goes_through_unchanged(script: Act, status: u16) {
    let servers = stand_ins(vec![script]).await;
    let node = node_before(&servers).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(
        (response.status().as_u16(), &response.headers()["postmark"]),
        (status, &"p".parse().expect("text"))
    );
    assert_eq!(sends(&servers), 1);
}

#[parameterized(
    refused = { refusal(), 503 },
    other_server = { answer(421, "", ""), 503 },
    broken_off = { Act::WriteAndClose(answer_text(200, "Postmark: p\r\n", "whole").replace("whole", "cut")), 502 },
    reset = { Act::WriteAndClose(String::new()), 502 },
    no_answer = { Act::WriteAndClose("garbage\r\n\r\n".into()), 502 },
    no_stamp = { answer(200, "", "x"), 502 },
    encoded = { answer(200, "Postmark: p\r\nContent-Encoding: gzip\r\n", "x"), 502 },
    no_length_reset = { Act::WriteAndReset("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\n\r\nx".into()), 502 },
    other_request = { Act::Write(answer_text(200, "Postmark: p\r\n", "x").replace("{id}", "other")), 502 },
    unmarked_refusal = { answer(503, "Postmark: p\r\n", "x"), 503 },
)]
#[test_macro(tokio::test)]
async fn given_no_proper_answer_when_asked_once_then_the_verdict_is_told(script: Act, status: u16) {
    let servers = stand_ins(vec![script]).await;
    let node = node_before(&servers).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), status);
    let is_own = !response.headers().contains_key("postmark");
    assert_eq!(response.headers().contains_key("retry-after"), status == 503 && is_own);
    assert_eq!(sends(&servers), 1);
}

#[tokio::test]
async fn given_an_answer_without_length_when_it_ends_with_its_connection_then_it_is_whole() {
    let text = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\n\r\nthe bytes";
    let servers = stand_ins(vec![Act::WriteAndClose(text.into())]).await;
    let node = node_before(&servers).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!((response.status().as_u16(), response.content_length()), (200, Some(9)));
    assert_eq!(response.text().await.expect("a body"), "the bytes");
    assert_eq!(sends(&servers), 1);
}

#[tokio::test]
async fn given_a_refusal_when_an_unsafe_request_is_asked_then_another_server_runs_it() {
    let servers = stand_ins(vec![refusal(), success("x"), refusal()]).await;
    let node = node_before(&servers).await;
    assert_eq!(node.post("/unsafe/x").await.status(), 200);
    assert_eq!(servers[1].seen().len(), 1);
}

#[tokio::test]
async fn given_a_reset_when_an_unsafe_request_is_asked_then_no_other_server_gets_it() {
    let reset = Act::WriteAndClose(String::new());
    let servers = stand_ins(vec![reset.clone(), reset.clone(), reset]).await;
    let node = node_before(&servers).await;
    assert_eq!(node.post("/unsafe/x").await.status(), 502);
    assert_eq!(sends(&servers), 1);
}

#[tokio::test]
async fn given_resets_when_a_safe_request_is_asked_then_no_more_servers_get_it_than_tries() {
    let reset = Act::WriteAndClose(String::new());
    let servers = stand_ins(vec![reset; 5]).await;
    let node = node_before(&servers).await;
    assert_eq!(node.post("/safe/x").await.status(), 502);
    assert_eq!(sends(&servers), 3);
}

#[tokio::test]
async fn given_one_sound_server_when_a_safe_request_is_asked_then_it_is_served() {
    let reset = Act::WriteAndClose(String::new());
    let servers = stand_ins(vec![reset, success("x"), answer(500, "Postmark: p\r\n", "")]).await;
    let node = node_before(&servers).await;
    for _ in 0..20 {
        assert_eq!(node.post("/safe/x").await.status(), 200);
    }
}

#[tokio::test]
async fn given_nobody_at_the_addresses_when_asked_then_the_client_is_told_to_come_back() {
    let (sender, _changes) =
        sender_to(vec![entry("a", nobody().await, "s"), entry("b", nobody().await, "s")]);
    let node = Node::start(sender).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn given_a_silent_server_when_the_aim_is_in_danger_then_another_one_serves() {
    let servers = stand_ins(vec![Act::Hang, success("x")]).await;
    let node = node_before(&servers).await;
    for _ in 0..2 {
        assert_eq!(node.get("/hasty/x").await.status(), 200);
    }
}

#[tokio::test]
async fn given_a_silent_server_when_the_time_of_the_route_ends_then_the_answer_is_504() {
    let servers = stand_ins(vec![Act::Hang]).await;
    let node = node_before(&servers).await;
    assert_eq!(node.get("/short/x").await.status(), 504);
    servers[0].hang_closed().await;
}

#[tokio::test]
async fn given_a_surplus_answer_when_the_next_request_is_asked_then_it_gets_its_own() {
    let surplus = format!(
        "{}{}",
        answer_text(200, "Postmark: p\r\n", "right"),
        answer_text(200, "Postmark: p\r\n", "late")
    );
    let servers = stand_ins(vec![Act::Write(surplus.replace("late", "l{id}"))]).await;
    let node = node_before(&servers).await;
    for number in 0..10 {
        let url = format!("http://{}/safe/x", node.address);
        let request = node.client.get(url).header("host", "h.example");
        let response = request.header("attempt-id", format!("n{number}")).send().await.expect("an answer");
        if response.status() == 200 {
            assert_eq!(response.headers()["attempt-id"], format!("n{number}"));
            assert_eq!(response.text().await.expect("a body"), "right");
        }
    }
}

#[tokio::test]
async fn given_a_long_answer_when_asked_then_it_comes_whole_or_broken_off() {
    let long = "x".repeat(2_000_000);
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 2000000\r\n\r\n";
    let servers = stand_ins(vec![Act::Write(format!("{head}{long}"))]).await;
    let node = node_before(&servers).await;
    let response = node.get("/safe/x").await;
    assert_eq!(response.content_length(), Some(2_000_000));
    assert_eq!(response.bytes().await.expect("a body").len(), 2_000_000);

    let cut = stand_ins(vec![Act::WriteAndClose(format!("{head}{}", &long[..1_500_000]))]).await;
    let node = node_before(&cut).await;
    assert!(node.get("/safe/x").await.bytes().await.is_err());
}

#[parameterized(
    unknown_path = { "/none/x", true, 404 },
    unknown_prefix = { "/safe", true, 404 },
    unconfirmed = { "/none/x", false, 503 },
    no_servers = { "/nowhere/x", true, 503 },
)]
#[test_macro(tokio::test)]
async fn given_no_way_when_asked_then_it_is_told_at_once(path: &str, confirmed: bool, status: u16) {
    let servers = stand_ins(vec![success("")]).await;
    let node = node_before(&servers).await;
    node.confirmed.store(confirmed, Ordering::Relaxed);
    let response = node.get(path).await;
    assert_eq!(response.status(), status);
    assert_eq!(response.headers().contains_key("retry-after"), status == 503);
    assert_eq!(sends(&servers), 0);
}

#[tokio::test]
async fn given_limits_when_a_request_is_larger_then_it_is_refused() {
    let servers = stand_ins(vec![success("")]).await;
    let node = node_before(&servers).await;
    let large = "x".repeat(5001);
    let response = node.ask(Method::POST, "/safe/x", &large).await.expect("an answer");
    assert_eq!(response.status(), 413);
    let url = format!("http://{}/safe/x", node.address);
    let request = node.client.get(url).header("host", "h.example").header("attempt-id", "try1");
    let response = request.header("x-long", &large[..2000]).send().await.expect("an answer");
    assert_eq!(response.status(), 431);
    assert_eq!(sends(&servers), 0);
}

#[parameterized(
    submit = { Method::POST, "/rollout/1", 202 },
    read = { Method::GET, "/api/lots/abc", 202 },
    end = { Method::DELETE, "/api/lots/abc", 202 },
    body = { Method::GET, "/api/items/abc", 202 },
    no_submit = { Method::GET, "/rollout/1", 405 },
)]
#[test_macro(tokio::test)]
async fn given_calls_on_batch_jobs_when_asked_then_their_endpoint_answers(
    method: Method,
    path: &str,
    status: u16,
) {
    let node = node_before(&[]).await;
    let response = node.ask(method, path, "").await.expect("an answer");
    assert_eq!(response.status(), status);
    if status == 202 {
        assert_eq!(response.text().await.expect("a body"), path);
    }
}

#[tokio::test]
async fn given_a_client_that_leaves_when_its_server_works_then_the_attempt_ends() {
    let servers = stand_ins(vec![Act::Hang]).await;
    let node = node_before(&servers).await;
    let asking = tokio::spawn({
        let url = format!("http://{}/safe/x", node.address);
        let request = node.client.get(url).header("host", "h.example").header("attempt-id", "try1");
        request.send()
    });
    while servers[0].seen().is_empty() {
        tokio::task::yield_now().await;
    }
    asking.abort();
    servers[0].hang_closed().await;
}

#[tokio::test]
async fn given_readiness_when_the_platform_asks_then_it_is_told() {
    let node = node_before(&[]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/api/ready", listener.local_addr().expect("an address"));
    let front = node.front.clone();
    tokio::spawn(async move { front.serve_ready(listener).await });
    let ask = || async { node.client.get(&url).send().await.expect("an answer").status() };
    assert_eq!(ask().await, 200);
    node.ready.store(false, Ordering::Relaxed);
    assert_eq!(ask().await, 503);
    node.ready.store(true, Ordering::Relaxed);
    node.front.drain();
    assert_eq!(ask().await, 503);
}

#[tokio::test]
async fn given_a_draining_front_when_asked_then_it_serves_and_closes_the_connection() {
    let servers = stand_ins(vec![success("x")]).await;
    let node = node_before(&servers).await;
    node.front.drain();
    let response = node.get("/safe/x").await;
    assert_eq!(response.headers()["connection"], "close");
    assert_eq!(response.text().await.expect("a body"), "x");
    assert!(!node.serving.is_finished());
}

#[tokio::test]
async fn given_no_configuration_when_asked_then_the_client_is_told_to_come_back() {
    let (_changes, view) = tokio::sync::watch::channel(Arc::new(state::View::default()));
    let node = Node::start(Sender::new(view, "zone".into())).await;
    let response = node.get("/safe/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn given_a_newer_view_when_asked_then_it_is_followed_at_once() {
    let servers = stand_ins(vec![success("x"), success("x")]).await;
    let (sender, changes) = sender(&[&servers[0]]);
    let node = Node::start(sender).await;
    assert_eq!(node.get("/safe/x").await.status(), 200);
    changes.send_replace(Arc::new(state::View {
        configuration: Some(Arc::new(configuration())),
        servers: support::list(vec![entry("server1", servers[1].address, "s")]),
        ..state::View::default()
    }));
    assert_eq!(node.get("/safe/x").await.status(), 200);
    assert_eq!((servers[0].seen().len(), servers[1].seen().len()), (1, 1));
}

#[tokio::test]
async fn given_one_server_that_resets_when_a_safe_request_is_asked_then_it_is_tried_again_there() {
    let script = |_: &support::Seen, number| match number {
        0 | 1 => Act::WriteAndClose(String::new()),
        _ => success("x"),
    };
    let servers = [StandIn::start("a", script).await];
    let node = node_before(&servers).await;
    assert_eq!(node.get("/safe/x").await.status(), 200);
    assert_eq!(sends(&servers), 3);
}

#[tokio::test]
async fn given_a_head_request_when_asked_then_the_length_is_told_without_a_body() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 70\r\n\r\n";
    let servers = stand_ins(vec![Act::Write(head.into())]).await;
    let node = node_before(&servers).await;
    let response = node.ask(Method::HEAD, "/safe/x", "").await.expect("an answer");
    assert_eq!(
        (response.status().as_u16(), &response.headers()["content-length"]),
        (200, &"70".parse().expect("text"))
    );
}

#[tokio::test]
async fn given_held_requests_when_the_front_drains_then_they_are_finished_before_it_ends() {
    let let_go = Arc::new(tokio::sync::Notify::new());
    let held = Act::WriteWhenLet(Arc::clone(&let_go), answer_text(200, "Postmark: p\r\n", "whole"));
    let servers = stand_ins(vec![held]).await;
    let (sender, _changes) = sender(&[&servers[0]]);
    let node = Node::start_with(sender, Duration::ZERO).await;
    let url = format!("http://{}/unsafe/x", node.address);
    let request = node.client.post(url).header("host", "h.example").header("attempt-id", "try1");
    let asking = tokio::spawn(request.send());
    while servers[0].seen().is_empty() {
        tokio::task::yield_now().await;
    }
    node.front.drain();
    // No new connection is taken any more, so the end has begun.
    while tokio::net::TcpStream::connect(node.address).await.is_ok() {}
    assert!(!node.serving.is_finished());
    let_go.notify_one();
    let response = asking.await.expect("no panic").expect("an answer");
    assert_eq!(response.headers()["connection"], "close");
    assert_eq!(response.text().await.expect("a body"), "whole");
    assert!(node.serving.await.expect("no panic").is_ok());
}
