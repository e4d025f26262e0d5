//! Attempts at servers: what is forwarded, retried, cancelled and answered in time.

use std::net::Shutdown;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::net::*;

#[test]
fn a_request_is_forwarded_and_its_answer_returned_unchanged() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    for _ in 0..2 {
        let sent = request("update", 20.0);
        client.send(&sent);
        let exchange = server.request();
        assert_eq!(exchange.request.start_line, "POST /api?k=7f3a HTTP/1.1");
        assert_eq!(exchange.request.body, b"work");
        let id = exchange.request.header("x-request-id").expect("forwarded");
        assert!(sent.contains(&format!("x-request-id: {id}\r\n")));
        assert_eq!(exchange.request.header("idempotency-key"), Some("k1"));
        let time_left: f64 =
            exchange.request.header("x-deadline").and_then(|t| t.parse().ok()).expect("a deadline");
        assert!(time_left > 1.0 && time_left < 20.0, "x-deadline: {time_left}");
        assert_eq!(exchange.connection, 0, "the connection was not reused");
        exchange.answer(OK, "", b"an \x00 answer");
        let answer = client.response();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"an \x00 answer"[..]));
    }
}

/// An unsafe request is retried only if it is known not to have run.
#[test]
fn an_unsafe_request_is_retried_if_the_response_proves_that_it_did_not_run() {
    for (status, headers) in
        [("503 Busy", "x-not-run: 1\r\n"), ("504 Late", "x-not-run: 1\r\nx-load: inflight=3,queue=1\r\n")]
    {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (first, exchange) = request_to_either(&servers);
        exchange.answer(status, headers, b"");
        servers[1 - first].request().answer(OK, "", b"done");
        assert_eq!(client.response().status(), 200, "{status}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_without_a_retry() {
    type Script = fn(Exchange);
    let scripts: [(&str, Script); 14] = [
        ("a body without length or chunks", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\n\r\nhalf");
            drop(exchange.stream.shutdown(Shutdown::Both));
        }),
        ("two different lengths", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nwork");
        }),
        ("a length and a transfer encoding", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n");
            exchange.write(b"transfer-encoding: chunked\r\n\r\n4\r\nwork\r\n0\r\n\r\n");
        }),
        ("a switch to another protocol", |mut exchange| {
            exchange.write(b"HTTP/1.1 101 Other\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n");
        }),
        ("a length of 3 GB", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nhalf")
        }),
        ("a head over the limit", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\nx-more: ");
            exchange.write(&vec![b'x'; 40_000]);
        }),
        ("bytes that are not HTTP", |mut exchange| exchange.write(b"\x00\x01\x02\r\n\r\n")),
        ("an error", |exchange| exchange.answer("500 Broken", "", b"")),
        ("an error with a load report", |exchange| {
            exchange.answer("500 Broken", "x-load: inflight=2,queue=0\r\n", b"")
        }),
        ("a rejection without X-Not-Run", |exchange| exchange.answer("503 Busy", "", b"")),
        ("a success status other than 200", |exchange| exchange.answer("204 Nothing", "", b"")),
        ("a closed connection", |exchange| drop(exchange.stream.shutdown(Shutdown::Both))),
        ("an incomplete body", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
            drop(exchange.stream.shutdown(Shutdown::Both));
        }),
        ("a body over the limit", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 65537\r\n\r\n");
            exchange.write(&vec![b'x'; 65_537]);
        }),
    ];
    for (name, script) in scripts {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        script(request_to_either(&servers).1);
        assert_eq!(client.response().status(), 502, "{name}");
        assert!(!servers[0].has_request() && !servers[1].has_request(), "{name}: the request was retried");
    }
}

#[test]
fn an_unsafe_request_is_retried_if_its_server_is_unreachable() {
    let server = Server::start();
    let members = [member("unreachable", unused_address(), "active"), member("s", server.address, "active")];
    let node = Node::start(&config(&members));
    // Both servers start with the same count, so at least one of three requests is first sent to the
    // unreachable one.
    for _ in 0..3 {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        server.request().answer(OK, "", b"");
        assert_eq!(client.response().status(), 200);
    }
}

/// The deadline counts from the sending of the request. The node must respond before it even if the server
/// does not.
#[test]
fn an_attempt_at_an_unresponsive_server_is_closed_and_its_client_answered_in_time() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let since = Instant::now();
    client.send(&request("pay", 3.0));
    let mut exchange = server.request();
    assert_eq!(client.response().status(), 502);
    assert!(since.elapsed() < Duration::from_secs(3), "answered after {:?}", since.elapsed());
    assert!(
        since.elapsed() > Duration::from_millis(1_500),
        "the attempt ended too early: {:?}",
        since.elapsed()
    );
    exchange.wait_until_closed();
    assert!(!server.has_request());
}

#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("read", 60.0));
    let mut exchange = server.request();
    drop(client);
    exchange.wait_until_closed();
    assert!(!server.has_request(), "the request was sent again");
    // The node still serves the next client.
    let mut client = node.client();
    client.send(&request("read", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

/// Guards against two concurrent attempts: dropping the future of an attempt does not yet close its socket.
#[test]
fn a_cancelled_attempt_is_closed_before_the_next_begins() {
    for _ in 0..5 {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        // Each server gets a connection that stays open, so that the next attempt need not wait for one.
        let mut clients = [node.client(), node.client()];
        clients.iter_mut().for_each(|client| client.send(&request("read", 20.0)));
        servers.iter().for_each(|server| server.request().answer(OK, "", b""));
        clients.iter_mut().for_each(|client| assert_eq!(client.response().status(), 200));
        let mut client = node.client();
        client.send(&request("read", 20.0));
        let (at, mut first) = request_to_either(&servers);
        // The body exceeds the limit and is incomplete, so the server still has the connection open.
        first.write(b"HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\n");
        first.write(&vec![b'x'; 70_000]);
        let next = servers[1 - at].request();
        assert!(first.is_closed(), "two attempts were in flight");
        next.answer(OK, "", b"");
        assert_eq!(client.response().status(), 200);
    }
}

/// A request whose connection is not established has not run, so even an unsafe one is retried.
#[test]
fn an_unsafe_request_is_retried_if_its_connection_is_not_established_in_time() {
    let (_slow, address, _filler) = full_listener();
    let server = Server::start();
    let mut config = config(&[member("slow", address, "active"), member("s", server.address, "active")]);
    config["settings"]["allowed"]["dial_timeout_ms"] = json!(300.0);
    let node = Node::start(&config);
    // Both servers start with the same count, so at least one of these requests is first sent to the slow
    // one.
    for _ in 0..3 {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        server.request().answer(OK, "", b"");
        assert_eq!(client.response().status(), 200);
    }
}

/// The dial timeout of the settings may be as long as a request's deadline. The node abandons a dial after a
/// fraction of the remaining time, so that even an unsafe request is retried at another server.
#[test]
fn a_stuck_dial_leaves_time_for_another_server() {
    let (_slow, address, _filler) = full_listener();
    let server = Server::start();
    let node =
        Node::start(&config(&[member("s0", address, "active"), member("s1", server.address, "active")]));
    let mut clients = [node.client(), node.client()];
    clients.iter_mut().for_each(|client| client.send(&request("pay", 8.0)));
    (0..2).for_each(|_| server.request().answer(OK, "", b""));
    assert!(clients.iter_mut().all(|client| client.response().status() == 200));
}

/// Checks a stalled attempt from end to end: the timer fires, the connection is closed, and the request is
/// retried at another server.
#[test]
fn stalled_requests_are_retried_at_another_server() {
    let servers = [Server::start(), Server::start()];
    let node = Node::with_servers(&[&servers[0], &servers[1]]);
    let mut clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("read", 60.0)));
    let mut unanswered = [(); 3].map(|()| servers[0].request());
    for _ in 0..6 {
        servers[1].request().answer(OK, "", b"");
    }
    assert!(clients.iter_mut().all(|client| client.response().status() == 200));
    unanswered.iter_mut().for_each(Exchange::wait_until_closed);
}
