//! Stories of weight versions over an in-memory fleet.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{address, ms, Fault, Fleet, MODEL, OTHER_MODEL};
use rollout::{Method, OrderReply, Pacing, Planner, RolloutAction, RolloutServer, ServerReport};
use yare::parameterized;

fn server(index: usize, zone: &str, version: u64) -> RolloutServer {
    RolloutServer {
        id: format!("i-{index}").into(),
        address: address(index),
        zone: zone.into(),
        closing: false,
        models: BTreeMap::from([(Arc::from(MODEL), version)]),
    }
}

fn orders<'a>(actions: &'a [RolloutAction]) -> Vec<(&'a str, u64, Method)> {
    let order = |action: &'a RolloutAction| match action {
        RolloutAction::Order(order) => Some((&*order.server, order.version, order.method)),
        RolloutAction::Ask(_) => None,
    };
    actions.iter().filter_map(order).collect()
}

/// A planner that has seen a report of each of these idle servers.
fn planner_of(pacing: Pacing, servers: &[RolloutServer]) -> Planner {
    let mut planner = Planner::new(pacing);
    planner.set_servers(servers.iter().cloned());
    planner.set_target_version(ms(0), MODEL, 2);
    for action in planner.decide(ms(0)) {
        let RolloutAction::Ask(ask) = action else { panic!("servers are asked before their first order") };
        planner.on_report(ms(0), &ask.server, &ServerReport::default());
    }
    planner
}

#[test]
fn given_idle_servers_when_a_version_is_named_then_all_get_it_with_one_order_each() {
    let mut fleet = Fleet::new(8);
    fleet.run_until(ms(500));
    fleet.name(MODEL, 2);
    fleet.run_until(ms(2200));
    assert!(fleet.all_have(MODEL, 2), "three rounds of a load and a little more are enough");
    assert_eq!(fleet.orders.len(), 8);
    assert!(fleet.most_loading <= 3, "{} loaded at once", fleet.most_loading);
    fleet.run_until(ms(9000));
    assert!(fleet.planner.is_converged());
    assert_eq!(fleet.orders.len(), 8);
    assert!(fleet.servers.iter().all(|server| server.reports_asked <= 3), "reports are priced");
}

#[parameterized(
    few = { 5, 3 },
    some = { 8, 3 },
    many = { 38, 13 },
)]
fn given_busy_servers_when_a_version_is_named_then_a_third_of_them_loads_at_once(
    count: usize,
    at_once: usize,
) {
    let mut fleet = Fleet::new(count);
    fleet.servers.iter_mut().for_each(|server| server.busy_until = ms(2000));
    fleet.name(MODEL, 2);
    fleet.run_until(ms(1900));
    assert_eq!(fleet.orders.len(), at_once);
    fleet.run_until(ms(9000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.most_loading, at_once);
}

#[test]
fn given_nothing_is_named_when_time_passes_then_no_call_is_made() {
    let mut fleet = Fleet::new(8);
    fleet.run_until(ms(5000));
    assert!(fleet.orders.is_empty());
    assert!(fleet.servers.iter().all(|server| server.reports_asked == 0));
    assert_eq!(fleet.planner.next_wake(fleet.now), None);
}

#[test]
fn given_a_newer_version_is_named_amid_the_first_then_the_first_is_skipped_where_it_can_be() {
    let mut fleet = Fleet::new(8);
    fleet.name(MODEL, 2);
    fleet.run_until(ms(300));
    fleet.name(MODEL, 3);
    fleet.run_until(ms(6000));
    assert!(fleet.all_have(MODEL, 3));
    let ordered_first = fleet.orders.iter().filter(|(_, order)| order.version == 2).count();
    assert_eq!(ordered_first, 3, "only those that were under way");
    assert_eq!(fleet.orders.len(), 8 + 3);
}

#[test]
fn given_two_models_when_both_are_named_then_a_server_gets_one_order_at_a_time() {
    let mut fleet = Fleet::new(8);
    fleet.name(MODEL, 2);
    fleet.name(OTHER_MODEL, 2);
    fleet.run_until(ms(8000));
    assert!(fleet.all_have(MODEL, 2) && fleet.all_have(OTHER_MODEL, 2));
    assert_eq!(fleet.orders.len(), 16, "no order met another one");
    assert!(fleet.most_loading <= 3);
}

#[test]
fn given_requests_run_when_the_method_holds_then_those_servers_are_counted_until_they_are_done() {
    let mut fleet = Fleet::new(8);
    fleet.servers.iter_mut().for_each(|server| server.busy_until = ms(2000));
    fleet.name(MODEL, 2);
    fleet.run_until(ms(1900));
    assert_eq!(fleet.orders.len(), 3, "the others go on serving");
    fleet.run_until(ms(9000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.orders.len(), 8);
}

#[test]
fn given_requests_run_when_the_method_keeps_then_loads_follow_each_other_at_once() {
    let mut fleet = Fleet::new(8);
    fleet.keep(&[MODEL]);
    fleet.servers.iter_mut().for_each(|server| server.busy_until = ms(60_000));
    fleet.name(MODEL, 2);
    fleet.run_until(ms(2000));
    assert!(fleet.all_have(MODEL, 2));
    assert!(fleet.orders.iter().all(|(_, order)| order.method == Method::Keep));
}

#[test]
fn given_answers_are_lost_when_orders_were_taken_then_they_are_not_repeated() {
    let mut fleet = Fleet::new(4);
    fleet.name(MODEL, 2);
    fleet.run_until(ms(8));
    fleet.servers.iter_mut().for_each(|server| server.fault = Fault::AnswersLost);
    fleet.run_until(ms(50));
    assert_eq!(fleet.orders.len(), 3);
    fleet.servers.iter_mut().for_each(|server| server.fault = Fault::None);
    fleet.run_until(ms(9000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.orders.len(), 4);
}

#[test]
fn given_a_server_is_dark_amid_its_order_when_it_is_seen_again_then_it_is_ordered_again() {
    let mut fleet = Fleet::new(3);
    fleet.name(MODEL, 2);
    fleet.run_until(ms(8));
    fleet.servers[0].fault = Fault::Dark;
    fleet.run_until(ms(4000));
    assert_eq!(fleet.servers[0].version(MODEL), 1);
    assert_eq!(fleet.servers[1].version(MODEL), 2);
    fleet.servers[0].fault = Fault::None;
    fleet.run_until(ms(12_000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.servers[0].orders_taken.len(), 1);
}

#[test]
fn given_a_server_crashes_amid_its_load_when_it_is_back_with_the_old_version_then_it_is_ordered_again() {
    let mut fleet = Fleet::new(3);
    fleet.name(MODEL, 2);
    fleet.run_until(ms(100));
    fleet.restart(1);
    fleet.run_until(ms(6000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.orders.len(), 4);
}

#[parameterized(early = { 20 }, amid = { 300 }, late = { 900 }, after = { 2500 })]
fn given_the_holder_changes_when_orders_are_under_way_then_none_is_repeated(at: u64) {
    let mut fleet = Fleet::new(8);
    fleet.name(MODEL, 2);
    fleet.run_until(ms(at));
    fleet.replace_planner(ms(300));
    fleet.run_until(ms(at + 9000));
    assert!(fleet.all_have(MODEL, 2));
    assert!(fleet.servers.iter().all(|server| server.orders_taken.len() == 1));
    assert_eq!(fleet.orders.len(), 8);
}

#[test]
fn given_a_server_is_closing_when_a_version_is_named_then_it_gets_no_order() {
    let mut fleet = Fleet::new(4);
    fleet.servers[2].closing = true;
    fleet.run_until(ms(1500));
    fleet.name(MODEL, 2);
    fleet.run_until(ms(6000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.servers[2].orders_seen, 0);
    assert_eq!(fleet.servers[2].reports_asked, 0);
    assert_eq!(fleet.planner.next_wake(fleet.now), None);
}

#[test]
fn given_the_list_lags_when_a_server_is_done_then_it_is_not_ordered_again() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(orders(&planner.decide(ms(1))), [("i-0", 2, Method::Hold)]);
    planner.on_order_reply(ms(5), "i-0", OrderReply::Taken);
    planner.on_version_observed("i-0", MODEL, 2);
    planner.set_servers([server(0, "a", 1)]);
    assert!(planner.decide(ms(5000)).is_empty());
    assert_eq!(planner.version("i-0", MODEL), Some(2));
    assert!(planner.is_converged());
}

#[test]
fn given_no_report_comes_when_the_list_shows_the_version_then_the_order_is_done() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.decide(ms(1)).len(), 1);
    planner.on_order_reply(ms(5), "i-0", OrderReply::Taken);
    planner.set_servers([server(0, "a", 2)]);
    assert!(planner.decide(ms(5000)).is_empty());
    assert_eq!(planner.next_wake(ms(5000)), None);
}

#[parameterized(requests_run = { 4, 0 }, idle = { 0, 1 })]
fn given_a_report_amid_a_load_when_requests_run_then_the_server_goes_on_counting(
    running: u64,
    ordered: usize,
) {
    let pacing = Pacing { at_once: 1, ..Pacing::default() };
    let mut planner = planner_of(pacing, &[server(0, "a", 1), server(1, "a", 1), server(2, "a", 1)]);
    assert_eq!(orders(&planner.decide(ms(1)))[0].0, "i-0");
    planner.on_order_reply(ms(1), "i-0", OrderReply::Taken);
    assert!(planner.decide(ms(400)).is_empty());
    assert_eq!(orders(&planner.decide(ms(401)))[0].0, "i-1");
    planner.on_order_reply(ms(401), "i-1", OrderReply::Taken);
    let actions = planner.decide(ms(651));
    assert!(matches!(actions[..], [RolloutAction::Ask(_)]), "{actions:?}");
    planner.on_report(ms(651), "i-0", &ServerReport { occupied: true, running, ..ServerReport::default() });
    assert_eq!(orders(&planner.decide(ms(801))).len(), ordered);
}

#[test]
fn given_idle_and_busy_servers_when_ordered_then_the_idle_go_first_and_zones_are_spread() {
    let servers = [
        server(0, "a", 1),
        server(1, "a", 1),
        server(2, "a", 1),
        server(3, "b", 1),
        server(4, "c", 1),
        server(5, "b", 1),
    ];
    let mut planner = planner_of(Pacing::default(), &servers);
    planner.set_running("i-3", 5);
    let actions = planner.decide(ms(1));
    let ids: Vec<&str> = orders(&actions).iter().map(|(id, _, _)| *id).collect();
    assert_eq!(ids, ["i-0", "i-4", "i-5"]);
}

#[test]
fn given_a_higher_fencing_token_was_seen_when_deciding_then_no_more_orders_are_given() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1), server(1, "b", 1)]);
    assert_eq!(planner.decide(ms(1)).len(), 2);
    planner.on_order_reply(ms(2), "i-0", OrderReply::Fenced);
    planner.on_order_reply(ms(2), "i-1", OrderReply::NotTaken);
    assert!(planner.is_superseded());
    assert!(planner.decide(ms(9000)).is_empty());
    assert_eq!(planner.next_wake(ms(2)), None);
}

#[test]
fn given_another_server_has_the_address_when_answered_then_the_old_one_gets_nothing_more() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.decide(ms(1)).len(), 1);
    planner.on_order_reply(ms(2), "i-0", OrderReply::OtherServer);
    assert!(planner.decide(ms(9000)).is_empty());
    assert_eq!(planner.next_wake(ms(2)), None);
}

#[parameterized(unknown = { OrderReply::Unknown }, not_taken = { OrderReply::NotTaken })]
fn given_an_order_is_not_taken_when_repeated_then_the_pauses_grow(answer: OrderReply) {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    let mut now = ms(1);
    let mut sent = Vec::new();
    while sent.len() < 6 {
        if !planner.decide(now).is_empty() {
            sent.push(now);
            planner.on_order_reply(now, "i-0", answer);
        }
        now = planner.next_wake(now).expect("it is tried again");
    }
    let pauses: Vec<u128> = sent.windows(2).map(|pair| (pair[1] - pair[0]).as_millis()).collect();
    assert_eq!(pauses, [500, 1000, 2000, 4000, 4000]);
}

#[test]
fn given_another_order_is_under_way_when_refused_then_a_report_decides_when_to_order() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.decide(ms(1)).len(), 1);
    planner.on_order_reply(ms(2), "i-0", OrderReply::Busy);
    assert!(planner.decide(ms(3)).is_empty());
    let mut now = planner.next_wake(ms(3)).expect("a report is wanted");
    for _ in 0..4 {
        while planner.decide(now).is_empty() {
            now = planner.next_wake(now).expect("a report is wanted");
        }
        planner.on_report(now, "i-0", &ServerReport { occupied: true, ..ServerReport::default() });
        assert!(orders(&planner.decide(now)).is_empty());
    }
    while planner.decide(now).is_empty() {
        now = planner.next_wake(now).expect("a report is wanted");
    }
    planner.on_report(now, "i-0", &ServerReport::default());
    assert_eq!(orders(&planner.decide(now)), [("i-0", 2, Method::Hold)]);
}

#[test]
fn given_an_order_without_outcome_when_its_time_is_over_then_it_counts_as_unclear() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.decide(ms(1)).len(), 1);
    let wake = planner.next_wake(ms(1)).expect("a time limit");
    assert!(planner.decide(wake).is_empty());
    let wake = planner.next_wake(wake).expect("a report is wanted");
    let actions = planner.decide(wake);
    assert!(matches!(actions[..], [RolloutAction::Ask(_)]), "{actions:?}");
}

#[test]
fn given_lower_named_versions_when_told_then_the_highest_stays() {
    let mut planner = planner_of(Pacing::default(), &[server(0, "a", 1)]);
    planner.set_target_version(ms(0), MODEL, 5);
    planner.set_target_version(ms(0), MODEL, 3);
    assert_eq!(orders(&planner.decide(ms(1))), [("i-0", 5, Method::Hold)]);
}

#[test]
fn given_a_server_is_ahead_when_a_version_is_named_then_it_is_never_lowered() {
    let mut planner = Planner::new(Pacing::default());
    planner.set_servers([server(0, "a", 7)]);
    planner.set_target_version(ms(0), MODEL, 2);
    assert!(planner.decide(ms(1)).is_empty());
}

#[test]
fn given_random_troubles_when_versions_follow_each_other_then_all_servers_get_the_last() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(random.usize(1..12));
        for version in 2..8 {
            fleet.name(MODEL, version);
            if random.bool() {
                fleet.name(OTHER_MODEL, version);
            }
            let victim = random.usize(0..fleet.servers.len());
            match random.u8(0..5) {
                0 => fleet.restart(victim),
                1 => fleet.servers[victim].fault = Fault::Dark,
                2 => fleet.servers[victim].fault = Fault::AnswersLost,
                3 => fleet.servers[victim].busy_until = fleet.now + ms(random.u64(0..4000)),
                _ => fleet.replace_planner(ms(random.u64(0..3000))),
            }
            fleet.run_until(fleet.now + ms(random.u64(1..4000)));
            fleet.servers.iter_mut().for_each(|server| server.fault = Fault::None);
        }
        fleet.run_until(fleet.now + ms(30_000));
        assert!(fleet.all_have(MODEL, 7), "seed {seed}");
        assert!(fleet.planner.is_converged(), "seed {seed}");
        assert_eq!(fleet.planner.next_wake(fleet.now), None, "seed {seed}");
    }
}
