//! Responses of fake servers. The server replaces `{id}` in them by the id of the request.

use super::fake_server::Reaction;

/// Returns a reaction that sends a complete response. `extra_headers` holds additional header lines, each
/// with its line break.
pub fn response(status: u16, extra_headers: &str, body: &str) -> Reaction {
    Reaction::Write(response_text(status, extra_headers, body))
}

/// Returns the bytes of a complete response, as in [`response`].
pub fn response_text(status: u16, extra_headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {{id}}\r\n{extra_headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns a reaction that sends a valid response with status 200.
pub fn success(body: &str) -> Reaction {
    response(200, "Postmark: stamp\r\n", body)
}

/// Returns a reaction that rejects the request as a server without free capacity does.
pub fn rejection() -> Reaction {
    response(503, "Not-Run: 1\r\nRetry-After: 0.25\r\n", "full")
}

/// Returns the head and the chunks of an event stream. The chunk that properly ends the body is only added if
/// `is_complete` is set.
pub fn stream_text(extra_headers: &str, chunks: &[&str], is_complete: bool) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nPostmark: stamp\r\nContent-Type: text/event-stream\r\n\
         {extra_headers}Transfer-Encoding: chunked\r\n\r\n"
    );
    for chunk in chunks {
        text.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    if is_complete {
        text.push_str("0\r\n\r\n");
    }
    text
}

/// Returns the text of an event whose data is `e` followed by its id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}
