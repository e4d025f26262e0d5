//! Connections to servers, their load reports and responses, and servers that are removed or drain.

use std::io::Read;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::net::*;

/// Guards against requests that are written to a connection while its server closes it.
#[test]
fn an_idle_connection_is_closed_before_its_server_closes_it() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["conn_idle_ms"] = json!(4_000.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    exchange.answer(OK, "", b"");
    let since = Instant::now();
    assert_eq!(client.response().status(), 200);
    assert!(matches!(server.next_event(), ServerEvent::Closed(0)));
    assert!(since.elapsed() < Duration::from_millis(4_000), "closed after {:?}", since.elapsed());
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    assert_eq!(exchange.connection, 1);
    exchange.answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

/// A request must not fail because its server has closed the idle connection, or has announced with the
/// previous response that it will close it. The requests are unsafe, so a retry cannot hide the failure.
#[test]
fn a_connection_that_its_server_closes_is_not_reused() {
    for headers in ["", "connection: close\r\n"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        for round in 0..5 {
            client.send(&request("pay", 20.0));
            let exchange = server.request();
            assert_eq!(exchange.connection, round, "response headers {headers:?}");
            let stream = exchange.stream.try_clone().expect("cloned");
            exchange.answer(OK, headers, b"");
            assert_eq!(client.response().status(), 200);
            if headers.is_empty() {
                stream.shutdown(Shutdown::Both).expect("closed");
            }
        }
    }
}

/// While the node connects to the selected server, that server may begin to drain. It must then get no new
/// request.
#[test]
fn a_server_that_drains_during_a_slow_connect_gets_no_request() {
    check_update_while_connecting(|slow| list(2, false, &[member("slow", slow, "leaving")]));
    // A complete list removes a server that it does not name.
    check_update_while_connecting(|_| list(2, true, &[]));
}

/// Applies an update of the list while the node connects to its only server, and checks that the request is
/// rejected and not sent.
fn check_update_while_connecting(update: fn(SocketAddr) -> Value) {
    let (slow, address, filler) = full_listener();
    let node = Node::start(&config(&[member("slow", address, "active")]));
    let poll = node.discovery.request();
    let mut client = node.client();
    client.send(&request("pay", 25.0));
    wait_until_dialing(address);
    poll.answer(OK, "", update(address).to_string().as_bytes());
    // The next poll shows that the list has been applied.
    assert!(node.discovery.request().request.start_line.contains("since=2&"));
    drop(slow.accept().expect("the connection that fills the backlog"));
    drop(filler);
    let (mut stream, _) = slow.accept().expect("the node's connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    assert_eq!(stream.read(&mut [0; 1]).ok(), Some(0), "bytes were sent to the server");
    assert_eq!(client.response().status(), 503);
}

/// While a node runs, servers with new ids are added and removed again and again, so it must free the memory
/// of removed ones.
#[test]
fn removed_servers_take_no_memory() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let stays = member("s0", server.address, "active");
    let mut revision = 1;
    let mut round = |polls: usize| {
        for _ in 0..polls {
            revision += 1;
            let id = |i| format!("{}-{revision}-{i}", "x".repeat(200));
            let mut members: Vec<Value> =
                (0..400).map(|i| member(&id(i), server.address, "active")).collect();
            members.push(stays.clone());
            let poll = node.discovery.request();
            poll.answer(OK, "", list(revision, true, &members).to_string().as_bytes());
            // A delta removes servers, too.
            members.iter_mut().skip(200).take(200).for_each(|member| member["phase"] = json!("left"));
            revision += 1;
            let change = list(revision, false, &members[200..400]).to_string();
            node.discovery.request().answer(OK, "", change.as_bytes());
        }
        revision += 1;
        let last = list(revision, true, std::slice::from_ref(&stays)).to_string();
        node.discovery.request().answer(OK, "", last.as_bytes());
    };
    round(10);
    let before = node.resident_memory();
    round(100);
    let grown = node.resident_memory().saturating_sub(before);
    assert!(grown < 8 << 20, "the memory has grown by {grown} bytes for 40,000 removed servers");
    assert_served_by(&node, &server);
}

/// The response of a server that was removed from the list during the attempt is still returned, and the
/// connection is not reused for another server at the same address.
#[test]
fn the_response_of_a_removed_server_is_returned_to_the_client() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    let next = list(2, true, &[member("s1", server.address, "active")]);
    node.discovery.request().answer(OK, "", next.to_string().as_bytes());
    assert!(node.discovery.request().request.start_line.contains("since=2&"));
    exchange.answer(OK, "", b"late");
    assert_eq!(client.response().body, b"late");
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    assert_eq!(exchange.connection, 1, "the removed server's connection was used for the new server");
    exchange.answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

/// A load report overwrites the node's count of requests at the server, with either set of field names and
/// even with an error response. Without the report, the node's own requests would soon raise the other
/// server's count above it.
#[test]
fn a_load_report_determines_the_next_selections() {
    for (status, load) in [
        (OK, "waiting=3,active=5000"),
        (OK, "inflight=5000,queue=3,util=0.61"),
        ("500 Broken", "waiting=3,active=5000"),
    ] {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (loaded, exchange) = request_to_either(&servers);
        exchange.answer(status, &format!("x-load: {load}\r\n"), b"");
        client.response();
        for _ in 0..6 {
            client.send(&request("pay", 20.0));
            let (at, exchange) = request_to_either(&servers);
            assert_eq!(at, 1 - loaded, "{status}, {load}");
            exchange.answer(OK, "", b"");
            assert_eq!(client.response().status(), 200);
        }
    }
}

/// Bytes after a complete response belong to no request. On a reused connection, they would be taken for the
/// response to the next request.
#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_one() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine";
    for (n, (extra, written_separately)) in
        [(good, false), (good, true), ("noise", false), ("noise", true)].into_iter().enumerate()
    {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let mut exchange = server.request();
        assert_eq!(exchange.connection, n);
        if written_separately {
            exchange.write(good.as_bytes());
            exchange.write(extra.as_bytes());
        } else {
            exchange.write(&[good, extra].concat().into_bytes());
        }
        assert_eq!(client.response().body, b"mine");
    }
}

/// Interim responses with status 1xx precede the final one and must not be returned.
#[test]
fn interim_responses_are_skipped() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    for _ in 0..2 {
        client.send(&request("update", 20.0));
        let mut exchange = server.request();
        assert_eq!(exchange.connection, 0, "the connection was not reused");
        exchange.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n");
        exchange.answer(OK, "", b"done");
        let answer = client.response();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
    }
}

/// A malformed load report is ignored, but the response that carries it is returned.
#[test]
fn a_malformed_load_report_is_ignored() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    for load in ["", "inflight", "inflight=NaN,queue=1", "active=-1", "\u{e9}", "active=1,waiting=2"] {
        let mut client = node.client();
        client.send(&request("read", 20.0));
        server.request().answer(OK, &format!("x-load: {load}\r\n"), b"");
        assert_eq!(client.response().status(), 200, "{load}");
    }
}
