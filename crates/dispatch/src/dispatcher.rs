//! The dispatcher: keeps one pool of servers per service and draws the service of a request by weight.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use configuration::Target;
use state::{ServerEntry, ServerId, ServerList};

use crate::criteria::SelectionCriteria;
use crate::pool::ServerPool;
use crate::server::{PooledServer, RequestOutcome, SelectedServer};

/// Selects servers by load, failures and model versions, as known from the server list and from the request
/// outcomes, responses and load reports that the caller records.
///
/// The state of a server is kept for as long as the server list contains that incarnation in the same
/// service.
#[derive(Debug)]
pub struct Dispatcher {
    /// Zone of this process; servers of the same zone win ties.
    zone: Arc<str>,
    /// Server pools by service name.
    pools: HashMap<Arc<str>, ServerPool>,
    /// Service name of each listed server.
    services: HashMap<ServerId, Arc<str>>,
    /// Entries of the current server list, in its order.
    entries: Vec<Arc<ServerEntry>>,
}

impl Dispatcher {
    /// Creates a dispatcher without servers. `zone` is the zone of this process.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self { zone, pools: HashMap::new(), services: HashMap::new(), entries: Vec::new() }
    }

    /// Replaces the server list by a newer one.
    pub fn update(&mut self, list: &ServerList) {
        let earlier = std::mem::replace(&mut self.entries, list.servers.clone());
        if has_same_incarnations(&earlier, &list.servers) {
            self.update_changed(&earlier, &list.servers);
        } else {
            self.rebuild(list);
        }
    }

    /// Applies the changed entries of a list that has the same servers as the earlier one. During a rollout
    /// most new lists change only the versions of a few servers.
    fn update_changed(&mut self, earlier: &[Arc<ServerEntry>], newer: &[Arc<ServerEntry>]) {
        let pairs = earlier.iter().zip(newer);
        for (_, entry) in pairs.filter(|(earlier, newer)| !Arc::ptr_eq(earlier, newer)) {
            if let Some(pool) = self.pools.get_mut(&entry.service) {
                pool.update_server(entry, &self.zone);
            }
        }
    }

    /// Rebuilds the pools from a list whose servers, or their services, differ from the earlier list. The
    /// state of servers that stay in their service is kept.
    fn rebuild(&mut self, list: &ServerList) {
        let mut by_service: HashMap<&Arc<str>, Vec<&ServerEntry>> = HashMap::new();
        self.services.clear();
        for entry in &list.servers {
            by_service.entry(&entry.service).or_default().push(entry);
            self.services.insert(Arc::clone(&entry.id), Arc::clone(&entry.service));
        }
        self.pools.retain(|service, _| by_service.contains_key(service));
        for (service, entries) in by_service {
            let pool = self.pools.entry(Arc::clone(service)).or_default();
            pool.update(&entries, &self.zone);
        }
    }

    /// Returns whether the current list contains this incarnation of a server.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.services.contains_key(id)
    }

    /// Selects a server and counts a request to it as in flight until the caller reports its outcome with one
    /// call of [`Self::request_finished`].
    ///
    /// Returns `None` if no server of the targets is eligible.
    pub fn select(&mut self, now: Duration, criteria: &SelectionCriteria<'_>) -> Option<SelectedServer> {
        let service = self.draw_service(now, criteria)?;
        self.pools.get_mut(&service)?.select(now, criteria)
    }

    /// Returns the number of further requests that the eligible servers have capacity for. Ejected servers
    /// count as 0.
    #[must_use]
    pub fn free_capacity(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> usize {
        self.target_pools(criteria).map(|pool| pool.free_capacity(now, criteria)).sum()
    }

    /// Returns the number of requests that the suitable servers can accept at the same time, including those
    /// in flight. A server is suitable if it accepts requests, lists the model and satisfies the version
    /// requirement.
    #[must_use]
    pub fn total_capacity(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> usize {
        self.target_pools(criteria).map(|pool| pool.total_capacity(now, criteria)).sum()
    }

    /// Records that a request to this server is no longer in flight, and how it ended. Ignored if the server
    /// is no longer listed.
    pub fn request_finished(&mut self, now: Duration, id: &str, outcome: RequestOutcome) {
        if let Some(server) = self.server_mut(id) {
            server.request_finished(now, outcome);
        }
    }

    /// Records the load that a server reported: the numbers of its running and queued requests and of its
    /// slots. If `slots` is 0, the previous number of slots is kept.
    pub fn record_load(&mut self, now: Duration, id: &str, running: u32, queued: u32, slots: u32) {
        if let Some(pool) = self.services.get(id).and_then(|service| self.pools.get_mut(service)) {
            pool.record_load(now, id, running.saturating_add(queued), slots);
        }
    }

    /// Records that a response showed this version of a model. A version lower than the known one is ignored.
    pub fn record_version(&mut self, id: &str, model: &str, version: u64) {
        if let Some(server) = self.server_mut(id) {
            server.versions.record(model, version);
        }
    }

    /// Records that a server rejected a request because it does not serve this version of the model.
    pub fn record_version_rejected(&mut self, now: Duration, id: &str, model: &str, version: u64) {
        if let Some(server) = self.server_mut(id) {
            server.versions.record_rejected(now, model, version);
        }
    }

    /// Records that a server rejected a request for this model despite free capacity. It is then assumed to
    /// be loading another version.
    pub fn record_model_loading(&mut self, now: Duration, id: &str, model: &str) {
        if let Some(server) = self.server_mut(id) {
            server.versions.record_loading(now, model);
        }
    }

    /// Records that a server served a request for this model, and so is not loading another version.
    pub fn record_model_serving(&mut self, id: &str, model: &str) {
        if let Some(server) = self.server_mut(id) {
            server.versions.record_serving(model);
        }
    }

    /// Draws one of the target services with an eligible server, with probabilities proportional to their
    /// weights.
    fn draw_service(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> Option<Arc<str>> {
        let is_eligible = |target: &&Target| {
            target.weight > 0
                && self.pools.get(&target.service).is_some_and(|pool| pool.has_eligible(now, criteria))
        };
        if let [only] = criteria.targets {
            return is_eligible(&only).then(|| Arc::clone(&only.service));
        }
        let eligible: Vec<_> = criteria.targets.iter().filter(is_eligible).collect();
        let total: u64 = eligible.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = fastrand::u64(..total);
        for target in eligible {
            let weight = u64::from(target.weight);
            if drawn < weight {
                return Some(Arc::clone(&target.service));
            }
            drawn -= weight;
        }
        None
    }

    /// Returns the pools of the targets whose weight is not 0.
    fn target_pools<'a>(&'a self, criteria: &SelectionCriteria<'a>) -> impl Iterator<Item = &'a ServerPool> {
        let targets = criteria.targets.iter().filter(|target| target.weight > 0);
        targets.filter_map(|target| self.pools.get(&target.service))
    }

    fn server_mut(&mut self, id: &str) -> Option<&mut PooledServer> {
        self.pools.get_mut(self.services.get(id)?)?.server_mut(id)
    }
}

/// Returns whether two lists have the same incarnations in the same order, each in the same service.
fn has_same_incarnations(earlier: &[Arc<ServerEntry>], newer: &[Arc<ServerEntry>]) -> bool {
    let is_same = |(a, b): (&Arc<ServerEntry>, &Arc<ServerEntry>)| {
        Arc::ptr_eq(a, b) || (a.id == b.id && a.service == b.service)
    };
    earlier.len() == newer.len() && earlier.iter().zip(newer).all(is_same)
}
