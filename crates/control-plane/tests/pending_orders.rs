//! A leader that resigns while the outcome of an order to a server is unknown.

mod support;

use std::sync::Arc;
use std::time::Duration;

use control_plane::{Leadership, OrderDispatcher, OrderGap, ServerCalls, LEASE_TTL};
use futures_util::future::{BoxFuture, FutureExt};
use rollout::{OrderReply, ReportRequest, ServerReport, VersionOrder};
use state::change::with_target_version;
use state::{ServerCondition, ServerEntry, ServerList};
use support::{list_version, start_election_with, start_nodes, Node};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// Maximum time of each wait for something that must happen.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between the orders of two leaders; the second one sends none in these tests.
const GAP: OrderGap = OrderGap { between_leaders: Duration::from_secs(60), is_fence_checked: false };

/// Calls to servers whose orders have no outcome until they are released.
struct PendingOrders {
    /// Number of orders that were sent.
    sent: watch::Sender<usize>,
    is_released: watch::Sender<bool>,
}

impl PendingOrders {
    fn new() -> Arc<Self> {
        Arc::new(Self { sent: watch::Sender::new(0), is_released: watch::Sender::new(false) })
    }

    async fn wait_until_sent(&self) {
        let mut sent = self.sent.subscribe();
        let first = timeout(TEST_TIMEOUT, sent.wait_for(|sent| *sent > 0)).await;
        assert!(first.is_ok(), "the leader sends no order in time");
    }
}

impl ServerCalls for PendingOrders {
    fn send_order<'a>(&'a self, _: &'a VersionOrder, _: String) -> BoxFuture<'a, OrderReply> {
        self.sent.send_modify(|sent| *sent += 1);
        let mut is_released = self.is_released.subscribe();
        async move {
            let _ = is_released.wait_for(|is_released| *is_released).await;
            OrderReply::Accepted
        }
        .boxed()
    }

    fn request_report<'a>(&'a self, _: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>> {
        async { Some(ServerReport::default()) }.boxed()
    }
}

/// Starts the election and the order dispatcher of a node with one server, whose model is to get version 2.
/// Returns once the order for it has been sent.
async fn start_leader_with_pending_order(node: &Node, servers: &Arc<PendingOrders>) -> Arc<Leadership> {
    let entry = ServerEntry {
        id: "i-1".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 8,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        models: [("m".into(), 1)].into(),
    };
    node.view.adopt_servers(Arc::new(ServerList::new(list_version(0, 1), [entry])));
    let leadership = start_election_with(node, GAP);
    let dispatcher = OrderDispatcher {
        member_name: node.member.name.clone(),
        leadership: Arc::clone(&leadership),
        view: Arc::clone(&node.view),
        servers: Arc::clone(servers) as Arc<dyn ServerCalls>,
    };
    tokio::spawn(dispatcher.run());
    let target =
        node.proposer.change(Instant::now() + TEST_TIMEOUT, |state| with_target_version(state, "m", 2));
    target.await.expect("the target version is set");
    servers.wait_until_sent().await;
    leadership
}

/// Guards against review/3: a released lease lets the next leader send orders that a pending one may follow.
#[tokio::test]
async fn given_a_pending_order_when_the_leader_resigns_then_it_keeps_the_lease_until_the_outcome_is_known() {
    let nodes = start_nodes(3, 0).await;
    let servers = PendingOrders::new();
    let first = start_leader_with_pending_order(&nodes[0], &servers).await;
    let second = start_election_with(&nodes[1], GAP);

    let mut resignation = first.resign(TEST_TIMEOUT).boxed();
    assert!(
        timeout(LEASE_TTL * 2, &mut resignation).await.is_err(),
        "the leader releases the lease too early"
    );
    assert!(first.fence().is_some(), "the lease is renewed");
    assert_eq!(first.fence_for_orders(), None, "no further order is sent");
    assert_eq!(second.fence(), None, "the first leader still has the lease");

    servers.is_released.send_replace(true);
    let resigned = timeout(LEASE_TTL / 2, resignation).await;
    assert!(resigned.is_ok(), "the lease is released as soon as the outcome is known");
    assert_eq!(first.fence(), None);
}

#[tokio::test]
async fn given_an_order_without_outcome_when_the_leader_resigns_then_it_releases_the_lease_after_the_maximum_wait(
) {
    let nodes = start_nodes(3, 0).await;
    let servers = PendingOrders::new();
    let first = start_leader_with_pending_order(&nodes[0], &servers).await;

    let started_at = Instant::now();
    first.resign(LEASE_TTL).await;
    assert!(started_at.elapsed() >= LEASE_TTL, "{:?}", started_at.elapsed());
    assert!(started_at.elapsed() < LEASE_TTL * 2, "{:?}", started_at.elapsed());
    assert_eq!(first.fence(), None);
}
