//! The four rules at their edges, and on generated days against a checker of its own.

mod common;
use common::*;

use std::collections::BTreeMap;

use balancer::*;

// ---- Edges

#[test]
fn no_servers_still_gives_one_answer_at_once() {
    for idempotency in [Idempotency::Safe, keyed(DeduplicationScope::Cell, 500.0), Idempotency::Unsafe] {
        let mut node = Node::new(one_class(idempotency), 1);
        assert!(rejected(&node.request(1, 0, 100.0)), "nothing ran, so a refusal is true");
        node.servers(Vec::new());
        assert!(rejected(&node.request(2, 0, 100.0)));
    }
}

#[test]
fn a_class_that_does_not_exist_is_answered() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..2));
    assert!(failed(&node.request(1, 7, 100.0)));
}

/// A refusal says when to come back, where clients are told: as long as answers take, up to what they heed.
#[test]
fn a_refusal_says_when_to_come_back() {
    for (most, told) in [(None, None), (Some(400.0), Some(100.0)), (Some(30.0), Some(30.0))] {
        let mut settings = one_class(Idempotency::Safe);
        settings.max_retry_after_ms = most;
        let mut node = Node::new(settings, 1);
        let refuse = BalancerAction::Reject { request: RequestId(1), retry_after_ms: told };
        assert_eq!(node.request(1, 0, 800.0), [refuse]);
        node.servers(ready(0..2));
        node.sent_to(2);
        node.end(2, 0, 20.0, AttemptOutcome::Served);
        node.servers(Vec::new());
        let told = most.map(|_| 20.0);
        let refuse = BalancerAction::Reject { request: RequestId(3), retry_after_ms: told };
        assert_eq!(node.request(3, 0, 800.0), [refuse]);
    }
}

/// An unsafe request is sent again only with proof that nothing ran, and otherwise not refused either.
#[test]
fn unsafe_after_each_ending() {
    for (outcome, again) in [
        (AttemptOutcome::Rejected, true),
        (AttemptOutcome::Unreachable, true),
        (AttemptOutcome::NotSent, true),
        (AttemptOutcome::Error, false),
        (AttemptOutcome::TimedOut, false),
        (AttemptOutcome::Reset, false),
        (AttemptOutcome::Cancelled, false),
    ] {
        let mut node = Node::new(one_class(Idempotency::Unsafe), 1);
        node.servers(ready(0..3));
        node.sent_to(1);
        node.now += 5.0;
        let actions = node.end(1, 0, 5.0, outcome);
        assert_eq!(send_of(&actions).is_some(), again, "{outcome:?}");
        assert_eq!(failed(&actions), !again, "{outcome:?}");
        assert!(!rejected(&actions), "{outcome:?}");
    }
}

#[test]
fn keyed_stays_in_its_cell_and_window() {
    let settings = one_class(keyed(DeduplicationScope::Cell, 500.0));
    for (wait, again) in [(5.0, true), (399.0, true), (401.0, false), (600.0, false)] {
        for seed in 0..20 {
            let mut node = Node::new(settings.clone(), seed);
            let mut entries = ready(0..6);
            entries.iter_mut().enumerate().for_each(|(i, e)| e.cell = i / 2);
            node.servers(entries);
            let first = node.sent_to(1);
            node.now += wait;
            let actions = node.end(1, 0, wait, AttemptOutcome::Error);
            assert!(!rejected(&actions), "a refusal would promise that nothing ran");
            match send_of(&actions) {
                Some(at) => assert!(again && at / 2 == first / 2, "{wait} ms: {first} then {at}"),
                None => assert!(!again && failed(&actions), "{wait} ms"),
            }
        }
    }
}

#[test]
fn keyed_with_group_all_may_be_refused_after_it_ran() {
    let mut settings = one_class(keyed(DeduplicationScope::All, 500.0));
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..3));
    node.sent_to(1);
    node.now += 5.0;
    assert!(rejected(&node.end(1, 0, 5.0, AttemptOutcome::Error)));
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut node = Node::new(one_class(Idempotency::Unsafe), 1);
    node.servers(ready(0..3));
    node.sent_to(1);
    node.now += 800.0;
    assert!(failed(&node.end(1, 0, 800.0, AttemptOutcome::TimedOut)));
    assert!(node.end(1, 0, 801.0, AttemptOutcome::Served).is_empty(), "an ending comes once");
}

#[test]
fn nothing_follows_a_final_answer() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..3));
    node.sent_to(1);
    node.feed(BalancerEvent::ClientDisconnected(RequestId(1)));
    node.now += 5.0;
    assert!(send_of(&node.end(1, 0, 5.0, AttemptOutcome::Error)).is_none());
    assert!(node.feed(BalancerEvent::ClientDisconnected(RequestId(1))).is_empty());
}

#[test]
fn drained_and_removed_servers_get_nothing_new() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..3));
    let mut entry = ServerEntry::new(ServerId(0), Availability::Draining);
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![entry.clone()])));
    entry.server = ServerId(1);
    entry.availability = Availability::Removed;
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])));
    assert!((0..20).all(|id| node.sent_to(id) == 2));
    // A complete list without it removes the last one, too.
    node.servers(ready(3..4));
    assert!((20..40).all(|id| node.sent_to(id) == 3));
}

/// A warming server reports nothing queued and would draw everything; one node carrying most of the traffic must stay
/// under the budget that all nodes share. A server that has gone is forgotten once nothing is out to it: what ends
/// late finds nothing amiss, and a keyed request keeps to its cell though the server that may have run it is no
/// longer known.
#[test]
fn what_ends_late_on_a_forgotten_server_does_no_harm() {
    let cell = |i, cell| ServerEntry { cell, ..ServerEntry::new(ServerId(i), Availability::Ready) };
    let mut node = Node::new(one_class(keyed(DeduplicationScope::Cell, 500.0)), 1);
    node.servers(vec![cell(0, 7)]);
    assert_eq!((node.sent_to(1), node.sent_to(2)), (0, 0));
    node.servers(vec![cell(1, 8), cell(2, 7)]);
    assert_eq!(send_of(&node.report(1, 0, 50.0, AttemptOutcome::Reset, Some(3.0))), Some(2));
    assert_eq!(send_of(&node.report(2, 0, 50.0, AttemptOutcome::Reset, Some(3.0))), Some(2));
    let report = Some(LoadReport { in_flight: Some(9.0), queued: None });
    node.feed(BalancerEvent::ProbeEnded { server: ServerId(0), outcome: AttemptOutcome::Served, report });
    node.end(1, 1, 50.0, AttemptOutcome::Served);
    let gone = ServerEntry { availability: Availability::Removed, ..cell(2, 7) };
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![gone])));
    assert!(failed(&node.end(2, 1, 50.0, AttemptOutcome::Reset)));
}

#[test]
fn a_warming_server_gets_no_more_than_its_budget() {
    let mut settings = one_class(Idempotency::Safe);
    settings.nodes = 3;
    settings.warmup_initial_fraction = 0.3;
    settings.warmup_ms = 9_000.0;
    settings.warmup_overload_factor = 2.5;
    settings.warmup_overload_ms = 3_000.0;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..10));
    let mut at = BTreeMap::new();
    let mut cold_sends = Vec::new();
    for id in 0..3_000 {
        if id == 1_500 {
            let mut entries = ready(0..11);
            entries[10].started_at = Some(node.now);
            node.servers(entries);
        }
        at.insert(id, node.sent_to(id));
        if at[&id] == 10 {
            cold_sends.push(node.now);
        }
        node.now += 4.0;
        if id >= 10 {
            // Cold as it is, it answers fast and reports next to nothing held.
            let cold = at[&(id - 10)] == 10;
            let held = if cold { 0.1 * (id % 2) as f64 } else { (300 + id % 2) as f64 };
            let elapsed = if cold { 10.0 } else { 40.0 };
            node.report(id - 10, 0, elapsed, AttemptOutcome::Served, Some(held));
        }
    }
    // The fleet serves 250 a second on ten servers; a cold one's capacity begins at 0.3 of a tenth.
    let start = 1_000.0 + 1_500.0 * 4.0;
    for window in 0..6 {
        let from = start + f64::from(window) * 500.0;
        let sent = cold_sends.iter().filter(|t| (from..from + 3_000.0).contains(*t)).count() as f64;
        let capacity = 25.0 * 3.0 * (0.3 + 0.7 * (from + 3_000.0 - start) / 9_000.0);
        assert!(sent < 2.5 * capacity, "{sent} in window {window}, capacity {capacity}");
    }
    assert!(!cold_sends.is_empty(), "it gets some work");
}

/// A node that restarted has served nothing yet; what it knows of starts is in its list.
#[test]
fn a_restarted_node_spares_warming_servers() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.warmup_initial_fraction, settings.warmup_ms) = (0.3, 9_000.0);
    (settings.warmup_overload_factor, settings.warmup_overload_ms) = (2.5, 3_000.0);
    let mut node = Node::new(settings, 1);
    let mut entries = ready(0..2);
    entries[1].started_at = Some(node.now - 100.0);
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::CachedSnapshot(entries)));
    let cold = (0..40).filter(|id| send_of(&node.request(*id, 0, 800.0)) == Some(1)).count();
    // Had both all of their capacity, each would get twenty.
    assert!(cold as f64 <= 2.5 * 0.3 * 20.0, "{cold} of 40");
}

/// Incidents ie11f3d and ia94218: a floor of one send a node and window let hundreds of nodes push a cold server over
/// together. What counts is the sum over the nodes.
#[test]
fn hundreds_of_nodes_together_spare_a_warming_server() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (400, 1);
    (settings.warmup_initial_fraction, settings.warmup_ms) = (0.2, 20_000.0);
    (settings.warmup_overload_factor, settings.warmup_overload_ms) = (2.5, 1_500.0);
    let (mut cold, mut sent) = (0, 0);
    for me in 0..400 {
        settings.node_index = me;
        let mut node = Node::new(settings.clone(), me as u64);
        let mut entries = ready(0..10);
        entries[7].started_at = Some(node.now);
        node.servers(entries);
        for id in 0..30 {
            node.now += 50.0;
            let at = node.sent_to(id);
            node.report(id, 0, 40.0, AttemptOutcome::Served, Some(1.0));
            sent += 1;
            cold += usize::from(at == 7);
        }
    }
    // A warm server gets a tenth of it all; the cold one holds a fifth of that and a little more.
    let fair = f64::from(sent) / 10.0;
    assert!((cold as f64) < 2.5 * 0.2 * fair, "{cold} to the cold server, {fair} to a warm one");
    assert!(cold > 0, "it gets some work");
}

// ---- Following the list

#[test]
fn it_subscribes_at_once_and_again_after_failures() {
    let mut settings = one_class(Idempotency::Safe);
    settings.discovery = DiscoveryMode::Subscribe;
    settings.max_poll_interval_ms = 10_000.0;
    let mut node = Node::new(settings, 1);
    let actions = node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::CachedSnapshot(ready(0..2))));
    assert_eq!(actions, [BalancerAction::Subscribe]);
    let mut waits = Vec::new();
    for call in 0..8 {
        let actions = node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
        let notes = actions.iter().filter(|a| matches!(a, BalancerAction::Log(_))).count();
        assert_eq!(notes, usize::from(call == 0), "the loss is noted once: {actions:?}");
        let [.., BalancerAction::SetTimer { timer, after_ms }] = actions[..] else { panic!("{actions:?}") };
        assert!(
            node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable)).is_empty(),
            "one call at a time"
        );
        waits.push(after_ms);
        node.now += after_ms;
        assert_eq!(node.feed(BalancerEvent::TimerFired(timer)), [BalancerAction::Subscribe]);
        assert!(node.feed(BalancerEvent::TimerFired(timer)).is_empty(), "a timer is used once");
    }
    assert!(waits[0] < waits[4] && waits.iter().all(|w| *w <= 2_500.0), "{waits:?}");
    let list = || BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(ready(0..2)));
    let noted = node.feed(list());
    assert!(matches!(noted[..], [BalancerAction::Log(_)]), "and so is the end of it: {noted:?}");
    assert!(node.feed(list()).is_empty(), "once");
}

// ---- Health

/// A server that fails quickly reports a short queue and would draw more.
#[test]
fn quick_failures_take_a_server_out_and_success_brings_it_back() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..4));
    let run = |node: &mut Node, from: u64, bad: bool| {
        let mut sent = 0;
        for id in from..from + 400 {
            let at = node.sent_to(id);
            node.now += 10.0;
            sent += usize::from(at == 0);
            if bad && at == 0 {
                let again = node.report(id, 0, 2.0, AttemptOutcome::Error, Some(0.0));
                let attempt = usize::from(send_of(&again).is_some());
                node.end(id, attempt, 30.0, AttemptOutcome::Served);
            } else {
                node.end(id, 0, 30.0, AttemptOutcome::Served);
            }
        }
        sent
    };
    assert!(run(&mut node, 0, false) > 50);
    assert!(run(&mut node, 1_000, true) < 25, "a failing server kept its traffic");
    run(&mut node, 2_000, false);
    node.now += 10_000.0;
    run(&mut node, 2_500, false);
    assert!(run(&mut node, 3_000, false) > 50, "it never came back");
}

/// A server that takes requests and answers none has an ordinary count.
#[test]
fn an_unresponsive_server_is_avoided() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..4));
    let mut hung = 0;
    for id in 0..600 {
        let at = send_of(&node.request(id, 0, 800.0));
        node.now += 10.0;
        if id > 200 && at == Some(0) {
            hung += 1;
        } else if at.is_some() {
            node.report(id, 0, 30.0, AttemptOutcome::Served, Some((1 + id % 3) as f64));
        }
    }
    assert!(hung < 12, "{hung} requests went to a silent server");
}

/// With everything failing there is nobody better: traffic must go on, and recover by itself. A server that falls
/// silent costs requests their time; those that may be repeated are sent elsewhere.
#[test]
fn stalled_attempts_are_cancelled_where_a_repeat_is_allowed() {
    let keyed = |window_ms| Idempotency::Keyed { group: DeduplicationScope::All, window_ms };
    for (idempotency, heard, cut) in [
        (Idempotency::Safe, false, true),
        (keyed(5_000.0), false, true),
        (keyed(500.0), false, false),
        (Idempotency::Unsafe, false, false),
        (Idempotency::Safe, true, false),
    ] {
        let mut node = Node::new(one_class(idempotency), 1);
        node.servers(ready(0..2));
        let ids = 1..=6;
        let at: BTreeMap<u64, usize> = ids.clone().map(|id| (id, node.sent_to(id))).collect();
        node.now += 20.0;
        let silent: Vec<u64> = ids.clone().filter(|id| at[id] == 0).collect();
        for id in ids.filter(|id| at[id] == 1 || heard && *id == silent[0]) {
            node.end(id, 0, 20.0, AttemptOutcome::Served);
        }
        node.now += 700.0;
        // The timer of the third attempt there shows what became of the others, too.
        let actions = node.feed(BalancerEvent::TimerFired(silent[2] + 1));
        for id in silent {
            let cancel = BalancerAction::Cancel { request: RequestId(id), attempt: 0 };
            assert_eq!(actions.contains(&cancel), cut, "{idempotency:?} {heard}");
            if !cut {
                continue;
            }
            assert_eq!(send_of(&node.end(id, 0, 720.0, AttemptOutcome::Cancelled)), Some(1));
            assert_eq!(
                node.feed(BalancerEvent::TimerFired(id + 1)),
                [],
                "the second attempt has its own time"
            );
        }
    }
}

/// A count that no server can have would keep its server out for good.
#[test]
fn an_absurd_report_changes_no_count() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..2));
    let mut sent = [0; 2];
    for id in 1..=40 {
        let at = node.sent_to(id);
        sent[at] += 1;
        node.report(id, 0, 20.0, AttemptOutcome::Served, Some(if at == 0 { 1e300 } else { f64::INFINITY }));
    }
    assert_eq!(sent, [20, 20]);
}

#[test]
fn refusals_end_when_the_servers_recover() {
    let mut settings = one_class(Idempotency::Safe);
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..4));
    let mut last = (0, 0);
    for id in 0..3_000 {
        let broken = (500..1_000).contains(&id);
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 10.0;
        if sent {
            let (elapsed, outcome) =
                if broken { (800.0, AttemptOutcome::TimedOut) } else { (30.0, AttemptOutcome::Served) };
            node.end(id, 0, elapsed, outcome);
        }
        if id >= 2_000 {
            last = (last.0 + usize::from(sent), last.1 + 1);
        }
    }
    assert!(last.0 * 100 > last.1 * 95, "{last:?} sent long after the trouble");
}

/// With everything late, nodes try idle servers to learn when that ends. Many nodes must not try so often that the
/// trials alone keep the servers crowded.
#[test]
fn trials_of_many_nodes_stay_few() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (16, 1);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..10));
    let mut tried = 0;
    for id in 0..4_000 {
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 10.0;
        if sent {
            node.end(id, 0, 790.0, AttemptOutcome::Served);
            tried += u32::from(id >= 2_000);
        }
    }
    // Twenty seconds are fifty latency targets; sixteen nodes together may try each server some hundred times.
    assert!((10..=10 * 2 * 50 / 16 * 3 / 2).contains(&tried), "{tried} trials");
}

/// A node that sees little keeps few answers of each server: after a crowded start the slow ones must not be believed
/// for long, or the node refuses what idle servers would take.
#[test]
fn a_crowded_start_is_soon_forgotten() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (12, 1);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..20));
    let mut out = std::collections::VecDeque::new();
    let (mut asked, mut refusals) = (0, 0);
    for id in 0..620_u64 {
        node.now += 10.0;
        let crowded = id < 120;
        while out.front().is_some_and(|(_, _, end)| *end <= node.now) {
            let (id, elapsed, _) = out.pop_front().expect("checked");
            node.end(id, 0, elapsed, AttemptOutcome::Served);
        }
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        if sent {
            let elapsed = if crowded { 600.0 } else { 50.0 };
            out.push_back((id, elapsed, node.now + elapsed));
        }
        // From two seconds after the crowd has gone, for three seconds.
        if (320..620).contains(&id) {
            asked += 1;
            refusals += u32::from(!sent);
        }
    }
    assert!(refusals * 4 < asked, "{refusals} of {asked} refused by what was long past");
}

/// What the agent has counts as told, so that a node must hear it again within the grace after a drain.
#[test]
fn a_pushed_list_that_fails_is_asked_for_again_within_the_grace() {
    for (grace, most) in [(2_000.0, 500.0), (1_000.0, 250.0), (0.0, 50.0)] {
        let mut settings = one_class(Idempotency::Safe);
        settings.drain_grace_ms = grace;
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..1));
        for _ in 0..12 {
            let actions = node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
            let after = |a: &BalancerAction| {
                if let BalancerAction::SetTimer { after_ms, .. } = a {
                    Some(*after_ms)
                } else {
                    None
                }
            };
            let after = actions.iter().find_map(after).expect("it asks again");
            assert!(after > 0.0 && after <= most, "{after} ms of {grace}");
            node.now += after;
            assert_eq!(node.feed(BalancerEvent::TimerFired(0)), [BalancerAction::Subscribe]);
        }
    }
}

/// A repeat must be sent within its window, also where its connection is slow to come up.
#[test]
fn a_repeat_says_until_when_it_may_be_sent() {
    let within = |actions: &[BalancerAction]| match actions[..] {
        [BalancerAction::Send { within_ms, .. }, ..] => within_ms,
        _ => panic!("not sent: {actions:?}"),
    };
    let keyed = keyed(DeduplicationScope::All, 1_000.0);
    for (idempotency, repeat) in [(keyed, Some(700.0)), (Idempotency::Safe, None)] {
        let mut node = Node::new(one_class(idempotency), 1);
        node.servers(ready(0..3));
        assert_eq!(within(&node.request(1, 0, 800.0)), None);
        node.now += 200.0;
        assert_eq!(within(&node.end(1, 0, 200.0, AttemptOutcome::Error)), repeat);
        // What never ran starts no window.
        assert_eq!(within(&node.request(2, 0, 800.0)), None);
        assert_eq!(within(&node.end(2, 0, 0.0, AttemptOutcome::Rejected)), None);
    }
}

/// A request whose client left while it was out goes nowhere again, however its attempt ends, also where an attempt
/// may not be cancelled.
#[test]
fn nothing_follows_for_a_client_that_has_left() {
    for cancel in [true, false] {
        for outcome in [
            AttemptOutcome::Rejected,
            AttemptOutcome::Unreachable,
            AttemptOutcome::NotSent,
            AttemptOutcome::Error,
            AttemptOutcome::Cancelled,
        ] {
            let mut settings = one_class(Idempotency::Safe);
            settings.cancel = cancel;
            let mut node = Node::new(settings, 1);
            node.servers(ready(0..3));
            node.sent_to(1);
            let actions = node.feed(BalancerEvent::ClientDisconnected(RequestId(1)));
            assert_eq!(send_of(&actions), None);
            assert_eq!(actions.len(), usize::from(cancel), "{actions:?}");
            node.now += 300.0;
            let actions = node.end(1, 0, 300.0, outcome);
            assert!(actions.iter().all(|a| matches!(a, BalancerAction::Log(_))), "{outcome:?}: {actions:?}");
        }
    }
}

// ---- Overload

/// Incident i007987: where each of hundreds of nodes sees a few requests a second, a bound that is all or nothing
/// makes them refuse all together, then none. Over the bound a node of many takes a part of what comes.
#[test]
fn a_node_of_many_takes_a_part_of_what_is_over_the_bound() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (400, 1);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..4));
    let mut sent = 0;
    for id in 0..400 {
        let taken = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 340.0;
        if taken {
            node.end(id, 0, 340.0, AttemptOutcome::Served);
        }
        sent += usize::from(taken && id >= 100);
    }
    // 340 ms are expected where 300 are the bound: neither all 300 nor none.
    assert!((60..240).contains(&sent), "{sent} of 300");
}

#[test]
fn beyond_its_quota_a_tenant_is_refused_first() {
    let mut settings = one_class(Idempotency::Safe);
    settings.quotas_per_s = vec![1_000.0, 10.0];
    settings.over_quota_value = 0.1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..2));
    let mut refusals = [0; 2];
    for id in 0..4_000_u64 {
        let tenant = (id % 2) as usize;
        let request = ClientRequest { tenant, ..ClientRequest::new(RequestId(id), 0, 800.0) };
        let actions = node.feed(BalancerEvent::RequestArrived(request));
        refusals[tenant] += usize::from(rejected(&actions));
        node.now += 10.0;
        // Two servers that each answer in 25 ms for every request they hold: near their limit.
        if id >= 4 {
            node.end(id - 4, 0, 100.0 + (id % 7) as f64 * 20.0, AttemptOutcome::Served);
        }
    }
    assert!(refusals[1] > refusals[0], "{refusals:?}");
}

/// Incident ie11f3d: with hundreds of nodes a tenant's part at one node is under one request a second, and a bucket
/// with no room for one request never held any: every tenant was beyond its quota everywhere.
#[test]
fn a_small_part_of_a_quota_is_still_a_quota() {
    let mut settings = one_class(Idempotency::Safe);
    settings.nodes = 800;
    settings.quotas_per_s = vec![400.0, 40.0];
    settings.over_quota_value = 0.1;
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..4));
    let mut refusals = [0; 2];
    for id in 0..2_000_u64 {
        // One request in two seconds of the first tenant is within its part, of the second it is not.
        let tenant = (id % 2) as usize;
        let request = ClientRequest { tenant, ..ClientRequest::new(RequestId(id), 0, 800.0) };
        refusals[tenant] += usize::from(rejected(&node.feed(BalancerEvent::RequestArrived(request))));
        node.now += 1_000.0;
        node.end(id, 0, 280.0, AttemptOutcome::Served);
    }
    assert!(refusals[0] < 20 && refusals[1] > 400, "{refusals:?}");
}

/// A class of low value with a distant aim could wait long; it must not fill the queues in which a worthier class
/// with a near aim would be late.
#[test]
fn low_value_does_not_crowd_out_higher_value() {
    let mut near = RequestClass::new(200.0, 2_000.0, Idempotency::Safe);
    near.value = 5.0;
    let mut settings =
        DecisionSettings::new(vec![near, RequestClass::new(4_000.0, 8_000.0, Idempotency::Safe)]);
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..2));
    let mut refusals = [0; 2];
    let mut out = std::collections::VecDeque::new();
    for id in 0..4_000_u64 {
        let class = (id % 2) as usize;
        let sent = send_of(&node.request(id, class, 2_000.0)).is_some();
        if sent {
            out.push_back((id, node.now));
        } else {
            refusals[class] += 1;
        }
        node.now += 10.0;
        // One answer in 20 ms is half of what is asked for; answers wait for all that is before them.
        if id % 2 == 0 {
            if let Some((id, since)) = out.pop_front() {
                node.end(id, 0, node.now - since, AttemptOutcome::Served);
            }
        }
    }
    assert!(refusals[1] > 2 * refusals[0], "{refusals:?}");
}

// ---- Generated days

/// Keeps the four rules' books from events and actions alone.
struct Checker {
    settings: DecisionSettings,
    requests: BTreeMap<u64, Entry>,
    servers: BTreeMap<usize, ServerEntry>,
    announced_removed: BTreeMap<usize, f64>,
    grace_ms: f64,
}

struct Entry {
    class: usize,
    deadline: f64,
    attempts: Vec<(usize, f64, Option<AttemptOutcome>)>,
    done: bool,
}

impl Checker {
    fn list(&mut self, now: f64, entries: &[ServerEntry], complete: bool) {
        if complete {
            let named: Vec<usize> = entries.iter().map(|e| e.server.0).collect();
            for gone in self.servers.keys().filter(|s| !named.contains(s)) {
                self.announced_removed.entry(*gone).or_insert(now);
            }
        }
        for entry in entries {
            self.servers.insert(entry.server.0, entry.clone());
            if entry.availability == Availability::Ready {
                self.announced_removed.remove(&entry.server.0);
            } else {
                self.announced_removed.entry(entry.server.0).or_insert(now);
            }
        }
    }

    /// Notes what an event says just before the module hears it.
    fn learn(&mut self, event: &mut BalancerEvent) {
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

    fn act(&mut self, now: f64, action: &BalancerAction) {
        match action {
            BalancerAction::Send { request, server, .. } => {
                let gone = self.announced_removed.get(&server.0);
                assert!(gone.is_none_or(|t| now <= t + self.grace_ms), "sent to a drained server");
                let target = self.servers.get(&server.0).expect("a listed server");
                let entry = self.requests.get_mut(&request.0).expect("a known request");
                assert!(!entry.done, "sent after the final answer");
                assert!(entry.attempts.len() < self.settings.max_attempts, "too many attempts");
                assert!(entry.attempts.iter().all(|a| a.2.is_some()), "two attempts at once");
                let ran = entry.attempts.iter().find(|a| a.2.is_none_or(AttemptOutcome::may_have_run));
                if let Some((first, at, _)) = ran {
                    match self.settings.classes[entry.class].idempotency {
                        Idempotency::Safe => {}
                        Idempotency::Unsafe => panic!("an unsafe request was sent twice"),
                        Idempotency::Keyed { group, window_ms } => {
                            assert!(now - at < window_ms, "resent past its window");
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
                    assert!(harmless, "a refusal that promises falsely");
                }
            }
            BalancerAction::Cancel { request, attempt } => {
                assert!(self.settings.cancel && self.requests[&request.0].attempts.len() > *attempt);
            }
            BalancerAction::Probe { server } => {
                assert!(
                    self.settings.probes && self.servers.contains_key(&server.0),
                    "a probe that is not allowed"
                );
            }
            BalancerAction::Subscribe | BalancerAction::SetTimer { .. } | BalancerAction::Log(_) => {}
        }
    }

    fn overdue(&self, now: f64) {
        let late = self.requests.iter().find(|(_, e)| !e.done && now > e.deadline + 20.0);
        assert!(late.is_none(), "request {:?} got no answer in time", late.map(|(id, _)| id));
    }
}

/// One legal day from a seed: lists that come and go, endings of every kind, clients that leave.
#[allow(clippy::too_many_lines, reason = "the steps of one generated day, in their order")]
fn generated_day(seed: u64) -> usize {
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
        announced_removed: BTreeMap::new(),
        grace_ms: 0.0,
    };
    let mut node = Node::new(settings, seed);
    let mut out: Vec<(f64, u64, usize, AttemptOutcome)> = Vec::new();
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
            checker.list(now, &entries, complete);
            events.push(BalancerEvent::EndpointsUpdated(if complete {
                EndpointUpdate::Snapshot(entries)
            } else {
                EndpointUpdate::Delta(entries)
            }));
        }
        if random.u32(..60) == 0 {
            events.push(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        out.sort_by(|a, b| a.0.total_cmp(&b.0));
        while out.first().is_some_and(|o| o.0 <= now) {
            let (_, id, attempt, outcome) = out.remove(0);
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
            let gone = id - 1 - random.u64(..20);
            events.push(BalancerEvent::ClientDisconnected(RequestId(gone)));
        }
        let class = random.usize(..3);
        let budget = checker.settings.classes[class].deadline_ms * (0.3 + 0.7 * random.f64());
        checker
            .requests
            .insert(id, Entry { class, deadline: now + budget, attempts: Vec::new(), done: false });
        events.push(BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), class, budget)));
        for mut event in events {
            checker.learn(&mut event);
            for action in node.feed(event) {
                checker.act(now, &action);
                match action {
                    BalancerAction::Send { request, .. } => {
                        sends += 1;
                        let entry = &checker.requests[&request.0];
                        let endings = [
                            AttemptOutcome::Error,
                            AttemptOutcome::Rejected,
                            AttemptOutcome::Unreachable,
                            AttemptOutcome::Reset,
                            AttemptOutcome::TimedOut,
                            AttemptOutcome::NotSent,
                        ];
                        let ok = random.u32(..3) > 0;
                        let outcome = if ok { AttemptOutcome::Served } else { endings[random.usize(..6)] };
                        let at = now + random.f64() * random.f64() * 900.0;
                        let (at, outcome) = if at > entry.deadline {
                            (entry.deadline, AttemptOutcome::TimedOut)
                        } else {
                            (at, outcome)
                        };
                        out.push((at, request.0, entry.attempts.len() - 1, outcome));
                    }
                    BalancerAction::SetTimer { timer, after_ms } => timers.push((now + after_ms, timer)),
                    BalancerAction::Probe { server } => probes.push((now + random.f64() * 40.0, server)),
                    _ => {}
                }
            }
        }
        // The day moves in steps of up to 20 ms, which is the slack of the first rule.
        checker.overdue(now - 20.0);
    }
    sends
}

#[test]
fn generated_days_break_no_rule() {
    let sends: usize = (0..72).map(generated_day).sum();
    assert!(sends > 20_000, "{sends} sends are too few to mean much");
}

/// Events about things never heard of must not disturb anything.
#[test]
fn unknown_ids_are_passed_over() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.servers(ready(0..2));
    assert!(node.end(77, 0, 5.0, AttemptOutcome::Served).is_empty());
    assert!(node.feed(BalancerEvent::ClientDisconnected(RequestId(77))).is_empty());
    assert!(
        node.feed(BalancerEvent::TimerFired(0)).is_empty()
            && node.feed(BalancerEvent::TimerFired(5)).is_empty()
    );
    assert!(node.feed(BalancerEvent::StreamStarted { request: RequestId(7), attempt: 0 }).is_empty());
    let probed = BalancerEvent::ProbeEnded {
        server: ServerId(99),
        outcome: AttemptOutcome::Served,
        report: Some(LoadReport::default()),
    };
    assert!(node.feed(probed).is_empty());
    node.sent_to(1);
    assert!(node.end(1, 9, 5.0, AttemptOutcome::Error).is_empty(), "an attempt that was never made");
}
