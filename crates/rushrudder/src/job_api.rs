//! The HTTP interface of a traffic node through which trainers submit batch jobs, read their results and the
//! bodies of their items, and end them.
//!
//! Every call is forwarded to the stores that keep the batch job.

use std::sync::Arc;
use std::time::Duration;

use batch::JobId;
use bytes::Bytes;
use control_plane::ViewCell;
use data_plane::JobEndpoint;
use futures_util::future::BoxFuture;
use futures_util::StreamExt;
use poem::http::header::CONTENT_LENGTH;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use rpc::{BudgetShare, MessageBudget};
use serde::Serialize;
use serde_json::value::RawValue;
use settings::NodeSettings;
use store_plane::{BodyOutcome, EndOutcome, JobClient, ReadOutcome, ResultPage, SubmitOutcome};

use crate::control::ControlPlane;

/// Request header with the id of the batch job that is submitted.
const JOB_ID_HEADER: &str = "Attempt-Id";
/// Request header with the time, in milliseconds, for which a read waits for a first result.
const LONG_POLL_HEADER: &str = "Hold-Ms";
/// Upper bound of the time for which a read waits for a first result.
const MAX_LONG_POLL: Duration = Duration::from_millis(2000);
/// Path prefix of calls that read or end a batch job. The id of the job follows.
const JOB_PATH: &str = "/api/lots/";
/// Path prefix of calls that read the body of an item. The id of the batch job follows.
const ITEM_PATH: &str = "/api/items/";
/// Maximum size of a submitted batch job in bytes, used while the process has no configuration.
const DEFAULT_MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// Value of the `Retry-After` header, in seconds, in the response to a batch job that was not accepted.
const RETRY_AFTER_SECONDS: &str = "0.3";

/// Part of the memory of the process for submissions that are handled at the same time. Each is in memory twice: as
/// it was received, and as it is sent.
const SUBMISSION_DIVISOR: u64 = 4;

/// Interface for trainers' calls on batch jobs, which it forwards to the stores.
pub struct JobApi {
    stores: JobClient,
    view: Arc<ViewCell>,
    /// Memory of the submissions that are handled at the same time.
    submissions: MessageBudget,
}

/// A submission, with its part of the memory.
struct ReceivedSubmission {
    body: Bytes,
    _share: BudgetShare,
}

/// JSON body of the response to a read: the results of a batch job from the requested position on.
#[derive(Serialize)]
struct ResultsReply<'a> {
    /// Number of items of the batch job.
    total: u32,
    /// Position after the last result in `deliveries`; the next read starts there.
    next: u64,
    /// JSON array of the results.
    deliveries: &'a RawValue,
}

impl JobApi {
    /// Creates an interface that reads the addresses of the stores from the view of `control`.
    pub fn new(settings: &NodeSettings, control: &ControlPlane) -> Self {
        let stores = JobClient::new(control.clients.rpc.clone(), control.view.subscribe());
        let submission_bytes = settings.resource_limits.memory_bytes() / SUBMISSION_DIVISOR;
        let submissions = MessageBudget::new(usize::try_from(submission_bytes).unwrap_or(usize::MAX));
        Self { stores, view: Arc::clone(&control.view), submissions }
    }

    /// Dispatches a call by its path and method. A request for any other path submits a batch job.
    async fn route(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if let Some(job) = path.strip_prefix(JOB_PATH) {
            return match *request.method() {
                Method::GET => self.read_results(job, &request).await,
                Method::DELETE => self.end(job).await,
                _ => StatusCode::METHOD_NOT_ALLOWED.into(),
            };
        }
        if let Some(job) = path.strip_prefix(ITEM_PATH) {
            return match *request.method() {
                Method::GET => self.read_body(job, &request).await,
                _ => StatusCode::METHOD_NOT_ALLOWED.into(),
            };
        }
        self.submit(path, request).await
    }

    async fn submit(&self, path: String, mut request: Request) -> Response {
        let (Some(job), Some(host)) = (request.header(JOB_ID_HEADER), request.header("host")) else {
            return error_response(StatusCode::BAD_REQUEST, "a batch job needs Host and Attempt-Id");
        };
        let (job, host): (JobId, Arc<str>) = (Arc::from(job), Arc::from(host));
        let ReceivedSubmission { body, _share } = match self.read_submission(&mut request, &job).await {
            Ok(submission) => submission,
            Err(response) => return response,
        };
        let outcome = self.stores.submit(host, path.into(), Arc::clone(&job), body).await;
        submit_response(&job, outcome)
    }

    /// Reads the body of a submission once there is memory for it. Fails with the response to send if there is none
    /// in time, or if the body is too large or cannot be received.
    async fn read_submission(
        &self,
        request: &mut Request,
        job: &JobId,
    ) -> Result<ReceivedSubmission, Response> {
        let configuration = self.view.view().configuration.clone();
        let max_bytes = configuration.map_or(DEFAULT_MAX_BODY_BYTES, |active| active.limits().body_bytes);
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let declared_bytes = declared_length(request);
        if declared_bytes.is_some_and(|declared| declared > max_bytes) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
        }
        let share = self.submissions.acquire(declared_bytes.unwrap_or(max_bytes)).await;
        let share = share.ok_or_else(|| submit_response(job, SubmitOutcome::NotAccepted))?;
        let body = read_body(request, declared_bytes.unwrap_or(0), max_bytes).await?;
        Ok(ReceivedSubmission { body, _share: share })
    }

    async fn read_results(&self, job: &str, request: &Request) -> Response {
        let Some(after) = query_value(request, "after").unwrap_or("0").parse().ok() else {
            return error_response(StatusCode::BAD_REQUEST, "after: a whole number is wanted");
        };
        match self.stores.read(Arc::from(job), after, long_poll_timeout(request)).await {
            ReadOutcome::Page(page) => results_response(&page),
            ReadOutcome::NoSuchJob => error_response(StatusCode::NOT_FOUND, "no such batch job"),
            ReadOutcome::Unknown => unavailable_response(job),
        }
    }

    async fn read_body(&self, job: &str, request: &Request) -> Response {
        let Some(item) = query_value(request, "id") else {
            return error_response(StatusCode::BAD_REQUEST, "id: the item's id is wanted");
        };
        match self.stores.body(Arc::from(job), item).await {
            BodyOutcome::Body(bytes) => Response::builder().body(bytes),
            BodyOutcome::NoSuchItem => error_response(StatusCode::NOT_FOUND, "no such item"),
            BodyOutcome::Unknown => unavailable_response(job),
        }
    }

    async fn end(&self, job: &str) -> Response {
        match self.stores.end(Arc::from(job)).await {
            EndOutcome::Ended => StatusCode::OK.into(),
            EndOutcome::NoSuchJob => error_response(StatusCode::NOT_FOUND, "no such batch job"),
            EndOutcome::Unknown => unavailable_response(job),
        }
    }
}

impl JobEndpoint for JobApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.route(request))
    }
}

/// Returns the length of the body according to the head of a request; `None` if the head has none.
fn declared_length(request: &Request) -> Option<usize> {
    request.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads a body into memory that is allocated once if the body has `expected_bytes`. Fails with the response to send if it
/// is longer than `max_bytes` or cannot be received.
async fn read_body(
    request: &mut Request,
    expected_bytes: usize,
    max_bytes: usize,
) -> Result<Bytes, Response> {
    let mut bytes = Vec::with_capacity(expected_bytes);
    let mut chunks = request.take_body().into_bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
        if bytes.len() + chunk.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.into())
}

/// Returns the value of the first query parameter called `name`; `None` if the query has none.
fn query_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let parameters = request.uri().query()?.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// Returns the time for which a read waits for a first result; zero if the request has no valid
/// [`LONG_POLL_HEADER`].
fn long_poll_timeout(request: &Request) -> Duration {
    let milliseconds = request.header(LONG_POLL_HEADER).and_then(|value| value.trim().parse().ok());
    milliseconds.map(Duration::from_millis).unwrap_or_default().min(MAX_LONG_POLL)
}

fn submit_response(job: &JobId, outcome: SubmitOutcome) -> Response {
    match outcome {
        SubmitOutcome::Accepted => StatusCode::ACCEPTED.into(),
        SubmitOutcome::Invalid(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        SubmitOutcome::NotAccepted => {
            log::warn!("batch job {job} was not accepted");
            let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            response.header("Retry-After", RETRY_AFTER_SECONDS).body("the batch job was not taken")
        }
        SubmitOutcome::Unknown => {
            log::warn!("batch job {job} may have been accepted");
            error_response(StatusCode::GATEWAY_TIMEOUT, "the batch job may have been taken")
        }
    }
}

fn results_response(page: &ResultPage) -> Response {
    let json = std::str::from_utf8(&page.deliveries).ok();
    let Some(deliveries) = json.and_then(|json| serde_json::from_str(json).ok()) else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "the results cannot be read");
    };
    let reply = ResultsReply { total: page.total, next: page.next, deliveries };
    let body = serde_json::to_string(&reply).unwrap_or_default();
    Response::builder().content_type("application/json").body(body)
}

/// Returns the response for a batch job about which no store gave a definite answer.
fn unavailable_response(job: &str) -> Response {
    log::debug!("no store gave a definite answer about batch job {job}");
    error_response(StatusCode::SERVICE_UNAVAILABLE, "no store is sure about this batch job")
}

fn error_response(status: StatusCode, reason: &str) -> Response {
    Response::builder().status(status).body(reason.to_owned())
}
