//! Requests in invalid and in unusual forms.

use std::io::{Read, Write};

use crate::net::*;

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
