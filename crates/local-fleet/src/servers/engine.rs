//! The emulated engine (a model server): it streams generated text, reports its status, and loads the
//! versions of its weights that it is ordered to load.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use poem::http::{Method, StatusCode};
use poem::{Body, Request, Response};
use tokio::sync::watch;

use super::generation::{self, GenerationPlan};
use super::responses;
use super::slots::{Slot, Slots};
use super::weights::WeightState;
use crate::http::{Connections, HttpListener};
use crate::protocol::{header, json_response, EngineOrder, EngineReport, ModelVersion};
use crate::verification::{GenerationId, OrderRecord, RequestArrival, RequestLog};

/// Path of the status report.
const REPORT_PATH: &str = "/api/report";
/// Path at which an engine receives orders.
const ORDER_PATH: &str = "/api/order";
/// Kind of the order to load a version of the weights; no other kind is accepted.
const LOAD_ORDER: &str = "edition";
/// Reported phase of an engine that runs both prefill and decode.
pub(crate) const PREFILL_AND_DECODE: &str = "both";

/// Behavior of an emulated engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the service that the engine belongs to.
    pub service: Arc<str>,
    /// Id of this start of the engine.
    pub id: Arc<str>,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Name of the model that the engine serves.
    pub model: Arc<str>,
    /// Number of requests that the engine runs concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are rejected with status 503.
    pub max_queued: usize,
    /// Time before each event of a stream.
    pub event_interval: Duration,
    /// Time that the engine takes to load a version of its weights.
    pub load_time: Duration,
    /// Capacity of the KV cache, in tokens.
    pub cache_tokens: u64,
    /// Interval of truncated streams: the streams whose number is a multiple of it are truncated after half
    /// of their events. 0 for no truncation.
    pub truncate_every: u64,
}

/// A running engine; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct EngineServer {
    listener: HttpListener,
    handler: Arc<EngineHandler>,
}

#[derive(Debug)]
struct EngineHandler {
    options: EngineOptions,
    slots: Slots,
    request_log: Arc<RequestLog>,
    weights: watch::Sender<WeightState>,
    /// Number of orders accepted for execution. Its lock also serializes the handling of orders.
    accepted_orders: Mutex<u64>,
    /// Number of streams started so far.
    stream_count: AtomicU64,
    connections: Connections,
}

/// An admitted request to generate text, for which a slot is occupied.
struct GenerationRequest<'a> {
    request: &'a Request,
    id: &'a str,
    body: &'a [u8],
    /// Number of events in the complete text.
    events: u64,
    deadline: Option<Instant>,
}

impl EngineServer {
    /// Starts an engine with version 1 of its weights at `address` (port 0 selects a free port).
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        options: EngineOptions,
        request_log: Arc<RequestLog>,
    ) -> io::Result<Self> {
        let connections = Connections::default();
        let handler = Arc::new(EngineHandler {
            connections: connections.clone(),
            slots: Slots::new(options.slots, options.max_queued),
            options,
            request_log,
            weights: watch::Sender::new(WeightState { version: 1, is_loading: false }),
            accepted_orders: Mutex::new(0),
            stream_count: AtomicU64::new(0),
        });
        let shared = Arc::clone(&handler);
        let app = poem::endpoint::make(move |request: Request| {
            let handler = Arc::clone(&shared);
            async move { handler.respond(request).await }
        });
        Ok(Self { listener: HttpListener::start(address, connections, app).await?, handler })
    }

    /// Returns the address that the engine is bound to, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the version of the weights in use; while another version is loaded, the previous version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.handler.weights.borrow().version
    }

    /// Returns the number of orders that the engine accepted for execution.
    #[must_use]
    pub fn accepted_orders(&self) -> u64 {
        *self.handler.lock_accepted_orders()
    }
}

impl EngineHandler {
    fn lock_accepted_orders(&self) -> MutexGuard<'_, u64> {
        self.accepted_orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn respond(self: &Arc<Self>, mut request: Request) -> Response {
        let Ok(body) = request.take_body().into_bytes().await else {
            return StatusCode::BAD_REQUEST.into();
        };
        let path = request.uri().path();
        match *request.method() {
            Method::GET if path == &*self.options.health_path => {
                responses::health(&self.slots, &self.options.id).await
            }
            Method::GET if path == REPORT_PATH => json_response(&self.report()),
            Method::POST if path == ORDER_PATH => self.respond_to_order(&request, &body),
            _ => self.respond_to_generation(&request, &body).await,
        }
    }

    fn report(&self) -> EngineReport {
        let weights = *self.weights.borrow();
        let load = self.slots.load();
        EngineReport {
            phase: PREFILL_AND_DECODE.into(),
            models: vec![self.model_version(weights.version)],
            occupied: weights.is_loading,
            accepted_orders: *self.lock_accepted_orders(),
            queued: load.queued,
            running: load.running,
            cache_used: 0,
            cache_total: self.options.cache_tokens,
            handles: 0,
        }
    }

    fn model_version(&self, version: u64) -> ModelVersion {
        ModelVersion { name: Arc::clone(&self.options.model), version, adapters: Vec::new() }
    }

    fn respond_to_order(self: &Arc<Self>, request: &Request, body: &[u8]) -> Response {
        if responses::expects_other_server(request, &self.options.id) {
            return responses::misdirected(&self.options.id);
        }
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            return StatusCode::BAD_REQUEST.into();
        };
        self.handle_order(order).into()
    }

    /// Checks an order, and starts to load the ordered version. Returns status 202 if the load starts, 200 if
    /// the version is in use already, 409 if another load is in progress or the precondition fails, and 400
    /// for an invalid order.
    fn handle_order(self: &Arc<Self>, order: EngineOrder) -> StatusCode {
        let (Some(holder), Some(fence), Some(version)) = (order.holder, order.fence, order.version) else {
            return StatusCode::BAD_REQUEST;
        };
        let is_served_model = order.model.as_deref() == Some(&*self.options.model);
        let is_named = version <= self.request_log.newest_named_version();
        if order.order != LOAD_ORDER || !is_served_model || !is_named {
            return StatusCode::BAD_REQUEST;
        }
        let record = OrderRecord { server: self.options.id.to_string(), holder, fence, at: Instant::now() };
        self.request_log.record_order(record);
        let mut accepted_orders = self.lock_accepted_orders();
        let weights = *self.weights.borrow();
        let is_unexpected = order.if_accepted_orders.is_some_and(|expected| expected != *accepted_orders);
        if weights.is_loading || is_unexpected {
            return StatusCode::CONFLICT;
        }
        if weights.version == version {
            return StatusCode::OK;
        }
        *accepted_orders += 1;
        self.weights.send_replace(WeightState { version: weights.version, is_loading: true });
        tokio::spawn(Arc::clone(self).load_version(version));
        StatusCode::ACCEPTED
    }

    async fn load_version(self: Arc<Self>, version: u64) {
        tokio::time::sleep(self.options.load_time).await;
        self.weights.send_replace(WeightState { version, is_loading: false });
    }

    async fn respond_to_generation(&self, request: &Request, body: &[u8]) -> Response {
        let Some(id) = request.header(header::ATTEMPT_ID) else {
            return responses::not_run(StatusCode::BAD_REQUEST);
        };
        let mut response = self.admit_generation(request, id, body).await;
        responses::set_header(&mut response, header::ATTEMPT_ID, id);
        responses::set_header(&mut response, header::LOAD, &self.slots.load().to_string());
        let version = self.weights.borrow().version.to_string();
        responses::set_header(&mut response, header::VERSION, &version);
        response
    }

    /// Waits for a slot and starts the stream. Rejects requests that expect another server or version, that
    /// get no slot, or that get it while weights are loaded.
    async fn admit_generation(&self, request: &Request, id: &str, body: &[u8]) -> Response {
        let deadline = responses::deadline(request, Instant::now());
        if responses::expects_other_server(request, &self.options.id) || self.expects_other_version(request) {
            return responses::misdirected(&self.options.id);
        }
        let slot = match self.slots.acquire().await {
            Ok(slot) if !self.weights.borrow().is_loading => slot,
            _ => return responses::not_run(StatusCode::SERVICE_UNAVAILABLE),
        };
        // The version may have changed while the request was queued.
        if self.expects_other_version(request) {
            return responses::misdirected(&self.options.id);
        }
        let Some(events) = requested_events(request) else {
            return StatusCode::BAD_REQUEST.into();
        };
        self.start_stream(&GenerationRequest { request, id, body, events, deadline }, slot)
    }

    fn start_stream(&self, generation: &GenerationRequest<'_>, slot: Slot) -> Response {
        let GenerationRequest { request, id, body, events, deadline } = *generation;
        let path = responses::path_and_query(request);
        let (service, server) = (&*self.options.service, &*self.options.id);
        let arrival = RequestArrival { id, path, body, service, server, at: Instant::now() };
        self.request_log.record_arrival(&arrival);
        let after = last_received_event(request);
        let plan = GenerationPlan {
            id: self.request_log.start_generation(id, after),
            after,
            events,
            event_interval: self.options.event_interval,
            deadline,
            truncate_after: self.truncation_point(after, events),
            connection: self.connections.of_request(request),
        };
        let stamp = self.stamp(plan.id);
        let events = generation::events(plan, self.weights.subscribe(), Arc::clone(&self.request_log), slot);
        let body = Body::from_bytes_stream(events);
        let mut response = Response::builder().content_type("text/event-stream").body(body);
        responses::set_header(&mut response, header::STAMP, &stamp);
        response
    }

    /// Returns a new stamp for the stream of a generation.
    fn stamp(&self, generation: GenerationId) -> String {
        format!("{}.{:x}.{:08x}", self.options.id, generation.0, fastrand::u32(..))
    }

    /// Counts a new stream, and returns the index of the event after which it is truncated; `None` for a
    /// complete stream.
    fn truncation_point(&self, after: u64, events: u64) -> Option<u64> {
        let number = self.stream_count.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.options.truncate_every;
        (every > 0 && number.is_multiple_of(every)).then_some(after + events.saturating_sub(after) / 2)
    }

    fn expects_other_version(&self, request: &Request) -> bool {
        let version = self.weights.borrow().version.to_string();
        request.header(header::EXPECTED_VERSION).is_some_and(|expected| expected != version)
    }
}

/// Returns the number of events in the complete text, one for each requested token; `None` if the header with
/// the number of tokens is missing or invalid.
fn requested_events(request: &Request) -> Option<u64> {
    request.header(header::TOKENS)?.split_once(',')?.1.trim().parse().ok()
}

/// Returns the index of the last event that the caller has received; 0 for a new request.
fn last_received_event(request: &Request) -> u64 {
    request.header(header::LAST_EVENT_ID).and_then(|id| id.parse().ok()).unwrap_or(0)
}
