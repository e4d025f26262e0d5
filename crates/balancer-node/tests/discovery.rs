//! Following discovery over loopback: calls that fail, long lists, lists that cannot be read or held.

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

/// As long as a 2.7 MB list: the whole fleet's.
const LONG_LIST: usize = 21_000;
/// A change counts as told 6 s after discovery could be reached, and then a server may be sent to for 2 s.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(6 + 2);

/// A configuration under which a node that goes by the settings alone would stay away for very long.
fn patient(members: &[Value]) -> Value {
    let mut config = config(members);
    config["settings"]["rules"] = json!({"ask_within_ms": 3_600_000.0, "drain_grace_ms": 3_600_000.0});
    config
}

fn asks_since(call: &Exchange, revision: u64) {
    let wanted = format!("GET /catalog/members?since={revision}&");
    assert!(call.request.first.starts_with(&wanted), "{}", call.request.first);
}

// ---- Calls that fail

/// A change counts as told in time whatever became of the calls before: each failure leads to another call, which
/// goes on from the version held.
#[test]
fn after_any_failed_call_another_comes_in_time() {
    let server = Server::start();
    let known = members(&[&server]);
    let node = Node::start(&patient(&known));
    let body = list(2, true, &[]).to_string();
    let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let redirect = "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n";
    let cut = &body[..body.len() - 3];
    let spoilt = [
        ("an error", "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n".to_owned()),
        ("a redirect", redirect.to_owned()),
        ("spoilt JSON", whole.replace("[]", "[{")),
        ("no HTTP", "\0\0\r\n\r\n".to_owned()),
        ("half an answer, then silence", whole[..whole.len() - 3].to_owned()),
        ("a list cut short", format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{cut}", cut.len())),
        ("silence", String::new()),
    ];
    let mut call = node.discovery.request();
    for (what, text) in spoilt {
        let since = Instant::now();
        asks_since(&call, 1);
        call.write(text.as_bytes());
        let next = node.discovery.request();
        assert!(since.elapsed() < ANNOUNCED_WITHIN, "{what}: {:?}", since.elapsed());
        call = next;
    }
    // The connection breaks, and then an answer comes in drips.
    call.stream.shutdown(Shutdown::Both).expect("broken");
    call = node.discovery.request();
    asks_since(&call, 1);
    let since = Instant::now();
    let (head, rest) = whole.as_bytes().split_at(whole.len() - body.len());
    call.write(head);
    for byte in std::iter::repeat_n(b" ", 5_000).chain(rest.chunks(1).map(|_| b" ")) {
        if call.stream.write_all(byte).is_err() {
            break;
        }
        sleep(Duration::from_millis(10));
    }
    let last = node.discovery.request();
    assert!(since.elapsed() < ANNOUNCED_WITHIN, "drips: {:?}", since.elapsed());
    asks_since(&last, 1);
    // Through all of it the list held has stood.
    served_by(&node, &server);
}

/// The same where no connection is to be had: nobody listens, or nobody takes what comes.
#[test]
fn a_discovery_that_can_be_reached_again_is_asked_in_time() {
    let mut config = patient(&[]);
    let mut node = Node::start(&config);
    let mut lost = |node: &mut Node, address: SocketAddr| {
        config["discovery"] = json!(address.to_string());
        node.reload(&config.to_string());
        while !node.logged().contains("failed to update the server list") {}
    };
    let refused = own_address();
    lost(&mut node, refused);
    let back = TcpListener::bind(refused).expect("free still");
    let since = Instant::now();
    let (mut stream, _) = asked(&back);
    assert!(since.elapsed() < ANNOUNCED_WITHIN, "refused: {:?}", since.elapsed());
    let body = list(5, true, &[]).to_string();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).expect("written");
    while !node.logged().contains("updated again") {}

    let (silent, address, filler) = full_listener();
    lost(&mut node, address);
    let since = Instant::now();
    drop(filler);
    let (_stream, call) = asked(&silent);
    assert!(since.elapsed() < ANNOUNCED_WITHIN, "never up: {:?}", since.elapsed());
    assert_eq!(call, "GET /catalog/members HTTP/1.1", "another discovery's versions may be others");
}

/// The same at the start, where clients wait for the node.
#[test]
fn an_unresponsive_discovery_does_not_keep_a_node_from_its_start() {
    let server = Server::start();
    let (since, mut silent) = (Instant::now(), None);
    let node = Node::start_with_first_call(&patient(&members(&[&server])), |_, first| silent = Some(first));
    assert!(since.elapsed() < Duration::from_secs(10), "{:?}", since.elapsed());
    served_by(&node, &server);
}

/// The first call that comes, on whatever connection.
fn asked(listener: &TcpListener) -> (TcpStream, String) {
    loop {
        let (stream, _) = listener.accept().expect("accepted");
        if let Some(call) = Message::read(&mut BufReader::new(stream.try_clone().expect("cloned"))) {
            return (stream, call.first);
        }
    }
}

// ---- Long lists

/// A list of 2.7 MB used to be read by no node: the limit stood at 1 MiB.
#[test]
fn a_drain_in_a_list_of_21_000_is_obeyed_in_time() {
    let servers = [Server::start(), Server::start()];
    let mut all = members(&[&servers[0], &servers[1]]);
    let nowhere = own_address();
    all.extend((2..LONG_LIST).map(|i| member(&format!("s{i}"), nowhere, "leaving")));
    let whole = list(7, true, &all).to_string();
    assert!(whole.len() > 2 << 20);
    let mut config = config(&all[..1]);
    config["limits"]["memory_mb"] = json!(256);
    let node = Node::start_with_first_call(&config, |_, first| first.answer(OK, "", whole.as_bytes()));
    let watch = node.discovery.request();
    asks_since(&watch, 7);
    // The second server is known from the list alone; then the first one drains.
    let change = list(8, false, &[member("s0", servers[0].address, "leaving")]).to_string();
    let since = Instant::now();
    watch.answer(OK, "", change.as_bytes());
    let watch = node.discovery.request();
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    asks_since(&watch, 8);
    (0..6).for_each(|_| served_by(&node, &servers[1]));
    // A complete list in its place tells the same: who is not named is gone.
    let back = list(9, true, &[member("s0", servers[0].address, "active")]).to_string();
    watch.answer(OK, "", back.as_bytes());
    asks_since(&node.discovery.request(), 9);
    (0..6).for_each(|_| served_by(&node, &servers[0]));
    assert!(!servers[1].has_request());
}

/// What would take more memory than a list may, ends never or comes in drips is given up; the old list stays.
#[test]
fn a_list_over_the_memory_limit_leaves_the_old_one() {
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
    for (begin, piece) in [("", entry.as_str()), (string.as_str(), string.as_str()), ("", " ")] {
        let mut call = node.discovery.request();
        asks_since(&call, 1);
        call.write(open.as_bytes());
        call.write(begin.as_bytes());
        let since = Instant::now();
        while call.stream.write_all(piece.as_bytes()).is_ok() {
            assert!(since.elapsed() < LONG, "an endless list is read for ever");
        }
    }
    asks_since(&node.discovery.request(), 1);
    served_by(&node, &server);
    assert!(node.memory_at_most() < 64 << 20, "{} bytes", node.memory_at_most());
}

// ---- Entries that cannot be read

/// One such entry used to make the complete list unreadable, and with it every change from then on.
#[test]
fn an_entry_that_cannot_be_read_is_left_out_and_its_server_gets_nothing_new() {
    let servers = [Server::start(), Server::start()];
    let known = members(&[&servers[0], &servers[1]]);
    let mut node = Node::start(&config(&known));
    let other = member("s0", servers[0].address, "warming");
    let strange = json!({"id": "s7", "host_port": "count.svc:80", "phase": "active"});
    let told = list(2, true, &[other, json!(null), strange, known[1].clone()]).to_string();
    node.discovery.request().answer(OK, "", told.as_bytes());
    let watch = node.discovery.request();
    asks_since(&watch, 2);
    let line = node.logged();
    assert!(line.contains("3 of 4 entries") && line.contains("s0: ") && line.contains("warming"), "{line}");
    (0..6).for_each(|_| served_by(&node, &servers[1]));
    assert!(!servers[0].has_request());

    // Among changes, one of them may be of any server: the complete list tells which are left.
    let changes = list(3, false, &[known[0].clone(), json!({"id": 5})]).to_string();
    watch.answer(OK, "", changes.as_bytes());
    let call = node.discovery.request();
    assert_eq!(call.request.first, "GET /catalog/members HTTP/1.1");
    assert!(node.logged().contains("1 of 2 entries"));
    call.answer(OK, "", list(4, true, &known[..1]).to_string().as_bytes());
    asks_since(&node.discovery.request(), 4);
    (0..6).for_each(|_| served_by(&node, &servers[0]));
    assert!(!servers[1].has_request());
}

// ---- Calls for complete lists

/// Stands for a node, at a place of its own among those that are told of a new discovery together.
struct Follower {
    place: f64,
    discovery: SocketAddr,
    revision: Cell<Option<u64>>,
    wanted: Notify,
    moved: Notify,
}

impl Subscriber for Follower {
    fn update_requested(&self) -> &Notify {
        &self.wanted
    }
    fn discovery_moved(&self) -> &Notify {
        &self.moved
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
        self.place
    }
}

/// All nodes hear of a new discovery in the same moment, and each wants its complete list.
#[test]
fn complete_lists_of_a_new_discovery_are_fetched_one_after_the_other() {
    let discovery = Server::start();
    let address = discovery.address;
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let follow = |place| {
                let (revision, wanted, moved) = (Cell::default(), Notify::new(), Notify::new());
                let node = Rc::new(Follower { place, discovery: address, revision, wanted, moved });
                node.moved.notify_one();
                discovery::follow(node, None)
            };
            tokio::join!(follow(1.0), follow(0.0))
        });
    });
    let first = discovery.request();
    assert_eq!(first.request.first, "GET /catalog/members HTTP/1.1");
    first.answer(OK, "", list(3, true, &[]).to_string().as_bytes());
    asks_since(&discovery.request(), 3);
    let second = discovery.request();
    assert_eq!(second.request.first, "GET /catalog/members HTTP/1.1");
    assert_ne!(second.connection, 0);
}

// ---- The decoder

fn decode(text: &[u8], piece: usize, most: usize) -> Result<ServerList, ListError> {
    let mut decoder = ListDecoder::new(most);
    text.chunks(piece).try_for_each(|piece| decoder.feed(piece))?;
    decoder.finish()
}

#[test]
fn a_list_is_decoded_alike_in_any_chunks_and_layout() {
    let address = "127.0.0.1:80".parse().expect("an address");
    let members = [member("a \"[{,\\ 7", address, "active"), json!([{"id": 1}, "]"]), json!(3)];
    let mut told = list(41, true, &members);
    told["aside"] = json!({"members": [1, "}"], "n": -1.5e3});
    let indented = serde_json::to_string_pretty(&told).expect("JSON");
    let reordered = format!(" {{\"members\":{},\"complete\":true , \"revision\":41}}\n", told["members"]);
    for text in [told.to_string(), indented, reordered] {
        for piece in [1, 2, 3, 7, text.len()] {
            let list = decode(text.as_bytes(), piece, 1 << 20).expect("a list");
            let ids: Vec<_> = list.members.iter().map(|member| member.id.as_str()).collect();
            assert_eq!((list.revision, list.complete, ids), (41, true, vec!["a \"[{,\\ 7"]));
            assert_eq!((list.unreadable.nameless, list.unreadable.ids.len()), (2, 0));
        }
        let end = text.trim_end().len();
        for cut in 0..end {
            assert!(decode(&text.as_bytes()[..cut], 5, 1 << 20).is_err(), "cut at {cut} of {text}");
        }
        assert!(decode(format!("{text}]").as_bytes(), 5, 1 << 20).is_err());
        assert_eq!(decode(text.as_bytes(), 5, 2_000).err(), Some(ListError::TooLarge));
    }
    let none = |text: &str| decode(text.as_bytes(), 5, 1 << 20).is_err();
    assert!(none("[]") && none("{}") && none(r#"{"revision":1,"complete":true,"members":3}"#));
    assert!(none(r#"{"revision":-1,"complete":true,"members":[]}"#), "no version");
    assert!(none(r#"{"revision":1,"complete":true,"members":[],"members":[]}"#), "twice");
    assert!(none(r#"{"revision":1,"complete":true,"members":[{"id":5},7]}"#), "no entry names a server");
    assert!(none(r#"{"revision":1,"complete":true,"members":[{"id":"a"]}]}"#), "no JSON");
}
