//! The log of what was sent, what servers ran and what they returned: the reference for every check.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::violation::{Rule, Violation};

/// This many violations are kept with their description; further ones are only counted.
const MAX_RETAINED_VIOLATIONS: usize = 200;

/// A request that may arrive at servers.
#[derive(Clone, Debug)]
pub struct ExpectedRequest {
    /// Its path with its query.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// The services that its route allows.
    pub services: Vec<String>,
}

/// A request that arrived at a server, which is about to run it.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its path with its query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
    /// The service of the server.
    pub service: &'a str,
    /// The id of the server.
    pub server: &'a str,
    /// When it arrived.
    pub at: Instant,
}

/// A complete response of a plain server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// The id of the request.
    pub id: String,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
    /// When the request arrived, in the order of all logged events.
    pub arrival_sequence: u64,
}

/// Identifies one generation: one execution of a request for tokens at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GenerationId(pub u64);

/// An event that an engine generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedEvent {
    /// Its id, from 1.
    pub index: u64,
    /// The version of the weights that generated it.
    pub version: u64,
    /// When it was generated, in the order of all logged events.
    pub sequence: u64,
}

/// A generation and its events.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRecord {
    /// The id of the item.
    pub(crate) item: String,
    /// The generation continues after this event; 0: from the start of the text.
    pub(crate) after: u64,
    pub(crate) events: Vec<GeneratedEvent>,
}

/// An order that a server accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The id of the server.
    pub server: String,
    /// The lease holder that issued it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct LogState {
    /// Counts all logged events; it orders them.
    last_sequence: u64,
    expected: HashMap<String, ExpectedRequest>,
    /// When the end of a request's batch job was acknowledged.
    ended: HashMap<String, Instant>,
    generations: HashMap<GenerationId, GenerationRecord>,
    /// By the stamp that the response carries.
    responses: HashMap<String, RecordedResponse>,
    orders: Vec<OrderRecord>,
    newest_named_version: u64,
    violations: Vec<Violation>,
    /// All violations, including those that were not retained.
    violation_count: usize,
}

/// The request log; all stand-ins of a fleet share one.
#[derive(Debug)]
pub struct RequestLog {
    state: Mutex<LogState>,
    cancellation_timeout: Duration,
    handover_interval: Duration,
}

impl RequestLog {
    /// An empty log of a deployment in which items of an ended batch job may still arrive at servers for
    /// `cancellation_timeout`, and orders of successive lease holders are at least `handover_interval` apart.
    #[must_use]
    pub fn new(cancellation_timeout: Duration, handover_interval: Duration) -> Self {
        let state = LogState { newest_named_version: 1, ..LogState::default() };
        Self { state: Mutex::new(state), cancellation_timeout, handover_interval }
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request that is about to be sent.
    pub fn expect_request(&self, id: &str, expected: ExpectedRequest) {
        let mut state = self.state();
        state.ended.remove(id);
        state.expected.insert(id.to_owned(), expected);
    }

    /// Records that the end of the batch job of these requests was acknowledged at `at`, so that they must not start
    /// much later.
    pub fn record_end<'a>(&self, ids: impl Iterator<Item = &'a str>, at: Instant) {
        let mut state = self.state();
        for id in ids {
            state.ended.insert(id.to_owned(), at);
        }
    }

    /// Records that a server runs a request; returns its number in the order of all logged events.
    pub fn record_arrival(&self, arrival: &RequestArrival<'_>) -> u64 {
        let mut state = self.state();
        state.last_sequence += 1;
        for violation in state.check_arrival(arrival, self.cancellation_timeout) {
            state.record_violation(violation);
        }
        state.last_sequence
    }

    /// Records a complete response, which carries `stamp`.
    pub fn record_response(&self, stamp: &str, response: RecordedResponse) {
        self.state().responses.insert(stamp.to_owned(), response);
    }

    /// The response that carries `stamp`.
    #[must_use]
    pub fn response(&self, stamp: &str) -> Option<RecordedResponse> {
        self.state().responses.get(stamp).cloned()
    }

    /// Records the start of a generation of an item that continues after event `after` (0: from its start).
    pub fn start_generation(&self, item: &str, after: u64) -> GenerationId {
        let mut state = self.state();
        state.last_sequence += 1;
        let generation = GenerationId(state.last_sequence);
        let record = GenerationRecord { item: item.to_owned(), after, events: Vec::new() };
        state.generations.insert(generation, record);
        generation
    }

    /// Records an event of a generation.
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

    /// Records an order that a server accepted.
    pub fn record_order(&self, order: OrderRecord) {
        let mut state = self.state();
        for violation in state.check_order(&order, self.handover_interval) {
            state.record_violation(violation);
        }
        state.orders.push(order);
    }

    /// How many orders servers accepted.
    #[must_use]
    pub fn order_count(&self) -> usize {
        self.state().orders.len()
    }

    /// Records that a version of the weights is about to be named by the trainer.
    pub fn name_version(&self, version: u64) {
        let mut state = self.state();
        state.newest_named_version = state.newest_named_version.max(version);
    }

    /// The newest version of the weights that the trainer named.
    #[must_use]
    pub fn newest_named_version(&self) -> u64 {
        self.state().newest_named_version
    }

    /// Records a violation, and logs it.
    pub fn record_violation(&self, violation: Violation) {
        self.state().record_violation(violation);
    }

    /// The first violations, at most 200.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// How many violations were recorded, including those that are not kept.
    #[must_use]
    pub fn violation_count(&self) -> usize {
        self.state().violation_count
    }
}

impl LogState {
    fn record_violation(&mut self, violation: Violation) {
        log::warn!("rule broken: {violation}");
        self.violation_count += 1;
        if self.violations.len() < MAX_RETAINED_VIOLATIONS {
            self.violations.push(violation);
        }
    }

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

    /// Items of an ended batch job may arrive for `cancellation_timeout` after the end, not later.
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

/// Between two orders to one server the fencing token must not decrease, and another holder must wait for
/// `handover_interval`.
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
