//! The emulated servers. One listener per rack accepts the requests to all servers of that rack.
//!
//! A request names its server in the header `Host`, and the region that it is sent from in `X-From`. The
//! response for a server that has ended is 410; a real one would refuse the connection. A request to an
//! unresponsive server stays open.

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
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use crate::catalogue::{self, Phase, Reachability};
use crate::traffic::CountedStream;
use crate::world::{accept, World};

/// Runs the servers of one rack, which respond after `service_time`. Must be called within a `LocalSet`; it
/// ends with that set.
pub async fn serve(listener: TcpListener, world: Arc<World>, service_time: Duration) {
    accept(listener, |stream| {
        let world = Arc::clone(&world);
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let stream = TokioIo::new(CountedStream::new(stream, Arc::clone(&world.servers)));
            let service = service_fn(|request| handle_request(&world, request, service_time));
            // This fails if the client closes the connection.
            let _ = http1::Builder::new().serve_connection(stream, service).await;
        });
    })
    .await;
}

/// A request that counts as in flight at its server until this value is dropped.
struct InFlightRequest<'a> {
    world: &'a World,
    number: usize,
}

impl<'a> InFlightRequest<'a> {
    fn new(world: &'a World, number: usize) -> Self {
        if let Some(server) = world.catalogue().server(number) {
            server.in_flight += 1;
        }
        Self { world, number }
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        if let Some(server) = self.world.catalogue().server(self.number) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }
}

/// Responds to a request as its server would. Requests of the load probe (`/_load`) take no service time.
async fn handle_request(
    world: &World,
    request: Request<Incoming>,
    service_time: Duration,
) -> Result<Response<Full<Bytes>>, Infallible> {
    world.servers.count_message();
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let number = header("host").and_then(catalogue::server_number);
    let from = header("x-from").and_then(|region| region.parse().ok());
    let (Some(number), Some(from)) = (number, from) else {
        return Ok(respond(StatusCode::NOT_FOUND, None));
    };
    match world.reachability(from, number) {
        Reachability::Terminated => {
            world.counts.sends_to_left.fetch_add(1, Relaxed);
            return Ok(respond(StatusCode::GONE, None));
        }
        Reachability::Unresponsive => {
            world.counts.sends_to_unresponsive.fetch_add(1, Relaxed);
            // The request stays open. This future is dropped when the client closes the connection.
            std::future::pending::<()>().await;
        }
        Reachability::Up => {}
    }
    let draining = world.catalogue().server(number).is_some_and(|server| server.phase != Phase::Active);
    if draining {
        world.counts.sends_to_draining.fetch_add(1, Relaxed);
    }
    let in_flight_request = InFlightRequest::new(world, number);
    if request.uri().path() != "/_load" {
        tokio::time::sleep(service_time).await;
    }
    drop(in_flight_request);
    let in_flight = world.catalogue().server(number).map_or(0, |server| server.in_flight);
    Ok(respond(StatusCode::OK, Some(in_flight)))
}

/// Creates a response, with the number of requests in flight at the server as its load report. There is no
/// load report if `in_flight` is `None`.
fn respond(status: StatusCode, in_flight: Option<u32>) -> Response<Full<Bytes>> {
    let mut response = Response::builder().status(status);
    if let Some(in_flight) = in_flight {
        response = response.header("X-Load", format!("inflight={in_flight}"));
    }
    response.body(Full::from("ok")).expect("the response is valid")
}
