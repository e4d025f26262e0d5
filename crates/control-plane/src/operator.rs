//! The operator's interface: configurations, retiring of store machines, named versions.

use std::sync::Arc;
use std::time::Duration;

use poem::http::{Method, StatusCode};
use poem::web::{Data, Json, Path};
use poem::{get, handler, post, Body, EndpointExt, Request, Response, Route};
use serde::{Deserialize, Serialize};
use state::change::{
    change_digest, with_configuration, with_draining, with_target_version, ChangeKind, ChangeRejected,
};
use state::{ControlState, DrainState};
use tokio::time::Instant;

use crate::{ChangeFailure, Proposer, ViewCell};

/// How long an order may take before it is answered as unclear; callers move on after a second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The largest body of an order.
const BODY_BYTES_MOST: usize = 64 * 1024 * 1024;

/// What the handlers work with.
#[derive(Clone)]
struct Context {
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
}

#[derive(Deserialize)]
struct VersionPut {
    model: String,
    #[serde(rename = "edition")]
    version: u64,
}

#[derive(Serialize)]
struct RetireReply {
    condition: &'static str,
}

#[derive(Serialize)]
struct ErrorReply {
    error: String,
}

/// The routes of the operator's interface.
pub fn operator_routes(view: Arc<ViewCell>, proposer: Arc<Proposer>) -> impl poem::Endpoint {
    Route::new()
        .at("/api/timetable", get(read_configuration).put(change_configuration).patch(change_configuration))
        .at("/api/retire/:station", get(read_retire).post(retire))
        .at("/api/version-put", post(name_version))
        .data(Context { view, proposer })
}

#[handler]
async fn read_configuration(Data(context): Data<&Context>) -> Response {
    match context.proposer.read_newest(Instant::now() + ORDER_TIMEOUT).await {
        Some(value) if value.value.configuration_version > 0 => match value.value.configuration.text() {
            Ok(text) => Response::builder().content_type("application/json").body(text.to_owned()),
            Err(error) => failure(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        },
        Some(_) => failure(StatusCode::NOT_FOUND, "no configuration was taken yet"),
        None => unclear(),
    }
}

#[handler]
async fn change_configuration(request: &Request, body: Body, Data(context): Data<&Context>) -> Response {
    let Ok(body) = body.into_bytes_limit(BODY_BYTES_MOST).await else {
        return failure(StatusCode::BAD_REQUEST, "the body cannot be read whole");
    };
    let Some(expected) = if_match(request) else {
        return failure(StatusCode::BAD_REQUEST, "If-Match: a whole number is wanted");
    };
    let kind = if request.method() == Method::PATCH { ChangeKind::Patch } else { ChangeKind::Replace };
    let digest = change_digest(kind, expected, &body);
    let decide = |state: &ControlState| with_configuration(state, kind, expected, digest, &body);
    let done = context.proposer.change(Instant::now() + ORDER_TIMEOUT, decide).await;
    match done {
        Ok(value) => {
            log::info!(
                "configuration {} taken, revision {}",
                value.value.configuration_version,
                value.value.revision
            );
            StatusCode::OK.into()
        }
        Err(ChangeFailure::Declined(declined)) => decline(&declined),
        Err(ChangeFailure::Unclear) => unclear(),
    }
}

fn if_match(request: &Request) -> Option<u64> {
    request.header("if-match")?.trim().trim_matches('"').parse().ok()
}

#[handler]
async fn name_version(body: Body, Data(context): Data<&Context>) -> Response {
    let named = match body.into_bytes_limit(BODY_BYTES_MOST).await {
        Ok(bytes) => serde_json::from_slice::<VersionPut>(&bytes).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let named = match named {
        Ok(named) => named,
        Err(why) => return failure(StatusCode::BAD_REQUEST, &why),
    };
    let decide = |state: &ControlState| with_target_version(state, &named.model, named.version);
    match context.proposer.change(Instant::now() + ORDER_TIMEOUT, decide).await {
        Ok(_) => {
            log::info!("version {} of {} named", named.version, named.model);
            StatusCode::OK.into()
        }
        Err(ChangeFailure::Declined(_)) => StatusCode::OK.into(),
        Err(ChangeFailure::Unclear) => unclear(),
    }
}

#[handler]
async fn retire(Path(station): Path<String>, Data(context): Data<&Context>) -> Response {
    let decide = |state: &ControlState| with_draining(state, &station);
    match context.proposer.change(Instant::now() + ORDER_TIMEOUT, decide).await {
        Ok(_) => StatusCode::OK.into(),
        Err(ChangeFailure::Declined(declined)) => decline(&declined),
        Err(ChangeFailure::Unclear) => unclear(),
    }
}

#[handler]
async fn read_retire(Path(station): Path<String>, Data(context): Data<&Context>) -> Response {
    // Only goes forward, so the end can be told from what is known here; anything else is asked of a majority.
    let known = context.view.view().control.draining.get(&station).copied();
    if known == Some(DrainState::Drained) {
        return condition("delivered");
    }
    let Some(newest) = context.proposer.read_newest(Instant::now() + ORDER_TIMEOUT).await else {
        return unclear();
    };
    match newest.value.draining.get(&station) {
        Some(DrainState::Draining) => condition("rolling"),
        Some(DrainState::Drained) => condition("delivered"),
        None => failure(StatusCode::NOT_FOUND, "this machine is not being retired"),
    }
}

fn condition(condition: &'static str) -> Response {
    poem::IntoResponse::into_response(Json(RetireReply { condition }))
}

fn decline(declined: &ChangeRejected) -> Response {
    match declined {
        ChangeRejected::AlreadyApplied | ChangeRejected::Unchanged => StatusCode::OK.into(),
        ChangeRejected::VersionMismatch(current) => {
            failure(StatusCode::PRECONDITION_FAILED, &format!("version {current} is in place"))
        }
        ChangeRejected::TooOld => failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "it builds on a version so old that it cannot be told whether it was taken",
        ),
        ChangeRejected::Unreadable => {
            failure(StatusCode::SERVICE_UNAVAILABLE, "the present configuration cannot be read here")
        }
        ChangeRejected::Invalid(error) => failure(StatusCode::BAD_REQUEST, &error.to_string()),
        ChangeRejected::UnknownMember => failure(StatusCode::NOT_FOUND, "no such store machine"),
        ChangeRejected::TooFewStores => failure(StatusCode::CONFLICT, "too few store machines would be left"),
    }
}

fn unclear() -> Response {
    failure(StatusCode::SERVICE_UNAVAILABLE, "no majority of the acceptors answers")
}

fn failure(status: StatusCode, why: &str) -> Response {
    let body = serde_json::to_string(&ErrorReply { error: why.to_owned() }).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
