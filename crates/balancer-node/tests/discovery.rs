//! Tests of a node's long polls on a scripted discovery: failed calls, long lists, lists over the memory
//! limit and unreadable entries.

mod net;

use std::cell::Cell;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use balancer::net::discovery::{self, Subscriber};
use balancer::net::list::{ListDecoder, ListError, ServerList};
use net::*;
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Number of servers in a list of a large fleet; its JSON has 2.7 MB.
const LONG_LIST: usize = 21_000;
/// Time within which a change must take effect: it counts as announced 6 s after discovery is reachable, and
/// then requests may be sent to a draining server for another 2 s.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(6 + 2);

/// Returns a configuration whose poll interval and drain grace are one hour, so that only the node's own time
/// limits can lead to a call in time.
fn with_long_intervals(members: &[Value]) -> Value {
    let mut config = config(members);
    config["settings"]["rules"] = json!({"ask_within_ms": 3_600_000.0, "drain_grace_ms": 3_600_000.0});
    config
}

/// Checks that a call asks for the changes since this revision.
fn assert_asks_since(call: &Exchange, revision: u64) {
    let expected = format!("GET /catalog/members?since={revision}&");
    assert!(call.request.start_line.starts_with(&expected), "{}", call.request.start_line);
}

/// Each failure must lead to another call in time, for the changes since the revision in use.
#[test]
fn after_any_failed_call_another_follows_in_time() {
    let server = Server::start();
    let configured = members(&[&server]);
    let node = Node::start(&with_long_intervals(&configured));
    let body = list(2, true, &[]).to_string();
    let complete = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let redirect = "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n";
    let truncated = &body[..body.len() - 3];
    let failures = [
        ("an error", "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n".to_owned()),
        ("a redirect", redirect.to_owned()),
        ("invalid JSON", complete.replace("[]", "[{")),
        ("bytes that are not HTTP", "\0\0\r\n\r\n".to_owned()),
        ("an incomplete response on an open connection", complete[..complete.len() - 3].to_owned()),
        (
            "an incomplete list",
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{truncated}", truncated.len()),
        ),
        ("no response", String::new()),
    ];
    let mut call = node.discovery.request();
    for (failure, text) in failures {
        let since = Instant::now();
        assert_asks_since(&call, 1);
        call.write(text.as_bytes());
        let next = node.discovery.request();
        assert!(since.elapsed() < ANNOUNCED_WITHIN, "{failure}: called again after {:?}", since.elapsed());
        call = next;
    }
    // The connection breaks. After the next call, the response arrives at one byte every 10 ms.
    call.stream.shutdown(Shutdown::Both).expect("broken");
    call = node.discovery.request();
    assert_asks_since(&call, 1);
    let since = Instant::now();
    let (head, rest) = complete.as_bytes().split_at(complete.len() - body.len());
    call.write(head);
    for byte in std::iter::repeat_n(b" ", 5_000).chain(rest.chunks(1).map(|_| b" ")) {
        if call.stream.write_all(byte).is_err() {
            break;
        }
        sleep(Duration::from_millis(10));
    }
    let last = node.discovery.request();
    assert!(since.elapsed() < ANNOUNCED_WITHIN, "a slow response: called again after {:?}", since.elapsed());
    assert_asks_since(&last, 1);
    // The configured list is still in force.
    assert_served_by(&node, &server);
}

/// While no connection to discovery can be established, the node must keep trying: its call must arrive in
/// time after discovery listens at its address again, or accepts connections again.
#[test]
fn a_discovery_that_is_reachable_again_is_called_in_time() {
    let mut config = with_long_intervals(&[]);
    let mut node = Node::start(&config);
    let mut move_discovery_and_fail = |node: &mut Node, address: SocketAddr| {
        config["discovery"] = json!(address.to_string());
        node.reload(&config.to_string());
        while !node.next_log_line().contains("failed to update the server list") {}
    };
    let refused = unused_address();
    move_discovery_and_fail(&mut node, refused);
    let listener = TcpListener::bind(refused).expect("the address is still unused");
    let since = Instant::now();
    let (mut stream, _) = accept_call(&listener);
    assert!(since.elapsed() < ANNOUNCED_WITHIN, "connection refused: called after {:?}", since.elapsed());
    let body = list(5, true, &[]).to_string();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).expect("written");
    while !node.next_log_line().contains("updated again") {}

    let (full, address, filler) = full_listener();
    move_discovery_and_fail(&mut node, address);
    let since = Instant::now();
    drop(filler);
    let (_stream, call) = accept_call(&full);
    assert!(
        since.elapsed() < ANNOUNCED_WITHIN,
        "connection not established: called after {:?}",
        since.elapsed()
    );
    assert_eq!(
        call, "GET /catalog/members HTTP/1.1",
        "a new discovery need not have the revisions of the old one"
    );
}

/// Clients wait until a node has started, so it must start even if discovery does not respond.
#[test]
fn an_unresponsive_discovery_does_not_prevent_the_start_of_a_node() {
    let server = Server::start();
    let (since, mut unanswered) = (Instant::now(), None);
    let node = Node::start_with_first_call(&with_long_intervals(&members(&[&server])), |_, first| {
        unanswered = Some(first)
    });
    assert!(since.elapsed() < Duration::from_secs(10), "started after {:?}", since.elapsed());
    assert_served_by(&node, &server);
}

/// Waits for the first call on any connection; returns its connection and its request line.
fn accept_call(listener: &TcpListener) -> (TcpStream, String) {
    loop {
        let (stream, _) = listener.accept().expect("accepted");
        if let Some(call) = Message::read(&mut BufReader::new(stream.try_clone().expect("cloned"))) {
            return (stream, call.start_line);
        }
    }
}

/// Nodes once failed to read a list of 2.7 MB, because its length was limited to 1 MiB.
#[test]
fn a_drain_in_a_list_of_21_000_servers_takes_effect_in_time() {
    let servers = [Server::start(), Server::start()];
    let mut all = members(&[&servers[0], &servers[1]]);
    let unreachable = unused_address();
    all.extend((2..LONG_LIST).map(|i| member(&format!("s{i}"), unreachable, "leaving")));
    let complete = list(7, true, &all).to_string();
    assert!(complete.len() > 2 << 20);
    let mut config = config(&all[..1]);
    config["limits"]["memory_mb"] = json!(256);
    let node = Node::start_with_first_call(&config, |_, first| first.answer(OK, "", complete.as_bytes()));
    let poll = node.discovery.request();
    assert_asks_since(&poll, 7);
    // The configuration names only the first server, which now begins to drain. The second one is named by
    // the long list.
    let change = list(8, false, &[member("s0", servers[0].address, "leaving")]).to_string();
    let since = Instant::now();
    poll.answer(OK, "", change.as_bytes());
    let poll = node.discovery.request();
    assert!(since.elapsed() < Duration::from_secs(2), "polled again after {:?}", since.elapsed());
    assert_asks_since(&poll, 8);
    (0..6).for_each(|_| assert_served_by(&node, &servers[1]));
    // A complete list removes the servers that it does not name.
    let complete = list(9, true, &[member("s0", servers[0].address, "active")]).to_string();
    poll.answer(OK, "", complete.as_bytes());
    assert_asks_since(&node.discovery.request(), 9);
    (0..6).for_each(|_| assert_served_by(&node, &servers[0]));
    assert!(!servers[1].has_request());
}

/// The node must stop reading a list that has too many entries, a string without an end, or endless white
/// space. The present list stays in force.
#[test]
fn a_list_over_the_memory_limit_is_dropped_and_the_present_one_stays_in_force() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["memory_mb"] = json!(1);
    config["settings"]["rules"]["drain_grace_ms"] = json!(2_000.0);
    let node = Node::start(&config);
    let entries: Vec<Value> =
        (0..1_000).map(|i| member(&format!("t{i}"), server.address, "leaving")).collect();
    node.discovery.request().answer(OK, "", list(2, true, &entries).to_string().as_bytes());

    let open = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"revision\":3,\"complete\":true,\"members\":[";
    let entry = format!("{},", entries[0]);
    let string = format!("{{\"id\":\"{}", "x".repeat(100));
    for (beginning, repeated) in [("", entry.as_str()), (string.as_str(), string.as_str()), ("", " ")] {
        let mut call = node.discovery.request();
        assert_asks_since(&call, 1);
        call.write(open.as_bytes());
        call.write(beginning.as_bytes());
        let since = Instant::now();
        while call.stream.write_all(repeated.as_bytes()).is_ok() {
            assert!(since.elapsed() < TEST_TIMEOUT, "the node keeps reading an endless list");
        }
    }
    assert_asks_since(&node.discovery.request(), 1);
    assert_served_by(&node, &server);
    assert!(node.peak_memory() < 64 << 20, "the peak memory is {} bytes", node.peak_memory());
}

/// A single unreadable entry once made the node discard the complete list, and with it all later changes.
#[test]
fn an_unreadable_entry_is_skipped_and_its_server_gets_no_new_requests() {
    let servers = [Server::start(), Server::start()];
    let configured = members(&[&servers[0], &servers[1]]);
    let mut node = Node::start(&config(&configured));
    let unknown_phase = member("s0", servers[0].address, "warming");
    let host_name = json!({"id": "s7", "host_port": "count.svc:80", "phase": "active"});
    let complete = list(2, true, &[unknown_phase, json!(null), host_name, configured[1].clone()]).to_string();
    node.discovery.request().answer(OK, "", complete.as_bytes());
    let poll = node.discovery.request();
    assert_asks_since(&poll, 2);
    let line = node.next_log_line();
    assert!(line.contains("3 of 4 entries") && line.contains("s0: ") && line.contains("warming"), "{line}");
    (0..6).for_each(|_| assert_served_by(&node, &servers[1]));
    assert!(!servers[0].has_request());

    // In a delta, an entry without a valid id may concern any server, so the node fetches the complete list.
    let changes = list(3, false, &[configured[0].clone(), json!({"id": 5})]).to_string();
    poll.answer(OK, "", changes.as_bytes());
    let call = node.discovery.request();
    assert_eq!(call.request.start_line, "GET /catalog/members HTTP/1.1");
    assert!(node.next_log_line().contains("1 of 2 entries"));
    call.answer(OK, "", list(4, true, &configured[..1]).to_string().as_bytes());
    assert_asks_since(&node.discovery.request(), 4);
    (0..6).for_each(|_| assert_served_by(&node, &servers[0]));
    assert!(!servers[1].has_request());
}

/// A minimal subscriber with a given position among the nodes that spread their calls to a new discovery.
struct TestSubscriber {
    spread_position: f64,
    discovery: SocketAddr,
    revision: Cell<Option<u64>>,
    update_requested: Notify,
    discovery_moved: Notify,
}

impl Subscriber for TestSubscriber {
    fn update_requested(&self) -> &Notify {
        &self.update_requested
    }
    fn discovery_moved(&self) -> &Notify {
        &self.discovery_moved
    }
    fn discovery_address(&self) -> SocketAddr {
        self.discovery
    }
    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }
    fn drain_grace(&self) -> Duration {
        Duration::from_secs(20)
    }
    fn apply(self: &Rc<Self>, list: ServerList) {
        self.revision.set(Some(list.revision));
    }
    fn unavailable(self: &Rc<Self>) {}
    fn spread_position(&self) -> f64 {
        self.spread_position
    }
}

/// All nodes get the address of a new discovery at the same time, and each fetches its complete list. Their
/// calls must not arrive at the same time.
#[test]
fn nodes_spread_their_calls_for_the_complete_list_of_a_new_discovery() {
    let discovery = Server::start();
    let address = discovery.address;
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let follow = |spread_position| {
                let (revision, update_requested, discovery_moved) =
                    (Cell::default(), Notify::new(), Notify::new());
                let node = Rc::new(TestSubscriber {
                    spread_position,
                    discovery: address,
                    revision,
                    update_requested,
                    discovery_moved,
                });
                node.discovery_moved.notify_one();
                discovery::follow(node, None)
            };
            tokio::join!(follow(1.0), follow(0.0))
        });
    });
    let first = discovery.request();
    assert_eq!(first.request.start_line, "GET /catalog/members HTTP/1.1");
    first.answer(OK, "", list(3, true, &[]).to_string().as_bytes());
    assert_asks_since(&discovery.request(), 3);
    let second = discovery.request();
    assert_eq!(second.request.start_line, "GET /catalog/members HTTP/1.1");
    assert_ne!(second.connection, 0);
}

/// Decodes a list in chunks of `chunk_bytes`, with a memory limit of `max_bytes`.
fn decode(text: &[u8], chunk_bytes: usize, max_bytes: usize) -> Result<ServerList, ListError> {
    let mut decoder = ListDecoder::new(max_bytes);
    text.chunks(chunk_bytes).try_for_each(|chunk| decoder.feed(chunk))?;
    decoder.finish()
}

#[test]
fn a_list_is_decoded_independently_of_its_chunks_and_layout() {
    let address = "127.0.0.1:80".parse().expect("an address");
    let members = [member("a \"[{,\\ 7", address, "active"), json!([{"id": 1}, "]"]), json!(3)];
    let mut json = list(41, true, &members);
    json["aside"] = json!({"members": [1, "}"], "n": -1.5e3});
    let indented = serde_json::to_string_pretty(&json).expect("JSON");
    let reordered = format!(" {{\"members\":{},\"complete\":true , \"revision\":41}}\n", json["members"]);
    for text in [json.to_string(), indented, reordered] {
        for chunk_bytes in [1, 2, 3, 7, text.len()] {
            let list = decode(text.as_bytes(), chunk_bytes, 1 << 20).expect("a list");
            let ids: Vec<_> = list.members.iter().map(|member| member.id.as_str()).collect();
            assert_eq!((list.revision, list.complete, ids), (41, true, vec!["a \"[{,\\ 7"]));
            assert_eq!((list.unreadable.nameless, list.unreadable.ids.len()), (2, 0));
        }
        let end = text.trim_end().len();
        for length in 0..end {
            assert!(
                decode(&text.as_bytes()[..length], 5, 1 << 20).is_err(),
                "the first {length} bytes of {text}"
            );
        }
        assert!(decode(format!("{text}]").as_bytes(), 5, 1 << 20).is_err());
        assert_eq!(decode(text.as_bytes(), 5, 2_000).err(), Some(ListError::TooLarge));
    }
    let fails = |text: &str| decode(text.as_bytes(), 5, 1 << 20).is_err();
    assert!(fails("[]") && fails("{}") && fails(r#"{"revision":1,"complete":true,"members":3}"#));
    assert!(fails(r#"{"revision":-1,"complete":true,"members":[]}"#), "a negative revision");
    assert!(fails(r#"{"revision":1,"complete":true,"members":[],"members":[]}"#), "`members` occurs twice");
    assert!(fails(r#"{"revision":1,"complete":true,"members":[{"id":5},7]}"#), "no entry has a valid id");
    assert!(fails(r#"{"revision":1,"complete":true,"members":[{"id":"a"]}]}"#), "invalid JSON");
}
