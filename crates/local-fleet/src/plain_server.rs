//! Stand-in of a plain server: it answers requests one by one, and grades texts.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};

use crate::answers;
use crate::connections::Connections;
use crate::ledger::{Answer, Arrival, Ledger};
use crate::serving::Serving;
use crate::slots::Slots;
use crate::wire::header;

/// How a plain server behaves.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Its service.
    pub service: Arc<str>,
    /// Its incarnation.
    pub id: Arc<str>,
    /// The path of its health.
    pub health_path: Arc<str>,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that may wait.
    pub waiting_most: usize,
    /// How long it works on a request.
    pub work: Duration,
}

/// A plain server.
#[derive(Debug)]
pub struct PlainServer {
    serving: Serving,
}

struct Plain {
    options: PlainOptions,
    slots: Slots,
    ledger: Arc<Ledger>,
    answers: AtomicU64,
}

impl PlainServer {
    /// Starts it at `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened at.
    pub async fn start(address: SocketAddr, options: PlainOptions, ledger: Arc<Ledger>) -> io::Result<Self> {
        let slots = Slots::new(options.slots, options.waiting_most);
        let plain = Arc::new(Plain { options, slots, ledger, answers: AtomicU64::new(0) });
        let app = poem::endpoint::make(move |request: Request| {
            let plain = Arc::clone(&plain);
            async move { plain.answer(request).await }
        });
        Ok(Self { serving: Serving::start(address, Connections::default(), app).await? })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }
}

impl Plain {
    async fn answer(&self, mut request: Request) -> Response {
        let Ok(body) = request.take_body().into_bytes().await else {
            return StatusCode::BAD_REQUEST.into();
        };
        if request.method() == Method::GET && request.uri().path() == &*self.options.health_path {
            return answers::health(&self.slots, &self.options.id).await;
        }
        let Some(id) = request.header(header::ATTEMPT_ID) else {
            return answers::not_run(StatusCode::BAD_REQUEST);
        };
        let mut response = self.work(&request, id, &body).await;
        answers::set_header(&mut response, header::ATTEMPT_ID, id);
        answers::set_header(&mut response, header::LOAD, &self.slots.load().to_string());
        response
    }

    async fn work(&self, request: &Request, id: &str, body: &[u8]) -> Response {
        let until = answers::deadline(request, Instant::now());
        if answers::expects_other(request, &self.options.id) {
            return answers::misdirected(&self.options.id);
        }
        let Ok(_slot) = self.slots.enter().await else {
            return answers::not_run(StatusCode::SERVICE_UNAVAILABLE);
        };
        let now = Instant::now();
        if until.is_some_and(|until| now >= until) {
            return answers::not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let arrived = self.arrive(request, id, body, now);
        let done = now + self.options.work;
        match until {
            Some(until) if until < done => {
                tokio::time::sleep_until(until.into()).await;
                self.stamped(id, StatusCode::GATEWAY_TIMEOUT, arrived)
            }
            _ => {
                tokio::time::sleep_until(done.into()).await;
                self.stamped(id, StatusCode::OK, arrived)
            }
        }
    }

    fn arrive(&self, request: &Request, id: &str, body: &[u8], at: Instant) -> u64 {
        let path = answers::path_and_query(request);
        let (service, server) = (&*self.options.service, &*self.options.id);
        self.ledger.arrive(&Arrival { id, path, body, service, server, at })
    }

    fn stamped(&self, id: &str, status: StatusCode, arrived: u64) -> Response {
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{}.{number:x}.{:08x}", self.options.id, fastrand::u32(..));
        let body = Bytes::from(format!("answer {stamp} to {id}"));
        let answer = Answer { id: id.to_owned(), status: status.as_u16(), body: body.clone(), arrived };
        self.ledger.answered(&stamp, answer);
        let mut response = Response::builder().status(status).body(body);
        answers::set_header(&mut response, header::STAMP, &stamp);
        response
    }
}
