//! Tests of [`Planner`], alone and with a simulated fleet of servers.

mod common;

use common::{
    ms, order_to, orders, planner_with_idle_servers, server, CallFault, ServerFleet, MODEL, OTHER_MODEL,
};
use rollout::{OrderReply, Pacing, Planner, RolloutAction, ServerReport, UpdateMethod};
use yare::parameterized;

#[test]
fn given_idle_servers_when_a_version_is_targeted_then_all_load_it_with_one_order_each() {
    let mut fleet = ServerFleet::new(8);
    fleet.run_until(ms(500));
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(2200));
    assert!(fleet.all_have(MODEL, 2), "three rounds of loads take longer than 1.7 s");
    assert_eq!(fleet.orders.len(), 8);
    assert!(fleet.max_loading <= 3, "{} servers loaded at the same time", fleet.max_loading);
    fleet.run_until(ms(9000));
    assert!(fleet.planner.is_converged());
    assert_eq!(fleet.orders.len(), 8);
    assert!(
        fleet.servers.iter().all(|server| server.reports_requested <= 3),
        "a server got more than 3 report requests"
    );
}

#[parameterized(
    few = { 5, 3 },
    some = { 8, 3 },
    many = { 38, 13 },
)]
fn given_busy_servers_when_a_version_is_targeted_then_concurrent_loads_reach_but_do_not_exceed_the_limit(
    count: usize,
    concurrent_loads: usize,
) {
    let mut fleet = ServerFleet::new(count);
    fleet.servers.iter_mut().for_each(|server| server.busy_until = ms(2000));
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(1900));
    assert_eq!(fleet.orders.len(), concurrent_loads);
    fleet.run_until(ms(9000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.max_loading, concurrent_loads);
}

#[test]
fn given_no_target_version_when_time_passes_then_no_call_is_made() {
    let mut fleet = ServerFleet::new(8);
    fleet.run_until(ms(5000));
    assert!(fleet.orders.is_empty());
    assert!(fleet.servers.iter().all(|server| server.reports_requested == 0));
    assert_eq!(fleet.planner.next_wakeup(fleet.now), None);
}

#[test]
fn given_a_rollout_in_progress_when_a_newer_version_is_targeted_then_servers_without_an_order_skip_the_older()
{
    let mut fleet = ServerFleet::new(8);
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(300));
    fleet.set_target(MODEL, 3);
    fleet.run_until(ms(6000));
    assert!(fleet.all_have(MODEL, 3));
    let orders_of_first = fleet.orders.iter().filter(|(_, order)| order.version == 2).count();
    assert_eq!(orders_of_first, 3, "only the orders in progress name the older version");
    assert_eq!(fleet.orders.len(), 8 + 3);
}

#[test]
fn given_two_models_when_both_have_targets_then_a_server_gets_one_order_at_a_time() {
    let mut fleet = ServerFleet::new(8);
    fleet.set_target(MODEL, 2);
    fleet.set_target(OTHER_MODEL, 2);
    fleet.run_until(ms(8000));
    assert!(fleet.all_have(MODEL, 2) && fleet.all_have(OTHER_MODEL, 2));
    assert_eq!(fleet.orders.len(), 16, "each server gets one order per model");
    assert!(fleet.max_loading <= 3);
}

#[test]
fn given_running_requests_when_servers_drain_them_first_then_they_count_as_loading_until_the_load_ends() {
    let mut fleet = ServerFleet::new(8);
    fleet.servers.iter_mut().for_each(|server| server.busy_until = ms(2000));
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(1900));
    assert_eq!(fleet.orders.len(), 3, "the other servers continue to serve requests");
    fleet.run_until(ms(9000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.orders.len(), 8);
}

#[test]
fn given_running_requests_when_versions_load_in_place_then_loads_do_not_wait_for_the_requests() {
    let mut fleet = ServerFleet::new(8);
    fleet.set_in_place(&[MODEL]);
    fleet.servers.iter_mut().for_each(|server| server.busy_until = ms(60_000));
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(2000));
    assert!(fleet.all_have(MODEL, 2));
    assert!(fleet.orders.iter().all(|(_, order)| order.method == UpdateMethod::InPlace));
}

#[test]
fn given_accepted_orders_when_their_replies_are_lost_then_the_orders_are_not_repeated() {
    let mut fleet = ServerFleet::new(4);
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(8));
    fleet.servers.iter_mut().for_each(|server| server.fault = CallFault::RepliesLost);
    fleet.run_until(ms(50));
    assert_eq!(fleet.orders.len(), 3);
    fleet.servers.iter_mut().for_each(|server| server.fault = CallFault::None);
    fleet.run_until(ms(9000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.orders.len(), 4);
}

#[test]
fn given_a_server_unresponsive_during_its_order_when_it_responds_again_then_it_loads_the_version() {
    let mut fleet = ServerFleet::new(3);
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(8));
    fleet.servers[0].fault = CallFault::Unresponsive;
    fleet.run_until(ms(4000));
    assert_eq!(fleet.servers[0].version(MODEL), 1);
    assert_eq!(fleet.servers[1].version(MODEL), 2);
    fleet.servers[0].fault = CallFault::None;
    fleet.run_until(ms(12_000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.servers[0].orders_accepted.len(), 1);
}

#[test]
fn given_a_server_that_crashes_during_its_load_when_it_restarts_with_the_old_version_then_it_gets_an_order() {
    let mut fleet = ServerFleet::new(3);
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(100));
    fleet.restart(1);
    fleet.run_until(ms(6000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.orders.len(), 4);
}

#[parameterized(early = { 20 }, middle = { 300 }, late = { 900 }, after = { 2500 })]
fn given_orders_in_progress_when_the_leader_changes_then_no_order_is_repeated(at: u64) {
    let mut fleet = ServerFleet::new(8);
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(at));
    fleet.replace_planner(ms(300));
    fleet.run_until(ms(at + 9000));
    assert!(fleet.all_have(MODEL, 2));
    assert!(fleet.servers.iter().all(|server| server.orders_accepted.len() == 1));
    assert_eq!(fleet.orders.len(), 8);
}

#[test]
fn given_a_closing_server_when_a_version_is_targeted_then_it_gets_no_order() {
    let mut fleet = ServerFleet::new(4);
    fleet.servers[2].is_closing = true;
    fleet.run_until(ms(1500));
    fleet.set_target(MODEL, 2);
    fleet.run_until(ms(6000));
    assert!(fleet.all_have(MODEL, 2));
    assert_eq!(fleet.servers[2].orders_received, 0);
    assert_eq!(fleet.servers[2].reports_requested, 0);
    assert_eq!(fleet.planner.next_wakeup(fleet.now), None);
}

#[test]
fn given_a_version_observed_in_a_response_when_the_list_lags_then_the_order_is_not_repeated() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(orders(&planner.next_actions(ms(1))), [("i-0", 2, UpdateMethod::Drain)]);
    planner.on_order_reply(ms(5), &order_to("i-0", 2), OrderReply::Accepted);
    planner.on_version_observed("i-0", MODEL, 2);
    planner.set_servers([server(0, "a", 1)]);
    assert!(planner.next_actions(ms(5000)).is_empty());
    assert_eq!(planner.version("i-0", MODEL), Some(2));
    assert!(planner.is_converged());
}

#[test]
fn given_an_accepted_order_when_the_list_shows_the_version_then_no_report_is_requested() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.next_actions(ms(1)).len(), 1);
    planner.on_order_reply(ms(5), &order_to("i-0", 2), OrderReply::Accepted);
    planner.set_servers([server(0, "a", 2)]);
    assert!(planner.next_actions(ms(5000)).is_empty());
    assert_eq!(planner.next_wakeup(ms(5000)), None);
}

#[parameterized(requests_run = { 4, 0 }, idle = { 0, 1 })]
fn given_an_occupied_report_during_a_load_when_requests_run_then_the_server_still_counts_as_loading(
    running: u64,
    expected_orders: usize,
) {
    let pacing = Pacing { min_concurrent_loads: 1, ..Pacing::default() };
    let mut planner =
        planner_with_idle_servers(pacing, &[server(0, "a", 1), server(1, "a", 1), server(2, "a", 1)]);
    assert_eq!(orders(&planner.next_actions(ms(1)))[0].0, "i-0");
    planner.on_order_reply(ms(1), &order_to("i-0", 2), OrderReply::Accepted);
    assert!(planner.next_actions(ms(400)).is_empty());
    assert_eq!(orders(&planner.next_actions(ms(401)))[0].0, "i-1");
    planner.on_order_reply(ms(401), &order_to("i-1", 2), OrderReply::Accepted);
    let actions = planner.next_actions(ms(651));
    assert!(matches!(actions[..], [RolloutAction::RequestReport(_)]), "{actions:?}");
    planner.on_report(ms(651), "i-0", &ServerReport { occupied: true, running, ..ServerReport::default() });
    assert_eq!(orders(&planner.next_actions(ms(801))).len(), expected_orders);
}

#[test]
fn given_idle_and_busy_servers_when_planning_then_idle_ones_get_orders_first_distributed_over_the_zones() {
    let servers = [
        server(0, "a", 1),
        server(1, "a", 1),
        server(2, "a", 1),
        server(3, "b", 1),
        server(4, "c", 1),
        server(5, "b", 1),
    ];
    let mut planner = planner_with_idle_servers(Pacing::default(), &servers);
    planner.set_running("i-3", 5);
    let actions = planner.next_actions(ms(1));
    let ids: Vec<&str> = orders(&actions).iter().map(|(id, _, _)| *id).collect();
    assert_eq!(ids, ["i-0", "i-4", "i-5"]);
}

#[test]
fn given_a_fenced_order_when_planning_then_no_more_orders_are_sent() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1), server(1, "b", 1)]);
    assert_eq!(planner.next_actions(ms(1)).len(), 2);
    planner.on_order_reply(ms(2), &order_to("i-0", 2), OrderReply::Fenced);
    planner.on_order_reply(ms(2), &order_to("i-1", 2), OrderReply::NotAccepted);
    assert!(planner.is_superseded());
    assert!(planner.next_actions(ms(9000)).is_empty());
    assert_eq!(planner.next_wakeup(ms(2)), None);
}

#[test]
fn given_another_server_at_the_address_when_it_replies_then_the_replaced_server_gets_no_more_calls() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.next_actions(ms(1)).len(), 1);
    planner.on_order_reply(ms(2), &order_to("i-0", 2), OrderReply::WrongServer);
    assert!(planner.next_actions(ms(9000)).is_empty());
    assert_eq!(planner.next_wakeup(ms(2)), None);
}

#[parameterized(invalid = { OrderReply::Invalid }, not_accepted = { OrderReply::NotAccepted })]
fn given_an_order_that_is_not_accepted_when_retried_then_the_delay_doubles_up_to_the_maximum(
    reply: OrderReply,
) {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    let mut now = ms(1);
    let mut sent = Vec::new();
    while sent.len() < 6 {
        if !planner.next_actions(now).is_empty() {
            sent.push(now);
            planner.on_order_reply(now, &order_to("i-0", 2), reply);
        }
        now = planner.next_wakeup(now).expect("the order is retried");
    }
    let delays: Vec<u128> = sent.windows(2).map(|pair| (pair[1] - pair[0]).as_millis()).collect();
    assert_eq!(delays, [500, 1000, 2000, 4000, 4000]);
}

#[test]
fn given_a_busy_server_when_reports_show_it_idle_then_the_order_is_sent_again() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    assert_eq!(planner.next_actions(ms(1)).len(), 1);
    planner.on_order_reply(ms(2), &order_to("i-0", 2), OrderReply::Busy);
    assert!(planner.next_actions(ms(3)).is_empty());
    let mut now = planner.next_wakeup(ms(3)).expect("a report is scheduled");
    for _ in 0..4 {
        while planner.next_actions(now).is_empty() {
            now = planner.next_wakeup(now).expect("a report is scheduled");
        }
        planner.on_report(now, "i-0", &ServerReport { occupied: true, ..ServerReport::default() });
        assert!(orders(&planner.next_actions(now)).is_empty());
    }
    while planner.next_actions(now).is_empty() {
        now = planner.next_wakeup(now).expect("a report is scheduled");
    }
    planner.on_report(now, "i-0", &ServerReport::default());
    assert_eq!(orders(&planner.next_actions(now)), [("i-0", 2, UpdateMethod::Drain)]);
}

#[test]
fn given_lower_target_versions_when_set_then_the_highest_is_kept() {
    let mut planner = planner_with_idle_servers(Pacing::default(), &[server(0, "a", 1)]);
    planner.set_target_version(ms(0), MODEL, 5);
    planner.set_target_version(ms(0), MODEL, 3);
    assert_eq!(orders(&planner.next_actions(ms(1))), [("i-0", 5, UpdateMethod::Drain)]);
}

#[test]
fn given_a_server_with_a_newer_version_when_an_older_one_is_targeted_then_it_gets_no_order() {
    let mut planner = Planner::new(Pacing::default());
    planner.set_servers([server(0, "a", 7)]);
    planner.set_target_version(ms(0), MODEL, 2);
    assert!(planner.next_actions(ms(1)).is_empty());
}

#[test]
fn given_random_faults_when_several_versions_are_targeted_then_all_servers_load_the_last() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = ServerFleet::new(random.usize(1..12));
        for version in 2..8 {
            fleet.set_target(MODEL, version);
            if random.bool() {
                fleet.set_target(OTHER_MODEL, version);
            }
            let faulty = random.usize(0..fleet.servers.len());
            match random.u8(0..5) {
                0 => fleet.restart(faulty),
                1 => fleet.servers[faulty].fault = CallFault::Unresponsive,
                2 => fleet.servers[faulty].fault = CallFault::RepliesLost,
                3 => fleet.servers[faulty].busy_until = fleet.now + ms(random.u64(0..4000)),
                _ => fleet.replace_planner(ms(random.u64(0..3000))),
            }
            fleet.run_until(fleet.now + ms(random.u64(1..4000)));
            fleet.servers.iter_mut().for_each(|server| server.fault = CallFault::None);
        }
        fleet.run_until(fleet.now + ms(30_000));
        assert!(fleet.all_have(MODEL, 7), "seed {seed}");
        assert!(fleet.planner.is_converged(), "seed {seed}");
        assert_eq!(fleet.planner.next_wakeup(fleet.now), None, "seed {seed}");
    }
}
