//! Requests that aren't idempotent reach at most one server, however an attempt ends: what the servers received is
//! counted there, and compared with the status that the client gets.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use support::node::{node_with, Node};
use support::{entry, forwarder_to, read_request, reset, response_text, FakeServer, Reaction};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// Servers that all do the same, so that a repeated attempt is counted wherever it goes.
const SERVERS: usize = 3;

/// How a server that speaks below HTTP ends a connection.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// It resets as soon as the connection is there.
    ResetAtOnce,
    /// It closes as soon as the connection is there.
    CloseAtOnce,
    /// It reads a part of the request's head and resets.
    ResetAmidHead,
    /// It reads the head and a part of the body and resets.
    ResetAmidBody,
    /// It reads the complete request and resets.
    ResetAfterRequest,
    /// It reads the complete request and closes.
    CloseAfterRequest,
}

/// Servers that end each connection alike; counts connections on which at least one byte of a request came.
async fn servers_that_end(ending: Ending) -> (Node, Arc<AtomicUsize>) {
    let got = Arc::new(AtomicUsize::new(0));
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        entries.push(entry(&format!("server{number}"), listener.local_addr().expect("an address"), "s"));
        let got = Arc::clone(&got);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(end(stream, ending, Arc::clone(&got)));
            }
        });
    }
    let (forwarder, changes) = forwarder_to(entries);
    // The servers stay listed for as long as the test runs.
    Box::leak(Box::new(changes));
    (Node::start(forwarder).await, got)
}

async fn end(mut stream: TcpStream, ending: Ending, got: Arc<AtomicUsize>) {
    if matches!(ending, Ending::ResetAtOnce) {
        return reset(&stream);
    }
    if matches!(ending, Ending::CloseAtOnce) {
        return;
    }
    let mut bytes = vec![0; 20];
    stream.read_exact(&mut bytes).await.expect("the begin of a request");
    got.fetch_add(1, Ordering::SeqCst);
    match ending {
        Ending::ResetAmidHead => return reset(&stream),
        Ending::ResetAmidBody => {
            while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
                stream.read_buf(&mut bytes).await.expect("more of the head");
            }
            return reset(&stream);
        }
        _ => {}
    }
    read_request(&mut stream, &mut bytes).await.expect("a request");
    if matches!(ending, Ending::ResetAfterRequest) {
        reset(&stream);
    }
}

#[parameterized(
    reset_at_once = { Ending::ResetAtOnce },
    close_at_once = { Ending::CloseAtOnce },
    reset_amid_head = { Ending::ResetAmidHead },
    reset_amid_body = { Ending::ResetAmidBody },
    reset_after_request = { Ending::ResetAfterRequest },
    close_after_request = { Ending::CloseAfterRequest },
)]
#[test_macro(tokio::test)]
async fn given_a_connection_that_ends_when_a_request_is_in_flight_then_no_server_gets_it_again(
    ending: Ending,
) {
    for _ in 0..10 {
        let (node, got) = servers_that_end(ending).await;
        let response = node.post("/unsafe/x").await;
        let status = response.status().as_u16();
        // Nothing was sent where the connection was received to end before; otherwise it may have run.
        assert!(
            status == 502 || (status == 503 && response.headers().contains_key("retry-after")),
            "{status}"
        );
        let sent = got.load(Ordering::SeqCst);
        assert!(sent <= 1, "{sent} servers got it");
        assert!(status == 502 || sent == 0, "it is said not to have run, and {sent} servers got it");
    }
}

/// Servers whose responses to GET are valid, so that their connections are kept.
async fn node_with_kept_connections(second: Reaction) -> (Node, Vec<FakeServer>) {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let second = second.clone();
        let script =
            move |received: &support::ReceivedRequest, _: usize| match received.line.starts_with("GET") {
                true => support::success("x"),
                false => second.clone(),
            };
        servers.push(FakeServer::start(&format!("server{number}"), script).await);
    }
    let node = node_with(&servers).await;
    for _ in 0..3 * SERVERS {
        assert_eq!(node.get("/safe/x").await.text().await.expect("a body"), "x");
    }
    (node, servers)
}

fn posts(servers: &[FakeServer]) -> usize {
    servers.iter().flat_map(FakeServer::received).filter(|received| received.line.starts_with("POST")).count()
}

fn head(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {{id}}\r\nPostmark: p\r\n")
}

#[parameterized(
    reset_on_a_kept_connection = { Reaction::WriteAndReset(String::new()), 502 },
    close_on_a_kept_connection = { Reaction::WriteAndClose(String::new()), 502 },
    head_then_close = { Reaction::WriteAndClose(format!("{}Content-Length: 5\r\n\r\n", head(200))), 502 },
    head_then_reset = { Reaction::WriteAndReset(format!("{}Content-Length: 5\r\n\r\n", head(200))), 502 },
    part_of_the_head = { Reaction::WriteAndClose("HTTP/1.1 200 OK\r\nAttempt".into()), 502 },
    part_of_the_body = { Reaction::WriteAndClose(format!("{}Content-Length: 5\r\n\r\nab", head(200))), 502 },
    part_of_the_chunks = { Reaction::WriteAndClose(format!("{}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", head(200))), 502 },
    no_length_closed = { Reaction::WriteAndClose(format!("{}\r\nab", head(200))), 200 },
    no_length_reset = { Reaction::WriteAndReset(format!("{}\r\nab", head(200))), 502 },
    no_http_response = { Reaction::WriteAndClose("nonsense\r\n\r\n".into()), 502 },
    informational_first = { Reaction::Write(format!("HTTP/1.1 102 Processing\r\n\r\n{}", response_text(200, "Postmark: p\r\n", "ab"))), 200 },
    bytes_after_the_response = { Reaction::Write(format!("{}surplus", response_text(200, "Postmark: p\r\n", "ab"))), 200 },
    response_to_another_request = { Reaction::Write(response_text(200, "Postmark: p\r\n", "ab").replace("{id}", "other")), 502 },
    error_of_the_server = { Reaction::Write(response_text(500, "Postmark: p\r\n", "ab")), 500 },
    unavailable_that_may_have_run = { Reaction::Write(response_text(503, "Postmark: p\r\n", "ab")), 503 },
)]
#[test_macro(tokio::test)]
async fn given_a_kept_connection_when_the_response_ends_so_then_one_server_got_the_request(
    second: Reaction,
    status: u16,
) {
    let (node, servers) = node_with_kept_connections(second).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), status);
    let is_servers = response.headers().contains_key("postmark");
    assert_eq!(is_servers, status != 502, "a failure of our own bears no stamp");
    assert!(!response.headers().contains_key("retry-after"), "it may have run");
    assert_eq!(posts(&servers), 1);
}

#[tokio::test]
async fn given_rejections_that_say_not_run_when_all_servers_send_them_then_the_client_may_retry() {
    let (node, servers) = node_with_kept_connections(support::rejection()).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(posts(&servers) >= SERVERS, "each was asked");
}

#[tokio::test]
async fn given_an_unresponsive_server_when_the_request_times_out_then_no_other_gets_it() {
    let (node, servers) = node_with_kept_connections(Reaction::Hang).await;
    let url = format!("http://{}/unsafe/x", node.address);
    let request = node.client.post(url).header("host", "h.example").header("attempt-id", "try1");
    let response = request.header("time-left-ms", "60").body("body").send().await.expect("a response");
    assert_eq!(response.status(), 504);
    assert_eq!(posts(&servers), 1);
}

#[tokio::test]
async fn given_idle_connections_that_the_servers_closed_when_asked_then_the_request_is_sent_at_most_once() {
    for act in [Reaction::WriteAndClose as fn(String) -> Reaction, Reaction::WriteAndReset] {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            // The response looks as if the connection would be kept.
            let script =
                move |_: &support::ReceivedRequest, _: usize| act(response_text(200, "Postmark: p\r\n", "x"));
            servers.push(FakeServer::start(&format!("server{number}"), script).await);
        }
        let node = node_with(&servers).await;
        for _ in 0..20 {
            let before = posts(&servers);
            let status = node.post("/unsafe/x").await.status().as_u16();
            assert!(status == 200 || status == 502, "{status}");
            assert!(posts(&servers) - before <= 1, "the request was sent twice");
        }
    }
}

#[tokio::test]
async fn given_a_server_that_responds_before_it_has_read_the_body_when_it_reads_on_then_it_gets_that_body() {
    const LENGTH: usize = 4000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(async move {
        let mut bodies = Vec::new();
        while bodies.len() < 4 {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buffer = Vec::new();
            while bodies.len() < 4 {
                let Some(end) = head_end(&mut stream, &mut buffer).await else { break };
                let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let id = text.split("attempt-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
                let early = response_text(413, "", "").replace("{id}", id.expect("an id"));
                stream.write_all(early.as_bytes()).await.expect("written");
                buffer.drain(..end);
                while buffer.len() < LENGTH {
                    if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                        break;
                    }
                }
                bodies.push(buffer.drain(..buffer.len().min(LENGTH)).collect::<Vec<u8>>());
            }
        }
        bodies
    });
    let (forwarder, _changes) = forwarder_to(vec![entry("a", address, "s")]);
    let node = Node::start(forwarder).await;
    for letter in ["a", "b", "c", "d"] {
        let response = node.send(reqwest::Method::POST, "/unsafe/x", &letter.repeat(LENGTH)).await;
        assert_eq!(response.expect("a response").status(), 413);
    }
    for (body, letter) in serving.await.expect("no panic").iter().zip([b'a', b'b', b'c', b'd']) {
        assert!(body.iter().all(|byte| *byte == letter), "other bytes where the rest of the body is due");
    }
}

/// Reads until a head has come; tells where it ends.
async fn head_end(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(at + 4);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
