//! Checks that a request that isn't idempotent reaches at most one server, whatever ends the attempt. The
//! servers count the requests that they receive, and the count is compared with the status that the client
//! receives.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use support::node::{node_with, Node};
use support::{
    forwarder_with_entries, read_request, reset, response_text, server_entry, FakeServer, Reaction,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The number of servers. All of them behave alike, so that a repeated attempt is counted at any server.
const SERVERS: usize = 3;

/// The point at which a server ends a TCP connection without sending a response, and whether it resets or
/// closes it.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// Resets the connection after accepting it, before reading anything.
    ResetOnAccept,
    /// Closes the connection after accepting it, before reading anything.
    CloseOnAccept,
    /// Resets the connection after reading the first 20 bytes of the request's head.
    ResetWithinHead,
    /// Resets the connection after reading the head and possibly a part of the body.
    ResetWithinBody,
    /// Resets the connection after reading the complete request.
    ResetAfterRequest,
    /// Closes the connection after reading the complete request.
    CloseAfterRequest,
}

/// Starts a node with servers that end every connection as specified. Also returns the counter of connections
/// on which a server read the first 20 bytes of a request.
async fn node_with_ending_connections(connection_end: ConnectionEnd) -> (Node, Arc<AtomicUsize>) {
    let received_count = Arc::new(AtomicUsize::new(0));
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        entries.push(server_entry(
            &format!("server{number}"),
            listener.local_addr().expect("an address"),
            "s",
        ));
        let received_count = Arc::clone(&received_count);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(end_connection(stream, connection_end, Arc::clone(&received_count)));
            }
        });
    }
    let (forwarder, view_sender) = forwarder_with_entries(entries);
    // Leaking the sender keeps the view channel open for as long as the test runs.
    Box::leak(Box::new(view_sender));
    (Node::start(forwarder).await, received_count)
}

/// Ends a connection as specified. Counts it in `received_count` if the first 20 bytes of a request were
/// read.
async fn end_connection(
    mut stream: TcpStream,
    connection_end: ConnectionEnd,
    received_count: Arc<AtomicUsize>,
) {
    if matches!(connection_end, ConnectionEnd::ResetOnAccept) {
        return reset(&stream);
    }
    if matches!(connection_end, ConnectionEnd::CloseOnAccept) {
        return;
    }
    let mut bytes = vec![0; 20];
    stream.read_exact(&mut bytes).await.expect("the first bytes of a request");
    received_count.fetch_add(1, Ordering::SeqCst);
    match connection_end {
        ConnectionEnd::ResetWithinHead => return reset(&stream),
        ConnectionEnd::ResetWithinBody => {
            while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
                stream.read_buf(&mut bytes).await.expect("more bytes of the head");
            }
            return reset(&stream);
        }
        _ => {}
    }
    read_request(&mut stream, &mut bytes).await.expect("a request");
    if matches!(connection_end, ConnectionEnd::ResetAfterRequest) {
        reset(&stream);
    }
}

#[parameterized(
    reset_on_accept = { ConnectionEnd::ResetOnAccept },
    close_on_accept = { ConnectionEnd::CloseOnAccept },
    reset_within_head = { ConnectionEnd::ResetWithinHead },
    reset_within_body = { ConnectionEnd::ResetWithinBody },
    reset_after_request = { ConnectionEnd::ResetAfterRequest },
    close_after_request = { ConnectionEnd::CloseAfterRequest },
)]
#[test_macro(tokio::test)]
async fn given_servers_that_end_connections_when_an_unsafe_request_is_sent_then_at_most_one_receives_it(
    connection_end: ConnectionEnd,
) {
    for _ in 0..10 {
        let (node, received_count) = node_with_ending_connections(connection_end).await;
        let response = node.post("/unsafe/x").await;
        let status = response.status().as_u16();
        // 502: the request may have been executed. 503 with `Retry-After`: it was not executed, as the
        // connection ended before the request was sent.
        assert!(
            status == 502 || (status == 503 && response.headers().contains_key("retry-after")),
            "{status}"
        );
        let requests_received = received_count.load(Ordering::SeqCst);
        assert!(requests_received <= 1, "{requests_received} servers received the request");
        assert!(
            status == 502 || requests_received == 0,
            "status {status} although {requests_received} servers received the request"
        );
    }
}

/// Starts a node and servers that respond to GET with success and to other methods with `reaction`. Sends GET
/// requests first, so that the node keeps idle connections to the servers.
async fn node_with_idle_connections(reaction: Reaction) -> (Node, Vec<FakeServer>) {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let reaction = reaction.clone();
        let script =
            move |received: &support::ReceivedRequest, _: usize| match received.line.starts_with("GET") {
                true => support::success("x"),
                false => reaction.clone(),
            };
        servers.push(FakeServer::start(&format!("server{number}"), script).await);
    }
    let node = node_with(&servers).await;
    for _ in 0..3 * SERVERS {
        assert_eq!(node.get("/safe/x").await.text().await.expect("a body"), "x");
    }
    (node, servers)
}

/// Returns the number of POST requests that all servers together have received.
fn post_count(servers: &[FakeServer]) -> usize {
    servers.iter().flat_map(FakeServer::received).filter(|received| received.line.starts_with("POST")).count()
}

/// Returns the start of a response head, without the blank line that ends it.
fn response_head(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {{id}}\r\nPostmark: p\r\n")
}

#[parameterized(
    reset_on_an_idle_connection = { Reaction::WriteAndReset(String::new()), 502 },
    close_on_an_idle_connection = { Reaction::WriteAndClose(String::new()), 502 },
    head_then_close = { Reaction::WriteAndClose(format!("{}Content-Length: 5\r\n\r\n", response_head(200))), 502 },
    head_then_reset = { Reaction::WriteAndReset(format!("{}Content-Length: 5\r\n\r\n", response_head(200))), 502 },
    part_of_the_head = { Reaction::WriteAndClose("HTTP/1.1 200 OK\r\nAttempt".into()), 502 },
    part_of_the_body = { Reaction::WriteAndClose(format!("{}Content-Length: 5\r\n\r\nab", response_head(200))), 502 },
    part_of_the_chunks = { Reaction::WriteAndClose(format!("{}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", response_head(200))), 502 },
    no_length_closed = { Reaction::WriteAndClose(format!("{}\r\nab", response_head(200))), 200 },
    no_length_reset = { Reaction::WriteAndReset(format!("{}\r\nab", response_head(200))), 502 },
    no_http_response = { Reaction::WriteAndClose("nonsense\r\n\r\n".into()), 502 },
    informational_first = { Reaction::Write(format!("HTTP/1.1 102 Processing\r\n\r\n{}", response_text(200, "Postmark: p\r\n", "ab"))), 200 },
    bytes_after_the_response = { Reaction::Write(format!("{}surplus", response_text(200, "Postmark: p\r\n", "ab"))), 200 },
    response_to_another_request = { Reaction::Write(response_text(200, "Postmark: p\r\n", "ab").replace("{id}", "other")), 502 },
    error_of_the_server = { Reaction::Write(response_text(500, "Postmark: p\r\n", "ab")), 500 },
    unavailable_that_may_have_been_executed = { Reaction::Write(response_text(503, "Postmark: p\r\n", "ab")), 503 },
)]
#[test_macro(tokio::test)]
async fn given_idle_connections_when_the_response_is_unusual_then_exactly_one_server_receives_the_request(
    reaction: Reaction,
    status: u16,
) {
    let (node, servers) = node_with_idle_connections(reaction).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), status);
    let is_from_server = response.headers().contains_key("postmark");
    assert_eq!(is_from_server, status != 502, "a response that the node generated has no stamp");
    assert!(
        !response.headers().contains_key("retry-after"),
        "Retry-After although the request may have been executed"
    );
    assert_eq!(post_count(&servers), 1);
}

#[tokio::test]
async fn given_servers_that_all_reject_with_not_run_when_a_request_is_sent_then_the_response_has_retry_after()
{
    let (node, servers) = node_with_idle_connections(support::rejection()).await;
    let response = node.post("/unsafe/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(post_count(&servers) >= SERVERS, "not every server was attempted");
}

#[tokio::test]
async fn given_an_unresponsive_server_when_the_request_times_out_then_no_other_server_receives_it() {
    let (node, servers) = node_with_idle_connections(Reaction::Hang).await;
    let url = format!("http://{}/unsafe/x", node.address);
    let request = node.client.post(url).header("host", "h.example").header("attempt-id", "try1");
    let response = request.header("time-left-ms", "60").body("body").send().await.expect("a response");
    assert_eq!(response.status(), 504);
    assert_eq!(post_count(&servers), 1);
}

#[tokio::test]
async fn given_idle_connections_that_the_servers_closed_when_a_request_is_sent_then_at_most_one_receives_it()
{
    for reaction in [Reaction::WriteAndClose as fn(String) -> Reaction, Reaction::WriteAndReset] {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            // The response has no `Connection: close`, so the node regards the connection as reusable.
            let script = move |_: &support::ReceivedRequest, _: usize| {
                reaction(response_text(200, "Postmark: p\r\n", "x"))
            };
            servers.push(FakeServer::start(&format!("server{number}"), script).await);
        }
        let node = node_with(&servers).await;
        for _ in 0..20 {
            let before = post_count(&servers);
            let status = node.post("/unsafe/x").await.status().as_u16();
            assert!(status == 200 || status == 502, "{status}");
            assert!(post_count(&servers) - before <= 1, "the request was sent twice");
        }
    }
}

#[tokio::test]
async fn given_a_server_that_responds_early_when_it_reads_the_body_then_no_other_bytes_are_received() {
    const LENGTH: usize = 4000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(async move {
        let mut bodies = Vec::new();
        while bodies.len() < 4 {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buffer = Vec::new();
            while bodies.len() < 4 {
                let Some(end) = read_head(&mut stream, &mut buffer).await else { break };
                let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let id = text.split("attempt-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
                let early = response_text(413, "", "").replace("{id}", id.expect("an id"));
                stream.write_all(early.as_bytes()).await.expect("a response that can be written");
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
    let (forwarder, _view_sender) = forwarder_with_entries(vec![server_entry("a", address, "s")]);
    let node = Node::start(forwarder).await;
    for letter in ["a", "b", "c", "d"] {
        let response = node.send(reqwest::Method::POST, "/unsafe/x", &letter.repeat(LENGTH)).await;
        assert_eq!(response.expect("a response").status(), 413);
    }
    for (body, letter) in
        serving.await.expect("a task that does not panic").iter().zip([b'a', b'b', b'c', b'd'])
    {
        assert!(
            body.iter().all(|byte| *byte == letter),
            "the server received bytes that don't belong to this body"
        );
    }
}

/// Reads until the buffer contains the head of a request; returns the offset after it, or `None` at the end
/// of the connection.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(at + 4);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
