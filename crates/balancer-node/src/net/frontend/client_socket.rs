//! A client's socket, with the bytes of the request head that is arriving.
//!
//! hyper drops fields that contradict others before a request is seen, so the head is checked as it came: a second
//! request could be hidden in what other servers would take for the body of the first (request smuggling).

use std::cell::{Cell, RefCell};

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::net::socket::Socket;

/// Header fields of a request, as hyper limits them.
const MAX_HEADER_FIELDS: usize = 100;

/// A client's socket.
pub(super) struct ClientSocket {
    stream: TcpStream,
    /// Bytes of the last body that have not come yet.
    body_left: Cell<u64>,
    /// What has come after the last body.
    head: RefCell<Vec<u8>>,
    head_started_at: Cell<Option<Instant>>,
    last_read_at: Cell<Instant>,
}

/// How a request head delimits its body.
#[derive(Clone, Copy)]
pub(super) enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks: where they end is known to hyper alone.
    Chunked,
    /// It contradicts itself.
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

    /// When the head that is arriving began to.
    pub(super) fn head_started_at(&self) -> Option<Instant> {
        self.head_started_at.get()
    }

    /// When bytes came last.
    pub(super) fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// Separates the rest of the last body from the head that follows it.
    fn split(&self, bytes: &[u8]) {
        let body = (bytes.len() as u64).min(self.body_left.get());
        self.body_left.set(self.body_left.get() - body);
        let head = &bytes[body as usize..];
        if !head.is_empty() {
            self.head.borrow_mut().extend_from_slice(head);
            self.head_started_at.set(self.head_started_at.get().or(Some(self.last_read_at.get())));
        }
    }

    /// Takes the head of the request that hyper has just read off the bytes that came, and says how it delimits
    /// its body.
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
            // The connection ends with the answer: a body of any length must not be buffered.
            Framing::Chunked | Framing::Invalid => self.body_left.set(u64::MAX),
        }
        framing
    }
}

/// How a request head delimits its body, and the length of the head.
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
