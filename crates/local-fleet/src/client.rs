//! Stand-in of clients: a trickle of requests that may run more than once, each answer checked.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::Method;

use crate::calls::{Call, Caller, Reply};
use crate::entry::Entry;
use crate::ledger::{Expected, Ledger};
use crate::steps::draw_id;
use crate::violation::{Rule, Violation};
use crate::wire::header;

/// How long a client waits in all.
const DEADLINE: Duration = Duration::from_millis(800);
/// Tries within the deadline.
const TRIES_MOST: u32 = 2;
/// Bytes of a body.
const BODY_BYTES: usize = 800;
/// Refusals of proper requests that are borne ...
const DENIED_BORNE: u64 = 5;
/// ... and one more in so many requests.
const DENIED_BORNE_ONE_IN: u64 = 500;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Requests of clients.
    pub sent: u64,
    /// Requests that got a server's success in time.
    pub served: u64,
    /// Tries that were refused though they were proper.
    pub denied: u64,
}

/// A route and when it holds everywhere.
#[derive(Clone, Debug)]
struct KnownRoute {
    prefix: String,
    from: Instant,
}

#[derive(Debug, Default)]
struct ClientState {
    routes: Vec<KnownRoute>,
    counts: ClientCounts,
}

/// The clients.
#[derive(Clone, Debug)]
pub struct Client {
    host: String,
    service: String,
    entry: Entry,
    ledger: Arc<Ledger>,
    caller: Caller,
    state: Arc<Mutex<ClientState>>,
}

impl Client {
    /// Clients of the routes of `host` to plain servers of `service`.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(host: String, service: String, entry: Entry, ledger: Arc<Ledger>) -> reqwest::Result<Self> {
        let caller = Caller::with_reuse()?;
        Ok(Self { host, service, entry, ledger, caller, state: Arc::default() })
    }

    fn state(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Uses a route from a moment on.
    pub fn add_route(&self, prefix: &str, from: Instant) {
        self.state().routes.push(KnownRoute { prefix: prefix.to_owned(), from });
    }

    /// What became of requests so far.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        self.state().counts
    }

    /// Whether more proper requests were refused than the rule bears.
    #[must_use]
    pub fn denied_too_often(&self) -> bool {
        let counts = self.counts();
        counts.denied > DENIED_BORNE + counts.sent / DENIED_BORNE_ONE_IN
    }

    /// Sends a request every `period`, without waiting for the answers of earlier ones.
    pub async fn run(self, period: Duration) {
        let mut ticks = tokio::time::interval(period);
        loop {
            ticks.tick().await;
            let client = self.clone();
            tokio::spawn(async move { client.request().await });
        }
    }

    /// Sends one request, with its tries; tells whether it was served.
    pub async fn request(&self) -> bool {
        let Some(path) = self.draw_path(Instant::now()) else { return false };
        self.state().counts.sent += 1;
        let body: Bytes = (0..BODY_BYTES).map(|_| fastrand::u8(..)).collect();
        let until = Instant::now() + DEADLINE;
        for _ in 0..TRIES_MOST {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            if self.attempt(&path, &body, left).await {
                self.state().counts.served += 1;
                return true;
            }
        }
        false
    }

    fn draw_path(&self, now: Instant) -> Option<String> {
        let state = self.state();
        let known: Vec<&KnownRoute> = state.routes.iter().filter(|route| route.from <= now).collect();
        let route = known.get(fastrand::usize(..known.len().max(1)))?;
        Some(format!("{}{:04x}", route.prefix, fastrand::u16(..)))
    }

    async fn attempt(&self, path: &str, body: &Bytes, left: Duration) -> bool {
        let id = draw_id();
        let services = vec![self.service.clone()];
        self.ledger.expect(&id, Expected { path: path.to_owned(), body: body.clone(), services });
        let call = Call::new(Method::POST, path)
            .header("Host", self.host.clone())
            .header(header::ATTEMPT_ID, id.clone())
            .header(header::TIME_LEFT, left.as_millis().to_string())
            .timeout(left);
        let call = Call { body: body.clone(), ..call };
        match self.caller.once(self.entry.pick(), &call).await {
            Ok(reply) => self.check(&id, path, &reply),
            Err(error) => {
                log::debug!("request {id}: {error}");
                false
            }
        }
    }

    /// Checks an answer; tells whether it is a success.
    fn check(&self, id: &str, path: &str, reply: &Reply) -> bool {
        if let Some(other) = reply.header(header::ATTEMPT_ID).filter(|other| *other != id) {
            self.report(Rule::Mixed, format!("request {id} got the answer to {other}"));
            return false;
        }
        match reply.header(header::STAMP) {
            Some(stamp) => self.check_stamped(id, stamp, reply),
            None if reply.is_success() => {
                self.report(Rule::Mixed, format!("{id} got a success without a stamp"))
            }
            None if reply.status == 404 => {
                self.report(Rule::Config, format!("{id} got 404 though the route of {path} holds"));
                self.state().counts.denied += 1;
            }
            None if matches!(reply.status, 300..=407 | 409..=420 | 422..=428 | 430..=499) => {
                self.state().counts.denied += 1;
            }
            None => {}
        }
        reply.is_success()
    }

    fn check_stamped(&self, id: &str, stamp: &str, reply: &Reply) {
        let Some(answer) = self.ledger.answer(stamp) else {
            return self.report(Rule::Mixed, format!("{id} got a stamp that no server gave: {stamp}"));
        };
        if answer.id != id || answer.status != reply.status {
            let seen =
                format!("{id} got {} under the stamp of {} ({})", reply.status, answer.id, answer.status);
            return self.report(Rule::Mixed, seen);
        }
        if answer.body != reply.body {
            self.report(Rule::Mixed, format!("{id} got another body than the server's"));
        }
    }

    fn report(&self, rule: Rule, seen: String) {
        self.ledger.report(Violation::new(rule, seen));
    }
}
