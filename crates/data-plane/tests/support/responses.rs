//! Responses of fake servers. `{id}` in them becomes the id of the request.

use super::fake_server::Reaction;

/// A complete response.
pub fn response(status: u16, more: &str, body: &str) -> Reaction {
    Reaction::Write(response_text(status, more, body))
}

pub fn response_text(status: u16, more: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {{id}}\r\n{more}Content-Length: {length}\r\n\r\n{body}")
}

/// A stamped success.
pub fn success(body: &str) -> Reaction {
    response(200, "Postmark: stamp\r\n", body)
}

/// The rejection of a full server.
pub fn rejection() -> Reaction {
    response(503, "Not-Run: 1\r\nRetry-After: 0.25\r\n", "full")
}

/// The head and chunks of a stream; it has its proper end if `is_complete`.
pub fn stream_text(more: &str, chunks: &[&str], is_complete: bool) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nPostmark: stamp\r\nContent-Type: text/event-stream\r\n\
         {more}Transfer-Encoding: chunked\r\n\r\n"
    );
    for chunk in chunks {
        text.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    if is_complete {
        text.push_str("0\r\n\r\n");
    }
    text
}

/// An event with data `e` and its number.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}
