//! Planning time of a rollout over thousands of servers: it must not grow with the square of their number.

use std::time::{Duration, Instant};

use rollout::{OrderReply, Pacing, Planner, RolloutAction, RolloutServer, ServerReport};

const SERVERS: usize = 3_000;
const MODEL: &str = "m";
/// Maximum time for planning the rollout. Planning takes less than a second in a debug build, but took
/// minutes when the server of each order was searched for among all servers.
const MAX_PLANNING_TIME: Duration = Duration::from_secs(20);

fn server(index: usize) -> RolloutServer {
    RolloutServer {
        id: format!("i-{index}").into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: format!("zone-{}", index % 5).into(),
        is_closing: false,
        models: [(MODEL.into(), 1)].into(),
    }
}

/// Returns the report of a server that is carrying out no order and has this version.
fn idle_report(version: u64) -> ServerReport {
    let text = format!(
        r#"{{"models":[{{"name":"{MODEL}","edition":{version}}}],"occupied":false,"callCount":0,"queuedCount":0,"inTransit":0}}"#
    );
    serde_json::from_str(&text).expect("a report can be deserialized")
}

/// Passes the outcomes of the actions to the planner as if each server replied and loaded immediately.
/// Returns the number of orders.
fn complete_immediately(planner: &mut Planner, now: Duration, actions: Vec<RolloutAction>) -> usize {
    let mut orders = 0;
    for action in actions {
        match action {
            RolloutAction::SendOrder(order) => {
                orders += 1;
                planner.on_order_reply(now, &order, OrderReply::Accepted);
                planner.on_version_observed(&order.server, &order.model, order.version);
            }
            RolloutAction::RequestReport(request) => planner.on_report(now, &request.server, &idle_report(1)),
        }
    }
    orders
}

#[test]
fn given_thousands_of_servers_when_a_version_is_rolled_out_then_each_gets_one_order_within_the_time_limit() {
    let mut planner = Planner::new(Pacing::default());
    planner.set_servers((0..SERVERS).map(server));
    planner.set_target_version(Duration::ZERO, MODEL, 2);
    let started = Instant::now();
    let (mut now, mut orders) = (Duration::ZERO, 0);
    while !planner.is_converged() {
        let actions = planner.next_actions(now);
        orders += complete_immediately(&mut planner, now, actions);
        let _ = planner.next_wakeup(now);
        now += Duration::from_millis(10);
        assert!(
            started.elapsed() < MAX_PLANNING_TIME,
            "the time limit was exceeded after {orders} orders and {now:?} of simulated time"
        );
    }
    assert_eq!(orders, SERVERS);
}
