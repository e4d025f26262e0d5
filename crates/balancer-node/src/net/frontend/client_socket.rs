//! A client's socket, which records the bytes of the arriving request head.
//!
//! If length fields of a request contradict each other, hyper drops some of them before the service gets the
//! request. A server that trusts a dropped field would find a second request in the body of the first
//! (request smuggling). The head is therefore checked in the form in which it was received.

use std::cell::{Cell, RefCell};

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::net::socket::Socket;

/// Maximum number of header fields of a request; hyper has the same limit.
const MAX_HEADER_FIELDS: usize = 100;

/// A client's socket that separates the received bytes into request heads and bodies.
pub(super) struct ClientSocket {
    stream: TcpStream,
    /// Number of bytes of the last request's body that have not been received yet.
    body_left: Cell<u64>,
    /// The bytes received after the last request's body.
    head: RefCell<Vec<u8>>,
    /// Time at which the first byte in `head` was received; `None` if `head` is empty.
    head_started_at: Cell<Option<Instant>>,
    last_read_at: Cell<Instant>,
}

/// How a request head delimits its body.
#[derive(Clone, Copy)]
pub(super) enum Framing {
    /// The body has this length in bytes.
    Length(u64),
    /// The body is chunked; only hyper can determine where it ends.
    Chunked,
    /// The head is malformed, or its fields contradict each other.
    Invalid,
}

impl Socket for ClientSocket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn received(&self, bytes: &[u8]) {
        self.last_read_at.set(Instant::now());
        self.split(bytes);
    }
}

impl ClientSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            body_left: Cell::new(0),
            head: RefCell::default(),
            head_started_at: Cell::new(None),
            last_read_at: Cell::new(Instant::now()),
        }
    }

    /// Returns the time at which the arriving head began to arrive; `None` if there is none.
    pub(super) fn head_started_at(&self) -> Option<Instant> {
        self.head_started_at.get()
    }

    /// Returns the time at which bytes were last received, or of the creation if there were none.
    pub(super) fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// Separates received bytes into the rest of the last body and the head that follows it.
    fn split(&self, bytes: &[u8]) {
        let body = (bytes.len() as u64).min(self.body_left.get());
        self.body_left.set(self.body_left.get() - body);
        let head = &bytes[body as usize..];
        if !head.is_empty() {
            self.head.borrow_mut().extend_from_slice(head);
            self.head_started_at.set(self.head_started_at.get().or(Some(self.last_read_at.get())));
        }
    }

    /// Removes the head of the request that hyper has just parsed from the recorded bytes, and returns how it
    /// delimits its body.
    pub(super) fn take_head(&self) -> Framing {
        let mut head = std::mem::take(&mut *self.head.borrow_mut());
        self.head_started_at.set(None);
        let (framing, length) = framing(&head);
        match framing {
            Framing::Length(body) => {
                head.drain(..length);
                self.body_left.set(body);
                self.split(&head);
            }
            // The connection is closed after the response, so further bytes need not be recorded.
            Framing::Chunked | Framing::Invalid => self.body_left.set(u64::MAX),
        }
        framing
    }
}

/// Returns how a request head delimits its body, and the length of the head in bytes.
fn framing(bytes: &[u8]) -> (Framing, usize) {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let Ok(httparse::Status::Complete(end)) = head.parse(bytes) else { return (Framing::Invalid, 0) };
    let values = |name: &'static str| {
        let named = head.headers.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        named.map(|field| std::str::from_utf8(field.value).unwrap_or_default().trim())
    };
    let framing = match (values("content-length").count(), values("transfer-encoding").count()) {
        (0, 0) => Framing::Length(0),
        (1, 0) => {
            let length = values("content-length").next().and_then(|text| text.parse().ok());
            length.map_or(Framing::Invalid, Framing::Length)
        }
        (0, 1) => Framing::Chunked,
        _ => Framing::Invalid,
    };
    (framing, end)
}
