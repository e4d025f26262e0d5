//! The operator's interface: configurations, retiring of store machines, named versions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use configuration::ConfigurationError;
use poem::http::{Method, StatusCode};
use poem::web::{Data, Json, Path};
use poem::{get, handler, post, Body, EndpointExt, Request, Response, Route};
use serde::{Deserialize, Serialize};
use state::{ControlState, DrainState, TakenChange, TAKEN_KEPT};

use crate::{ChangeFailure, Proposer, ViewCell};

/// How long an order may take before it is answered as unclear; callers move on after a second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2500);
/// A value confirmed by a majority within this time may be read back.
const READ_AGE_MOST: Duration = Duration::from_millis(150);
/// The largest body of an order.
const BODY_BYTES_MOST: usize = 64 * 1024 * 1024;

/// What the handlers work with.
#[derive(Clone)]
struct Context {
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
}

/// Why a change is declined by the committed state.
#[derive(Debug)]
enum Declined {
    /// It was taken before.
    AlreadyTaken,
    /// It builds on another version.
    OtherVersion(u64),
    /// It is invalid.
    Invalid(ConfigurationError),
    /// Nothing to change.
    Unchanged,
    /// No such machine.
    Unknown,
    /// Too few machines would be left.
    TooFew,
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
    let fresh = context.view.confirmed_age().is_some_and(|age| age < READ_AGE_MOST);
    let known = if fresh {
        context.view.committed()
    } else {
        context.proposer.read(Instant::now() + ORDER_TIMEOUT).await
    };
    match known {
        Some(value) if value.value.edition > 0 => {
            Response::builder().content_type("application/json").body(value.value.configuration.clone())
        }
        Some(_) => failure(StatusCode::NOT_FOUND, "no configuration was taken yet"),
        None => failure(StatusCode::SERVICE_UNAVAILABLE, "no majority of the acceptors answers"),
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
    let is_patch = request.method() == Method::PATCH;
    let digest = digest(is_patch, expected, &body);
    let decide = |state: &ControlState| configure(state, is_patch, expected, digest, &body);
    let done = context.proposer.change(Instant::now() + ORDER_TIMEOUT, decide).await;
    match done {
        Ok(value) => {
            log::info!("configuration {} taken, revision {}", value.value.edition, value.value.revision);
            StatusCode::OK.into()
        }
        Err(ChangeFailure::Declined(Declined::AlreadyTaken)) => StatusCode::OK.into(),
        Err(ChangeFailure::Declined(declined)) => declined.answer(),
        Err(ChangeFailure::Unclear) => {
            failure(StatusCode::SERVICE_UNAVAILABLE, "no majority of the acceptors answers")
        }
    }
}

fn if_match(request: &Request) -> Option<u64> {
    request.header("if-match")?.trim().trim_matches('"').parse().ok()
}

fn configure(
    state: &ControlState,
    is_patch: bool,
    expected: u64,
    digest: u128,
    body: &[u8],
) -> Result<ControlState, Declined> {
    if state.taken.iter().any(|taken| taken.digest == digest) {
        return Err(Declined::AlreadyTaken);
    }
    if expected != state.edition {
        return Err(Declined::OtherVersion(state.edition));
    }
    let document = if is_patch {
        configuration::patch(&state.configuration, body)
    } else {
        configuration::replace(state.edition, body)
    };
    let document = document.map_err(Declined::Invalid)?;
    let parsed = configuration::Configuration::parse(document.as_bytes()).map_err(Declined::Invalid)?;
    let mut next = state.clone();
    next.revision += 1;
    next.edition = parsed.edition();
    next.configuration = document;
    next.taken.push_back(TakenChange { digest, edition: next.edition });
    while next.taken.len() > TAKEN_KEPT {
        next.taken.pop_front();
    }
    Ok(next)
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
    let decide = |state: &ControlState| with_version(state, &named);
    match context.proposer.change(Instant::now() + ORDER_TIMEOUT, decide).await {
        Ok(_) => {
            log::info!("version {} of {} named", named.version, named.model);
            StatusCode::OK.into()
        }
        Err(ChangeFailure::Declined(_)) => StatusCode::OK.into(),
        Err(ChangeFailure::Unclear) => {
            failure(StatusCode::SERVICE_UNAVAILABLE, "no majority of the acceptors answers")
        }
    }
}

fn with_version(state: &ControlState, named: &VersionPut) -> Result<ControlState, Declined> {
    if state.named_versions.get(&named.model).is_some_and(|known| *known >= named.version) {
        return Err(Declined::Unchanged);
    }
    let mut next = state.clone();
    next.revision += 1;
    next.named_versions.insert(named.model.clone(), named.version);
    Ok(next)
}

#[handler]
async fn retire(Path(station): Path<String>, Data(context): Data<&Context>) -> Response {
    let decide = |state: &ControlState| with_draining(state, &station);
    match context.proposer.change(Instant::now() + ORDER_TIMEOUT, decide).await {
        Ok(_) => StatusCode::OK.into(),
        Err(ChangeFailure::Declined(Declined::Unchanged)) => StatusCode::OK.into(),
        Err(ChangeFailure::Declined(declined)) => declined.answer(),
        Err(ChangeFailure::Unclear) => {
            failure(StatusCode::SERVICE_UNAVAILABLE, "no majority of the acceptors answers")
        }
    }
}

fn with_draining(state: &ControlState, station: &str) -> Result<ControlState, Declined> {
    if state.draining.contains_key(station) {
        return Err(Declined::Unchanged);
    }
    let members = &state.stores.members;
    if !members.iter().any(|store| store.member.station == station) {
        return Err(Declined::Unknown);
    }
    let remaining =
        members.iter().filter(|store| !state.draining.contains_key(&store.member.station)).count() - 1;
    if remaining < state.stores.copies {
        return Err(Declined::TooFew);
    }
    let mut next = state.clone();
    next.revision += 1;
    next.draining.insert(station.to_owned(), DrainState::Rolling);
    Ok(next)
}

#[handler]
async fn read_retire(Path(station): Path<String>, Data(context): Data<&Context>) -> Response {
    let condition = match context.view.view().control.draining.get(&station) {
        Some(DrainState::Rolling) => "rolling",
        Some(DrainState::Delivered) => "delivered",
        None => return failure(StatusCode::NOT_FOUND, "this machine is not being retired"),
    };
    poem::IntoResponse::into_response(Json(RetireReply { condition }))
}

impl Declined {
    fn answer(self) -> Response {
        match self {
            Self::AlreadyTaken | Self::Unchanged => StatusCode::OK.into(),
            Self::OtherVersion(current) => {
                failure(StatusCode::PRECONDITION_FAILED, &format!("version {current} is in place"))
            }
            Self::Invalid(error) => failure(StatusCode::BAD_REQUEST, &error.to_string()),
            Self::Unknown => failure(StatusCode::NOT_FOUND, "no such store machine"),
            Self::TooFew => failure(StatusCode::CONFLICT, "too few store machines would be left"),
        }
    }
}

fn failure(status: StatusCode, why: &str) -> Response {
    let body = serde_json::to_string(&ErrorReply { error: why.to_owned() }).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}

/// A digest of an order's content: two 64-bit FNV-1a sums with different starts.
fn digest(is_patch: bool, expected: u64, body: &[u8]) -> u128 {
    let head = [u8::from(is_patch)].into_iter().chain(expected.to_be_bytes());
    let sum = |start: u64| {
        head.clone()
            .chain(body.iter().copied())
            .fold(start, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3))
    };
    u128::from(sum(0xcbf2_9ce4_8422_2325)) << 64 | u128::from(sum(0x9e37_79b9_7f4a_7c15))
}
