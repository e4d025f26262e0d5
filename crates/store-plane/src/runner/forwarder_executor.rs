//! The executor that sends items and reward calls to servers through the forwarder of this process.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use batch::RewardRequest;
use bytes::Bytes;
use configuration::{Configuration, Route};
use data_plane::{Forwarder, ItemRequest};

use super::ports::{ItemAttempt, ItemExecutor, ItemOutcome, JobAddress, RewardOutcome, RouteRules};

/// Time from the submission until results are due, if the route does not set it.
const DEFAULT_DELIVERY_DUE: Duration = Duration::from_secs(10);
/// Time from the submission until items without a result are given up, if the route does not set it.
const DEFAULT_EXPIRY: Duration = Duration::from_secs(3600);
/// Pause before the next attempt of an item that no route matches.
const NO_ROUTE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Executor that sends items and reward calls through a [`Forwarder`]. Clones share the forwarder.
#[derive(Clone)]
pub struct ForwarderExecutor {
    forwarder: Forwarder,
}

impl ForwarderExecutor {
    /// Creates an executor that uses `forwarder`.
    #[must_use]
    pub fn new(forwarder: Forwarder) -> Self {
        Self { forwarder }
    }

    fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        find_route(&*self.forwarder.configuration()?, host, path)
    }
}

impl ItemExecutor for ForwarderExecutor {
    fn route_rules(&self, host: &str, path: &str) -> Option<RouteRules> {
        let route = self.route(host, path)?;
        Some(RouteRules {
            max_attempts: route.max_attempts,
            single_version: route.single_version,
            delivery_due: route.delivery_due.unwrap_or(DEFAULT_DELIVERY_DUE),
            shelf_life: route.shelf_life.unwrap_or(DEFAULT_EXPIRY),
        })
    }

    fn free_capacity(&self, address: &JobAddress) -> usize {
        let Some(route) = self.route(&address.host, &address.path) else { return 0 };
        self.forwarder.free_capacity(&route.targets, address.model.as_deref(), address.oldest_version)
    }

    fn total_capacity(&self, address: &JobAddress) -> usize {
        let Some(route) = self.route(&address.host, &address.path) else { return 0 };
        self.forwarder.total_capacity(&route.targets, address.model.as_deref(), address.oldest_version)
    }

    /// Returns `true` in all cases: the forwarder itself selects a server with a suitable version, and
    /// returns [`ItemOutcome::NotExecuted`] if there is none.
    fn can_continue(&self, _address: &JobAddress, _versions: &BTreeSet<u64>) -> bool {
        true
    }

    async fn run_item(&self, attempt: ItemAttempt) -> ItemOutcome {
        let Some(route) = self.route(&attempt.address.host, &attempt.address.path) else {
            return ItemOutcome::NotExecuted { retry_after: NO_ROUTE_RETRY_AFTER };
        };
        self.forwarder.run_item(item_request(route, attempt)).await
    }

    async fn call_reward(&self, request: RewardRequest, body: Bytes, timeout: Duration) -> RewardOutcome {
        self.forwarder.call_reward(&request.host, &request.path, &request.id, body, timeout).await
    }
}

/// Returns the route that matches a host and a path, whose query part is ignored.
fn find_route(configuration: &Configuration, host: &str, path: &str) -> Option<Arc<Route>> {
    let path = path.split('?').next().unwrap_or(path);
    configuration.route(host, path).cloned()
}

fn item_request(route: Arc<Route>, attempt: ItemAttempt) -> ItemRequest {
    let ItemAttempt { address, item, .. } = attempt;
    ItemRequest {
        route,
        host: address.host,
        path: item.path,
        headers: item.headers.into_iter().collect(),
        id: item.id,
        model: address.model,
        oldest_version: address.oldest_version,
        group: item.group,
        body: attempt.body,
        progress: attempt.progress,
        deadline: attempt.deadline,
    }
}
