//! Incremental parsing of `text/event-stream`.

use bytes::{Bytes, BytesMut};

/// The field that says which version of the weights makes the text from this event on.
const VERSION_FIELD: &str = "weight-editions";

/// One complete event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes as they were received, with the blank line that ends it.
    pub raw: Bytes,
    /// Its `id`, if that is a number.
    pub id: Option<u64>,
    /// Its data lines, joined by line feeds.
    pub data: Bytes,
    /// The version of the weights, if the event announces a change.
    pub version: Option<u64>,
}

impl StreamEvent {
    /// Whether the event is only a comment or empty.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        self.id.is_none() && self.data.is_empty() && self.version.is_none()
    }
}

/// Splits a stream into events. Bytes may be pushed in chunks of any size.
///
/// ```
/// use data_plane::EventParser;
///
/// let mut parser = EventParser::default();
/// parser.push(b"id: 1\ndata: to");
/// assert_eq!(parser.next_event(), None);
/// parser.push(b"ken\n\nid: 2");
/// let event = parser.next_event().expect("a complete event");
/// assert_eq!((event.id, &event.data[..]), (Some(1), &b"token"[..]));
/// assert!(parser.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// The buffer holds no end of an event before this offset, which is the start of a line.
    searched: usize,
}

impl EventParser {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next complete event out of the buffer.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let raw = self.buffer.split_to(end).freeze();
        Some(parse(raw))
    }

    /// Whether the buffer holds part of an event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the bytes after the last complete event out of the buffer.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        self.searched = 0;
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// The offset after the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.searched;
        while let Some(length) = self.buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[line_start..line_start + length];
            line_start += length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(line_start);
            }
            self.searched = line_start;
        }
        None
    }
}

fn parse(raw: Bytes) -> StreamEvent {
    let mut event = StreamEvent::default();
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let (field, value) = split_field(line);
        match field {
            b"data" => match &mut data {
                Some(joined) => {
                    joined.push(b'\n');
                    joined.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            },
            b"id" => event.id = number(value),
            field if field.eq_ignore_ascii_case(VERSION_FIELD.as_bytes()) => event.version = number(value),
            _ => {}
        }
    }
    event.data = data.unwrap_or_default().into();
    event.raw = raw;
    event
}

/// Splits a line at its first colon; one space after the colon belongs to neither part.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return (line, b"");
    };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
