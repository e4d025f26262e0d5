//! Following discovery over loopback.

mod net;

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use net::*;
use serde_json::{json, Value};

/// A change counts as told 6 s after discovery could be reached, and then a server may be sent to for 2 s.
const TOLD: Duration = Duration::from_secs(6 + 2);

/// A configuration under which a node that goes by `ask_within_ms` alone would stay away for very long.
fn patient(members: &[Value]) -> Value {
    let mut config = config(members);
    config["settings"]["rules"] = json!({"ask_within_ms": 3_600_000.0, "drain_grace_ms": 2_000.0});
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
        assert!(since.elapsed() < TOLD, "{what}: {:?}", since.elapsed());
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
    assert!(since.elapsed() < TOLD, "drips: {:?}", since.elapsed());
    asks_since(&last, 1);
    // Through all of it the list held has stood.
    served_by(&node, &server);
}

/// The same where no connection is to be had: nobody listens, or nobody takes what comes.
#[test]
fn a_discovery_that_can_be_reached_again_is_asked_in_time() {
    let mut config = patient(&[]);
    let mut node = Node::start(&config);
    let mut lost = |node: &mut Node, address: std::net::SocketAddr| {
        config["discovery"] = json!(address.to_string());
        node.reload(&config.to_string());
        while !node.logged().contains("does not come") {}
    };
    let refused = own_address();
    lost(&mut node, refused);
    let back = TcpListener::bind(refused).expect("free still");
    let since = Instant::now();
    let (mut stream, _) = asked(&back);
    assert!(since.elapsed() < TOLD, "refused: {:?}", since.elapsed());
    let body = list(5, true, &[]).to_string();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).expect("written");
    while !node.logged().contains("comes again") {}

    let (silent, address, filler) = full_listener();
    lost(&mut node, address);
    let since = Instant::now();
    drop(filler);
    let (_stream, call) = asked(&silent);
    assert!(since.elapsed() < TOLD, "never up: {:?}", since.elapsed());
    assert_eq!(call, "GET /catalog/members HTTP/1.1", "another discovery's versions may be others");
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
