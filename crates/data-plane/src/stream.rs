//! Streams: each event goes on as it comes.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use configuration::Route;
use dispatch::Need;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::StatusCode;
use state::ServerId;
use tokio::time::Instant;

use crate::answer::{ClientResponse, ExecutionStatus, ResponseBody};
use crate::attempt::{open, Extra, Failure, Opened};
use crate::call::{end_to_end, Call, LAST_EVENT_ID};
use crate::event_stream::EventParser;
use crate::plain::{hold, COME_BACK, COME_BACK_MOST};
use crate::sender::Sender;

/// Attempts at servers that did not run the request.
const REFUSALS_MOST: u32 = 6;

/// Where the events of one answer come from: one server after the other.
struct Source {
    sender: Sender,
    route: Arc<Route>,
    call: Arc<Call>,
    deadline: Instant,
    tried: Vec<ServerId>,
    /// Servers that may have run the request.
    spent: u32,
    refused: u32,
    last_failure: Option<Failure>,
    last_event_id: Option<u64>,
    opened: Option<Opened>,
    parser: EventParser,
    ready: VecDeque<Bytes>,
}

impl Sender {
    /// Brings a request for a stream to a server.
    pub(crate) async fn stream(
        &self,
        route: &Arc<Route>,
        call: Arc<Call>,
        deadline: Instant,
    ) -> ClientResponse {
        let asked = call.headers.get(LAST_EVENT_ID).and_then(|id| id.to_str().ok()?.parse().ok());
        let mut source = Source {
            sender: self.clone(),
            route: Arc::clone(route),
            call,
            deadline,
            tried: Vec::new(),
            spent: 0,
            refused: 0,
            last_failure: None,
            last_event_id: asked,
            opened: None,
            parser: EventParser::default(),
            ready: VecDeque::new(),
        };
        let Some(opened) = source.connect().await else {
            return source.refusal();
        };
        if !is_event_stream(&opened) {
            return hold(opened).await.unwrap_or_else(|_| ClientResponse::own(StatusCode::BAD_GATEWAY));
        }
        let (status, mut headers) = (opened.status(), end_to_end(opened.headers()));
        headers.remove(CONTENT_LENGTH);
        headers.remove(TRANSFER_ENCODING);
        source.opened = Some(opened);
        ClientResponse { status, headers, body: ResponseBody::Stream(source.into_pieces()) }
    }
}

impl Source {
    /// Opens the stream at the next server that may be tried.
    async fn connect(&mut self) -> Option<Opened> {
        let model = self.call.model();
        while self.may_try() {
            let need = Need {
                targets: &self.route.targets,
                model: model.as_deref(),
                version: self.call.version_need(),
                tried: &self.tried,
                favourite: None,
                with_room: false,
                idle_usable: Some(self.sender.idle_usable()),
            };
            let ticket = self.sender.choose(&need)?;
            if self.tried.contains(&ticket.choice.id) {
                return None;
            }
            self.tried.push(Arc::clone(&ticket.choice.id));
            self.spent += 1;
            let extra = Extra { last_event_id: self.last_event_id, ..Extra::until(self.deadline) };
            match open(ticket, &self.call, extra).await {
                Ok(opened) => return Some(opened),
                Err(failure) => self.note(failure),
            }
        }
        None
    }

    fn may_try(&self) -> bool {
        let may_run = self.spent == 0 || (self.route.resume && self.spent < self.route.max_attempts.max(1));
        may_run && self.refused <= REFUSALS_MOST && Instant::now() < self.deadline
    }

    fn note(&mut self, failure: Failure) {
        if failure.verdict == ExecutionStatus::NotRun {
            self.spent -= 1;
            self.refused += 1;
        }
        self.last_failure = Some(failure);
    }

    /// The answer when no server has begun to answer.
    fn refusal(&self) -> ClientResponse {
        let failure = self.last_failure;
        if self.spent == 0 {
            let retry_after = failure.and_then(|failure| failure.retry_after);
            return ClientResponse::not_run(retry_after.unwrap_or(COME_BACK).min(COME_BACK_MOST));
        }
        let timed_out = failure.is_some_and(|failure| failure.timed_out);
        ClientResponse::own(if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY })
    }

    fn into_pieces(self) -> BoxStream<'static, io::Result<Bytes>> {
        let pieces = stream::unfold(Some(self), |source| async {
            let mut source = source?;
            match source.next_piece().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(source))),
                Ok(None) => None,
                Err(error) => {
                    // The pieces before it are written out meanwhile.
                    tokio::task::yield_now().await;
                    Some((Err(error), None))
                }
            }
        });
        pieces.boxed()
    }

    /// The next whole event; `None` at the proper end.
    async fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Ok(Some(piece));
            }
            let Some(opened) = &mut self.opened else {
                return Err(broken_off());
            };
            match opened.chunk().await {
                Ok(Some(chunk)) => self.take(&chunk)?,
                // What stands behind the last event belongs to the whole body as well.
                Ok(None) => return Ok(self.parser.take_partial()),
                Err(_) => self.resume().await?,
            }
        }
    }

    fn take(&mut self, chunk: &[u8]) -> io::Result<()> {
        self.parser.push(chunk);
        while let Some(event) = self.parser.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
                if id <= last {
                    return Err(broken_off());
                }
            }
            self.last_event_id = event.id.or(self.last_event_id);
            self.ready.push_back(event.raw);
        }
        Ok(())
    }

    /// Goes on at another server behind the last whole event.
    async fn resume(&mut self) -> io::Result<()> {
        self.opened = None;
        self.parser = EventParser::default();
        let opened = self.connect().await.filter(is_event_stream);
        self.opened = Some(opened.ok_or_else(broken_off)?);
        Ok(())
    }
}

fn is_event_stream(opened: &Opened) -> bool {
    let kind = opened.headers().get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    opened.status().is_success() && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn broken_off() -> io::Error {
    io::Error::other("the stream was broken off")
}
