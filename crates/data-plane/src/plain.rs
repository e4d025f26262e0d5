//! Plain requests: the answer is known to be whole before the client sees any of it, unless it is long.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use configuration::Route;
use dispatch::Need;
use futures_util::future::BoxFuture;
use futures_util::stream::{self, FuturesUnordered, StreamExt};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::StatusCode;
use state::ServerId;
use tokio::time::{sleep_until, Instant};

use crate::answer::{ClientResponse, ExecutionStatus, ResponseBody};
use crate::attempt::{open, Extra, Failure, Opened};
use crate::call::{end_to_end, Call};
use crate::sender::Sender;

/// Answers up to this length are held until they are whole.
const HELD_MOST: usize = 512 * 1024;
/// When a client is asked to come back if the servers name no time.
pub(crate) const COME_BACK: Duration = Duration::from_millis(100);
/// Clients are not asked to stay away for longer than this, as places at other servers get free meanwhile.
pub(crate) const COME_BACK_MOST: Duration = Duration::from_millis(400);
/// Attempts beyond the tries of the route that may end without having run.
const REFUSALS_MOST: u32 = 6;
/// A second attempt goes out when this part of the aim has passed.
const HEDGE_AT: f64 = 0.6;

type Attempt = BoxFuture<'static, Result<ClientResponse, Failure>>;

/// What all attempts for one try of a client came to.
pub(crate) struct PlainEnd {
    /// The answer for the client.
    pub(crate) answer: ClientResponse,
    /// Whether it is a server's.
    pub(crate) is_servers: bool,
    /// How many servers answered with status 500.
    pub(crate) errors: u32,
}

/// The attempts of one try.
struct Tries<'a> {
    sender: &'a Sender,
    route: &'a Arc<Route>,
    call: &'a Arc<Call>,
    model: Option<Arc<str>>,
    may_repeat: bool,
    deadline: Instant,
    tried: Vec<ServerId>,
    /// Servers that may have run the request, those at work included.
    spent: u32,
    refused: u32,
    /// Attempts that are out.
    running: u32,
    errors: u32,
    retry_after: Option<Duration>,
    timed_out: bool,
    /// A server's error, which is the answer if nothing better comes.
    fallback: Option<ClientResponse>,
}

impl Sender {
    /// Brings a plain request to a server; where it may be repeated, to as many as its route's tries allow.
    pub(crate) async fn plain(
        &self,
        route: &Arc<Route>,
        call: Arc<Call>,
        may_repeat: bool,
        deadline: Instant,
    ) -> PlainEnd {
        let mut tries = Tries {
            sender: self,
            route,
            model: call.model(),
            call: &call,
            may_repeat,
            deadline,
            tried: Vec::new(),
            spent: 0,
            refused: 0,
            running: 0,
            errors: 0,
            retry_after: None,
            timed_out: false,
            fallback: None,
        };
        tries.run().await
    }
}

impl Tries<'_> {
    async fn run(&mut self) -> PlainEnd {
        let mut running = FuturesUnordered::new();
        running.extend(self.start());
        let hedge_at = Instant::now() + self.route.latency_target.mul_f64(HEDGE_AT);
        let mut may_hedge = self.may_repeat && self.route.max_attempts > 1 && hedge_at < self.deadline;
        while !running.is_empty() {
            tokio::select! {
                Some(end) = running.next() => {
                    if let Some(answer) = self.take(end) {
                        let_finish(running);
                        return PlainEnd { answer, is_servers: true, errors: self.errors };
                    }
                    if running.is_empty() {
                        running.extend(self.start());
                    }
                }
                () = sleep_until(hedge_at), if may_hedge => {
                    may_hedge = false;
                    if self.sender.may_hedge() {
                        running.extend(self.start());
                    }
                }
            }
        }
        self.give_up()
    }

    /// Starts an attempt at one more server, if one may be tried.
    fn start(&mut self) -> Option<Attempt> {
        let is_first = self.spent == 0;
        let may_run = is_first || (self.may_repeat && self.spent < self.route.max_attempts.max(1));
        let has_time = Instant::now() < self.deadline;
        if !may_run || !has_time || self.refused > REFUSALS_MOST {
            return None;
        }
        let need = Need {
            targets: &self.route.targets,
            model: self.model.as_deref(),
            version: self.call.version_need(),
            tried: &self.tried,
            favourite: None,
            with_room: false,
            idle_usable: Some(self.sender.idle_usable()),
        };
        let ticket = self.sender.choose(&need)?;
        // Every server has had it once already: it goes there again only if none refused and none is at work.
        if self.tried.contains(&ticket.choice.id) && (self.refused > 0 || self.running > 0) {
            return None;
        }
        self.tried.push(Arc::clone(&ticket.choice.id));
        self.spent += 1;
        self.running += 1;
        let (call, extra) = (Arc::clone(self.call), Extra::until(self.deadline));
        Some(Box::pin(async move { hold(open(ticket, &call, extra).await?).await }))
    }

    /// Takes in the end of an attempt; gives the answer if it is final.
    fn take(&mut self, end: Result<ClientResponse, Failure>) -> Option<ClientResponse> {
        self.running -= 1;
        match end {
            Ok(answer) if answer.status.is_server_error() => {
                if answer.status == StatusCode::INTERNAL_SERVER_ERROR {
                    self.errors += 1;
                }
                if !self.may_repeat {
                    return Some(answer);
                }
                self.fallback = Some(answer);
                None
            }
            Ok(answer) => Some(answer),
            Err(failure) => {
                if failure.verdict == ExecutionStatus::NotRun {
                    self.spent -= 1;
                    self.refused += 1;
                }
                self.timed_out |= failure.timed_out;
                let earlier = self.retry_after.into_iter().chain(failure.retry_after).min();
                self.retry_after = earlier;
                None
            }
        }
    }

    fn give_up(&mut self) -> PlainEnd {
        if let Some(answer) = self.fallback.take() {
            return PlainEnd { answer, is_servers: true, errors: self.errors };
        }
        let answer = if self.spent == 0 {
            ClientResponse::not_run(self.retry_after.unwrap_or(COME_BACK).min(COME_BACK_MOST))
        } else if self.timed_out {
            ClientResponse::own(StatusCode::GATEWAY_TIMEOUT)
        } else {
            ClientResponse::own(StatusCode::BAD_GATEWAY)
        };
        PlainEnd { answer, is_servers: false, errors: self.errors }
    }
}

/// Lets attempts that lost against another one run to their end: breaking off work at a server costs more.
fn let_finish(running: FuturesUnordered<Attempt>) {
    if !running.is_empty() {
        tokio::spawn(running.for_each(|_| async {}));
    }
}

/// Reads the body to its end, or up to the length from which it is passed on as it comes.
pub(crate) async fn hold(mut opened: Opened) -> Result<ClientResponse, Failure> {
    let (status, mut headers) = (opened.status(), opened.headers().clone());
    let length = headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    let mut headers = end_to_end(&headers);
    let mut first = Bytes::new();
    let mut body = BytesMut::new();
    while let Some(chunk) = opened.chunk().await? {
        if first.is_empty() {
            first = chunk;
            continue;
        }
        if body.is_empty() {
            body.extend_from_slice(&first);
        }
        body.extend_from_slice(&chunk);
        if body.len() > HELD_MOST {
            headers.extend(length.map(|length| (CONTENT_LENGTH, length)));
            let body = ResponseBody::Stream(rest(body.freeze(), opened));
            return Ok(ClientResponse { status, headers, body });
        }
    }
    let body = if body.is_empty() { first } else { body.freeze() };
    if body.is_empty() {
        // It tells the length of a body that is not sent, as after HEAD.
        headers.extend(length.map(|length| (CONTENT_LENGTH, length)));
    }
    Ok(ClientResponse { status, headers, body: ResponseBody::Complete(body) })
}

/// What has come of a long answer, then the rest of it as it comes.
fn rest(begin: Bytes, opened: Opened) -> stream::BoxStream<'static, std::io::Result<Bytes>> {
    let rest = stream::unfold(Some(opened), |opened| async {
        let mut opened = opened?;
        match opened.chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(opened))),
            Ok(None) => None,
            Err(_) => {
                // The pieces before it are written out meanwhile.
                tokio::task::yield_now().await;
                Some((Err(std::io::Error::other("the server broke off")), None))
            }
        }
    });
    stream::once(async { Ok(begin) }).chain(rest).boxed()
}
