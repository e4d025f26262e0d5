//! Server selection by HSQ: the server with the lowest count gets the request, and a load report overwrites
//! the count of its server. Covers counts and reports, probes, subsets of many nodes and the preference for
//! near servers.

mod common;
use common::*;

use std::path::Path;

use balancer::*;

/// Returns settings with a latency target so long that no request is rejected.
fn long_target() -> DecisionSettings {
    DecisionSettings::new(vec![RequestClass::new(40_000.0, 80_000.0, Idempotency::Safe)])
}

/// Each send raises the count of its server by one, so the servers are selected one after another.
#[test]
fn each_send_raises_the_count_of_its_server() {
    let mut node = Node::new(long_target(), 1);
    node.set_servers(ready(0..5));
    for round in 0..3 {
        let mut seen: Vec<usize> = (0..5).map(|i| node.sent_to(round * 5 + i)).collect();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2, 3, 4], "round {round}");
    }
}

#[test]
fn ties_are_broken_at_random() {
    let mut first = [0; 4];
    for seed in 0..400 {
        let mut node = Node::new(long_target(), seed);
        node.set_servers(ready(0..4));
        first[node.sent_to(1)] += 1;
    }
    assert!(first.iter().all(|n| (60..140).contains(n)), "first requests by server: {first:?}");
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut node = Node::new(long_target(), 9);
        node.set_servers(ready(0..7));
        (0..20).map(|id| node.sent_to(id)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Returns a node with equal latency samples of all servers, so that it expects them to be equally fast.
fn node_with_equal_servers(servers: usize, settings: DecisionSettings) -> Node {
    let mut node = Node::new(settings, 3);
    node.set_servers(ready(0..servers));
    for id in 10_000..10_000 + 20 * servers as u64 {
        node.now += 10.0;
        node.sent_to(id);
        node.now += 40.0;
        node.end_with_load(id, 0, 40.0, AttemptOutcome::Served, Some(0.0));
    }
    node.now += 5_000.0;
    node
}

#[test]
fn a_report_overwrites_the_count_of_its_server_only() {
    let mut node = node_with_equal_servers(3, long_target());
    // Each server gets one attempt, and reports a different load with its answer.
    let servers: Vec<usize> = (0..3).map(|id| node.sent_to(id)).collect();
    for (id, in_flight) in [(0, 9.0), (1, 2.0), (2, 9.0)] {
        node.now += 40.0;
        node.end_with_load(id, 0, 40.0, AttemptOutcome::Served, Some(in_flight));
    }
    // The count of the second server is now lower by 7 than the others: it gets the next requests.
    assert_eq!(node.sent_to(100), servers[1]);
    assert_eq!(node.sent_to(101), servers[1]);
}

#[test]
fn an_answer_without_a_report_does_not_lower_the_count() {
    let mut node = node_with_equal_servers(2, long_target());
    let first = node.sent_to(1);
    node.now += 40.0;
    node.end(1, 0, 40.0, AttemptOutcome::Served);
    // Without a report, the answered request still counts, so the other server is selected.
    assert_ne!(node.sent_to(2), first);
}

#[test]
fn failures_do_not_lower_the_count() {
    for outcome in
        [AttemptOutcome::Error, AttemptOutcome::Rejected, AttemptOutcome::Unreachable, AttemptOutcome::Reset]
    {
        let mut settings = long_target();
        settings.max_attempts = 1;
        let mut node = node_with_equal_servers(2, settings);
        let first = node.sent_to(1);
        node.now += 40.0;
        node.end(1, 0, 40.0, outcome);
        assert_ne!(node.sent_to(2), first, "{outcome:?} lowered the count");
    }
}

/// Answers 60 requests with reports of both servers that change with every second answer.
fn answer_with_changing_reports(node: &mut Node) {
    let mut answers = [0; 2];
    for id in 500..560 {
        let server = node.sent_to(id);
        answers[server] += 1;
        node.now += 100.0;
        node.end_with_load(id, 0, 40.0, AttemptOutcome::Served, Some((1 + answers[server] / 2 % 2) as f64));
    }
}

/// Guards against a report that is repeated unchanged in later answers and erases the sends since then.
#[test]
fn a_repeated_report_does_not_erase_own_sends() {
    let mut node = node_with_equal_servers(2, long_target());
    answer_with_changing_reports(&mut node);
    // One answer from each server with the same report: the counts are equal and nothing is in flight.
    let mut first_ids = [None; 2];
    for id in 1..100 {
        match &mut first_ids[node.sent_to(id)] {
            first @ None => *first = Some(id),
            Some(_) => drop(node.end(id, 0, 80.0, AttemptOutcome::Served)),
        }
    }
    node.now += 10_000.0;
    for id in first_ids {
        node.end_with_load(
            id.expect("both servers got a request"),
            0,
            40.0,
            AttemptOutcome::Served,
            Some(5.0),
        );
    }
    let sends: Vec<usize> = (100..102).map(|id| node.sent_to(id)).collect();
    assert_ne!(sends[0], sends[1]);
    // One server repeats its report of 5 at once. If the report erased the send since then, this server would
    // get the next two requests.
    let repeating = sends[0];
    node.now += 1.0;
    node.end_with_load(100, 0, 40.0, AttemptOutcome::Served, Some(5.0));
    let next: Vec<usize> = (200..202).map(|id| node.sent_to(id)).collect();
    assert!(next != [repeating, repeating], "the repeated report erased a send");
}

/// The report of an idle server stays the same. After a long time, an unchanged report must therefore be used
/// like a new one.
#[test]
fn an_unchanged_report_after_a_long_time_overwrites_the_count() {
    let mut node = node_with_equal_servers(2, long_target());
    answer_with_changing_reports(&mut node);
    let mut ids_by_server = [Vec::new(), Vec::new()];
    for id in 1..13 {
        ids_by_server[node.sent_to(id)].push(id);
    }
    node.now += 10_000.0;
    // Every answer takes 40 ms per request at its server, so that the servers stay equally fast.
    for (ids, in_flight) in ids_by_server.iter().zip([0.0, 6.0]) {
        for (id, depth) in ids.iter().zip(1..) {
            let report = (depth == ids.len()).then_some(in_flight);
            node.end_with_load(*id, 0, 40.0 * depth as f64, AttemptOutcome::Served, report);
        }
    }
    for id in 20..24 {
        assert_eq!(node.sent_to(id), 0, "request {id}");
        node.end(id, 0, 40.0, AttemptOutcome::Served);
    }
    node.now += 10_000.0;
    node.sent_to(30);
    node.end_with_load(30, 0, 40.0, AttemptOutcome::Served, Some(0.0));
    for id in 40..44 {
        assert_eq!(node.sent_to(id), 0, "the second report of 0 was ignored");
        node.end(id, 0, 40.0, AttemptOutcome::Served);
    }
}

#[test]
fn a_server_without_a_report_starts_at_the_mean_of_the_others() {
    let mut node = node_with_equal_servers(2, long_target());
    let servers: Vec<usize> = (0..2).map(|id| node.sent_to(id)).collect();
    node.now += 40.0;
    node.end_with_load(0, 0, 40.0, AttemptOutcome::Served, Some(1.0));
    node.end_with_load(1, 0, 40.0, AttemptOutcome::Served, Some(9.0));
    node.set_servers(ready(0..3));
    // The counts are 1, 9 and, for the new server, their mean 5: the lowest is selected four times.
    for id in 100..104 {
        assert_eq!(node.sent_to(id), servers[0], "the new server was taken for idle");
        node.end(id, 0, 40.0, AttemptOutcome::Served);
    }
}

#[test]
fn equal_servers_are_ranked_by_count_alone() {
    let mut node = node_with_equal_servers(4, long_target());
    let mut seen: Vec<usize> = (0..4).map(|id| node.sent_to(id)).collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3]);
}

/// Guards against an equal share for a slower server, which would overload it.
#[test]
fn a_slower_server_is_sent_fewer_requests() {
    let mut node = Node::new(long_target(), 5);
    node.set_servers(ready(0..2));
    let mut sent = [0; 2];
    for id in 0..300 {
        let server = node.sent_to(id);
        sent[server] += 1;
        let elapsed = if server == 0 { 30.0 } else { 90.0 };
        node.now += elapsed;
        node.end_with_load(id, 0, elapsed, AttemptOutcome::Served, Some(if id % 2 == 0 { 1.0 } else { 2.0 }));
    }
    assert!(sent[0] > sent[1] * 3 / 2, "requests by server, the second is slower: {sent:?}");
}

/// Incident ie11f3d: every node opened connections to every server, more than the servers accept. Among
/// hundreds of nodes, each uses a small subset, and the subsets spread evenly over the servers.
#[test]
fn subsets_of_many_nodes_cover_the_fleet_evenly() {
    let mut nodes_of = [0; 60];
    for node_index in 0..300 {
        let mut settings = long_target();
        (settings.nodes, settings.node_index) = (300, node_index);
        let mut node = Node::new(settings, node_index as u64);
        node.set_servers(ready(0..60));
        let mut subset: Vec<usize> = (0..40).map(|id| node.sent_to(id)).collect();
        subset.sort_unstable();
        subset.dedup();
        assert!(subset.len() <= 6, "node {node_index} uses too many servers: {subset:?}");
        subset.into_iter().for_each(|server| nodes_of[server] += 1);
    }
    assert!(nodes_of.iter().all(|n| (10..=20).contains(n)), "nodes by server: {nodes_of:?}");
}

/// Returns settings of a node that may probe, where only answers to probes carry load reports.
fn probes_only() -> DecisionSettings {
    let mut settings = one_class(Idempotency::Safe);
    (settings.probes, settings.responses_carry_load) = (true, false);
    settings
}

/// Returns the probed servers, in the order of the actions.
fn probes_of(actions: &[BalancerAction]) -> Vec<usize> {
    let probe =
        |a: &BalancerAction| if let BalancerAction::Probe { server } = a { Some(server.0) } else { None };
    actions.iter().filter_map(probe).collect()
}

/// Ends a probe of a server with a load report.
fn answer_probe(node: &mut Node, server: usize, in_flight: f64) -> Vec<BalancerAction> {
    let report = Some(LoadReport { in_flight: Some(in_flight), queued: None });
    node.feed(BalancerEvent::ProbeEnded { server: ServerId(server), outcome: AttemptOutcome::Served, report })
}

/// Guards against probes that cost too much: each of 100 nodes sent a probe per request, which cost a twelfth
/// of the value of all requests, and rejected those whose probe was not answered within a tenth of the
/// latency target. Where only probes carry reports, the nodes paid the same, and rejected two requests in
/// five because of the queue of the one server that they probed.
#[test]
fn a_node_among_many_does_not_probe_above_the_probe_budget() {
    let sends = |price: f64, responses_carry_load: bool| {
        let mut settings = one_class(Idempotency::Safe);
        (settings.probes, settings.nodes, settings.probe_price) = (true, 100, price);
        settings.responses_carry_load = responses_carry_load;
        let mut node = Node::new(settings, 5);
        node.set_servers(ready(0..6));
        let actions = node.request(1, 0, 800.0);
        assert_eq!(
            probes_of(&actions).is_empty(),
            send_of(&actions).is_some(),
            "either probes or sends: {actions:?}"
        );
        send_of(&actions).is_some()
    };
    assert!(sends(0.08, true), "probed although too expensive, responses carry reports");
    assert!(!sends(0.002, true), "not probed although affordable, responses carry reports");
    assert!(sends(0.08, false), "probed although too expensive, only probes carry reports");
    assert!(!sends(0.002, false), "not probed although affordable, only probes carry reports");
}

/// Incident i5292a8: with load reports in answers to probes only, no count was ever updated and all servers
/// filled up. A few servers are probed before a request, which is sent to the one with the lowest count.
#[test]
fn servers_are_probed_before_a_send_if_only_probes_carry_reports() {
    let mut node = Node::new(probes_only(), 1);
    node.set_servers(ready(0..8));
    let probed = probes_of(&node.request(1, 0, 800.0));
    assert_eq!(probed.len(), 3, "probed servers: {probed:?}");
    for (server, in_flight) in probed.iter().zip([3.0, 1.0]) {
        assert_eq!(
            send_of(&answer_probe(&mut node, *server, in_flight)),
            None,
            "sent before the last probe ended"
        );
    }
    assert_eq!(send_of(&answer_probe(&mut node, probed[2], 4.0)), Some(probed[1]));
}

/// Guards against counts that only grow (site `fast-tiles`): probes were allowed, but their answers carried
/// no reports either. Each probe and each send raised a count that nothing overwrote, until all counts were
/// above the bound and every request was rejected.
#[test]
fn without_reports_no_server_is_probed_and_no_request_is_rejected() {
    for nodes in [2, 100] {
        let mut settings = probes_only();
        (settings.probes_carry_load, settings.nodes) = (false, nodes);
        let mut node = Node::new(settings, 1);
        node.set_servers(ready(0..8));
        for id in 0..1_000 {
            let actions = node.request(id, 0, 800.0);
            assert!(probes_of(&actions).is_empty(), "{nodes} nodes, request {id}");
            assert!(send_of(&actions).is_some(), "{nodes} nodes, request {id}: {actions:?}");
            node.now += 20.0;
            node.end(id, 0, 20.0, AttemptOutcome::Served);
        }
    }
}

/// Without reports the counts grow with each send, so a node among many sends to all servers in rotation. A
/// server that joins starts at the mean count of the others.
#[test]
fn without_reports_a_node_among_many_rotates_over_the_servers() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.responses_carry_load, settings.probes_carry_load, settings.nodes) = (false, false, 13);
    let mut node = Node::new(settings, 1);
    let mut sends = [0_u32; 5];
    for id in 0..450 {
        match id {
            0 => drop(node.set_servers(ready(0..4))),
            200 => drop(node.set_servers(ready(0..5))),
            _ => {}
        }
        sends[node.sent_to(id)] += 1;
        node.now += 20.0;
        node.end(id, 0, 20.0, AttemptOutcome::Served);
    }
    assert!(
        sends.iter().take(4).all(|n| (98..=102).contains(n)) && (48..=52).contains(&sends[4]),
        "{sends:?}"
    );
}

/// An unanswered probe must not delay the request, which is sent according to the probes answered so far.
#[test]
fn an_unanswered_probe_does_not_delay_a_request() {
    let mut node = Node::new(probes_only(), 1);
    node.set_servers(ready(0..8));
    let actions = node.request(1, 0, 800.0);
    let probed = probes_of(&actions);
    let timer = |actions: &[BalancerAction]| match actions[..] {
        [.., BalancerAction::SetTimer { timer, after_ms }] => (timer, after_ms),
        _ => panic!("no timer: {actions:?}"),
    };
    assert!(timer(&actions).1 <= 80.0);
    let (request_timer, after_ms) = timer(&answer_probe(&mut node, probed[2], 1.0));
    assert_eq!(after_ms, 0.0, "waits for probes after the first answer");
    assert_eq!(send_of(&node.feed(BalancerEvent::TimerFired(request_timer))), Some(probed[2]));
    assert!(node.feed(BalancerEvent::TimerFired(request_timer)).is_empty(), "sent twice");
    // If no probe is answered, all servers count as overloaded and the request is rejected.
    let (request_timer, _) = timer(&node.request(2, 0, 800.0));
    assert!(rejected(&node.feed(BalancerEvent::TimerFired(request_timer))));
}

/// Incident i3dd8ec: unresponsive servers whose last count was low were probed repeatedly, while other
/// servers were idle. A probe counts like a send until a report arrives.
#[test]
fn unresponsive_servers_are_not_probed_repeatedly() {
    let mut settings = probes_only();
    settings.probe_price = 0.008;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..6));
    let mut probed = [0; 6];
    for id in 0..60 {
        let actions = node.request(id, 0, 800.0);
        let server = probes_of(&actions)[0];
        probed[server] += 1;
        // Servers 0 and 1 reported no load at first and are unresponsive from request 12 on; the others
        // report 3.
        if id < 12 || server > 1 {
            answer_probe(&mut node, server, if server > 1 { 3.0 } else { 0.0 });
        } else {
            let BalancerAction::SetTimer { timer, .. } = actions[actions.len() - 1] else {
                panic!("{actions:?}")
            };
            node.now += 80.0;
            node.feed(BalancerEvent::TimerFired(timer));
        }
        node.end(id, 0, 40.0, AttemptOutcome::Served);
    }
    assert!(probed[0] + probed[1] <= 20, "probes by server, the first two are unresponsive: {probed:?}");
}

/// If all nodes probed the server with the lowest old count, they would overload it. The server to probe is
/// drawn at random, more often one with a low count.
#[test]
fn the_server_to_probe_is_drawn_at_random_with_a_preference_for_low_counts() {
    let mut first = [0; 2];
    for seed in 0..200 {
        let mut settings = probes_only();
        settings.probe_price = 0.008;
        let mut node = Node::new(settings, seed);
        node.set_servers(ready(0..2));
        for (server, in_flight) in [(0, 2.0), (1, 3.0)] {
            answer_probe(&mut node, server, in_flight);
        }
        first[probes_of(&node.request(1, 0, 800.0))[0]] += 1;
    }
    assert!(first[0] > first[1] && first[1] > 20, "first probes by server: {first:?}");
}

/// Covers a client that disconnects while its request waits for probes.
#[test]
fn a_request_is_not_sent_after_its_client_disconnected() {
    let mut node = Node::new(probes_only(), 1);
    node.set_servers(ready(0..8));
    let probed = probes_of(&node.request(1, 0, 800.0));
    node.feed(BalancerEvent::ClientDisconnected(RequestId(1)));
    for server in probed {
        assert!(answer_probe(&mut node, server, 0.0).is_empty());
    }
}

/// Checks that `deploy/balancer.toml` lists every file of the decision logic, and that these files have at
/// most 1,200 lines (blank ones apart) of at most 110 characters.
#[test]
fn the_files_of_the_decision_logic_keep_their_size() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("a deploy file");
    let deploy: toml::Table = deploy.parse().expect("a valid deploy file");
    let files = deploy["policy"].as_array().expect("a list of files");
    let files: Vec<&str> = files.iter().map(|file| file.as_str().expect("a path")).collect();
    let read = |file: &&str| std::fs::read_to_string(root.join(file)).expect("a policy file");
    let text: String = files.iter().map(read).collect();
    let decisions = "crates/balancer-node/src/decisions";
    for entry in std::fs::read_dir(root.join(decisions)).expect("the directory of the decision logic") {
        let path = Path::new(decisions).join(entry.expect("an entry").file_name());
        assert!(files.iter().any(|file| Path::new(file) == path), "{} is not in `policy`", path.display());
    }
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1_200, "the files of the decision logic have {lines} lines");
    let widest = text.lines().map(|l| l.chars().count()).max().expect("lines");
    assert!(widest <= 110, "the widest line has {widest} characters");
}

/// Requests are sent to near servers until the expected wait at the best of them is too long; then also to
/// far ones.
#[test]
fn near_servers_are_preferred_until_they_are_loaded() {
    let mut settings = long_target();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready(0..4);
    entries[2].zone = 1;
    entries[3].zone = 1;
    node.set_servers(entries);
    let sent: Vec<usize> = (0..4).map(|id| node.sent_to(id)).collect();
    assert!(
        sent.iter().all(|server| *server >= 2),
        "a far server got one of the first four requests: {sent:?}"
    );
    let sent: Vec<usize> = (4..8).map(|id| node.sent_to(id)).collect();
    assert!(
        sent.iter().any(|server| *server < 2),
        "no far server got one of the next four requests: {sent:?}"
    );
}

/// Retries, and new requests after the ejection of all near servers, are sent to another zone.
#[test]
fn far_servers_are_selected_if_all_near_ones_fail() {
    let mut settings = long_target();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready(0..3);
    entries[2].zone = 1;
    node.set_servers(entries);
    for id in 0..3 {
        assert_eq!(node.sent_to(id), 2);
        node.now += 1.0;
        let further = node.end(id, 0, 1.0, AttemptOutcome::Unreachable);
        assert!(
            send_of(&further).is_some_and(|server| server < 2),
            "not retried in the other zone: {further:?}"
        );
        node.end(id, 1, 20.0, AttemptOutcome::Served);
    }
    assert!(node.sent_to(3) < 2);
}
