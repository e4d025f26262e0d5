//! Helpers of the decision tests, which build settings and events, pass them to a balancer and read its
//! actions.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use balancer::*;

/// A balancer with a simulated clock, which tests advance by setting `now` (milliseconds).
pub struct Node {
    pub balancer: Balancer,
    pub now: f64,
}

impl Node {
    pub fn new(settings: DecisionSettings, seed: u64) -> Self {
        Self { balancer: Balancer::new(settings, seed).expect("valid settings"), now: 1_000.0 }
    }

    /// Passes an event to the balancer at the time `now`; returns its actions.
    pub fn feed(&mut self, event: BalancerEvent) -> Vec<BalancerAction> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Passes a complete server list, which replaces the previous one.
    pub fn set_servers(&mut self, entries: Vec<ServerEntry>) -> Vec<BalancerAction> {
        self.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries)))
    }

    /// Passes a request of the first tenant.
    pub fn request(&mut self, id: u64, class: usize, budget_ms: f64) -> Vec<BalancerAction> {
        self.feed(BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), class, budget_ms)))
    }

    /// Passes a request of the first class with a budget of 800 ms; returns the server to which it is sent.
    ///
    /// # Panics
    ///
    /// Panics if the request is not sent at once.
    pub fn sent_to(&mut self, id: u64) -> usize {
        let actions = self.request(id, 0, 800.0);
        send_of(&actions).unwrap_or_else(|| panic!("request {id} was not sent: {actions:?}"))
    }

    /// Ends an attempt without a load report. The client has its final answer if the request was served.
    pub fn end(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        outcome: AttemptOutcome,
    ) -> Vec<BalancerAction> {
        self.end_with_load(id, attempt, elapsed_ms, outcome, None)
    }

    /// Ends an attempt, with a load report if `in_flight` gives the number of requests at the server.
    pub fn end_with_load(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        outcome: AttemptOutcome,
        in_flight: Option<f64>,
    ) -> Vec<BalancerAction> {
        self.feed(BalancerEvent::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt,
            elapsed_ms,
            outcome,
            complete: outcome == AttemptOutcome::Served,
            report: in_flight.map(|n| LoadReport { in_flight: Some(n), queued: None }),
        }))
    }
}

/// Returns entries of ready servers with these numbers, started long ago.
pub fn ready(servers: std::ops::Range<usize>) -> Vec<ServerEntry> {
    servers.map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect()
}

/// Returns the server of the first send among the actions.
pub fn send_of(actions: &[BalancerAction]) -> Option<usize> {
    actions.iter().find_map(|a| match a {
        BalancerAction::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// Whether one of the actions rejects a request.
pub fn rejected(actions: &[BalancerAction]) -> bool {
    actions.iter().any(|a| matches!(a, BalancerAction::Reject { .. }))
}

/// Whether one of the actions fails a request.
pub fn failed(actions: &[BalancerAction]) -> bool {
    actions.iter().any(|a| matches!(a, BalancerAction::Fail { .. }))
}

/// Returns the idempotency of requests with a key: servers of a `group` discard repeats for `window_ms`.
pub fn keyed(group: DeduplicationScope, window_ms: f64) -> Idempotency {
    Idempotency::Keyed { group, window_ms }
}

/// Returns settings with one class: latency target 400 ms, deadline 800 ms.
pub fn one_class(idempotency: Idempotency) -> DecisionSettings {
    DecisionSettings::new(vec![RequestClass::new(400.0, 800.0, idempotency)])
}
