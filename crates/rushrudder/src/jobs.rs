//! Calls on batch jobs at a traffic node.

use std::sync::Arc;
use std::time::Duration;

use data_plane::JobEndpoint;
use futures_util::future::BoxFuture;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::Serialize;
use serde_json::value::RawValue;
use store_plane::{BodyOutcome, EndOutcome, JobClient, ReadOutcome, ResultPage, SubmitOutcome};

use crate::control::Control;

/// The header that names a batch job when it is handed in.
const JOB_ID: &str = "Attempt-Id";
/// How long a read may be held.
const HOLD: &str = "Hold-Ms";
/// The longest that a read is held.
const HOLD_MOST: Duration = Duration::from_millis(2000);
/// Paths of calls on a batch job and on its items.
const JOB_PATH: &str = "/api/lots/";
const ITEM_PATH: &str = "/api/items/";
/// The largest batch job, where the configuration does not say.
const BODY_BYTES_MOST: u64 = 32 * 1024 * 1024;
/// When a batch job that was not taken may come again.
const COME_BACK: &str = "0.3";

/// Brings calls on batch jobs to the stores that keep them.
pub struct Jobs {
    client: JobClient,
    control: Arc<control_plane::ViewCell>,
}

#[derive(Serialize)]
struct PageReply<'a> {
    total: u32,
    next: u64,
    deliveries: &'a RawValue,
}

impl Jobs {
    /// Calls go to the stores that `control` knows.
    pub fn new(control: &Control) -> Self {
        let client = JobClient::new(control.client.clone(), control.view.subscribe());
        Self { client, control: Arc::clone(&control.view) }
    }

    async fn answer(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if let Some(job) = path.strip_prefix(JOB_PATH) {
            return match *request.method() {
                Method::GET => self.read(job, &request).await,
                Method::DELETE => self.end(job).await,
                _ => StatusCode::METHOD_NOT_ALLOWED.into(),
            };
        }
        if let Some(job) = path.strip_prefix(ITEM_PATH) {
            return match *request.method() {
                Method::GET => self.body(job, &request).await,
                _ => StatusCode::METHOD_NOT_ALLOWED.into(),
            };
        }
        self.submit(path, request).await
    }

    async fn submit(&self, path: String, mut request: Request) -> Response {
        let (Some(job), Some(host)) = (request.header(JOB_ID), request.header("host")) else {
            return failure(StatusCode::BAD_REQUEST, "a batch job needs Host and Attempt-Id");
        };
        let (job, host) = (Arc::from(job), Arc::from(host));
        let configuration = self.control.view().configuration.clone();
        let most = configuration.map_or(BODY_BYTES_MOST, |configuration| configuration.limits().body_bytes);
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        let body = match request.take_body().into_bytes_limit(most).await {
            Ok(body) => body,
            Err(poem::error::ReadBodyError::PayloadTooLarge) => return StatusCode::PAYLOAD_TOO_LARGE.into(),
            Err(error) => return failure(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.client.submit(host, path.into(), Arc::clone(&job), body).await {
            SubmitOutcome::Accepted => StatusCode::ACCEPTED.into(),
            SubmitOutcome::Invalid(error) => failure(StatusCode::BAD_REQUEST, &error.to_string()),
            SubmitOutcome::NotAccepted => {
                log::warn!("batch job {job} was not taken");
                let reply = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
                reply.header("Retry-After", COME_BACK).body("the batch job was not taken")
            }
            SubmitOutcome::Unknown => {
                log::warn!("batch job {job} may have been taken");
                failure(StatusCode::GATEWAY_TIMEOUT, "the batch job may have been taken")
            }
        }
    }

    async fn read(&self, job: &str, request: &Request) -> Response {
        let Some(after) = query(request, "after").unwrap_or("0").parse().ok() else {
            return failure(StatusCode::BAD_REQUEST, "after: a whole number is wanted");
        };
        let hold = request.header(HOLD).and_then(|hold| hold.trim().parse().ok()).map(Duration::from_millis);
        let hold = hold.unwrap_or_default().min(HOLD_MOST);
        match self.client.read(Arc::from(job), after, hold).await {
            ReadOutcome::Page(page) => page_reply(&page),
            ReadOutcome::NoSuchJob => failure(StatusCode::NOT_FOUND, "no such batch job"),
            ReadOutcome::Unknown => unsure(job),
        }
    }

    async fn body(&self, job: &str, request: &Request) -> Response {
        let Some(item) = query(request, "id") else {
            return failure(StatusCode::BAD_REQUEST, "id: the item's id is wanted");
        };
        match self.client.body(Arc::from(job), item).await {
            BodyOutcome::Body(bytes) => Response::builder().body(bytes),
            BodyOutcome::NoSuchItem => failure(StatusCode::NOT_FOUND, "no such item"),
            BodyOutcome::Unknown => unsure(job),
        }
    }

    async fn end(&self, job: &str) -> Response {
        match self.client.end(Arc::from(job)).await {
            EndOutcome::Ended => StatusCode::OK.into(),
            EndOutcome::NoSuchJob => failure(StatusCode::NOT_FOUND, "no such batch job"),
            EndOutcome::Unknown => unsure(job),
        }
    }
}

impl JobEndpoint for Jobs {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }
}

fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

fn page_reply(page: &ResultPage) -> Response {
    let deliveries =
        std::str::from_utf8(&page.deliveries).ok().and_then(|text| serde_json::from_str(text).ok());
    let Some(deliveries) = deliveries else {
        return failure(StatusCode::INTERNAL_SERVER_ERROR, "the results cannot be read");
    };
    let reply = PageReply { total: page.total, next: page.next, deliveries };
    let body = serde_json::to_string(&reply).unwrap_or_default();
    Response::builder().content_type("application/json").body(body)
}

fn unsure(job: &str) -> Response {
    log::debug!("no store is sure about batch job {job}");
    failure(StatusCode::SERVICE_UNAVAILABLE, "no store is sure about this batch job")
}

fn failure(status: StatusCode, why: &str) -> Response {
    Response::builder().status(status).body(why.to_owned())
}
