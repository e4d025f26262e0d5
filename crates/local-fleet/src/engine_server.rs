//! Stand-in of a model server: it streams texts, tells its state and loads versions of its weights.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use poem::http::{Method, StatusCode};
use poem::{Body, Request, Response};
use tokio::sync::watch;

use crate::answers;
use crate::connections::Connections;
use crate::engine_stream::{self, StreamPlan};
use crate::ledger::{Arrival, Ledger, OrderRecord};
use crate::platform::json;
use crate::serving::Serving;
use crate::slots::{Slot, Slots};
use crate::wire::{header, EngineReport, ModelVersion, Order};

/// The path of an engine's state.
const REPORT_PATH: &str = "/api/report";
/// The path of orders.
const ORDER_PATH: &str = "/api/order";
/// The order to load a version of the weights.
const LOAD_ORDER: &str = "edition";
/// An engine takes on whole generations.
const WHOLE_GENERATION: &str = "both";

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Its service.
    pub service: Arc<str>,
    /// Its incarnation.
    pub id: Arc<str>,
    /// The path of its health.
    pub health_path: Arc<str>,
    /// Its model.
    pub model: Arc<str>,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that may wait.
    pub waiting_most: usize,
    /// From one event to the next.
    pub step: Duration,
    /// How long a change of version takes.
    pub load: Duration,
    /// Memory for cached tokens.
    pub cache_tokens: u64,
    /// Every so many streams, one is cut behind half of its events; 0: none.
    pub cut_every: u64,
}

/// The weights of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Weights {
    pub(crate) version: u64,
    pub(crate) loading: bool,
}

/// A model server.
#[derive(Debug)]
pub struct EngineServer {
    serving: Serving,
    engine: Arc<Engine>,
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    slots: Slots,
    ledger: Arc<Ledger>,
    weights: watch::Sender<Weights>,
    orders: Mutex<Orders>,
    streams: AtomicU64,
    connections: Connections,
}

#[derive(Debug, Default)]
struct Orders {
    taken: u64,
}

impl EngineServer {
    /// Starts it at `address`, with version 1 of its weights.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened at.
    pub async fn start(address: SocketAddr, options: EngineOptions, ledger: Arc<Ledger>) -> io::Result<Self> {
        let connections = Connections::default();
        let engine = Arc::new(Engine {
            connections: connections.clone(),
            slots: Slots::new(options.slots, options.waiting_most),
            options,
            ledger,
            weights: watch::Sender::new(Weights { version: 1, loading: false }),
            orders: Mutex::new(Orders::default()),
            streams: AtomicU64::new(0),
        });
        let answering = Arc::clone(&engine);
        let app = poem::endpoint::make(move |request: Request| {
            let engine = Arc::clone(&answering);
            async move { engine.answer(request).await }
        });
        Ok(Self { serving: Serving::start(address, connections, app).await?, engine })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// The version of its weights.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.engine.weights.borrow().version
    }

    /// Orders that it took.
    #[must_use]
    pub fn orders_taken(&self) -> u64 {
        self.engine.lock_orders().taken
    }
}

impl Engine {
    fn lock_orders(&self) -> std::sync::MutexGuard<'_, Orders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: &Arc<Self>, mut request: Request) -> Response {
        let Ok(body) = request.take_body().into_bytes().await else {
            return StatusCode::BAD_REQUEST.into();
        };
        let path = request.uri().path();
        match *request.method() {
            Method::GET if path == &*self.options.health_path => {
                answers::health(&self.slots, &self.options.id).await
            }
            Method::GET if path == REPORT_PATH => json(&self.report()),
            Method::POST if path == ORDER_PATH => self.order(&request, &body),
            _ => self.generate(&request, &body).await,
        }
    }

    fn report(&self) -> EngineReport {
        let weights = *self.weights.borrow();
        let load = self.slots.load();
        EngineReport {
            part: WHOLE_GENERATION.into(),
            models: vec![self.model_version(weights.version)],
            occupied: weights.loading,
            orders_taken: self.lock_orders().taken,
            waiting: load.waiting,
            running: load.running,
            cache_used: 0,
            cache_total: self.options.cache_tokens,
            handles: 0,
        }
    }

    fn model_version(&self, version: u64) -> ModelVersion {
        ModelVersion { name: Arc::clone(&self.options.model), version, adapters: Vec::new() }
    }

    fn order(self: &Arc<Self>, request: &Request, body: &[u8]) -> Response {
        if answers::expects_other(request, &self.options.id) {
            return answers::misdirected(&self.options.id);
        }
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return StatusCode::BAD_REQUEST.into();
        };
        self.take_order(order).into()
    }

    fn take_order(self: &Arc<Self>, order: Order) -> StatusCode {
        let (Some(holder), Some(fence), Some(version)) = (order.holder, order.fence, order.version) else {
            return StatusCode::BAD_REQUEST;
        };
        let right_model = order.model.as_deref() == Some(&*self.options.model);
        if order.order != LOAD_ORDER || !right_model || version > self.ledger.newest_named() {
            return StatusCode::BAD_REQUEST;
        }
        let record = OrderRecord { server: self.options.id.to_string(), holder, fence, at: Instant::now() };
        self.ledger.order(record);
        let mut orders = self.lock_orders();
        let weights = *self.weights.borrow();
        if weights.loading || order.if_orders_taken.is_some_and(|expected| expected != orders.taken) {
            return StatusCode::CONFLICT;
        }
        if weights.version == version {
            return StatusCode::OK;
        }
        orders.taken += 1;
        self.weights.send_replace(Weights { version: weights.version, loading: true });
        tokio::spawn(Arc::clone(self).load(version));
        StatusCode::ACCEPTED
    }

    async fn load(self: Arc<Self>, version: u64) {
        tokio::time::sleep(self.options.load).await;
        self.weights.send_replace(Weights { version, loading: false });
    }

    async fn generate(&self, request: &Request, body: &[u8]) -> Response {
        let Some(id) = request.header(header::ATTEMPT_ID) else {
            return answers::not_run(StatusCode::BAD_REQUEST);
        };
        let mut response = self.stream(request, id, body).await;
        answers::set_header(&mut response, header::ATTEMPT_ID, id);
        answers::set_header(&mut response, header::LOAD, &self.slots.load().to_string());
        answers::set_header(&mut response, header::VERSION, &self.weights.borrow().version.to_string());
        response
    }

    async fn stream(&self, request: &Request, id: &str, body: &[u8]) -> Response {
        let until = answers::deadline(request, Instant::now());
        if answers::expects_other(request, &self.options.id) || self.expects_other_version(request) {
            return answers::misdirected(&self.options.id);
        }
        let slot = match self.slots.enter().await {
            Ok(slot) if !self.weights.borrow().loading => slot,
            _ => return answers::not_run(StatusCode::SERVICE_UNAVAILABLE),
        };
        if self.expects_other_version(request) {
            return answers::misdirected(&self.options.id);
        }
        let Some(events) = events_asked(request) else {
            return StatusCode::BAD_REQUEST.into();
        };
        self.begin(request, id, body, events, until, slot)
    }

    fn begin(
        &self,
        request: &Request,
        id: &str,
        body: &[u8],
        events: u64,
        until: Option<Instant>,
        slot: Slot,
    ) -> Response {
        let path = answers::path_and_query(request);
        let (service, server) = (&*self.options.service, &*self.options.id);
        self.ledger.arrive(&Arrival { id, path, body, service, server, at: Instant::now() });
        let after = last_event(request);
        let run = self.ledger.begin_run(id, after);
        let plan = StreamPlan {
            run,
            after,
            events,
            step: self.options.step,
            until,
            cut_after: self.cut(after, events),
            connection: self.connections.of(request),
        };
        let weights = self.weights.subscribe();
        let events = engine_stream::events(plan, weights, Arc::clone(&self.ledger), slot);
        let body = Body::from_bytes_stream(events);
        let mut response = Response::builder().content_type("text/event-stream").body(body);
        let stamp = format!("{server}.{:x}.{:08x}", run.0, fastrand::u32(..));
        answers::set_header(&mut response, header::STAMP, &stamp);
        response
    }

    /// The event behind which this stream is cut, if it is one of those.
    fn cut(&self, after: u64, events: u64) -> Option<u64> {
        let number = self.streams.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.options.cut_every;
        (every > 0 && number.is_multiple_of(every)).then_some(after + events.saturating_sub(after) / 2)
    }

    fn expects_other_version(&self, request: &Request) -> bool {
        let version = self.weights.borrow().version.to_string();
        request.header(header::EXPECTED_VERSION).is_some_and(|expected| expected != version)
    }
}

/// How many events make the whole text: the tokens out that the request names.
fn events_asked(request: &Request) -> Option<u64> {
    request.header(header::TOKENS)?.split_once(',')?.1.trim().parse().ok()
}

fn last_event(request: &Request) -> u64 {
    request.header(header::LAST_EVENT_ID).and_then(|id| id.parse().ok()).unwrap_or(0)
}
