//! One attempt: a request at one server, up to the head of its answer, and the body behind it.

use std::time::Duration;

use bytes::Bytes;
use dispatch::Outcome;
use http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING, RETRY_AFTER};
use http::StatusCode;
use tokio::time::{timeout_at, Instant};

use crate::answer::ExecutionStatus;
use crate::call::{Call, ATTEMPT_ID, EXPECTED_SERVER, EXPECT_VERSION, LAST_EVENT_ID, TIME_LEFT};
use crate::sender::Ticket;

/// The header with the server's stamp.
pub(crate) const POSTMARK: HeaderName = HeaderName::from_static("postmark");
/// The header that says that the server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// The header with the server's load.
const LOAD: HeaderName = HeaderName::from_static("carrier-load");
/// The header with the version of the weights.
const VERSION: HeaderName = HeaderName::from_static("weight-editions");
/// The header with the time that an idle connection is kept.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Taken off the time that the server is given, for the way of its answer.
const WAY_BACK: Duration = Duration::from_millis(4);
/// Silence of this length up to the deadline is held against the server.
const SILENCE_HELD_AGAINST: Duration = Duration::from_millis(250);

/// A server may be silent for so many times longer before it begins, as the request may have to queue.
const QUEUE_SILENCES: u32 = 2;

/// Answers of up to this length are read to their end although nobody waits for them, ...
const READ_TO_END_MOST: u64 = 64 * 1024;
/// ... within this time.
const READ_TO_END_TIMEOUT: Duration = Duration::from_millis(500);

/// What one attempt adds to the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Extra {
    /// When the attempt ends at the latest.
    pub(crate) deadline: Instant,
    /// The version that alone may run it.
    pub(crate) version: Option<u64>,
    /// The event behind which the stream is to go on.
    pub(crate) last_event_id: Option<u64>,
    /// The longest silence of the server that is borne.
    pub(crate) silence_most: Option<Duration>,
}

impl Extra {
    pub(crate) fn until(deadline: Instant) -> Self {
        Self { deadline, version: None, last_event_id: None, silence_most: None }
    }

    /// Until when the server may stay silent from now on, for so many times the longest silence.
    fn wait_until(&self, times: u32) -> Instant {
        let silence_ends = self.silence_most.map(|most| Instant::now() + most * times);
        silence_ends.map_or(self.deadline, |end| end.min(self.deadline))
    }
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) verdict: ExecutionStatus,
    /// When the server wants to be asked again.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) timed_out: bool,
}

impl Failure {
    fn new(verdict: ExecutionStatus) -> Self {
        Self { verdict, retry_after: None, timed_out: false }
    }
}

/// An answer whose head has come and is ours.
pub(crate) struct Opened {
    pub(crate) ticket: Ticket,
    response: reqwest::Response,
    extra: Extra,
    /// The version of the weights, where the head tells it.
    pub(crate) version: Option<u64>,
}

impl Opened {
    /// Gives the answer up; a short one is read to its end.
    pub(crate) fn discard(mut self) {
        let failed = self.status().is_server_error();
        self.ticket.outcome = if failed { Outcome::Error } else { Outcome::Served };
        read_to_end(self.response);
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// The next piece of the body; `None` at its proper end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        let Ok(chunk) = timeout_at(self.extra.wait_until(1), self.response.chunk()).await else {
            if Instant::now() < self.extra.deadline {
                self.ticket.outcome = Outcome::Failed;
            }
            return Err(Failure { timed_out: true, ..Failure::new(ExecutionStatus::MayHaveRun) });
        };
        match chunk {
            Ok(Some(bytes)) => Ok(Some(bytes)),
            Ok(None) => {
                let failed = self.status().is_server_error();
                self.ticket.outcome = if failed { Outcome::Error } else { Outcome::Served };
                Ok(None)
            }
            Err(_) => {
                self.ticket.outcome = Outcome::Failed;
                Err(Failure::new(ExecutionStatus::MayHaveRun))
            }
        }
    }
}

/// Sends the request to the chosen server and waits for the head of its answer.
pub(crate) async fn open(mut ticket: Ticket, call: &Call, extra: Extra) -> Result<Opened, Failure> {
    let Some(request) = prepare(&ticket, call, extra) else {
        return Err(Failure::new(ExecutionStatus::NotRun));
    };
    let begun = Instant::now();
    let sent = timeout_at(extra.wait_until(QUEUE_SILENCES), request.send()).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            ticket.outcome = Outcome::Failed;
            let verdict =
                if error.is_connect() { ExecutionStatus::NotRun } else { ExecutionStatus::MayHaveRun };
            return Err(Failure::new(verdict));
        }
        Err(_) => {
            if begun.elapsed() >= SILENCE_HELD_AGAINST {
                ticket.outcome = Outcome::Failed;
            }
            return Err(Failure { timed_out: true, ..Failure::new(ExecutionStatus::MayHaveRun) });
        }
    };
    accept(ticket, call, extra, response)
}

/// Builds the request; `None` where it can't be sent as it is.
fn prepare(ticket: &Ticket, call: &Call, extra: Extra) -> Option<reqwest::RequestBuilder> {
    let url = call.url(&ticket.choice.address.to_string())?;
    let client = ticket.sender.state().links.of(&ticket.choice.id).ok()?;
    let mut headers = call.headers.clone();
    headers.insert(EXPECTED_SERVER, HeaderValue::from_str(&ticket.choice.id).ok()?);
    let left = extra.deadline.saturating_duration_since(Instant::now()).saturating_sub(WAY_BACK);
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(TIME_LEFT, left.into());
    if let Some(version) = extra.version {
        headers.insert(EXPECT_VERSION, version.into());
    }
    if let Some(id) = extra.last_event_id {
        headers.insert(LAST_EVENT_ID, id.into());
    }
    let mut request = client.request(call.method.clone(), url).headers(headers);
    if !call.body.is_empty() || call.method == http::Method::POST || call.method == http::Method::PUT {
        request = request.body(call.body.clone());
    }
    Some(request)
}

/// Checks that the head is an answer to this request, and notes what it tells.
fn accept(
    mut ticket: Ticket,
    call: &Call,
    extra: Extra,
    response: reqwest::Response,
) -> Result<Opened, Failure> {
    let headers = response.headers();
    if headers.get(ATTEMPT_ID) != call.id() {
        // What comes next on that connection may belong to another request as well.
        ticket.sender.state().links.forget(&ticket.choice.id);
        ticket.outcome = Outcome::Failed;
        return Err(Failure::new(ExecutionStatus::MayHaveRun));
    }
    note_load(&ticket, headers);
    let version = text(headers, &VERSION).and_then(|version| version.trim().parse().ok());
    if let (Some(version), Some(model)) = (version, call.model()) {
        ticket.sender.state().dispatcher.version_seen(&ticket.choice.id, &model, version);
    }
    if says_not_run(&response) {
        let failure = not_run(&mut ticket, call, extra, &response);
        read_to_end(response);
        return Err(failure);
    }
    if let Some(model) = call.model().filter(|_| response.status().is_success()) {
        ticket.sender.state().dispatcher.model_runs(&ticket.choice.id, &model);
    }
    if !is_proper(&response) {
        ticket.outcome = Outcome::Failed;
        return Err(Failure::new(ExecutionStatus::MayHaveRun));
    }
    Ok(Opened { ticket, response, extra, version })
}

/// Reads what is left of a short answer that nobody waits for, so that its connection can be used again.
pub(crate) fn read_to_end(mut response: reqwest::Response) {
    if response.content_length().is_some_and(|length| length <= READ_TO_END_MOST) {
        tokio::spawn(async move {
            let reading = async { while let Ok(Some(_)) = response.chunk().await {} };
            let _ = tokio::time::timeout(READ_TO_END_TIMEOUT, reading).await;
        });
    }
}

fn note_load(ticket: &Ticket, headers: &HeaderMap) {
    if let Some([running, waiting, slots]) = text(headers, &LOAD).and_then(load) {
        let now = ticket.sender.now();
        ticket.sender.state().dispatcher.reported(now, &ticket.choice.id, running, waiting, slots);
    }
    if let Some(seconds) = text(headers, &KEEP_ALIVE).and_then(keep_alive) {
        ticket.sender.state().links.idle_told(Duration::from_secs(seconds));
    }
}

fn says_not_run(response: &reqwest::Response) -> bool {
    match response.status() {
        StatusCode::MISDIRECTED_REQUEST => true,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::BAD_REQUEST => {
            response.headers().contains_key(NOT_RUN)
        }
        _ => false,
    }
}

fn not_run(ticket: &mut Ticket, call: &Call, extra: Extra, response: &reqwest::Response) -> Failure {
    ticket.outcome = Outcome::Full;
    let is_full = text(response.headers(), &LOAD)
        .and_then(load)
        .is_none_or(|[running, waiting, slots]| running + waiting >= slots);
    if let Some(model) =
        call.model().filter(|_| !is_full && response.status() == StatusCode::SERVICE_UNAVAILABLE)
    {
        let now = ticket.sender.now();
        ticket.sender.state().dispatcher.model_loading(now, &ticket.choice.id, &model);
        ticket.outcome = Outcome::Withdrawn;
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        match (extra.version, call.model()) {
            (Some(version), Some(model)) => {
                let now = ticket.sender.now();
                ticket.sender.state().dispatcher.version_refused(now, &ticket.choice.id, &model, version);
                ticket.outcome = Outcome::Withdrawn;
            }
            _ => ticket.outcome = Outcome::Failed,
        }
    }
    let retry_after = text(response.headers(), &RETRY_AFTER).and_then(|seconds| seconds.trim().parse().ok());
    let retry_after = retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Failure { retry_after, ..Failure::new(ExecutionStatus::NotRun) }
}

/// Whether the answer can be the server's. One without a length ends with its connection; if that is reset, reading
/// the body fails.
fn is_proper(response: &reqwest::Response) -> bool {
    let (status, headers) = (response.status(), response.headers());
    let is_stamped = !status.is_success() || headers.contains_key(POSTMARK);
    is_stamped && !status.is_informational() && !headers.contains_key(CONTENT_ENCODING)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Requests running, requests waiting, slots.
fn load(value: &str) -> Option<[u32; 3]> {
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    Some([numbers.next()??, numbers.next()??, numbers.next()??])
}

fn keep_alive(value: &str) -> Option<u64> {
    let mut parts = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    parts.next()?.trim().parse().ok()
}
