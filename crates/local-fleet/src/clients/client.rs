//! The emulated clients: they send idempotent requests at a constant rate and check the responses.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::Method;

use super::load_balancer::LoadBalancer;
use crate::http::{HttpCall, HttpCaller, HttpReply};
use crate::protocol::{header, random_request_id};
use crate::verification::{ExpectedRequest, RequestLog, Rule, Violation};

/// Time limit of a request with all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of attempts of a request within its time limit.
const MAX_ATTEMPTS: u32 = 2;
/// Size of a request body, in bytes.
const BODY_BYTES: usize = 800;
/// Number of rejections of valid requests that are tolerated in any run. Further ones are tolerated in
/// proportion to the number of requests, see [`REQUESTS_PER_TOLERATED_REJECTION`].
const BASE_TOLERATED_REJECTIONS: u64 = 5;
/// Number of requests for which one more rejection is tolerated.
const REQUESTS_PER_TOLERATED_REJECTION: u64 = 500;

/// Counts of the clients' requests, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Requests that were sent, each counted once whatever its number of attempts.
    pub sent: u64,
    /// Requests that got a response with a 2xx status within the time limit.
    pub served: u64,
    /// Attempts that a node rejected with a 3xx or 4xx status (except 408, 421 and 429) although they were
    /// valid.
    pub rejected: u64,
}

/// A route that clients use, and the time from which it must be in force at all nodes.
#[derive(Clone, Debug)]
struct ClientRoute {
    path_prefix: String,
    in_force_from: Instant,
}

#[derive(Debug, Default)]
struct ClientState {
    routes: Vec<ClientRoute>,
    counts: ClientCounts,
}

/// The clients of a fleet. Clones share their state.
#[derive(Clone, Debug)]
pub struct Client {
    host: String,
    service: String,
    load_balancer: LoadBalancer,
    request_log: Arc<RequestLog>,
    caller: HttpCaller,
    state: Arc<Mutex<ClientState>>,
}

impl Client {
    /// Returns clients of the routes of `host`, whose requests only plain servers of `service` may run. They
    /// send no requests before [`Self::add_route`].
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(
        host: String,
        service: String,
        load_balancer: LoadBalancer,
        request_log: Arc<RequestLog>,
    ) -> reqwest::Result<Self> {
        let caller = HttpCaller::with_reuse()?;
        Ok(Self { host, service, load_balancer, request_log, caller, state: Arc::default() })
    }

    fn state(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a route to which clients send requests from `in_force_from` on.
    pub fn add_route(&self, path_prefix: &str, in_force_from: Instant) {
        self.state().routes.push(ClientRoute { path_prefix: path_prefix.to_owned(), in_force_from });
    }

    /// Returns the counts of the requests so far.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        self.state().counts
    }

    /// Returns whether more valid requests were rejected than [`Rule::WrongRejection`] tolerates.
    #[must_use]
    pub fn has_too_many_rejections(&self) -> bool {
        let counts = self.counts();
        let tolerated = BASE_TOLERATED_REJECTIONS + counts.sent / REQUESTS_PER_TOLERATED_REJECTION;
        counts.rejected > tolerated
    }

    /// Sends a request every `period`, without waiting for earlier ones; never returns.
    pub async fn run(self, period: Duration) {
        let mut ticks = tokio::time::interval(period);
        loop {
            ticks.tick().await;
            let client = self.clone();
            tokio::spawn(async move { client.request().await });
        }
    }

    /// Sends one request and retries it on failure; returns whether it was served. Without a route that is in
    /// force, no request is sent.
    pub async fn request(&self) -> bool {
        let Some(path) = self.random_path(Instant::now()) else { return false };
        self.state().counts.sent += 1;
        let body: Bytes = (0..BODY_BYTES).map(|_| fastrand::u8(..)).collect();
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        for _ in 0..MAX_ATTEMPTS {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            if self.attempt(&path, &body, time_left).await {
                self.state().counts.served += 1;
                return true;
            }
        }
        false
    }

    /// Returns a random path of a random route that is in force at `now`; `None` if there is none.
    fn random_path(&self, now: Instant) -> Option<String> {
        let state = self.state();
        let in_force: Vec<&ClientRoute> =
            state.routes.iter().filter(|route| route.in_force_from <= now).collect();
        let route = in_force.get(fastrand::usize(..in_force.len().max(1)))?;
        Some(format!("{}{:04x}", route.path_prefix, fastrand::u16(..)))
    }

    /// Sends one attempt under a new id; returns whether it got a response with a 2xx status.
    async fn attempt(&self, path: &str, body: &Bytes, time_left: Duration) -> bool {
        let id = random_request_id();
        let services = vec![self.service.clone()];
        let expected = ExpectedRequest { path: path.to_owned(), body: body.clone(), services };
        self.request_log.expect_request(&id, expected);
        let call = HttpCall::new(Method::POST, path)
            .header("Host", self.host.clone())
            .header(header::ATTEMPT_ID, id.clone())
            .header(header::TIME_LEFT, time_left.as_millis().to_string())
            .timeout(time_left);
        let call = HttpCall { body: body.clone(), ..call };
        match self.caller.call_once(self.load_balancer.select_node(), &call).await {
            Ok(reply) => self.check(&id, path, &reply),
            Err(error) => {
                log::debug!("attempt {id} of a client request to {path} failed: {error}");
                false
            }
        }
    }

    /// Checks that a reply belongs to the attempt `id` and was generated for it; returns whether it has the
    /// id of the attempt, if any, and a 2xx status.
    fn check(&self, id: &str, path: &str, reply: &HttpReply) -> bool {
        if let Some(other) = reply.header(header::ATTEMPT_ID).filter(|other| *other != id) {
            self.report(Rule::Mismatch, format!("request {id} got the answer to {other}"));
            return false;
        }
        match reply.header(header::STAMP) {
            Some(stamp) => self.check_stamped(id, stamp, reply),
            None => self.check_unstamped(id, path, reply),
        }
        reply.is_success()
    }

    /// Checks a reply with a stamp, which must be exactly the response that the server recorded under this
    /// stamp.
    fn check_stamped(&self, id: &str, stamp: &str, reply: &HttpReply) {
        let Some(response) = self.request_log.response(stamp) else {
            return self.report(Rule::Mismatch, format!("{id} got a stamp that no server gave: {stamp}"));
        };
        if response.id != id || response.status != reply.status {
            let description =
                format!("{id} got {} under the stamp of {} ({})", reply.status, response.id, response.status);
            return self.report(Rule::Mismatch, description);
        }
        if response.body != reply.body {
            self.report(Rule::Mismatch, format!("{id} got another body than the server's"));
        }
    }

    /// Checks a reply without a stamp, which a node generated itself: it must not be a success. Rejections
    /// are counted, since only few valid requests may be rejected.
    fn check_unstamped(&self, id: &str, path: &str, reply: &HttpReply) {
        match reply.status {
            200..=299 => self.report(Rule::Mismatch, format!("{id} got a success without a stamp")),
            404 => {
                let description = format!("{id} got 404 though the route of {path} holds");
                self.report(Rule::StaleConfiguration, description);
                self.state().counts.rejected += 1;
            }
            300..=407 | 409..=420 | 422..=428 | 430..=499 => self.state().counts.rejected += 1,
            _ => {}
        }
    }

    fn report(&self, rule: Rule, description: String) {
        self.request_log.record_violation(Violation::new(rule, description));
    }
}
