//! The log of the requests that were sent, and of what servers ran and returned: the reference for every
//! check.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::violation::{Rule, Violation};

/// Number of violations that are kept with their description; further ones are only counted.
const MAX_RETAINED_VIOLATIONS: usize = 200;

/// A request that servers may run.
#[derive(Clone, Debug)]
pub struct ExpectedRequest {
    /// Path with the query.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Services that the request's route allows.
    pub services: Vec<String>,
}

/// A request that arrived at a server, which is about to run it.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival<'a> {
    /// Id of the request, which must have been passed to [`RequestLog::expect_request`].
    pub id: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
    /// Service that the server belongs to.
    pub service: &'a str,
    /// Id of the server.
    pub server: &'a str,
    /// Time at which the server starts to run the request.
    pub at: Instant,
}

/// A response of a plain server to a request that it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// Id of the request.
    pub id: String,
    /// Status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
    /// Sequence number of the request's arrival, which orders it among all logged events.
    pub arrival_sequence: u64,
}

/// Identifies one generation: one execution of an item at an engine. Retried items have several generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GenerationId(pub u64);

/// An event that an engine generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedEvent {
    /// Position of the event in the complete text, from 1.
    pub index: u64,
    /// Version of the weights that generated the event.
    pub version: u64,
    /// Sequence number of the event, which orders it among all logged events.
    pub sequence: u64,
}

/// A generation and its events.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRecord {
    /// Id of the item whose text is generated.
    pub(crate) item: String,
    /// Index of the event after which the generation continues; 0 if it starts at the beginning of the text.
    pub(crate) after: u64,
    pub(crate) events: Vec<GeneratedEvent>,
}

/// A valid order that arrived at a server, whether or not the server was able to execute it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Id of the server.
    pub server: String,
    /// Name of the lease holder that issued the order.
    pub holder: String,
    /// Fencing token of the holder's lease.
    pub fence: u64,
    /// Time of the order's arrival.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct LogState {
    /// Sequence number of the last logged event; arrivals, starts of generations and generated events share
    /// one sequence.
    last_sequence: u64,
    /// Requests that were sent, by id.
    expected: HashMap<String, ExpectedRequest>,
    /// Time at which the end of a request's batch job was acknowledged, by the id of the request.
    ended: HashMap<String, Instant>,
    generations: HashMap<GenerationId, GenerationRecord>,
    /// Responses of plain servers, by the stamp in the response.
    responses: HashMap<String, RecordedResponse>,
    /// Orders to all servers, in the order of their arrival.
    orders: Vec<OrderRecord>,
    newest_named_version: u64,
    /// The first violations, at most [`MAX_RETAINED_VIOLATIONS`].
    violations: Vec<Violation>,
    /// Number of all violations, including the ones not in `violations`.
    violation_count: usize,
}

/// The request log, which all emulators of a fleet share.
#[derive(Debug)]
pub struct RequestLog {
    state: Mutex<LogState>,
    cancellation_timeout: Duration,
    handover_interval: Duration,
}

impl RequestLog {
    /// Returns an empty log. Items of a batch job may arrive at servers until `cancellation_timeout` after
    /// the end of the job was acknowledged. Orders of different lease holders to one server must be at least
    /// `handover_interval` apart.
    #[must_use]
    pub fn new(cancellation_timeout: Duration, handover_interval: Duration) -> Self {
        let state = LogState { newest_named_version: 1, ..LogState::default() };
        Self { state: Mutex::new(state), cancellation_timeout, handover_interval }
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request that is about to be sent. If it was ended before, it may run again.
    pub fn expect_request(&self, id: &str, expected: ExpectedRequest) {
        let mut state = self.state();
        state.ended.remove(id);
        state.expected.insert(id.to_owned(), expected);
    }

    /// Records that the end of the batch job of these requests was acknowledged at `at`. A later start of one
    /// of them is a violation once the cancellation timeout has passed.
    pub fn record_end<'a>(&self, ids: impl Iterator<Item = &'a str>, at: Instant) {
        let mut state = self.state();
        for id in ids {
            state.ended.insert(id.to_owned(), at);
        }
    }

    /// Records that a server is about to run a request, and checks it; returns the sequence number of the
    /// arrival.
    pub fn record_arrival(&self, arrival: &RequestArrival<'_>) -> u64 {
        let mut state = self.state();
        state.last_sequence += 1;
        for violation in state.check_arrival(arrival, self.cancellation_timeout) {
            state.record_violation(violation);
        }
        state.last_sequence
    }

    /// Records a response that a server is about to return with `stamp`.
    pub fn record_response(&self, stamp: &str, response: RecordedResponse) {
        self.state().responses.insert(stamp.to_owned(), response);
    }

    /// Returns the response that was recorded with `stamp`.
    #[must_use]
    pub fn response(&self, stamp: &str) -> Option<RecordedResponse> {
        self.state().responses.get(stamp).cloned()
    }

    /// Records the start of a generation of an item, which continues after the event with index `after` (0:
    /// it starts at the beginning of the text).
    pub fn start_generation(&self, item: &str, after: u64) -> GenerationId {
        let mut state = self.state();
        state.last_sequence += 1;
        let generation = GenerationId(state.last_sequence);
        let record = GenerationRecord { item: item.to_owned(), after, events: Vec::new() };
        state.generations.insert(generation, record);
        generation
    }

    /// Records an event that a generation produced.
    pub fn record_event(&self, generation: GenerationId, index: u64, version: u64) {
        let mut state = self.state();
        state.last_sequence += 1;
        let sequence = state.last_sequence;
        if let Some(record) = state.generations.get_mut(&generation) {
            record.events.push(GeneratedEvent { index, version, sequence });
        }
    }

    pub(crate) fn generation(&self, generation: GenerationId) -> Option<GenerationRecord> {
        self.state().generations.get(&generation).cloned()
    }

    /// Records a valid order that arrived at a server, and checks that only one leader at a time sends
    /// orders.
    pub fn record_order(&self, order: OrderRecord) {
        let mut state = self.state();
        for violation in state.check_order(&order, self.handover_interval) {
            state.record_violation(violation);
        }
        state.orders.push(order);
    }

    /// Returns the number of valid orders that arrived at servers.
    #[must_use]
    pub fn order_count(&self) -> usize {
        self.state().orders.len()
    }

    /// Records that the trainer is about to name `version` for roll-out; servers reject orders to load a
    /// newer one.
    pub fn name_version(&self, version: u64) {
        let mut state = self.state();
        state.newest_named_version = state.newest_named_version.max(version);
    }

    /// Returns the newest version of the weights that the trainer named; 1 before the first.
    #[must_use]
    pub fn newest_named_version(&self) -> u64 {
        self.state().newest_named_version
    }

    /// Records and logs a violation.
    pub fn record_violation(&self, violation: Violation) {
        self.state().record_violation(violation);
    }

    /// Returns the first violations, at most 200.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Returns the number of all violations, including the ones that [`Self::violations`] omits.
    #[must_use]
    pub fn violation_count(&self) -> usize {
        self.state().violation_count
    }
}

impl LogState {
    fn record_violation(&mut self, violation: Violation) {
        log::warn!("violation of a rule: {violation}");
        self.violation_count += 1;
        if self.violations.len() < MAX_RETAINED_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Checks that a request was sent with this path and body, that its route allows the server's service,
    /// and that its batch job was not ended too long ago.
    fn check_arrival(&self, arrival: &RequestArrival<'_>, cancellation_timeout: Duration) -> Vec<Violation> {
        let RequestArrival { id, server, service, .. } = arrival;
        let Some(expected) = self.expected.get(*id) else {
            let description = format!("{server} runs {id}, which was never sent");
            return vec![Violation::new(Rule::UnexpectedRequest, description)];
        };
        let mut violations = Vec::new();
        if expected.path != arrival.path || expected.body != arrival.body {
            let description = format!("{server} runs {id} with another path or body");
            violations.push(Violation::new(Rule::UnexpectedRequest, description));
        }
        if !expected.services.iter().any(|allowed| allowed == service) {
            let description = format!("{service} ({server}) runs {id}, which no route allows");
            violations.push(Violation::new(Rule::Route, description));
        }
        violations.extend(self.check_cancellation(arrival, cancellation_timeout));
        violations
    }

    /// Checks that a request of an ended batch job arrives at most `cancellation_timeout` after the end.
    fn check_cancellation(
        &self,
        arrival: &RequestArrival<'_>,
        cancellation_timeout: Duration,
    ) -> Option<Violation> {
        let RequestArrival { id, server, .. } = arrival;
        let delay = arrival.at.saturating_duration_since(*self.ended.get(*id)?);
        (delay > cancellation_timeout).then(|| {
            let description = format!("{server} runs {id} {delay:?} after the end of its batch job");
            Violation::new(Rule::UnexpectedRequest, description)
        })
    }

    /// Checks that no two holders share a fencing token, and that the order may follow the previous one to
    /// its server.
    fn check_order(&self, order: &OrderRecord, handover_interval: Duration) -> Vec<Violation> {
        let mut violations = Vec::new();
        let has_same_fence =
            |earlier: &&OrderRecord| earlier.fence == order.fence && earlier.holder != order.holder;
        if let Some(other) = self.orders.iter().find(has_same_fence) {
            let description =
                format!("{} and {} share the fencing token {}", other.holder, order.holder, order.fence);
            violations.push(Violation::new(Rule::SingleLeader, description));
        }
        let last = self.orders.iter().rev().find(|earlier| earlier.server == order.server);
        if let Some(last) = last {
            violations.extend(check_successive_orders(last, order, handover_interval));
        }
        violations
    }
}

/// Checks two successive orders to one server: the fencing token must not decrease, and orders of different
/// holders must be at least `handover_interval` apart.
fn check_successive_orders(
    last: &OrderRecord,
    order: &OrderRecord,
    handover_interval: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    if order.fence < last.fence {
        let description = format!("{}: fencing token {} after {}", order.server, order.fence, last.fence);
        violations.push(Violation::new(Rule::SingleLeader, description));
    }
    let elapsed = order.at.saturating_duration_since(last.at);
    if order.holder != last.holder && elapsed < handover_interval {
        let description =
            format!("{}: {} orders {elapsed:?} after {}", order.server, order.holder, last.holder);
        violations.push(Violation::new(Rule::SingleLeader, description));
    }
    violations
}
