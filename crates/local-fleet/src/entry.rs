//! The platform's entry: which nodes get new connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::Method;

use crate::calls::{Call, Caller};
use crate::layout::Layout;

/// Nodes are asked this often.
const ASKED_EVERY: Duration = Duration::from_secs(1);
/// A node that missed this often gets no new connections.
const MISSES_MOST: u32 = 2;

#[derive(Debug)]
struct EntryNode {
    front: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

/// The entry.
#[derive(Clone, Debug)]
pub struct Entry {
    nodes: Arc<Mutex<Vec<EntryNode>>>,
    caller: Caller,
}

impl Entry {
    /// An entry to all nodes of a layout; none has answered yet.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(layout: &Layout) -> reqwest::Result<Self> {
        let node =
            |node| EntryNode { front: layout.front(node), ready: layout.ready(node), misses: MISSES_MOST };
        let nodes = (0..layout.nodes).map(node).collect();
        Ok(Self { nodes: Arc::new(Mutex::new(nodes)), caller: Caller::without_reuse()? })
    }

    fn nodes(&self) -> MutexGuard<'_, Vec<EntryNode>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks every node once whether it is ready; tells how many are in.
    pub async fn ask_all(&self) -> usize {
        let addresses: Vec<SocketAddr> = self.nodes().iter().map(|node| node.ready).collect();
        let call = Call::new(Method::GET, "/api/ready");
        let answers = addresses.iter().map(|address| self.caller.once(*address, &call));
        let answers = futures_util::future::join_all(answers).await;
        let mut nodes = self.nodes();
        for (node, answer) in nodes.iter_mut().zip(answers) {
            let ready = answer.is_ok_and(|reply| reply.status == 200);
            node.misses = if ready { 0 } else { node.misses.saturating_add(1) };
        }
        nodes.iter().filter(|node| node.misses < MISSES_MOST).count()
    }

    /// Asks every node again and again.
    pub async fn run(self) {
        loop {
            self.ask_all().await;
            tokio::time::sleep(ASKED_EVERY).await;
        }
    }

    /// A node for a new connection: one of those that are in, or of all if fewer than half are.
    ///
    /// # Panics
    ///
    /// When the fleet has no nodes.
    #[must_use]
    pub fn pick(&self) -> SocketAddr {
        let nodes = self.nodes();
        let mut fronts: Vec<SocketAddr> =
            nodes.iter().filter(|node| node.misses < MISSES_MOST).map(|node| node.front).collect();
        if fronts.len() * 2 < nodes.len() {
            fronts = nodes.iter().map(|node| node.front).collect();
        }
        fronts[fastrand::usize(..fronts.len())]
    }
}
