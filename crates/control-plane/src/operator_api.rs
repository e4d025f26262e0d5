//! HTTP interface for the operator: configurations, draining of store machines, and target versions of
//! models.
//!
//! The interface has no state: each request is one change of the control state, or one read of its newest
//! value. Any process may serve it.

use std::sync::Arc;
use std::time::Duration;

use poem::http::{Method, StatusCode};
use poem::web::{Data, Json, Path};
use poem::{get, handler, post, Body, EndpointExt, IntoResponse, Request, Response, Route};
use serde::{Deserialize, Serialize};
use state::change::{
    change_digest, with_configuration, with_draining, with_target_version, ChangeKind, ChangeRejected,
};
use state::{ControlState, DrainState};
use tokio::time::Instant;

use crate::{ChangeFailure, Proposer, ViewCell};

/// Maximum time for a change or read before its outcome is reported as unknown. Callers retry at another node
/// after 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum size of the body of a request.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Data that all request handlers share.
#[derive(Clone)]
struct Context {
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
}

/// Body of a request to roll out a version of a model.
#[derive(Deserialize)]
struct VersionBody {
    model: String,
    #[serde(rename = "edition")]
    version: u64,
}

/// Body of the response with the progress of draining a machine.
#[derive(Serialize)]
struct DrainReply {
    condition: &'static str,
}

/// Body of an error response.
#[derive(Serialize)]
struct ErrorReply {
    error: String,
}

/// Returns the routes of the operator's interface.
pub fn operator_routes(view: Arc<ViewCell>, proposer: Arc<Proposer>) -> impl poem::Endpoint {
    let configuration = get(read_configuration).put(change_configuration).patch(change_configuration);
    Route::new()
        .at("/api/timetable", configuration)
        .at("/api/retire/:name", get(read_drain).post(start_drain))
        .at("/api/version-put", post(set_target_version))
        .data(Context { view, proposer })
}

#[handler]
async fn read_configuration(Data(context): Data<&Context>) -> Response {
    match context.proposer.read_newest(request_deadline()).await {
        Some(value) if value.value.configuration_version > 0 => match value.value.configuration.text() {
            Ok(text) => Response::builder().content_type("application/json").body(text.to_owned()),
            Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        },
        Some(_) => error_response(StatusCode::NOT_FOUND, "no configuration was taken yet"),
        None => outcome_unknown_response(),
    }
}

#[handler]
async fn change_configuration(request: &Request, body: Body, Data(context): Data<&Context>) -> Response {
    let Ok(body) = body.into_bytes_limit(MAX_BODY_BYTES).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body cannot be read whole");
    };
    let Some(expected) = expected_version(request) else {
        return error_response(StatusCode::BAD_REQUEST, "If-Match: a whole number is wanted");
    };
    let kind = if request.method() == Method::PATCH { ChangeKind::Patch } else { ChangeKind::Replace };
    let digest = change_digest(kind, expected, &body);
    let decide = |state: &ControlState| with_configuration(state, kind, expected, digest, &body);
    match context.proposer.change(request_deadline(), decide).await {
        Ok(value) => {
            let state = &value.value;
            log::info!(version = state.configuration_version, revision = state.revision; "configuration applied");
            StatusCode::OK.into()
        }
        Err(failure) => change_failure_response(&failure),
    }
}

/// Returns the version of the configuration on which a change is based, or `None` if the header `If-Match` is
/// absent or not a number.
fn expected_version(request: &Request) -> Option<u64> {
    request.header("if-match")?.trim().trim_matches('"').parse().ok()
}

#[handler]
async fn set_target_version(body: Body, Data(context): Data<&Context>) -> Response {
    let body = match body.into_bytes_limit(MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let VersionBody { model, version } = match serde_json::from_slice(&body) {
        Ok(parsed) => parsed,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let decide = |state: &ControlState| with_target_version(state, &model, version);
    match context.proposer.change(request_deadline(), decide).await {
        Ok(_) => {
            log::info!(version; "target version of {model} set");
            StatusCode::OK.into()
        }
        Err(failure) => change_failure_response(&failure),
    }
}

#[handler]
async fn start_drain(Path(name): Path<String>, Data(context): Data<&Context>) -> Response {
    let decide = |state: &ControlState| with_draining(state, &name);
    match context.proposer.change(request_deadline(), decide).await {
        Ok(_) => StatusCode::OK.into(),
        Err(failure) => change_failure_response(&failure),
    }
}

#[handler]
async fn read_drain(Path(name): Path<String>, Data(context): Data<&Context>) -> Response {
    // A drained machine never returns to an earlier state, so the local view suffices to report it. For any
    // other state the newest value is read from a majority.
    let local_state = context.view.view().control.draining.get(&name).copied();
    if local_state == Some(DrainState::Drained) {
        return drain_response(DrainState::Drained);
    }
    let Some(newest) = context.proposer.read_newest(request_deadline()).await else {
        return outcome_unknown_response();
    };
    match newest.value.draining.get(&name) {
        Some(state) => drain_response(*state),
        None => error_response(StatusCode::NOT_FOUND, "this machine is not being retired"),
    }
}

fn drain_response(state: DrainState) -> Response {
    let condition = match state {
        DrainState::Draining => "rolling",
        DrainState::Drained => "delivered",
    };
    Json(DrainReply { condition }).into_response()
}

fn request_deadline() -> Instant {
    Instant::now() + REQUEST_TIMEOUT
}

fn change_failure_response(error: &ChangeFailure<ChangeRejected>) -> Response {
    match error {
        ChangeFailure::Rejected(reason) => rejection_response(reason),
        ChangeFailure::OutcomeUnknown => outcome_unknown_response(),
    }
}

/// Returns the response to a change that the committed state rejects. A change that was applied before is
/// acknowledged again.
fn rejection_response(reason: &ChangeRejected) -> Response {
    match reason {
        ChangeRejected::AlreadyApplied | ChangeRejected::Unchanged => StatusCode::OK.into(),
        ChangeRejected::VersionMismatch(present) => {
            error_response(StatusCode::PRECONDITION_FAILED, &format!("version {present} is in place"))
        }
        ChangeRejected::TooOld => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "it builds on a version so old that it cannot be told whether it was taken",
        ),
        ChangeRejected::Unreadable => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "the present configuration cannot be read here")
        }
        ChangeRejected::Invalid(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        ChangeRejected::UnknownMember => error_response(StatusCode::NOT_FOUND, "no such store machine"),
        ChangeRejected::TooFewStores => {
            error_response(StatusCode::CONFLICT, "too few store machines would be left")
        }
    }
}

fn outcome_unknown_response() -> Response {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "no majority of the acceptors answers")
}

fn error_response(status: StatusCode, error: &str) -> Response {
    let body = serde_json::to_string(&ErrorReply { error: error.to_owned() }).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
