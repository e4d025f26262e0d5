//! The trainers' interface to batch jobs at a traffic node: submit, read results, read bodies, cancel.
//!
//! Every call is forwarded to the stores that keep the batch job.

use std::sync::Arc;
use std::time::Duration;

use batch::JobId;
use bytes::Bytes;
use control_plane::ViewCell;
use data_plane::JobEndpoint;
use futures_util::future::BoxFuture;
use poem::error::ReadBodyError;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::Serialize;
use serde_json::value::RawValue;
use store_plane::{BodyOutcome, EndOutcome, JobClient, ReadOutcome, ResultPage, SubmitOutcome};

use crate::control::ControlPlane;

/// The header with the id of a batch job that is submitted.
const JOB_ID_HEADER: &str = "Attempt-Id";
/// The header with the time, in milliseconds, for which a read waits for a first result.
const LONG_POLL_HEADER: &str = "Hold-Ms";
/// The longest time for which a read waits.
const MAX_LONG_POLL: Duration = Duration::from_millis(2000);
/// Path of calls on a batch job, before its id.
const JOB_PATH: &str = "/api/lots/";
/// Path of calls on the items of a batch job, before its id.
const ITEM_PATH: &str = "/api/items/";
/// Largest batch job in bytes, while there is no configuration.
const DEFAULT_MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// The `Retry-After` header, in seconds, of the response to a batch job that was not accepted.
const RETRY_AFTER_SECONDS: &str = "0.3";

/// Forwards trainers' calls to the stores.
pub struct JobApi {
    stores: JobClient,
    view: Arc<ViewCell>,
}

/// Results of a batch job from a position on, as trainers read them.
#[derive(Serialize)]
struct ResultsReply<'a> {
    total: u32,
    next: u64,
    deliveries: &'a RawValue,
}

impl JobApi {
    /// An interface that finds the stores in the control plane's view.
    pub fn new(control: &ControlPlane) -> Self {
        let stores = JobClient::new(control.clients.rpc.clone(), control.view.subscribe());
        Self { stores, view: Arc::clone(&control.view) }
    }

    /// Dispatches a call by path and method; any path that is none of this interface's own is a submission.
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
        let body = match self.read_submission(&mut request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let outcome = self.stores.submit(host, path.into(), Arc::clone(&job), body).await;
        submit_response(&job, outcome)
    }

    /// The body of a submission, or the answer to one that cannot be read.
    async fn read_submission(&self, request: &mut Request) -> Result<Bytes, Response> {
        let configuration = self.view.view().configuration.clone();
        let max_bytes = configuration.map_or(DEFAULT_MAX_BODY_BYTES, |active| active.limits().body_bytes);
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        request.take_body().into_bytes_limit(max_bytes).await.map_err(|error| match error {
            ReadBodyError::PayloadTooLarge => StatusCode::PAYLOAD_TOO_LARGE.into(),
            error => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        })
    }

    async fn read_results(&self, job: &str, request: &Request) -> Response {
        let Some(after) = query_value(request, "after").unwrap_or("0").parse().ok() else {
            return error_response(StatusCode::BAD_REQUEST, "after: a whole number is wanted");
        };
        match self.stores.read(Arc::from(job), after, long_poll_timeout(request)).await {
            ReadOutcome::Page(page) => results_response(&page),
            ReadOutcome::NoSuchJob => error_response(StatusCode::NOT_FOUND, "no such batch job"),
            ReadOutcome::Unknown => unavailable(job),
        }
    }

    async fn read_body(&self, job: &str, request: &Request) -> Response {
        let Some(item) = query_value(request, "id") else {
            return error_response(StatusCode::BAD_REQUEST, "id: the item's id is wanted");
        };
        match self.stores.body(Arc::from(job), item).await {
            BodyOutcome::Body(bytes) => Response::builder().body(bytes),
            BodyOutcome::NoSuchItem => error_response(StatusCode::NOT_FOUND, "no such item"),
            BodyOutcome::Unknown => unavailable(job),
        }
    }

    async fn end(&self, job: &str) -> Response {
        match self.stores.end(Arc::from(job)).await {
            EndOutcome::Ended => StatusCode::OK.into(),
            EndOutcome::NoSuchJob => error_response(StatusCode::NOT_FOUND, "no such batch job"),
            EndOutcome::Unknown => unavailable(job),
        }
    }
}

impl JobEndpoint for JobApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.route(request))
    }
}

/// The value of the first parameter of that name in the query.
fn query_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let parameters = request.uri().query()?.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// How long a read waits for a first result; not at all unless the trainer asks for it.
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

/// The answer when no store could say anything definite about a batch job.
fn unavailable(job: &str) -> Response {
    log::debug!("no store gave a definite answer about batch job {job}");
    error_response(StatusCode::SERVICE_UNAVAILABLE, "no store is sure about this batch job")
}

fn error_response(status: StatusCode, reason: &str) -> Response {
    Response::builder().status(status).body(reason.to_owned())
}
