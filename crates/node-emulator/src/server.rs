//! The emulated servers: one listener for each rack, behind which all servers of that rack answer.
//!
//! A request names its server in `Host`, and the region that it comes from in `X-From`. A server that has left
//! answers 410, where a connection to a real one would be refused; an unresponsive one leaves the request open.

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

/// Serves the servers of one rack; runs within a `LocalSet`, for as long as that does.
pub async fn serve(listener: TcpListener, world: Arc<World>, service_time: Duration) {
    accept(listener, |stream| {
        let world = Arc::clone(&world);
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let stream = TokioIo::new(CountedStream::new(stream, Arc::clone(&world.servers)));
            let service = service_fn(|request| handle_request(&world, request, service_time));
            // It fails where the client breaks the connection off.
            let _ = http1::Builder::new().serve_connection(stream, service).await;
        });
    })
    .await;
}

/// Counts a request as in flight at its server until dropped.
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
            // Until the client gives up: then this future is dropped.
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

fn respond(status: StatusCode, in_flight: Option<u32>) -> Response<Full<Bytes>> {
    let mut response = Response::builder().status(status);
    if let Some(in_flight) = in_flight {
        response = response.header("X-Load", format!("inflight={in_flight}"));
    }
    response.body(Full::from("ok")).expect("a sound response")
}
