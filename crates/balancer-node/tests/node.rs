//! Tests of the node's binary over loopback sockets, with scripted servers, clients and discovery.

mod net;
use net::*;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

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

/// If the network to discovery is partitioned, a poll gets no response and its connection stays open, so that
/// only a timeout detects the failure.
#[test]
fn an_unanswered_poll_times_out_and_is_repeated() {
    let node = Node::with_servers(&[]);
    let mut unanswered = node.discovery.request();
    let again = node.discovery.request();
    assert_ne!(unanswered.connection, again.connection);
    unanswered.wait_until_closed();
}

/// An error status, a malformed list and a broken connection must each lead to another call for the changes
/// since the same revision.
#[test]
fn the_list_is_polled_again_after_each_failure() {
    let (old, new) = (Server::start(), Server::start());
    let node = Node::with_servers(&[&old]);
    let next_poll = || {
        let poll = node.discovery.request();
        assert!(poll.request.start_line.starts_with("GET /catalog/members?since=1&timeout_ms="));
        poll
    };
    next_poll().answer("503 Down", "", b"");
    next_poll().answer(OK, "", b"{\"revision\": 7, \"complete\": true, \"members\": [{\"id\": 5}]}");
    next_poll().stream.shutdown(Shutdown::Both).expect("broken");
    // A delta changes the address of the server. Then a complete list names only another server.
    let moved = Server::start();
    let change = list(2, false, &[member("s0", moved.address, "active")]);
    next_poll().answer(OK, "", change.to_string().as_bytes());
    let poll = node.discovery.request();
    assert!(poll.request.start_line.contains("since=2&"), "{}", poll.request.start_line);
    assert_served_by(&node, &moved);
    let full = list(9, true, &[member("s9", new.address, "active")]);
    poll.answer(OK, "", full.to_string().as_bytes());
    assert!(node.discovery.request().request.start_line.contains("since=9&"));
    (0..4).for_each(|_| assert_served_by(&node, &new));
    assert!(!old.has_request() && !moved.has_request());
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

/// SIGHUP once killed the node. The new discovery need not have the revisions of the former one and would not
/// respond to a long poll since an unknown revision, so the first call must fetch the complete list. Pending
/// requests must still be answered.
#[test]
fn sighup_under_load_moves_the_long_poll_to_a_new_discovery() {
    let (old, new) = (Server::start(), Server::start());
    let mut config = config(&members(&[&old]));
    let node = Node::start(&config);
    let mut poll = node.discovery.request();
    let mut pending = node.client();
    pending.send(&request("pay", 20.0));
    let exchange = old.request();

    let elsewhere = Server::start();
    config["discovery"] = json!(elsewhere.address.to_string());
    for _ in 0..5 {
        node.reload(&config.to_string());
    }
    let first_call = elsewhere.request();
    assert_eq!(first_call.request.start_line, "GET /catalog/members HTTP/1.1");
    poll.wait_until_closed();
    let full = list(1, true, &[member("s9", new.address, "active")]);
    first_call.answer(OK, "", full.to_string().as_bytes());
    let mut next = elsewhere.request();
    assert!(next.request.start_line.contains("since=1&"), "{}", next.request.start_line);
    assert_served_by(&node, &new);
    exchange.answer(OK, "", b"");
    assert_eq!(pending.response().status(), 200);
    // Reloading an unchanged configuration has no effect.
    node.reload(&config.to_string());
    assert_served_by(&node, &new);
    assert!(!next.is_closed() && !elsewhere.has_request() && !old.has_request());
}

/// The pause after a failed call, here one hour, must not delay the first call to a new discovery.
#[test]
fn a_new_discovery_is_called_at_once_after_failures_of_the_old_one() {
    let mut config = config(&[]);
    config["settings"]["rules"]["ask_within_ms"] = json!(3_600_000.0);
    let node = Node::start(&config);
    node.discovery.request().answer("503 Down", "", b"");
    let elsewhere = Server::start();
    config["discovery"] = json!(elsewhere.address.to_string());
    node.reload(&config.to_string());
    elsewhere.request();
}

#[test]
fn an_invalid_new_configuration_is_logged_and_the_old_one_stays_in_force() {
    let mut config = config(&[]);
    let mut node = Node::start(&config);
    let mut poll = node.discovery.request();
    config["discovery"] = json!("here");
    for (key, text) in [("GW_CONFIG", "{".to_owned()), ("discovery", config.to_string())] {
        node.reload(&text);
        let line = node.next_log_line();
        assert!(line.contains(&format!("`{key}")), "{key}: {line}");
    }
    std::fs::remove_file(config_path(node.address)).expect("removed");
    node.send_sighup();
    assert!(node.next_log_line().contains("`GW_CONFIG`"));
    assert!(!poll.is_closed());
}

#[test]
fn after_sigterm_all_admitted_requests_are_answered() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(60_000.0);
    let mut node = Node::start(&config);
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    let mut admitted = Vec::new();
    for client in &mut clients {
        client.send(&request("pay", 20.0));
        admitted.push(server.request());
    }
    node.terminate();
    // The health check shows when the node has begun to drain. It still accepts connections then.
    let since = Instant::now();
    while node.client().round_trip("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status() == 200 {
        assert!(since.elapsed() < TEST_TIMEOUT);
    }
    clients.push(node.client());
    clients.last_mut().expect("pushed").send(&request("pay", 20.0));
    admitted.push(server.request());
    admitted.into_iter().for_each(|exchange| exchange.answer(OK, "", b"done"));
    for client in &mut clients {
        let answer = client.response();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert_eq!(node.wait().code(), Some(0));
}

/// Requests are rejected if there is no server, and if the maximum number of requests is pending.
#[test]
fn a_request_that_is_not_admitted_is_rejected_with_a_retry_hint() {
    let node = Node::start(&config(&[]));
    let answer = node.client().round_trip(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.250")));

    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["most_held"] = json!(1);
    let node = Node::start(&config);
    let mut pending = node.client();
    pending.send(&request("pay", 20.0));
    let exchange = server.request();
    let answer = node.client().round_trip(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.400")));
    exchange.answer(OK, "", b"");
    assert_eq!(pending.response().status(), 200);
}

/// The setting `allowed.retry_after` applies to simulated clients only. It once also disabled the retry hint
/// of the node's binary.
#[test]
fn a_rejection_has_a_retry_hint_even_if_the_settings_disable_it_for_simulated_clients() {
    let mut config = config(&[]);
    config["settings"]["allowed"]["retry_after"] = json!(false);
    let node = Node::start(&config);
    let answer = node.client().round_trip(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.250")));
}

/// New clients must be accepted even if other clients have opened many connections and left them idle.
#[test]
fn idle_connections_are_closed_for_new_ones() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let mut idle: Vec<Client> = (0..60).map(|_| node.client()).collect();
    // One of the clients has sent a part of a request.
    idle[30].send("POST /api HTTP/1.1\r\nhost:");
    assert_served_by(&node, &server);
    assert_eq!(
        idle[0].stream.get_mut().read(&mut [0; 1]).ok(),
        Some(0),
        "the oldest connection is still open"
    );
}

/// Clients that never send a request must not displace clients that are served.
#[test]
fn connections_without_a_request_are_closed_first() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let mut served = node.client();
    served.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(served.response().status(), 200);
    let mut idle: Vec<Client> = (0..12).map(|_| node.client()).collect();
    std::thread::sleep(Duration::from_millis(600));
    idle.extend((0..8).map(|_| node.client()));
    // The response to the health check shows that all of the connections have been accepted.
    assert_eq!(node.client().round_trip("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status(), 200);
    served.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(served.response().status(), 200);
    drop(idle);
}

/// If clients that have had a response occupy all connection slots, idle connections are closed for new
/// clients. A new client must not itself be disconnected for the next one before it has sent its request.
#[test]
fn new_clients_are_not_disconnected_before_their_first_request() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let health = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";
    let mut answered = Vec::new();
    for _ in 0..30 {
        answered.push(node.client());
        assert_eq!(answered.last_mut().expect("pushed").round_trip(health).status(), 200);
    }
    let mut new: Vec<Client> = (0..8).map(|_| node.client()).collect();
    for client in &mut new {
        assert_eq!(client.round_trip(health).status(), 200);
    }
}

/// A client that is disconnected at once can try another node; one that is not accepted would wait.
#[test]
fn a_client_is_disconnected_at_once_if_all_connection_slots_are_busy() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(64);
    let node = Node::start(&config);
    let complete = request("update", 20.0);
    let mut clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    for client in &mut clients {
        // Writing fails if the connection is closed already.
        let _ = client.stream.get_mut().write_all(&complete.as_bytes()[..complete.len() - 1]);
    }
    let answered =
        clients.iter_mut().filter_map(|client| Some(client.read_to_end()).filter(|text| !text.is_empty()));
    let answered = answered.count();
    assert!((20..=40).contains(&answered), "{answered} of 60 clients were answered");
}

#[test]
fn an_invalid_configuration_ends_the_process_with_an_error_that_names_the_key() {
    let valid = config(&[]);
    let edit = |change: fn(&mut Value)| {
        let mut config = valid.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("GW_CONFIG", "{".to_owned()),
        ("seed", edit(|c| c["seed"] = json!("xyz"))),
        ("sockets", edit(|c| c["limits"] = json!({}))),
        ("known", edit(|c| c["known"] = json!({"revision": 1}))),
        ("settings", edit(|c| c["settings"] = json!(3))),
        ("classes", edit(|c| c["settings"]["classes"] = json!([]))),
        ("deadline_ms", edit(|c| c["settings"]["classes"][0]["deadline_ms"] = Value::Null)),
        ("zones", edit(|c| c["settings"]["zones"] = json!(1))),
        ("conn_idle_ms", edit(|c| c["settings"]["allowed"]["conn_idle_ms"] = json!("long"))),
        ("dial_timeout_ms", edit(|c| c["settings"]["allowed"]["dial_timeout_ms"] = json!(-1))),
        ("most_held", edit(|c| c["settings"]["allowed"]["most_held"] = json!("many"))),
        ("most_held", edit(|c| c["settings"]["allowed"]["most_held"] = json!(-1))),
        ("max_attempts", edit(|c| c["settings"]["allowed"]["max_attempts"] = json!("many"))),
    ];
    for (key, text) in cases {
        assert_exits_naming(key, &mut command(&text, unused_address(), unused_address()));
    }
    for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"] {
        assert_exits_naming(
            key,
            command(&valid.to_string(), unused_address(), unused_address()).env_remove(key),
        );
    }
    assert_exits_naming(
        "GW_LISTEN",
        command(&valid.to_string(), unused_address(), unused_address()).env("GW_LISTEN", "here"),
    );
}

/// Settings may omit a limit or a switch, or set it to zero or false. The node must start and serve
/// nevertheless.
#[test]
fn a_node_serves_with_settings_that_are_absent_or_zero() {
    let limits =
        ["conn_idle_ms", "dial_timeout_ms", "most_held", "cancel", "retry_after", "max_retry_after_ms"];
    let rules = ["ask_within_ms", "drain_grace_ms", "cold_from", "cold_ms", "tip_multiple", "tip_after_ms"];
    let keys = limits.map(|key| ("allowed", key)).into_iter().chain(rules.map(|key| ("rules", key)));
    let zero = |key: &str| if ["cancel", "retry_after"].contains(&key) { json!(false) } else { json!(0) };
    let mut cases = vec![config(&[]), config(&[])];
    for (part, key) in keys {
        cases[0]["settings"][part].as_object_mut().expect("an object").remove(key);
        cases[1]["settings"][part][key] = zero(key);
    }
    cases[1]["settings"]["classes"][1]["promise_ms"] = json!(0);
    cases[1]["settings"]["n_instances"] = json!(0);
    for key in ["parties", "zones", "kinds", "stats"] {
        cases[0]["settings"].as_object_mut().expect("an object").remove(key);
    }
    for case in &mut cases {
        let server = Server::start();
        case["known"] = list(1, true, &members(&[&server]));
        let node = Node::start(case);
        (0..3).for_each(|_| assert_served_by(&node, &server));
    }
    // With zero attempts allowed no request can be served, but it is still rejected with a retry hint.
    let server = Server::start();
    let mut case = config(&members(&[&server]));
    case["settings"]["allowed"]["max_attempts"] = json!(0);
    case["settings"]["allowed"]["max_retry_after_ms"] = Value::Null;
    let answer = Node::start(&case).client().round_trip(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true));
    assert!(!server.has_request());
}

#[test]
fn an_invalid_request_is_answered_and_not_forwarded() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let valid = request("update", 20.0);
    let cases = [
        (400, valid.replace("x-class: update", "x-class: other")),
        (400, valid.replace("x-class: update\r\n", "")),
        (400, valid.replace("x-tenant: acme", "x-tenant: other")),
        (400, valid.replace("x-tenant: acme\r\n", "")),
        (400, valid.replace("x-deadline: 20", "x-deadline: soon")),
        (400, valid.replace("x-deadline: 20", "x-deadline: -1")),
        (400, valid.replace("x-deadline: 20", "x-deadline: 0")),
        (400, valid.replace("x-deadline: 20", "x-deadline: NaN")),
        (400, valid.replace("x-deadline: 20\r\n", "")),
        (400, valid.replace("x-request-id", "x-other")),
        (400, valid.replace("x-class", "x-class: update\r\nx-class")),
        (400, valid.replace("x-request-id", "x-request-id: r0\r\nx-request-id")),
        (400, valid.replace("host", "host: b\r\nhost")),
        (400, valid.replace("content-length: 4", "content-length: 4\r\ncontent-length: 4")),
        (400, valid.replace("content-length: 4", "content-length: -4")),
        (400, valid.replace("content-length: 4", "content-length: 99999999999999999999")),
        (400, request("read", 20.0).replace("\r\n\r\n", "\r\ncontent-length: 4\r\n\r\nwork")),
        (431, valid.replace("x-class", &("x-long: ".to_owned() + &"x".repeat(20_000) + "\r\nx-class"))),
        (400, valid.replace("idempotency-key: k1\r\n", "")),
        (400, valid.replace("POST", "GET")),
        (404, valid.replace("/api", "/other")),
        (413, valid.replace("content-length: 4", "content-length: 70000") + &"x".repeat(69_996)),
    ];
    for (status, text) in cases {
        assert_eq!(node.client().round_trip(&text).status(), status, "{}", &text[..text.len().min(300)]);
    }
    // Bytes that are not HTTP close only the connection on which they were sent.
    let mut client = node.client();
    client.stream.get_mut().write_all(b"\x00\x01\x02 nonsense\r\n\r\n").expect("sent");
    client.stream.read_to_end(&mut Vec::new()).expect("ended");
    assert!(!server.has_request());
    assert_served_by(&node, &server);
}

/// hyper drops one of the two fields with the length of the body. A server that uses the dropped one would
/// find another request in the body (request smuggling).
#[test]
fn a_request_with_two_lengths_ends_its_connection() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (length, chunks) = ("content-length: 5\r\n", "transfer-encoding: chunked\r\n");
    for lengths in [[length, chunks], [chunks, length], [chunks, chunks], [length, length]] {
        let outer = request("update", 20.0).replace("content-length: 4\r\n", &lengths.concat());
        let smuggling = outer.replace("\r\n\r\nwork", "\r\n\r\n0\r\n\r\n") + &request("update", 20.0);
        let mut client = node.client();
        client.send(&smuggling);
        let all = client.read_to_end();
        assert!(all.starts_with("HTTP/1.1 400 "), "{lengths:?}: {all}");
        assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "{lengths:?}: {all}");
    }
    assert!(!server.has_request());
    assert_served_by(&node, &server);
}

/// The chunks of a body were once buffered a second time, up to one megabyte for each client.
#[test]
fn long_chunked_bodies_are_not_buffered() {
    let node = Node::with_servers(&[]);
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let head = request("update", 60.0).replace("content-length: 4", "transfer-encoding: chunked");
    let head = head.strip_suffix("work").expect("its body");
    assert_eq!(node.client().round_trip(&(head.to_owned() + "4\r\nwork\r\n0\r\n\r\n")).status(), 503);
    let before = node.peak_memory();
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send(&(head.to_owned() + &chunk.repeat(28)));
    }
    for client in &mut clients {
        client.send("0\r\n\r\n");
        assert_eq!(client.response().status(), 413);
    }
    let grown = node.peak_memory() - before;
    assert!(grown < 16 << 20, "the peak memory has grown by {grown} bytes for 40 clients");
}

#[test]
fn requests_in_unusual_but_valid_forms_are_served() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let pipelined = [request("update", 20.0), request("read", 20.0), request("pay", 20.0)];
    client.send(&pipelined.concat());
    for text in ["first", "second", "third"] {
        server.request().answer(OK, "", text.as_bytes());
    }
    for text in ["first", "second", "third"] {
        assert_eq!(client.response().body, text.as_bytes());
    }
    client.send(&request("update", 20.0).replace("/api", "http://other.svc/api"));
    let exchange = server.request();
    assert_eq!(exchange.request.start_line, "POST /api?k=7f3a HTTP/1.1");
    assert_eq!(exchange.request.header("host"), Some("other.svc"));
    exchange.answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
    let chunked = request("update", 20.0).replace("content-length: 4", "transfer-encoding: chunked");
    client.send(&chunked.replace("\r\n\r\nwork", "\r\n\r\n2\r\nwo\r\n2\r\nrk\r\n0\r\n\r\n"));
    let exchange = server.request();
    assert_eq!(exchange.request.body, b"work");
    exchange.answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

#[test]
fn the_id_of_a_pending_request_is_not_accepted_again() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (mut first, repeated) = (node.client(), request("update", 20.0));
    first.send(&repeated);
    let exchange = server.request();
    assert_eq!(node.client().round_trip(&repeated).status(), 409);
    exchange.answer(OK, "", b"mine");
    assert_eq!(first.response().body, b"mine");
    assert!(!server.has_request());
    // After the response, the id may be used again.
    first.send(&repeated);
    server.request().answer(OK, "", b"");
    assert_eq!(first.response().status(), 200);
}

/// Guards against clients that occupy a connection slot without sending a complete request.
#[test]
fn slow_clients_are_disconnected() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let complete = request("update", 3600.0);
    let cases = [("", ""), (&complete[..40], ""), (&complete[..complete.len() - 1], "HTTP/1.1 408 ")];
    let clients = cases.map(|(part, answer)| {
        let mut client = node.client();
        client.send(part);
        (client, answer)
    });
    for (mut client, answer) in clients {
        let text = client.read_to_end();
        assert!(text.starts_with(answer) && text.is_empty() == answer.is_empty(), "{text}");
    }
    // A client that was served and then stays idle is disconnected, too.
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
    assert_eq!(client.read_to_end(), "");
    assert!(!server.has_request());
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

/// Checks that a command fails and writes one line that names the key.
fn assert_exits_naming(key: &str, command: &mut std::process::Command) {
    let child = spawn(command.stdout(std::process::Stdio::null()).stderr(std::process::Stdio::piped()));
    let output = child.wait_with_output().expect("ended");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{key}: the process has exited without an error");
    assert_eq!(log.lines().count(), 1, "{key}: {log}");
    assert!(log.contains(&format!("`{key}")), "{key}: {log}");
}
