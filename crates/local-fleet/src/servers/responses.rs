//! Parts of requests and responses that all servers share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::http::{HeaderName, HeaderValue, StatusCode};
use poem::{Request, Response};

use super::slots::Slots;
use crate::protocol::header;

/// Sets a header of a response; a value that is not valid in a header is left out.
pub fn set_header(response: &mut Response, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

/// A response that reports that the request was not run.
pub fn not_run(status: StatusCode) -> Response {
    let mut response = Response::from(status);
    set_header(&mut response, header::NOT_RUN, "1");
    response
}

/// The response to a request that expects another server or another version of the weights.
pub fn misdirected(server: &str) -> Response {
    let mut response = not_run(StatusCode::MISDIRECTED_REQUEST);
    set_header(&mut response, header::SERVER, server);
    response
}

/// Whether a request expects another server than `server`.
pub fn expects_other_server(request: &Request, server: &str) -> bool {
    request.header(header::EXPECTED_SERVER).is_some_and(|expected| expected != server)
}

/// The caller's deadline, from the milliseconds that are left at `now`.
pub fn deadline(request: &Request, now: Instant) -> Option<Instant> {
    let milliseconds = request.header(header::TIME_LEFT)?.parse().ok()?;
    now.checked_add(Duration::from_millis(milliseconds))
}

/// The path of a request with its query.
pub fn path_and_query(request: &Request) -> &str {
    request.uri().path_and_query().map_or("/", |path_and_query| path_and_query.as_str())
}

/// Answers a health check, which occupies a slot like any request.
pub async fn health(slots: &Slots, server: &Arc<str>) -> Response {
    let Ok(_slot) = slots.acquire().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut response = Response::from(StatusCode::OK);
    set_header(&mut response, header::SERVER, server);
    set_header(&mut response, header::LOAD, &slots.load().to_string());
    response
}
