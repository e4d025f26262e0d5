//! The stand-in discovery service, with one agent for each region.
//!
//! An agent responds to `GET /catalog/members` with the complete server list. With the parameters `since` (a
//! version) and `timeout_ms` the request is a long poll, and the response has the changes since that version.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use crate::traffic::CountedStream;
use crate::world::{accept, World};

/// Maximum wait of a long poll. A longer `timeout_ms` is reduced to it.
const MAX_LONG_POLL: Duration = Duration::from_secs(60);

/// A request for the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The complete list.
    Complete,
    /// A long poll: the changes since a version, as soon as there are any.
    ChangesSince {
        /// The version of the list that the client has.
        revision: u64,
        /// Time after which the response is sent without a change.
        wait: Duration,
    },
}

impl ListRequest {
    /// Parses the path and query of a request.
    ///
    /// # Errors
    ///
    /// Returns the status of the response: 404 for an unknown path and 400 for an invalid query.
    pub fn parse(uri: &Uri) -> Result<Self, StatusCode> {
        if uri.path() != "/catalog/members" {
            return Err(StatusCode::NOT_FOUND);
        }
        let (mut since, mut wait_ms) = (None, 0);
        for pair in uri.query().into_iter().flat_map(|query| query.split('&')) {
            let (key, value) = pair.split_once('=').ok_or(StatusCode::BAD_REQUEST)?;
            let value: u64 = value.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
            match key {
                "since" => since = Some(value),
                "timeout_ms" => wait_ms = value,
                _ => return Err(StatusCode::BAD_REQUEST),
            }
        }
        let wait = Duration::from_millis(wait_ms).min(MAX_LONG_POLL);
        Ok(since.map_or(Self::Complete, |revision| Self::ChangesSince { revision, wait }))
    }
}

/// Runs the discovery agent of one region. Must be called within a `LocalSet`; it ends with that set.
pub async fn serve(listener: TcpListener, world: Arc<World>, region: usize) {
    accept(listener, |stream| {
        let world = Arc::clone(&world);
        tokio::task::spawn_local(async move {
            // Without `TCP_NODELAY`, a small response could wait for the client's acknowledgement of an
            // earlier one.
            let _ = stream.set_nodelay(true);
            let stream = TokioIo::new(CountedStream::new(stream, Arc::clone(&world.discovery)));
            let service = service_fn(|request| handle_request(&world, region, request));
            // This fails if the client closes the connection, as it does when the agent is unresponsive.
            let _ = http1::Builder::new().serve_connection(stream, service).await;
        });
    })
    .await;
}

async fn handle_request(
    world: &World,
    region: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    world.discovery.count_message();
    let status = |code| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = code;
        Ok(response)
    };
    if request.method() != Method::GET {
        return status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let list_request = match ListRequest::parse(request.uri()) {
        Ok(list_request) => list_request,
        Err(code) => return status(code),
    };
    if let ListRequest::ChangesSince { revision, wait } = list_request {
        // After the time limit a response without changes is sent.
        let _ = timeout(wait, world.newest().wait_for(|newest| *newest != revision)).await;
    }
    // While the agent is unresponsive, the request stays open. This future is dropped when the client closes
    // the connection.
    world.wait_until_responsive(region).await;
    let mut catalogue = world.catalogue();
    let response_list = match list_request {
        ListRequest::Complete => catalogue.complete_list(),
        ListRequest::ChangesSince { revision, .. } => catalogue.changes_since(revision),
    };
    drop(catalogue);
    let count = match response_list.members {
        _ if response_list.complete => &world.counts.complete_lists,
        0 => &world.counts.unchanged_answers,
        _ => &world.counts.change_answers,
    };
    count.fetch_add(1, Relaxed);
    let response = Response::builder().header("Content-Type", "application/json");
    Ok(response.body(Full::new(response_list.body)).expect("the response is valid"))
}
