//! Items of batch jobs: requests whose response is an event stream of tokens. The text of the events is
//! collected here.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use configuration::Route;
use dispatch::{SelectionCriteria, VersionRequirement};
use http::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use http::{Method, StatusCode};
use tokio::time::Instant;

use crate::batch::capacity::item_criteria;
use crate::batch::collector::{CollectorRules, EventCollector, EventRejection, ItemProgress};
use crate::forwarding::Forwarder;
use crate::headers::{end_to_end, ATTEMPT_ID, MODEL};
use crate::request::UpstreamRequest;
use crate::selection::InFlightRequest;
use crate::streaming::{EventParser, StreamEvent};
use crate::upstream::{AttemptError, AttemptOptions, ExecutionStatus, UpstreamAttempt, UpstreamResponse};

/// The delay before an item may be sent again if no server specified a `Retry-After`, for example because no
/// server was eligible or the connection failed.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The maximum time between two chunks of the response body; after that, the run is interrupted. The head of
/// the response may take twice as long, as the request may wait in the server's queue (`HEAD_TIMEOUT_FACTOR`
/// in `upstream/attempt.rs`).
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// One run of an item: the request, and the progress of earlier runs after which it continues.
#[derive(Clone, Debug)]
pub struct ItemRequest {
    /// The route of the batch job. It determines the services that may run the item.
    pub route: Arc<Route>,
    /// The host of the route, sent as the `Host` header.
    pub host: Arc<str>,
    /// The path and query of the request.
    pub path: String,
    /// The headers that the batch job specifies for the item, as name and value.
    pub headers: Vec<(String, String)>,
    /// The id of the item, sent as the `Attempt-Id` header. All runs of the item share it.
    pub id: Arc<str>,
    /// The body of the request.
    pub body: Bytes,
    /// The model that generates the text; `None` if the batch job names none.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may generate an event of the text; 0 allows all versions.
    pub oldest_version: u64,
    /// The group of the item, if any. Items of a group share their prompt, so they prefer the same server,
    /// whose prefix cache holds it.
    pub group: Option<Arc<str>>,
    /// The part of the text that earlier runs collected.
    pub progress: ItemProgress,
    /// The time at which the run is interrupted if it is not complete.
    pub deadline: Instant,
}

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The text is complete.
    Complete(ItemProgress),
    /// The server responded with status 500, which counts as a failed attempt of the item.
    Failed,
    /// The item can never be processed: the server responded with status 422, or a header of the item is
    /// invalid.
    Unprocessable,
    /// The run ended before the text was complete. The item can continue after this progress; if that is
    /// empty, it starts from the beginning.
    Interrupted(ItemProgress),
    /// No server has executed the request: none was eligible, or the attempt was certainly not executed.
    NotExecuted {
        /// The delay before the item may be sent again.
        retry_after: Duration,
    },
}

impl Forwarder {
    /// Sends an item to one server, which continues the text after the item's progress. Does not retry.
    pub async fn run_item(&self, item: ItemRequest) -> ItemOutcome {
        let Some(request) = upstream_request(&item) else {
            log::error!("item {} cannot be sent: one of its headers is invalid", item.id);
            return ItemOutcome::Unprocessable;
        };
        let Some(in_flight) = self.select_for_item(&item) else {
            return ItemOutcome::NotExecuted { retry_after: DEFAULT_RETRY_AFTER };
        };
        let known_version = in_flight.server().version;
        let options = AttemptOptions {
            deadline: item.deadline,
            expected_version: known_version.filter(|_| item.route.single_version),
            last_event_id: item.progress.last_event_id,
            idle_timeout: Some(EVENT_TIMEOUT),
        };
        match (UpstreamAttempt { in_flight, request: &request, options }).send().await {
            Ok(upstream) => item_outcome(item, upstream, known_version).await,
            Err(error) => error_outcome(item, error),
        }
    }

    /// Selects a server for the next run. On a route where a single version must generate the entire text,
    /// only the version that generated the first events may continue it.
    fn select_for_item(&self, item: &ItemRequest) -> Option<InFlightRequest> {
        let version_so_far = item.progress.versions.first().filter(|_| item.route.single_version);
        let version = match version_so_far {
            Some(version) => VersionRequirement::Exactly(*version),
            None => VersionRequirement::AtLeast(item.oldest_version),
        };
        let cache_server = item.group.as_ref().and_then(|group| self.selector.prefix_cache_server(group));
        let criteria = SelectionCriteria {
            prefix_cache_server: cache_server.as_ref(),
            ..item_criteria(&item.route.targets, item.model.as_deref(), version)
        };
        let in_flight = self.selector.select(&criteria)?;
        if let Some(group) = &item.group {
            self.selector.record_prefix_cache_server(group, &in_flight.server().id);
        }
        Some(in_flight)
    }
}

/// Builds the request that is sent for an item; `None` if one of its headers is invalid.
fn upstream_request(item: &ItemRequest) -> Option<UpstreamRequest> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_str(value).ok()?);
    }
    let mut headers = end_to_end(&headers);
    headers.insert(HOST, HeaderValue::from_str(&item.host).ok()?);
    headers.insert(ATTEMPT_ID, HeaderValue::from_str(&item.id).ok()?);
    if let Some(model) = item.model.as_ref().filter(|_| !headers.contains_key(MODEL)) {
        headers.insert(MODEL, HeaderValue::from_str(model).ok()?);
    }
    Some(UpstreamRequest {
        method: Method::POST,
        target: item.path.clone(),
        headers,
        body: item.body.clone(),
    })
}

/// Returns the outcome of a run whose attempt yielded no valid response.
fn error_outcome(item: ItemRequest, error: AttemptError) -> ItemOutcome {
    match error.execution_status() {
        ExecutionStatus::NotExecuted => {
            ItemOutcome::NotExecuted { retry_after: error.retry_after().unwrap_or(DEFAULT_RETRY_AFTER) }
        }
        ExecutionStatus::MayHaveBeenExecuted => ItemOutcome::Interrupted(item.progress),
    }
}

/// Returns the outcome of a run that received a valid response head. Collects the text of a success.
async fn item_outcome(
    item: ItemRequest,
    upstream: UpstreamResponse,
    known_version: Option<u64>,
) -> ItemOutcome {
    match upstream.status() {
        StatusCode::INTERNAL_SERVER_ERROR => {
            upstream.discard();
            ItemOutcome::Failed
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            upstream.discard();
            ItemOutcome::Unprocessable
        }
        status if status.is_success() => collect_text(item, upstream, known_version).await,
        _ => ItemOutcome::Interrupted(item.progress),
    }
}

/// Collects the events of a response. The text is complete if it has at least one event, and the body ended
/// properly and directly after a complete event.
async fn collect_text(
    item: ItemRequest,
    mut upstream: UpstreamResponse,
    known_version: Option<u64>,
) -> ItemOutcome {
    let rules =
        CollectorRules { oldest_version: item.oldest_version, single_version: item.route.single_version };
    let version = upstream.version().or(known_version);
    let mut collector = EventCollector::new(item.progress, rules, version);
    let mut parser = EventParser::default();
    loop {
        let chunk = match upstream.chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) if !parser.has_partial() && !collector.progress.events.is_empty() => {
                return ItemOutcome::Complete(collector.progress);
            }
            _ => return ItemOutcome::Interrupted(collector.progress),
        };
        parser.push(&chunk);
        while let Some(event) = parser.next_event() {
            record_version(&upstream, item.model.as_deref(), &event);
            match collector.add(&event) {
                Ok(()) => {}
                Err(EventRejection::InvalidEvent) => return ItemOutcome::Interrupted(collector.progress),
                Err(EventRejection::MixedVersions) => {
                    return ItemOutcome::Interrupted(ItemProgress::default())
                }
            }
        }
    }
}

/// Records in the dispatcher that the server runs the version of `model` that an event announces.
fn record_version(upstream: &UpstreamResponse, model: Option<&str>, event: &StreamEvent) {
    if let (Some(version), Some(model)) = (event.version, model) {
        upstream.in_flight().record_version(model, version);
    }
}
