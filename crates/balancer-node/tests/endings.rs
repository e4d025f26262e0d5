//! Tests of events that end something while work is pending: SIGTERM, clients that disconnect, connections
//! that break, servers that leave the list, discovery that stops responding. The tests wait for what the
//! scripted peers receive, so that the order of events does not depend on the machine's speed.

mod net;
use net::*;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

/// Request for the health check, which the node answers itself.
const HEALTH: &str = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";

/// After SIGTERM, a node may wait at most 3 s for the deadlines of pending requests, because SIGKILL follows.
/// Nodes that waited for a longer deadline were killed before they had answered their clients. A node must
/// fail the remaining requests and exit in time.
#[test]
fn requests_that_would_outlast_the_shutdown_fail_before_the_node_exits() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(3_600_000.0);
    let mut node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 3600.0));
    let mut exchange = server.request();
    node.terminate();
    let answer = client.response();
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")));
    exchange.wait_until_closed();
    assert!(!server.has_request(), "the request was sent again after its final answer");
    assert_eq!(node.wait().code(), Some(0));
}

/// A request whose last byte arrives after the draining node has failed all pending requests must not be
/// forwarded.
#[test]
fn a_request_that_is_complete_just_before_the_exit_is_not_forwarded() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    for class in 0..3 {
        config["settings"]["classes"][class]["deadline_ms"] = json!(1_000.0);
    }
    let mut node = Node::start(&config);
    let mut pending = node.client();
    pending.send(&request("pay", 3600.0));
    let _exchange = server.request();
    let complete = request("update", 3600.0);
    let mut late = node.client();
    late.send(&complete[..complete.len() - 1]);
    assert_eq!(node.client().round_trip(HEALTH).status(), 200);
    node.terminate();
    assert_eq!(pending.response().status(), 502);
    // Writing fails if the node has exited already.
    let _ = std::io::Write::write_all(late.stream.get_mut(), b"k");
    let received = late.read_to_end();
    assert!(received.is_empty() || received.starts_with("HTTP/1.1 503 "), "{received}");
    assert_eq!(node.wait().code(), Some(0));
    assert!(!server.has_request());
}

/// While new connections kept arriving, a draining node once left all idle ones open until its exit. Requests
/// that clients sent on them just before the exit were lost.
#[test]
fn a_draining_node_closes_idle_connections_while_new_ones_arrive() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(2_900.0);
    let mut node = Node::start(&config);
    let mut idle = node.client();
    assert_eq!(idle.round_trip(HEALTH).status(), 200);
    let mut busy = node.client();
    busy.send(&request("pay", 3600.0));
    let exchange = server.request();
    let (address, stop) = (node.address, Arc::new(AtomicBool::new(false)));
    let connecting = std::thread::spawn({
        let stop = Arc::clone(&stop);
        move || {
            while !stop.load(Ordering::Relaxed) {
                // Connecting fails after the node has closed its listener.
                let _ = std::net::TcpStream::connect(address);
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    });
    node.terminate();
    assert_eq!(idle.read_to_end(), "");
    exchange.answer(OK, "", b"done");
    assert_eq!(busy.response().body, b"done", "the idle connection was closed only when the node exited");
    stop.store(true, Ordering::Relaxed);
    connecting.join().expect("ended");
    assert_eq!(node.wait().code(), Some(0));
}

/// The list of discovery counts as announced from the start of a node. If the configured list names a server
/// that already drains, a node that served clients at once would send requests to it until discovery has
/// responded.
#[test]
fn no_client_is_accepted_before_the_first_list_is_applied() {
    let servers = [Server::start(), Server::start()];
    let configured = members(&[&servers[0], &servers[1]]);
    let first_list = list(7, true, &[member("s0", servers[0].address, "leaving"), configured[1].clone()]);
    let first_list = serde_json::to_string_pretty(&first_list).expect("JSON");
    let node = Node::start_with_first_call(&config(&configured), |address, first| {
        assert!(std::net::TcpStream::connect(address).is_err(), "the node already accepts clients");
        first.answer(OK, "", first_list.as_bytes());
    });
    assert!(node.discovery.request().request.start_line.contains("since=7&"));
    (0..6).for_each(|_| assert_served_by(&node, &servers[1]));
    assert!(!servers[0].has_request());
}

/// Maximum number of responses of the scripted discovery that may arrive after the node's timeout.
const MAX_LATE_ANSWERS: usize = 20;

/// If discovery does not respond when a node starts, the node must serve with the configured list, and keep
/// calling for the complete list until it gets one.
#[test]
fn a_node_starts_without_discovery_and_keeps_calling_it() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0]]));
    config["settings"]["rules"]["drain_grace_ms"] = json!(400.0);
    let mut unanswered = None;
    let node = Node::start_with_first_call(&config, |_, first| unanswered = Some(first));
    assert_served_by(&node, &servers[0]);
    unanswered.expect("the first call").wait_until_closed();
    let complete = list(3, true, &[member("s1", servers[1].address, "active")]).to_string();
    let mut next = node.discovery.request();
    // On a busy machine a response may arrive after the call has timed out. The next call is then the same.
    for _ in 0..MAX_LATE_ANSWERS {
        assert_eq!(next.request.start_line, "GET /catalog/members HTTP/1.1");
        next.try_answer(OK, "", complete.as_bytes());
        next = node.discovery.request();
        if next.request.start_line.contains("since=3&") {
            break;
        }
    }
    assert!(next.request.start_line.contains("since=3&"));
    assert_served_by(&node, &servers[1]);
}

/// After a poll without a response, each call must fetch missed changes at once instead of with a long poll,
/// until discovery has responded.
#[test]
fn after_an_unanswered_poll_updates_are_fetched_at_once() {
    let mut config = config(&[]);
    config["settings"]["rules"]["drain_grace_ms"] = json!(400.0);
    let node = Node::start(&config);
    let mut unanswered = node.discovery.request();
    let poll_timeout_ms = |poll: &Exchange| {
        let line = &poll.request.start_line;
        let timeout = line.split("timeout_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        timeout.unwrap_or_else(|| panic!("no `timeout_ms` in {line}"))
    };
    let usual: u64 = poll_timeout_ms(&unanswered);
    unanswered.wait_until_closed();
    let next = node.discovery.request();
    assert_eq!(poll_timeout_ms(&next), 1);
    assert!(usual >= 1_000, "the usual poll timeout is {usual} ms");
}

/// A server that is listed again with another start time is a new process. An idle connection to the former
/// process must not be reused: if its machine has failed, the next request on the connection would be reset.
#[test]
fn an_idle_connection_to_a_former_process_is_not_reused() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    assert_served_by(&node, &server);
    let mut restarted = member("s0", server.address, "active");
    restarted["up_since_ms"] = json!(1_700_000_000_000.0);
    let change = list(2, false, &[restarted]);
    node.discovery.request().answer(OK, "", change.to_string().as_bytes());
    assert!(node.discovery.request().request.start_line.contains("since=2&"));
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    assert_eq!(exchange.connection, 1);
    exchange.answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

/// If the address of a server changes while a connection to it is being established, the request must be sent
/// to the new address.
#[test]
fn a_new_connection_to_the_former_address_of_a_server_is_not_used() {
    let (slow, address, filler) = full_listener();
    let server = Server::start();
    let node = Node::start(&config(&[member("s0", address, "active")]));
    let mut client = node.client();
    client.send(&request("pay", 25.0));
    wait_until_dialing(address);
    let change = list(2, false, &[member("s0", server.address, "active")]);
    node.discovery.request().answer(OK, "", change.to_string().as_bytes());
    assert!(node.discovery.request().request.start_line.contains("since=2&"));
    drop(slow.accept().expect("the connection that fills the backlog"));
    drop(filler);
    let (mut stream, _) = slow.accept().expect("the node's connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    assert_eq!(
        std::io::Read::read(&mut stream, &mut [0; 1]).ok(),
        Some(0),
        "bytes were sent to the former address"
    );
    server.request().answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

/// A keyed request that may have run must not be retried after its deduplication window, even if the
/// connection for the retry was dialed within the window.
#[test]
fn a_late_connection_sends_no_retry_after_the_deduplication_window() {
    let window = Duration::from_secs(3);
    let (slow, address, filler) = full_listener();
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][1]["dedup_window_ms"] = json!(3_000.0);
    config["settings"]["classes"][1]["promise_ms"] = json!(60_000.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("update", 60.0));
    let exchange = server.request();
    let sent = Instant::now();
    let change = [member("s0", server.address, "leaving"), member("s1", address, "active")];
    node.discovery.request().answer(OK, "", list(2, false, &change).to_string().as_bytes());
    assert!(node.discovery.request().request.start_line.contains("since=2&"));
    exchange.answer("500 Broken", "", b"");
    wait_until_dialing(address);
    std::thread::sleep((sent + window).saturating_duration_since(Instant::now()));
    drop(slow.accept().expect("the connection that fills the backlog"));
    drop(filler);
    assert_eq!(client.response().status(), 502);
    slow.set_nonblocking(true).expect("set");
    if let Ok((mut stream, _)) = slow.accept() {
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let read = std::io::Read::read(&mut stream, &mut [0; 1]);
        assert!(!matches!(read, Ok(1..)), "the retry was sent after the window");
    }
}

/// In scenarios where a zone fails, a third of the dials took up to 1.5 s, and each used up a quarter of its
/// request's time. Further dials must run in parallel with a late one, and connections that are established
/// after the first must serve the next requests.
#[test]
fn further_dials_run_in_parallel_with_a_late_one_and_their_connections_are_kept() {
    let (slow, address, filler) = full_listener();
    let node = Node::start(&config(&[member("slow", address, "active")]));
    let mut client = node.client();
    client.send(&request("pay", 60.0));
    wait_until_dial_count(address, 2);
    drop(slow.accept().expect("the connection that fills the backlog"));
    drop(filler);
    slow.set_nonblocking(true).expect("set");
    let mut streams = Vec::new();
    let accept = |streams: &mut Vec<TcpStream>| {
        while let Ok((stream, _)) = slow.accept() {
            stream.set_nonblocking(true).expect("set");
            streams.push(stream);
        }
    };
    // All connections must be established before the first response.
    let since = Instant::now();
    while count_dials(address) > 0 || streams.len() < 2 {
        assert!(since.elapsed() < TEST_TIMEOUT, "the connections are not established");
        accept(&mut streams);
    }
    let dialed = connections_to(address);
    for served in 1..=2 {
        let since = Instant::now();
        let with_request = loop {
            assert!(since.elapsed() < TEST_TIMEOUT, "no request has arrived");
            // A connection that the node has established may enter the full queue of the listener only when
            // the node sends a request on it.
            accept(&mut streams);
            if let Some(index) = streams.iter().position(|stream| matches!(stream.peek(&mut [0; 1]), Ok(1))) {
                break index;
            }
        };
        let mut stream = streams.remove(with_request);
        std::io::Write::write_all(
            &mut stream,
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        )
        .expect("answered");
        drop(stream);
        assert_eq!(client.response().status(), 200);
        assert!(connections_to(address).is_subset(&dialed), "the node has dialed again");
        if served == 1 {
            client.send(&request("pay", 60.0));
        }
    }
}

/// An incomplete response proves nothing, even if its head states that the request did not run.
#[test]
fn an_unsafe_request_is_not_retried_after_an_incomplete_response() {
    for status in ["503 Busy", "504 Late"] {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (_, mut exchange) = request_to_either(&servers);
        exchange
            .write(format!("HTTP/1.1 {status}\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\nhalf").as_bytes());
        exchange.stream.shutdown(std::net::Shutdown::Both).expect("closed");
        assert_eq!(client.response().status(), 502, "{status}");
        assert!(servers.iter().all(|server| !server.has_request()), "{status}: the request was sent again");
    }
}

/// A duplicate of a response may arrive some milliseconds after it, and would be taken for the response to
/// the next request on the connection.
#[test]
fn a_connection_is_not_reused_within_20_ms_after_a_response() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("update", 60.0));
    let mut exchange = server.request();
    for _ in 0..3 {
        let answered = Instant::now();
        exchange.answer(OK, "", b"");
        assert_eq!(client.response().status(), 200);
        client.send(&request("update", 60.0));
        exchange = server.request();
        assert_eq!(exchange.connection, 0);
        assert!(answered.elapsed() >= Duration::from_millis(20), "reused after {:?}", answered.elapsed());
    }
}

/// A request that waits for a connection when its client disconnects must not be sent. It was once sent if
/// the settings forbade cancelling attempts and a part of another request followed it.
#[test]
fn a_request_is_not_sent_if_its_client_disconnects_while_the_server_is_dialed() {
    for (cancel, following) in [(false, ""), (true, "GET /api"), (false, "GET /api"), (true, "")] {
        let (slow, address, filler) = full_listener();
        let mut config = config(&[member("slow", address, "active")]);
        config["settings"]["allowed"]["cancel"] = json!(cancel);
        let node = Node::start(&config);
        let mut client = node.client();
        client.send(&(request("pay", 25.0) + following));
        wait_until_dialing(address);
        let client_address = client.stream.get_ref().local_addr().expect("connected");
        drop(client);
        wait_until_closed_by_node(node.address, client_address);
        drop(slow.accept().expect("the connection that fills the backlog"));
        drop(filler);
        // The node may have abandoned the dial before or after the connection was established. No bytes may
        // arrive.
        slow.set_nonblocking(true).expect("set");
        wait_until_not_dialing(address);
        if let Ok((mut stream, _)) = slow.accept() {
            stream.set_nonblocking(false).expect("set");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
            let read = std::io::Read::read(&mut stream, &mut [0; 1]);
            assert!(!matches!(read, Ok(1..)), "sent: cancel {cancel}, following {following:?}");
        }
    }
}

/// A request that a server rejects as not run must not be retried if its client has disconnected.
#[test]
fn a_request_is_not_retried_after_its_client_has_disconnected() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    config["settings"]["allowed"]["cancel"] = json!(false);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("read", 60.0));
    let (_, exchange) = request_to_either(&servers);
    let client_address = client.stream.get_ref().local_addr().expect("connected");
    drop(client);
    wait_until_closed_by_node(node.address, client_address);
    exchange.answer("503 Busy", "x-not-run: 1\r\n", b"");
    // Another request is served, and the first one does not arrive again before it.
    let mut client = node.client();
    client.send(&request("update", 20.0));
    let (_, exchange) = request_to_either(&servers);
    assert!(exchange.request.start_line.starts_with("POST "), "{}", exchange.request.start_line);
    exchange.answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
    assert!(servers.iter().all(|server| !server.has_request()));
}

/// The deadline of a pipelined request counts from its arrival, although it waits for the response to the
/// request before it. If the deadline has passed by then, the request must be rejected and no server may get
/// it.
#[test]
fn a_pipelined_request_past_its_deadline_is_rejected_and_not_sent() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&(request("read", 60.0) + &request("pay", 1.0)));
    let exchange = server.request();
    std::thread::sleep(Duration::from_secs(1));
    exchange.answer(OK, "", b"first");
    assert_eq!(client.response().body, b"first");
    assert_eq!(client.response().status(), 503);
    assert_served_by(&node, &server);
    assert!(!server.has_request());
}

/// A client sends two requests and disconnects while the first one is in progress. The second one must not be
/// sent.
#[test]
fn a_pipelined_request_is_not_sent_after_its_client_has_disconnected() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["cancel"] = json!(false);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&(request("read", 60.0) + &request("pay", 60.0)));
    let exchange = server.request();
    let client_address = client.stream.get_ref().local_addr().expect("connected");
    drop(client);
    wait_until_closed_by_node(node.address, client_address);
    exchange.answer(OK, "", b"");
    assert_served_by(&node, &server);
    assert!(!server.has_request());
}
