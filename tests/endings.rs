//! Endings that cross something still owed: a node that is told to end, clients that leave, connections that
//! break, lists that go quiet. Every crossing is forced by what the scripted peers see, never by a pause.

mod net;
use net::*;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use serde_json::json;

const OK: &str = "200 OK";
const HEALTH: &str = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";

// ---- SIGTERM

/// SIGKILL waits for 3 s of a deadline and no longer. A node that waited for the rest was killed with answers
/// owed; now every client has its final answer, and the node ends by itself.
#[test]
fn what_would_outlast_the_end_is_failed_before_it() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(3_600_000.0);
    let mut node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 3600.0));
    let mut got = server.request();
    node.terminate();
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")));
    got.await_end();
    assert!(!server.has_request(), "nothing follows an answer");
    assert_eq!(node.wait().code(), Some(0));
}

/// New connections that never stop coming kept every idle one open up to the end, and what clients sent on
/// those last of all was lost.
#[test]
fn idle_connections_are_closed_though_new_ones_go_on_coming() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(2_900.0);
    let mut node = Node::start(&config);
    let mut idle = node.client();
    assert_eq!(idle.ask(HEALTH).status(), 200);
    let mut busy = node.client();
    busy.send(&request("pay", 3600.0));
    let got = server.request();
    let (address, over) = (node.address, Arc::new(AtomicBool::new(false)));
    let flood = std::thread::spawn({
        let over = Arc::clone(&over);
        move || {
            while !over.load(Ordering::Relaxed) {
                // It fails once the node takes none any more.
                let _ = std::net::TcpStream::connect(address);
                std::thread::sleep(std::time::Duration::from_millis(5));
            }
        }
    });
    node.terminate();
    assert_eq!(idle.rest(), "");
    got.answer(OK, "", b"done");
    assert_eq!(busy.answer().body, b"done", "the idle one was closed before the end");
    over.store(true, Ordering::Relaxed);
    flood.join().expect("ended");
    assert_eq!(node.wait().code(), Some(0));
}
