//! The emulated plain server: it responds to each request after a fixed time. The stamps of its responses to
//! reward calls are the grades of the items.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};

use super::responses;
use super::slots::Slots;
use crate::http::{Connections, HttpListener};
use crate::protocol::header;
use crate::verification::{RecordedResponse, RequestArrival, RequestLog};

/// Behavior of an emulated plain server.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Name of the service that the server belongs to.
    pub service: Arc<str>,
    /// Id of this start of the server.
    pub id: Arc<str>,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Number of requests that the server runs concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are rejected with status 503.
    pub max_queued: usize,
    /// Time that a request runs.
    pub service_time: Duration,
}

/// A running plain server; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct PlainServer {
    listener: HttpListener,
}

struct PlainHandler {
    options: PlainOptions,
    slots: Slots,
    request_log: Arc<RequestLog>,
    response_count: AtomicU64,
}

impl PlainServer {
    /// Starts a plain server at `address` (port 0 selects a free port).
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        options: PlainOptions,
        request_log: Arc<RequestLog>,
    ) -> io::Result<Self> {
        let slots = Slots::new(options.slots, options.max_queued);
        let handler =
            Arc::new(PlainHandler { options, slots, request_log, response_count: AtomicU64::new(0) });
        let app = poem::endpoint::make(move |request: Request| {
            let handler = Arc::clone(&handler);
            async move { handler.respond(request).await }
        });
        Ok(Self { listener: HttpListener::start(address, Connections::default(), app).await? })
    }

    /// Returns the address that the server is bound to, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

impl PlainHandler {
    async fn respond(&self, mut request: Request) -> Response {
        let Ok(body) = request.take_body().into_bytes().await else {
            return StatusCode::BAD_REQUEST.into();
        };
        if request.method() == Method::GET && request.uri().path() == &*self.options.health_path {
            return responses::health(&self.slots, &self.options.id).await;
        }
        let Some(id) = request.header(header::ATTEMPT_ID) else {
            return responses::not_run(StatusCode::BAD_REQUEST);
        };
        let mut response = self.run(&request, id, &body).await;
        responses::set_header(&mut response, header::ATTEMPT_ID, id);
        responses::set_header(&mut response, header::LOAD, &self.slots.load().to_string());
        response
    }

    /// Runs a request in a slot; the response has status 504 if the request does not finish before its
    /// deadline.
    async fn run(&self, request: &Request, id: &str, body: &[u8]) -> Response {
        let deadline = responses::deadline(request, Instant::now());
        if responses::expects_other_server(request, &self.options.id) {
            return responses::misdirected(&self.options.id);
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return responses::not_run(StatusCode::SERVICE_UNAVAILABLE);
        };
        let now = Instant::now();
        if deadline.is_some_and(|deadline| now >= deadline) {
            return responses::not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let arrival_sequence = self.record_arrival(request, id, body, now);
        let finished = now + self.options.service_time;
        match deadline {
            Some(deadline) if deadline < finished => {
                tokio::time::sleep_until(deadline.into()).await;
                self.stamped_response(id, StatusCode::GATEWAY_TIMEOUT, arrival_sequence)
            }
            _ => {
                tokio::time::sleep_until(finished.into()).await;
                self.stamped_response(id, StatusCode::OK, arrival_sequence)
            }
        }
    }

    fn record_arrival(&self, request: &Request, id: &str, body: &[u8], at: Instant) -> u64 {
        let path = responses::path_and_query(request);
        let (service, server) = (&*self.options.service, &*self.options.id);
        self.request_log.record_arrival(&RequestArrival { id, path, body, service, server, at })
    }

    /// Returns a response with a new stamp, under which it is recorded in the request log.
    fn stamped_response(&self, id: &str, status: StatusCode, arrival_sequence: u64) -> Response {
        let number = self.response_count.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{}.{number:x}.{:08x}", self.options.id, fastrand::u32(..));
        let body = Bytes::from(format!("answer {stamp} to {id}"));
        let recorded = RecordedResponse {
            id: id.to_owned(),
            status: status.as_u16(),
            body: body.clone(),
            arrival_sequence,
        };
        self.request_log.record_response(&stamp, recorded);
        let mut response = Response::builder().status(status).body(body);
        responses::set_header(&mut response, header::STAMP, &stamp);
        response
    }
}
