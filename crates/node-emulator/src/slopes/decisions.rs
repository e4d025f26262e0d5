//! Measures by size the time in which a `Balancer` handles lists and requests, and the number of servers that
//! a node connects to. All times are in microseconds.

use std::collections::HashSet;
use std::hint::black_box;
use std::time::Instant;

use balancer::net::node::Node;
use balancer::{
    wire, AttemptEnd, AttemptOutcome, Balancer, BalancerAction, BalancerEvent, ClientRequest, EndpointUpdate,
    LoadReport, RequestId,
};
use serde::Deserialize as _;
use serde_json::json;

use super::bench::Bench;
use super::model::{
    decode_list, fleet_size, new_balancer, node_config, node_count, server_entries, MAX_NODES,
};
use super::{to_microseconds, SlopesError};
use crate::catalogue::Catalogue;

/// Rate of requests at one node, per second: 120,000 requests per second over 2,000 nodes.
pub(super) const REQUESTS_PER_SECOND: f64 = 60.0;

/// Number of requests at one node in a minute. A connection that is idle for a minute is closed, so the node
/// keeps connections to the servers that these requests are sent to.
pub(super) const REQUESTS_PER_MINUTE: u64 = 3_600;

/// Measures the time in which settings with this number of tenants are decoded and a `Balancer` is created
/// from them.
pub(super) fn tenant_start(tenants: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
    let tenant_entries: Vec<_> =
        (0..tenants).map(|i| json!({ "name": format!("tenant-{i}"), "quota_per_s": 10.0 })).collect();
    let classes = json!([{ "name": "all", "aim_ms": 80.0, "deadline_ms": 400.0, "effect": "safe" }]);
    let text = json!({ "classes": classes, "parties": tenant_entries }).to_string();
    let measure = |_| {
        let started_at = Instant::now();
        let facts = serde_json::Value::deserialize(&mut serde_json::Deserializer::from_str(&text));
        let facts = facts.map_err(|error| SlopesError::Failed(error.to_string()))?;
        let settings = wire::read_settings(&facts).map_err(|error| SlopesError::Failed(error.to_string()))?;
        let balancer = Balancer::new(settings, 1).map_err(|error| SlopesError::Failed(error.to_string()))?;
        let time = started_at.elapsed();
        drop(black_box(balancer));
        Ok(to_microseconds(time))
    };
    (0..repeats).map(measure).collect()
}

impl Bench {
    /// Measures the time in which a real node starts with a list that has been decoded before.
    pub(super) fn node_start(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let size = fleet_size(servers);
        let body = Catalogue::without_listeners(size).complete_list().body;
        let measure = |_| {
            let config = node_config(size, self.seed, decode_list(&body)?);
            let started_at = Instant::now();
            let node = Node::start(config).map_err(|error| SlopesError::Failed(error.to_string()))?;
            let time = started_at.elapsed();
            drop(node);
            Ok(to_microseconds(time))
        };
        (0..repeats).map(measure).collect()
    }

    /// Measures the time in which a `Balancer` applies a complete list.
    pub(super) fn snapshot(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let entries = server_entries(&mut Catalogue::without_listeners(fleet_size(servers)))?;
        let mut balancer = new_balancer(node_count(servers), self.seed)?;
        let mut actions = Vec::new();
        // The first list builds tables that the later ones replace. Only the later ones are measured.
        balancer.handle(
            0.0,
            BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
            &mut actions,
        );
        let mut measure = || {
            let event = BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone()));
            let started_at = Instant::now();
            balancer.handle(1_000.0, event, &mut actions);
            to_microseconds(started_at.elapsed())
        };
        Ok((0..repeats).map(|_| measure()).collect())
    }

    /// Measures the time in which a `Balancer` applies a change of one server.
    pub(super) fn one_change(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let entries = server_entries(&mut Catalogue::without_listeners(fleet_size(servers)))?;
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut balancer = new_balancer(node_count(servers), self.seed)?;
        let mut actions = Vec::new();
        balancer.handle(
            0.0,
            BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
            &mut actions,
        );
        // Each round has two changes of a random server: it begins to drain and becomes active again. The
        // result is the mean time of both.
        let mut measure = |_| {
            let mut changed = entries[random.usize(..entries.len())].clone();
            let restored = changed.clone();
            changed.availability = balancer::Availability::Draining;
            let started_at = Instant::now();
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![changed])),
                &mut actions,
            );
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![restored])),
                &mut actions,
            );
            to_microseconds(started_at.elapsed()) / 2.0
        };
        Ok((0..repeats * 4).map(&mut measure).collect())
    }

    /// Measures the time in which a `Balancer` handles a request and its outcome, as the mean of 500
    /// requests.
    pub(super) fn request(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let mut service = Service::new(servers, node_count(servers), self.seed)?;
        let mut next = 0;
        let mut run = |requests: u64| {
            let started_at = Instant::now();
            for _ in 0..requests {
                next += 1;
                black_box(service.serve(next, next as f64 * 1000.0 / REQUESTS_PER_SECOND));
            }
            to_microseconds(started_at.elapsed()) / requests as f64
        };
        run(500);
        Ok((0..repeats).map(|_| run(500)).collect())
    }

    /// Counts the servers that a node sends to within a minute if its requests are distributed randomly over
    /// `services` services of `servers` servers each.
    pub(super) fn connections(&self, services: usize, servers: usize) -> Result<f64, SlopesError> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let nodes = if services == 1 { node_count(servers) } else { MAX_NODES };
        let service = |i| Service::new(servers, nodes, self.seed + i as u64);
        let mut all = (0..services).map(service).collect::<Result<Vec<_>, _>>()?;
        let mut contacted = HashSet::new();
        for request in 1..=REQUESTS_PER_MINUTE {
            let at = random.usize(0..services);
            let server = all[at].serve(request, request as f64 * 1000.0 / REQUESTS_PER_SECOND);
            contacted.extend(server.map(|server| (at, server)));
        }
        Ok(contacted.len() as f64)
    }
}

/// A service with the `Balancer` of one node. Its servers are emulated.
pub(super) struct Service {
    pub(super) balancer: Balancer,
    pub(super) random: fastrand::Rng,
    pub(super) actions: Vec<BalancerAction>,
}

impl Service {
    pub(super) fn new(servers: usize, nodes: usize, seed: u64) -> Result<Self, SlopesError> {
        let mut balancer = new_balancer(nodes, seed)?;
        let entries = server_entries(&mut Catalogue::without_listeners(fleet_size(servers)))?;
        balancer.handle(
            0.0,
            BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries)),
            &mut Vec::new(),
        );
        Ok(Self { balancer, random: fastrand::Rng::with_seed(!seed), actions: Vec::new() })
    }

    /// Handles a request that arrives at `now`, in milliseconds, and returns the number of the server that it
    /// was sent to. The server reports one to three requests in flight. Its mean response time is
    /// proportional to that number.
    pub(super) fn serve(&mut self, id: u64, now: f64) -> Option<usize> {
        let request = RequestId(id);
        self.actions.clear();
        self.balancer.handle(
            now,
            BalancerEvent::RequestArrived(ClientRequest::new(request, 0, 400.0)),
            &mut self.actions,
        );
        let sent = self.actions.iter().find_map(|action| match action {
            BalancerAction::Send { server, .. } => Some(server.0),
            _ => None,
        })?;
        let in_flight = f64::from(self.random.u8(1..=3));
        let elapsed_ms = 5.0 * in_flight * (0.5 + self.random.f64());
        let report = Some(LoadReport { in_flight: Some(in_flight), queued: None });
        let attempt_end = AttemptEnd {
            request,
            attempt: 0,
            elapsed_ms,
            outcome: AttemptOutcome::Served,
            complete: true,
            report,
        };
        self.balancer.handle(now + elapsed_ms, BalancerEvent::AttemptEnded(attempt_end), &mut self.actions);
        Some(sent)
    }
}
