//! What was sent and what the servers saw and made; the measure of every answer.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::violation::{Rule, Violation};

/// Broken rules that are kept; more are only counted.
const VIOLATIONS_KEPT: usize = 200;

/// A request that may come to servers.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Its path with its query.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// The services that its route allows.
    pub services: Vec<String>,
}

/// A request that came to a server, which is going to run it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its identity.
    pub id: &'a str,
    /// Its path with its query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
    /// The service of the server.
    pub service: &'a str,
    /// The server.
    pub server: &'a str,
    /// When it came.
    pub at: Instant,
}

/// A whole answer of a plain server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request.
    pub id: String,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
    /// When the request came, in the order of all that happened.
    pub arrived: u64,
}

/// One run of a request for tokens at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// An event that an engine made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventRecord {
    /// Its id.
    pub index: u64,
    /// The version of the weights that made it.
    pub version: u64,
    /// When it was made, in the order of all that happened.
    pub made: u64,
}

/// A run and its events.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) item: String,
    pub(crate) after: u64,
    pub(crate) events: Vec<EventRecord>,
}

/// An order that a server took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The server.
    pub server: String,
    /// Who ordered.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// When it came.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct LedgerState {
    clock: u64,
    expected: HashMap<String, Expected>,
    ended: HashMap<String, Instant>,
    runs: HashMap<RunId, RunRecord>,
    answers: HashMap<String, Answer>,
    orders: Vec<OrderRecord>,
    newest_named: u64,
    violations: Vec<Violation>,
    violations_seen: usize,
}

/// The ledger; one for all stand-ins of a fleet.
#[derive(Debug)]
pub struct Ledger {
    state: Mutex<LedgerState>,
    recall: Duration,
    lease: Duration,
}

impl Ledger {
    /// A ledger for a deployment in which an ended batch job's items may come to servers for `recall`, and a
    /// leader's lease lasts for `lease`.
    #[must_use]
    pub fn new(recall: Duration, lease: Duration) -> Self {
        let state = LedgerState { newest_named: 1, ..LedgerState::default() };
        Self { state: Mutex::new(state), recall, lease }
    }

    fn state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request that is about to be sent.
    pub fn expect(&self, id: &str, expected: Expected) {
        let mut state = self.state();
        state.ended.remove(id);
        state.expected.insert(id.to_owned(), expected);
    }

    /// Notes that these requests, of a batch job whose end was acknowledged at `at`, must not run much longer.
    pub fn end<'a>(&self, ids: impl Iterator<Item = &'a str>, at: Instant) {
        let mut state = self.state();
        for id in ids {
            state.ended.insert(id.to_owned(), at);
        }
    }

    /// Notes that a server runs a request, and tells when in the order of all that happened.
    pub fn arrive(&self, arrival: &Arrival<'_>) -> u64 {
        let mut state = self.state();
        state.clock += 1;
        for violation in state.check_arrival(arrival, self.recall) {
            state.report(violation);
        }
        state.clock
    }

    /// Notes a whole answer, which carries `stamp`.
    pub fn answered(&self, stamp: &str, answer: Answer) {
        self.state().answers.insert(stamp.to_owned(), answer);
    }

    /// The answer that carries `stamp`.
    #[must_use]
    pub fn answer(&self, stamp: &str) -> Option<Answer> {
        self.state().answers.get(stamp).cloned()
    }

    /// Notes a run of an item that goes on behind event `after` (0: from its start).
    pub fn begin_run(&self, item: &str, after: u64) -> RunId {
        let mut state = self.state();
        state.clock += 1;
        let run = RunId(state.clock);
        state.runs.insert(run, RunRecord { item: item.to_owned(), after, events: Vec::new() });
        run
    }

    /// Notes that a run made an event.
    pub fn made(&self, run: RunId, index: u64, version: u64) {
        let mut state = self.state();
        state.clock += 1;
        let made = state.clock;
        if let Some(record) = state.runs.get_mut(&run) {
            record.events.push(EventRecord { index, version, made });
        }
    }

    pub(crate) fn run(&self, run: RunId) -> Option<RunRecord> {
        self.state().runs.get(&run).cloned()
    }

    /// Notes an order that a server took.
    pub fn order(&self, order: OrderRecord) {
        let mut state = self.state();
        for violation in state.check_order(&order, self.lease) {
            state.report(violation);
        }
        state.orders.push(order);
    }

    /// Orders that servers took.
    #[must_use]
    pub fn orders(&self) -> usize {
        self.state().orders.len()
    }

    /// Notes that a version is about to be named.
    pub fn name_version(&self, version: u64) {
        let mut state = self.state();
        state.newest_named = state.newest_named.max(version);
    }

    /// The newest version that was named.
    #[must_use]
    pub fn newest_named(&self) -> u64 {
        self.state().newest_named
    }

    /// Notes a broken rule.
    pub fn report(&self, violation: Violation) {
        self.state().report(violation);
    }

    /// The broken rules.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// How many broken rules were seen; the first ones are kept.
    #[must_use]
    pub fn violations_seen(&self) -> usize {
        self.state().violations_seen
    }
}

impl LedgerState {
    fn report(&mut self, violation: Violation) {
        log::warn!("rule broken: {violation}");
        self.violations_seen += 1;
        if self.violations.len() < VIOLATIONS_KEPT {
            self.violations.push(violation);
        }
    }

    fn check_arrival(&self, arrival: &Arrival<'_>, recall: Duration) -> Vec<Violation> {
        let Arrival { id, server, .. } = arrival;
        let Some(expected) = self.expected.get(*id) else {
            return vec![Violation::new(Rule::Unasked, format!("{server} runs {id}, which was never sent"))];
        };
        let mut broken = Vec::new();
        if expected.path != arrival.path || expected.body != arrival.body {
            broken
                .push(Violation::new(Rule::Unasked, format!("{server} runs {id} with another path or body")));
        }
        if !expected.services.iter().any(|service| service == arrival.service) {
            let service = arrival.service;
            broken.push(Violation::new(
                Rule::Route,
                format!("{service} ({server}) runs {id}, which no route allows"),
            ));
        }
        if let Some(ended) = self.ended.get(*id) {
            let late = arrival.at.saturating_duration_since(*ended);
            if late > recall {
                let seen = format!("{server} runs {id} {late:?} after the end of its batch job");
                broken.push(Violation::new(Rule::Unasked, seen));
            }
        }
        broken
    }

    fn check_order(&self, order: &OrderRecord, lease: Duration) -> Vec<Violation> {
        let mut broken = Vec::new();
        let same_fence =
            |earlier: &&OrderRecord| earlier.fence == order.fence && earlier.holder != order.holder;
        if let Some(other) = self.orders.iter().find(same_fence) {
            let seen =
                format!("{} and {} share the fencing token {}", other.holder, order.holder, order.fence);
            broken.push(Violation::new(Rule::One, seen));
        }
        let last = self.orders.iter().rev().find(|earlier| earlier.server == order.server);
        let Some(last) = last else { return broken };
        if order.fence < last.fence {
            let seen = format!("{}: fencing token {} after {}", order.server, order.fence, last.fence);
            broken.push(Violation::new(Rule::One, seen));
        }
        let passed = order.at.saturating_duration_since(last.at);
        if order.holder != last.holder && passed < lease {
            let seen = format!("{}: {} orders {passed:?} after {}", order.server, order.holder, last.holder);
            broken.push(Violation::new(Rule::One, seen));
        }
        broken
    }
}
