//! Incremental parser of `text/event-stream` bodies.

use bytes::{Bytes, BytesMut};

/// The field of an event that announces which version of the weights generates the text from there on.
const VERSION_FIELD: &str = "weight-editions";

/// A complete event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event as they were received, including the blank line that ends it.
    pub raw: Bytes,
    /// The `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// The values of the `data` fields, joined by line feeds.
    pub data: Bytes,
    /// The version of the weights that the event announces; `None` if it announces no change.
    pub version: Option<u64>,
}

impl StreamEvent {
    /// Whether the event contains neither id, data nor version, for example only a comment.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        self.id.is_none() && self.data.is_empty() && self.version.is_none()
    }
}

/// Parser that splits a stream into events. The bytes of the stream may be pushed in chunks of any size.
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
    /// The offset of the first line in the buffer that has not been searched for the end of an event.
    search_start: usize,
}

impl EventParser {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes the next complete event from the buffer and returns it; `None` if there is none.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_event_end()?;
        self.search_start = 0;
        let raw = self.buffer.split_to(end).freeze();
        Some(parse_event(raw))
    }

    /// Whether the buffer holds bytes. Once [`Self::next_event`] has returned `None`, they belong to an
    /// incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes all bytes from the buffer and returns them; `None` if it is empty. Once [`Self::next_event`]
    /// has returned `None`, they are the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        self.search_start = 0;
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Returns the offset after the blank line that ends the first event; `None` if it is incomplete.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut line_start = self.search_start;
        while let Some(length) = self.buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[line_start..line_start + length];
            line_start += length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(line_start);
            }
            self.search_start = line_start;
        }
        None
    }
}

/// Parses the fields of one complete event. Unknown fields and comments are ignored.
fn parse_event(raw: Bytes) -> StreamEvent {
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
            b"id" => event.id = parse_number(value),
            field if field.eq_ignore_ascii_case(VERSION_FIELD.as_bytes()) => {
                event.version = parse_number(value)
            }
            _ => {}
        }
    }
    event.data = data.unwrap_or_default().into();
    event.raw = raw;
    event
}

/// Splits a line at its first colon into field name and value. One space after the colon is not part of the
/// value.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return (line, b"");
    };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
