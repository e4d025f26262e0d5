//! Functions for requests and responses that plain servers and engines share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::http::{HeaderName, HeaderValue, StatusCode};
use poem::{Request, Response};

use super::slots::Slots;
use crate::protocol::header;

/// Sets a header of a response; does nothing if the name or value is not valid in a header.
pub fn set_header(response: &mut Response, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

/// Returns a response that states that the server did not run the request.
pub fn not_run(status: StatusCode) -> Response {
    let mut response = Response::from(status);
    set_header(&mut response, header::NOT_RUN, "1");
    response
}

/// Returns the response (status 421) to a request that expects another server or another version of the
/// weights.
pub fn misdirected(server: &str) -> Response {
    let mut response = not_run(StatusCode::MISDIRECTED_REQUEST);
    set_header(&mut response, header::SERVER, server);
    response
}

/// Returns whether a request names another server than `server` as the only one that may run it.
pub fn expects_other_server(request: &Request, server: &str) -> bool {
    request.header(header::EXPECTED_SERVER).is_some_and(|expected| expected != server)
}

/// Returns the caller's deadline, computed from the header with the milliseconds left at `now`; `None`
/// without a valid header.
pub fn deadline(request: &Request, now: Instant) -> Option<Instant> {
    let milliseconds = request.header(header::TIME_LEFT)?.parse().ok()?;
    now.checked_add(Duration::from_millis(milliseconds))
}

/// Returns the path of a request with the query.
pub fn path_and_query(request: &Request) -> &str {
    request.uri().path_and_query().map_or("/", |path_and_query| path_and_query.as_str())
}

/// Returns the response to a health check, which occupies a slot like any request.
pub async fn health(slots: &Slots, server: &Arc<str>) -> Response {
    let Ok(_slot) = slots.acquire().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut response = Response::from(StatusCode::OK);
    set_header(&mut response, header::SERVER, server);
    set_header(&mut response, header::LOAD, &slots.load().to_string());
    response
}
