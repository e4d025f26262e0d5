//! Generated sequences of events with a checker: each request gets one final answer in time, drained servers get no
//! new requests, a request is sent twice only if its class allows it, a request is rejected only if a retry by the
//! client is safe, and attempts, cancellations and probes comply with the settings.

use std::collections::BTreeMap;

use balancer::*;

use crate::common::*;

/// Checks the rules from events and actions alone, independently of the decision logic.
struct Checker {
    settings: DecisionSettings,
    requests: BTreeMap<u64, RequestRecord>,
    /// Last entry of each server, also of removed ones.
    servers: BTreeMap<usize, ServerEntry>,
    /// Time in ms when each server was announced as draining or removed.
    unavailable_since: BTreeMap<usize, f64>,
    /// Time in milliseconds for which requests may still be sent to such a server.
    grace_ms: f64,
}

/// State of one request, as far as the rules need it.
struct RequestRecord {
    class: usize,
    /// Time in milliseconds by which the request must have its final answer.
    deadline: f64,
    /// Server, time of sending in milliseconds, and outcome once it has ended.
    attempts: Vec<(usize, f64, Option<AttemptOutcome>)>,
    /// Whether the final answer was given or the client has disconnected.
    done: bool,
}

impl Checker {
    /// Records an update of the server list.
    fn record_update(&mut self, now: f64, entries: &[ServerEntry], complete: bool) {
        if complete {
            let named: Vec<usize> = entries.iter().map(|e| e.server.0).collect();
            for removed in self.servers.keys().filter(|s| !named.contains(s)) {
                self.unavailable_since.entry(*removed).or_insert(now);
            }
        }
        for entry in entries {
            self.servers.insert(entry.server.0, entry.clone());
            if entry.availability == Availability::Ready {
                self.unavailable_since.remove(&entry.server.0);
            } else {
                self.unavailable_since.entry(entry.server.0).or_insert(now);
            }
        }
    }

    /// Records an event before the balancer handles it. At the end of an attempt, sets `complete` if the
    /// request already has its final answer or its client has disconnected.
    fn record_event(&mut self, event: &mut BalancerEvent) {
        match event {
            BalancerEvent::AttemptEnded(attempt_end) => {
                let entry = self.requests.get_mut(&attempt_end.request.0).expect("sent");
                entry.attempts[attempt_end.attempt].2 = Some(attempt_end.outcome);
                entry.done |= attempt_end.complete;
                attempt_end.complete = entry.done;
            }
            BalancerEvent::ClientDisconnected(id) => {
                self.requests.get_mut(&id.0).into_iter().for_each(|e| e.done = true)
            }
            _ => {}
        }
    }

    /// Checks an action against the rules and records it.
    fn check_action(&mut self, now: f64, action: &BalancerAction) {
        match action {
            BalancerAction::Send { request, server, .. } => {
                let unavailable_since = self.unavailable_since.get(&server.0);
                assert!(
                    unavailable_since.is_none_or(|t| now <= t + self.grace_ms),
                    "request {} was sent to server {}, which is draining or removed",
                    request.0,
                    server.0
                );
                let target = self.servers.get(&server.0).expect("a listed server");
                let entry = self.requests.get_mut(&request.0).expect("a known request");
                assert!(!entry.done, "sent after the final answer");
                assert!(entry.attempts.len() < self.settings.max_attempts, "too many attempts");
                assert!(
                    entry.attempts.iter().all(|a| a.2.is_some()),
                    "a second attempt while one is in flight"
                );
                let ran = entry.attempts.iter().find(|a| a.2.is_none_or(AttemptOutcome::may_have_run));
                if let Some((first, sent_at, _)) = ran {
                    match self.settings.classes[entry.class].idempotency {
                        Idempotency::Safe => {}
                        Idempotency::Unsafe => panic!("an unsafe request was sent twice"),
                        Idempotency::Keyed { group, window_ms } => {
                            assert!(now - sent_at < window_ms, "retried past its window");
                            let first = &self.servers[first];
                            assert!(match group {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => first.zone == target.zone,
                                DeduplicationScope::Cell => first.cell == target.cell,
                            });
                        }
                    }
                }
                entry.attempts.push((server.0, now, None));
            }
            BalancerAction::Reject { request, .. } | BalancerAction::Fail { request } => {
                let entry = self.requests.get_mut(&request.0).expect("a known request");
                assert!(!entry.done, "two final answers");
                entry.done = true;
                let ran = entry.attempts.iter().any(|a| a.2.is_none_or(AttemptOutcome::may_have_run));
                if matches!(action, BalancerAction::Reject { .. }) && ran {
                    let idempotency = self.settings.classes[entry.class].idempotency;
                    let harmless = matches!(
                        idempotency,
                        Idempotency::Safe | Idempotency::Keyed { group: DeduplicationScope::All, .. }
                    );
                    assert!(harmless, "request {} was rejected although it may have run", request.0);
                }
            }
            BalancerAction::Cancel { request, attempt } => {
                assert!(self.settings.cancel && self.requests[&request.0].attempts.len() > *attempt);
            }
            BalancerAction::Probe { server } => {
                assert!(
                    self.settings.probes && self.servers.contains_key(&server.0),
                    "a probe that the settings forbid, or of an unknown server"
                );
            }
            BalancerAction::Subscribe | BalancerAction::SetTimer { .. } | BalancerAction::Log(_) => {}
        }
    }

    /// Checks that no request has passed its deadline unanswered.
    fn check_deadlines(&self, now: f64) {
        let late = self.requests.iter().find(|(_, e)| !e.done && now > e.deadline + 20.0);
        assert!(late.is_none(), "request {:?} got no answer in time", late.map(|(id, _)| id));
    }
}

/// Runs a valid sequence of events that is generated from a seed: changes of the server list, outcomes of
/// every kind, clients that disconnect. Returns the number of sends.
#[allow(clippy::too_many_lines, reason = "the steps of one generated sequence, in their order")]
fn run_generated_events(seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let groups = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let mut settings = DecisionSettings::new(vec![
        RequestClass::new(200.0, 600.0, Idempotency::Safe),
        RequestClass::new(
            400.0,
            900.0,
            Idempotency::Keyed { group: groups[seed as usize % 3], window_ms: 500.0 },
        ),
        RequestClass::new(600.0, 2_000.0, Idempotency::Unsafe),
    ]);
    settings.nodes = 1 + random.usize(..4);
    settings.kinds = 2;
    (settings.probes, settings.responses_carry_load) = (random.bool(), random.bool());
    settings.cancel = random.bool();
    settings.max_attempts = 1 + random.usize(..5);
    (settings.warmup_initial_fraction, settings.warmup_ms) = (0.3, 5_000.0);
    if random.bool() {
        settings.discovery = DiscoveryMode::Subscribe;
    }
    let mut checker = Checker {
        settings: settings.clone(),
        requests: BTreeMap::new(),
        servers: BTreeMap::new(),
        unavailable_since: BTreeMap::new(),
        grace_ms: 0.0,
    };
    let mut node = Node::new(settings, seed);
    let mut in_flight: Vec<(f64, u64, usize, AttemptOutcome)> = Vec::new();
    let mut sends = 0;
    let mut timers: Vec<(f64, u64)> = Vec::new();
    let mut probes: Vec<(f64, ServerId)> = Vec::new();
    for id in 0..1_500_u64 {
        node.now += random.f64() * 20.0;
        let now = node.now;
        let mut events: Vec<BalancerEvent> = Vec::new();
        if random.u32(..30) == 0 || id == 0 {
            let mut entries = Vec::new();
            for i in 0..10 {
                if random.u32(..5) == 0 {
                    continue;
                }
                let states = [Availability::Ready, Availability::Draining, Availability::Removed];
                entries.push(ServerEntry {
                    started_at: (random.u32(..4) == 0).then_some(now - 1_000.0),
                    cell: i / 3,
                    zone: i % 3,
                    kind: i % 3,
                    ..ServerEntry::new(ServerId(i), states[random.usize(..5).saturating_sub(2)])
                });
            }
            let complete = random.bool();
            checker.record_update(now, &entries, complete);
            events.push(BalancerEvent::EndpointsUpdated(if complete {
                EndpointUpdate::Snapshot(entries)
            } else {
                EndpointUpdate::Delta(entries)
            }));
        }
        if random.u32(..60) == 0 {
            events.push(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        in_flight.sort_by(|a, b| a.0.total_cmp(&b.0));
        while in_flight.first().is_some_and(|attempt| attempt.0 <= now) {
            let (_, id, attempt, outcome) = in_flight.remove(0);
            let entry = checker.requests.get_mut(&id).expect("sent");
            let sent_at = entry.attempts[attempt].1;
            events.push(BalancerEvent::AttemptEnded(AttemptEnd {
                request: RequestId(id),
                attempt,
                elapsed_ms: now - sent_at,
                outcome,
                complete: outcome == AttemptOutcome::Served,
                report: random
                    .bool()
                    .then(|| LoadReport { in_flight: Some(random.f64() * 9.0), queued: None }),
            }));
        }
        timers.retain(|(at, timer)| {
            let due = *at <= now;
            if due {
                events.push(BalancerEvent::TimerFired(*timer));
            }
            !due
        });
        let due: Vec<_> = probes.iter().filter(|(at, _)| *at <= now).copied().collect();
        probes.retain(|(at, _)| *at > now);
        for (_, server) in due {
            let outcome = if random.u32(..4) > 0 { AttemptOutcome::Served } else { AttemptOutcome::TimedOut };
            let report = (outcome == AttemptOutcome::Served)
                .then(|| LoadReport { in_flight: Some(random.f64() * 5.0), queued: None });
            events.push(BalancerEvent::ProbeEnded { server, outcome, report });
        }
        if random.u32(..40) == 0 && id > 20 {
            let disconnected = id - 1 - random.u64(..20);
            events.push(BalancerEvent::ClientDisconnected(RequestId(disconnected)));
        }
        let class = random.usize(..3);
        let budget = checker.settings.classes[class].deadline_ms * (0.3 + 0.7 * random.f64());
        checker
            .requests
            .insert(id, RequestRecord { class, deadline: now + budget, attempts: Vec::new(), done: false });
        events.push(BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), class, budget)));
        for mut event in events {
            checker.record_event(&mut event);
            for action in node.feed(event) {
                checker.check_action(now, &action);
                match action {
                    BalancerAction::Send { request, .. } => {
                        sends += 1;
                        let entry = &checker.requests[&request.0];
                        let failures = [
                            AttemptOutcome::Error,
                            AttemptOutcome::Rejected,
                            AttemptOutcome::Unreachable,
                            AttemptOutcome::Reset,
                            AttemptOutcome::TimedOut,
                            AttemptOutcome::NotSent,
                        ];
                        let ok = random.u32(..3) > 0;
                        let outcome = if ok { AttemptOutcome::Served } else { failures[random.usize(..6)] };
                        let at = now + random.f64() * random.f64() * 900.0;
                        let (at, outcome) = if at > entry.deadline {
                            (entry.deadline, AttemptOutcome::TimedOut)
                        } else {
                            (at, outcome)
                        };
                        in_flight.push((at, request.0, entry.attempts.len() - 1, outcome));
                    }
                    BalancerAction::SetTimer { timer, after_ms } => timers.push((now + after_ms, timer)),
                    BalancerAction::Probe { server } => probes.push((now + random.f64() * 40.0, server)),
                    _ => {}
                }
            }
        }
        // Time advances in steps of up to 20 ms, which is the tolerance for answers after the deadline.
        checker.check_deadlines(now - 20.0);
    }
    sends
}

#[test]
fn generated_events_break_no_rule() {
    let sends: usize = (0..72).map(run_generated_events).sum();
    assert!(sends > 20_000, "{sends} sends are too few for a meaningful check");
}
