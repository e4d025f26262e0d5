//! The emulated load balancer of the platform: it directs new connections to nodes that pass their readiness
//! checks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::Method;

use crate::deployment::Layout;
use crate::http::{HttpCall, HttpCaller};

/// Path of the readiness check at a node.
const READINESS_PATH: &str = "/api/ready";
/// Time between the end of a round of readiness checks and the next round.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive failed checks after which a node gets no new connections.
const MAX_FAILED_CHECKS: u32 = 2;

#[derive(Debug)]
struct BalancedNode {
    /// Address at which the node serves clients.
    client_address: SocketAddr,
    /// Address at which the node answers readiness checks.
    readiness_address: SocketAddr,
    /// Number of consecutive failed checks.
    failed_checks: u32,
}

impl BalancedNode {
    fn is_healthy(&self) -> bool {
        self.failed_checks < MAX_FAILED_CHECKS
    }
}

/// The load balancer of a fleet. Clones share its state.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    nodes: Arc<Mutex<Vec<BalancedNode>>>,
    caller: HttpCaller,
}

impl LoadBalancer {
    /// Returns a load balancer for all nodes of a layout; each node is unhealthy until it passes a check.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(layout: &Layout) -> reqwest::Result<Self> {
        let node = |node| BalancedNode {
            client_address: layout.client_address(node),
            readiness_address: layout.readiness_address(node),
            failed_checks: MAX_FAILED_CHECKS,
        };
        let nodes = (0..layout.nodes).map(node).collect();
        Ok(Self { nodes: Arc::new(Mutex::new(nodes)), caller: HttpCaller::without_reuse()? })
    }

    fn nodes(&self) -> MutexGuard<'_, Vec<BalancedNode>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks every node once, concurrently; returns the number of healthy nodes.
    pub async fn check_all(&self) -> usize {
        let addresses: Vec<SocketAddr> = self.nodes().iter().map(|node| node.readiness_address).collect();
        let call = HttpCall::new(Method::GET, READINESS_PATH);
        let checks = addresses.iter().map(|address| self.caller.call_once(*address, &call));
        let replies = futures_util::future::join_all(checks).await;
        let mut nodes = self.nodes();
        for (node, reply) in nodes.iter_mut().zip(replies) {
            let is_ready = reply.is_ok_and(|reply| reply.status == 200);
            node.failed_checks = if is_ready { 0 } else { node.failed_checks.saturating_add(1) };
        }
        nodes.iter().filter(|node| node.is_healthy()).count()
    }

    /// Checks all nodes periodically; never returns.
    pub async fn run(self) {
        loop {
            self.check_all().await;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the address of a random node for a new connection: a healthy node, or any node if fewer than
    /// half of the nodes are healthy.
    ///
    /// # Panics
    ///
    /// When the fleet has no nodes.
    #[must_use]
    pub fn select_node(&self) -> SocketAddr {
        let nodes = self.nodes();
        let mut addresses: Vec<SocketAddr> =
            nodes.iter().filter(|node| node.is_healthy()).map(|node| node.client_address).collect();
        if addresses.len() * 2 < nodes.len() {
            addresses = nodes.iter().map(|node| node.client_address).collect();
        }
        addresses[fastrand::usize(..addresses.len())]
    }
}
