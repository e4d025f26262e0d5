//! What the tests of the module share: short ways to build events, and to feed a balancer.
#![allow(dead_code, reason = "each test file uses a part of it")]

use balancer::*;

pub struct Node {
    pub balancer: Balancer,
    pub now: f64,
}

impl Node {
    pub fn new(settings: DecisionSettings, seed: u64) -> Self {
        Self { balancer: Balancer::new(settings, seed).expect("sound settings"), now: 1_000.0 }
    }

    pub fn feed(&mut self, event: BalancerEvent) -> Vec<BalancerAction> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn servers(&mut self, entries: Vec<ServerEntry>) -> Vec<BalancerAction> {
        self.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries)))
    }

    pub fn request(&mut self, id: u64, class: usize, budget_ms: f64) -> Vec<BalancerAction> {
        self.feed(BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), class, budget_ms)))
    }

    /// Where a request is sent; it must be.
    pub fn sent_to(&mut self, id: u64) -> usize {
        let actions = self.request(id, 0, 800.0);
        send_of(&actions).unwrap_or_else(|| panic!("request {id} was not sent: {actions:?}"))
    }

    pub fn end(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        outcome: AttemptOutcome,
    ) -> Vec<BalancerAction> {
        self.report(id, attempt, elapsed_ms, outcome, None)
    }

    pub fn report(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        outcome: AttemptOutcome,
        held: Option<f64>,
    ) -> Vec<BalancerAction> {
        self.feed(BalancerEvent::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt,
            elapsed_ms,
            outcome,
            complete: outcome == AttemptOutcome::Served,
            report: held.map(|n| LoadReport { in_flight: Some(n), queued: None }),
        }))
    }
}

pub fn ready(servers: std::ops::Range<usize>) -> Vec<ServerEntry> {
    servers.map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect()
}

pub fn send_of(actions: &[BalancerAction]) -> Option<usize> {
    actions.iter().find_map(|a| match a {
        BalancerAction::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

pub fn rejected(actions: &[BalancerAction]) -> bool {
    actions.iter().any(|a| matches!(a, BalancerAction::Reject { .. }))
}

pub fn failed(actions: &[BalancerAction]) -> bool {
    actions.iter().any(|a| matches!(a, BalancerAction::Fail { .. }))
}

/// Requests with an idempotency key, whose repeats are discarded within a scope for a time in milliseconds.
pub fn keyed(group: DeduplicationScope, window_ms: f64) -> Idempotency {
    Idempotency::Keyed { group, window_ms }
}

pub fn one_class(idempotency: Idempotency) -> DecisionSettings {
    DecisionSettings::new(vec![RequestClass::new(400.0, 800.0, idempotency)])
}
