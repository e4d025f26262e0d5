//! Event streams: parsing of `text/event-stream`, and the relay that passes events on as they come.
//!
//! The relay owns the position in a client's stream. If the server breaks off, it resumes the stream after the last
//! complete event at another server, provided that the route allows it.

mod event_parser;
mod relay;

pub use event_parser::{EventParser, StreamEvent};
