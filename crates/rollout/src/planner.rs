//! The planner: decides which server gets which order next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::actions::{OrderReply, ReportRequest, RolloutAction, UpdateMethod, VersionOrder};
use crate::order_queue::{OrderCandidate, OrderQueue};
use crate::pacing::Pacing;
use crate::server::{ModelName, RolloutServer, ServerId};
use crate::server_progress::{LoadGoal, ServerProgress};
use crate::wire::ServerReport;

/// Version that all servers of a model have to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TargetVersion {
    version: u64,
    /// Time at which the target was set; older targets are rolled out first.
    since: Duration,
}

/// Plans the calls that bring all servers to the target versions. A planner is used for one term of a leader.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pacing: Pacing,
    targets: BTreeMap<ModelName, TargetVersion>,
    /// Models that are loaded with [`UpdateMethod::InPlace`]; all others are loaded with
    /// [`UpdateMethod::Drain`].
    in_place_models: BTreeSet<ModelName>,
    /// Servers of the newest server list.
    servers: BTreeMap<ServerId, ServerProgress>,
    /// Whether a server has rejected an order because of a higher fencing token. Never reset to `false`.
    is_superseded: bool,
}

impl Planner {
    /// Creates a planner without servers and target versions.
    #[must_use]
    pub fn new(pacing: Pacing) -> Self {
        Self { pacing, ..Self::default() }
    }

    /// Sets the target version of a model, as stored in the register. A version that is not higher than the
    /// current target is ignored.
    pub fn set_target_version(&mut self, now: Duration, model: &str, version: u64) {
        match self.targets.get_mut(model) {
            Some(target) if target.version >= version => {}
            Some(target) => *target = TargetVersion { version, since: now },
            None => {
                self.targets.insert(model.into(), TargetVersion { version, since: now });
            }
        }
    }

    /// Sets the models whose running requests may continue with a new version, because no route that uses
    /// them requires a single version per request. It replaces the models set before.
    pub fn set_in_place_models(&mut self, models: BTreeSet<ModelName>) {
        self.in_place_models = models;
    }

    /// Replaces the servers by those of the newest server list. The progress of servers that are not in the
    /// list is dropped.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = RolloutServer>) {
        let mut earlier = std::mem::take(&mut self.servers);
        for server in servers {
            let id = ServerId::clone(&server.id);
            let progress = match earlier.remove(&id) {
                Some(mut progress) => {
                    progress.update_server(server);
                    progress
                }
                None => ServerProgress::new(server, &self.pacing),
            };
            self.servers.insert(id, progress);
        }
    }

    /// Records a version that a response of the server showed.
    pub fn on_version_observed(&mut self, server: &str, model: &str, version: u64) {
        if let Some(progress) = self.servers.get_mut(server) {
            progress.record_version(&model.into(), version);
        }
    }

    /// Sets the last known number of requests that are running at the server. Servers with fewer running
    /// requests get their orders first.
    pub fn set_running(&mut self, server: &str, running: u64) {
        if let Some(progress) = self.servers.get_mut(server) {
            progress.running = running;
        }
    }

    /// Handles the outcome of an order that [`Planner::next_actions`] returned.
    pub fn on_order_reply(&mut self, now: Duration, order: &VersionOrder, reply: OrderReply) {
        if reply == OrderReply::Fenced {
            self.is_superseded = true;
        }
        if let Some(progress) = self.servers.get_mut(&order.server) {
            progress.on_order_reply(now, order, reply);
        }
    }

    /// Handles the report of a server that [`Planner::next_actions`] requested.
    pub fn on_report(&mut self, now: Duration, server: &str, report: &ServerReport) {
        if let Some(progress) = self.servers.get_mut(server) {
            progress.on_report(now, report);
        }
    }

    /// Handles a failed request for the report of a server.
    pub fn on_report_failure(&mut self, now: Duration, server: &str) {
        if let Some(progress) = self.servers.get_mut(server) {
            progress.on_report_failure(now);
        }
    }

    /// Returns whether a server has rejected an order because of a higher fencing token. The term has then
    /// ended, and the planner requests no more calls.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns the version of the model that the server is known to have; `None` if the server is not listed
    /// or does not run the model.
    #[must_use]
    pub fn version(&self, server: &str, model: &str) -> Option<u64> {
        self.servers.get(server)?.version(model)
    }

    /// Returns whether every server that is not closing is known to have the target version, or a higher one,
    /// of each of its models.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.open_servers().all(|progress| self.next_goal(progress).is_none())
    }

    /// Returns the calls that the caller must make now, each only once. The caller passes the outcome of each
    /// call back to the planner.
    pub fn next_actions(&mut self, now: Duration) -> Vec<RolloutAction> {
        if self.is_superseded {
            return Vec::new();
        }
        for progress in self.servers.values_mut() {
            progress.expire_calls(now);
        }
        self.schedule_first_reports(now);
        let mut actions = self.take_due_reports(now);
        actions.extend(self.take_orders(now).into_iter().map(RolloutAction::SendOrder));
        actions
    }

    /// Returns the time at which [`Planner::next_actions`] must be called again unless an outcome or new
    /// input arrives earlier; `None` if no action becomes due without one.
    #[must_use]
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        if self.is_superseded {
            return None;
        }
        let deadlines = self.servers.values().filter_map(|progress| progress.next_deadline(now));
        deadlines.chain(self.next_load_end(now)).min()
    }

    /// Returns the time at which the next load is expected to end; `None` if no load is in progress, or if no
    /// server waits for the end of a load to get its order.
    fn next_load_end(&self, now: Duration) -> Option<Duration> {
        let awaits_order = |progress: &&ServerProgress| {
            progress.can_receive_order(now) && self.next_goal(progress).is_some()
        };
        self.servers.values().find(awaits_order)?;
        let ends = self.servers.values().filter_map(ServerProgress::loading_until);
        ends.filter(|end| *end > now).min()
    }

    /// Schedules a report of each server that needs an order and has not reported in this term.
    fn schedule_first_reports(&mut self, now: Duration) {
        let needs_report =
            |progress: &ServerProgress| progress.needs_first_report() && self.next_goal(progress).is_some();
        let servers = self.servers.iter().filter(|(_, progress)| needs_report(progress));
        let ids: Vec<ServerId> = servers.map(|(id, _)| ServerId::clone(id)).collect();
        for id in ids {
            if let Some(progress) = self.servers.get_mut(&id) {
                progress.ensure_report(now);
            }
        }
    }

    /// Returns the requests for the reports that are due. The reports count as in flight from now on.
    fn take_due_reports(&mut self, now: Duration) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        for (id, progress) in &mut self.servers {
            if progress.take_due_report(now) {
                let address = progress.server.address;
                let request = ReportRequest { server: ServerId::clone(id), address };
                actions.push(RolloutAction::RequestReport(request));
            }
        }
        actions
    }

    /// Returns the orders that servers may get now, up to the limit of concurrent loads. The orders count as
    /// sent.
    fn take_orders(&mut self, now: Duration) -> Vec<VersionOrder> {
        let max_loads = self.max_concurrent_loads();
        let mut queue = self.order_queue(now);
        let mut orders = Vec::new();
        while queue.loading() < max_loads {
            let Some(OrderCandidate { id, goal, .. }) = queue.take_next() else { break };
            let Some(progress) = self.servers.get_mut(&id) else { continue };
            progress.on_order_sent(now, goal.clone());
            if progress.is_loading(now) {
                queue.count_loading(&progress.server.zone);
            }
            orders.push(progress.order(goal));
        }
        orders
    }

    /// Builds the queue of the servers that may get an order, and counts the servers that are loading.
    fn order_queue(&self, now: Duration) -> OrderQueue {
        let mut queue = OrderQueue::default();
        for (id, progress) in &self.servers {
            let zone = &progress.server.zone;
            if progress.is_loading(now) {
                queue.count_loading(zone);
            } else if progress.can_receive_order(now) {
                let Some(goal) = self.next_goal(progress) else { continue };
                let (running, id) = (progress.running, ServerId::clone(id));
                queue.add(zone, OrderCandidate { running, id, goal });
            }
        }
        queue.sort();
        queue
    }

    /// Returns the number of servers that may load at the same time, by [`Pacing`] and the number of servers
    /// that are not closing.
    fn max_concurrent_loads(&self) -> usize {
        let share = self.open_servers().count().div_ceil(self.pacing.servers_per_load);
        self.pacing.min_concurrent_loads.max(share)
    }

    /// Returns the servers that are not closing.
    fn open_servers(&self) -> impl Iterator<Item = &ServerProgress> {
        self.servers.values().filter(|progress| !progress.server.is_closing)
    }

    /// Returns the model and version that the server has to load next. Of several models whose target version
    /// is higher than the version of the server, it is the one whose target was set first. Returns `None` if
    /// there is no such model.
    fn next_goal(&self, progress: &ServerProgress) -> Option<LoadGoal> {
        let behind = self.targets.iter().filter(|(model, target)| {
            progress.version(model).is_some_and(|version| version < target.version)
        });
        let (model, target) = behind.min_by_key(|(_, target)| target.since)?;
        let is_in_place = self.in_place_models.contains(model);
        let method = if is_in_place { UpdateMethod::InPlace } else { UpdateMethod::Drain };
        Some(LoadGoal { model: ModelName::clone(model), version: target.version, method })
    }
}
