//! The relay of an event stream to a client. It forwards each event once it is complete.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use configuration::Route;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::StatusCode;
use tokio::time::Instant;

use crate::forwarding::{buffer_response, Forwarder, RetryState};
use crate::headers::{end_to_end, header_text, LAST_EVENT_ID};
use crate::request::UpstreamRequest;
use crate::response::{chunk_stream, ChunkSource, ClientResponse, ResponseBody};
use crate::streaming::event_parser::EventParser;
use crate::upstream::{AttemptOptions, UpstreamAttempt, UpstreamResponse};

impl Forwarder {
    /// Forwards a request for an event stream. If the stream of a server is interrupted and the route allows
    /// it, the stream is resumed at another server.
    pub(crate) async fn forward_stream(
        &self,
        route: &Arc<Route>,
        request: Arc<UpstreamRequest>,
        deadline: Instant,
    ) -> ClientResponse {
        let last_event_id = header_text(&request.headers, &LAST_EVENT_ID).and_then(|id| id.parse().ok());
        let retry =
            RetryState::new(self.selector.clone(), Arc::clone(route), request, route.resume, deadline);
        StreamRelay::new(retry, last_event_id).start().await
    }
}

/// An event stream to a client, and the response of the server from which it is currently read.
struct StreamRelay {
    retry: RetryState,
    /// The id of the last complete event with an id that was received; before the first one, the client's
    /// `Last-Event-Id`, if any.
    last_event_id: Option<u64>,
    /// The response from which the events are read; `None` before the first one, while the stream is being
    /// resumed, and after a failed resumption.
    upstream: Option<UpstreamResponse>,
    parser: EventParser,
    /// Complete events that have not been forwarded yet.
    pending_events: VecDeque<Bytes>,
}

impl StreamRelay {
    fn new(retry: RetryState, last_event_id: Option<u64>) -> Self {
        Self {
            retry,
            last_event_id,
            upstream: None,
            parser: EventParser::default(),
            pending_events: VecDeque::new(),
        }
    }

    /// Opens the stream at a server and returns the response to the client. Its body relays the events.
    async fn start(mut self) -> ClientResponse {
        let Some(upstream) = self.open_upstream().await else {
            return self.retry.last_error_response();
        };
        if !is_event_stream(&upstream) {
            let response = buffer_response(upstream).await;
            return response.unwrap_or_else(|_| ClientResponse::from_node(StatusCode::BAD_GATEWAY));
        }
        let (status, mut headers) = (upstream.status(), end_to_end(upstream.headers()));
        headers.remove(CONTENT_LENGTH);
        headers.remove(TRANSFER_ENCODING);
        self.upstream = Some(upstream);
        ClientResponse { status, headers, body: ResponseBody::Streaming(chunk_stream(self)) }
    }

    /// Makes attempts until a server accepts the request, and returns its response. The stream starts after
    /// the last event. Returns `None` if no further attempt is allowed or every eligible server was
    /// attempted.
    async fn open_upstream(&mut self) -> Option<UpstreamResponse> {
        while let Some(in_flight) = self.retry.next_attempt(false) {
            let options = AttemptOptions {
                last_event_id: self.last_event_id,
                ..AttemptOptions::with_deadline(self.retry.deadline)
            };
            let attempt = UpstreamAttempt { in_flight, request: &self.retry.request, options };
            match attempt.send().await {
                Ok(upstream) => return Some(upstream),
                Err(error) => self.retry.record_error(error),
            }
        }
        None
    }

    /// Parses the next bytes of the stream and queues the complete events for the client. Fails if the id of
    /// an event doesn't increase, as the client would then receive events twice.
    fn push(&mut self, chunk: &[u8]) -> io::Result<()> {
        self.parser.push(chunk);
        while let Some(event) = self.parser.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
                if id <= last {
                    return Err(interrupted_error());
                }
            }
            self.last_event_id = event.id.or(self.last_event_id);
            self.pending_events.push_back(event.raw);
        }
        Ok(())
    }

    /// Resumes the stream at another server after the last complete event, and discards the incomplete event
    /// in the parser. Fails if no further attempt is allowed, which is always the case if the route doesn't
    /// allow resumption.
    async fn resume(&mut self) -> io::Result<()> {
        self.upstream = None;
        self.parser = EventParser::default();
        let upstream = self.open_upstream().await.filter(is_event_stream);
        self.upstream = Some(upstream.ok_or_else(interrupted_error)?);
        Ok(())
    }
}

impl ChunkSource for StreamRelay {
    /// Waits for the next complete event. Resumes the stream if the body of the response is truncated or
    /// times out.
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                return Ok(Some(event));
            }
            let Some(upstream) = &mut self.upstream else {
                return Err(interrupted_error());
            };
            match upstream.chunk().await {
                Ok(Some(chunk)) => self.push(&chunk)?,
                // The body may end properly without a blank line after its last event.
                Ok(None) => return Ok(self.parser.take_partial()),
                Err(_) => self.resume().await?,
            }
        }
    }
}

/// Whether the response is a successful `text/event-stream`.
fn is_event_stream(response: &UpstreamResponse) -> bool {
    let content_type = header_text(response.headers(), &CONTENT_TYPE);
    response.status().is_success() && content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Returns the error that aborts the client's connection when the stream can't be continued.
fn interrupted_error() -> io::Error {
    io::Error::other("the event stream was interrupted or repeated an event, and can't be continued")
}
