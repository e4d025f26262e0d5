//! Event streams: the parser of `text/event-stream`, and the relay that forwards each event once it is
//! complete.
//!
//! The relay tracks the position in a client's stream. If the stream of a server is interrupted, the relay
//! resumes it after the last complete event at another server, provided that the route allows resumption.

mod event_parser;
mod relay;

pub use event_parser::{EventParser, StreamEvent};
