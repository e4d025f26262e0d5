//! Passes the target versions and servers of a view to the planner if they have changed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rollout::{ModelName, RolloutServer};
use state::{ServerCondition, ServerEntry, View};

use super::OrderTracker;

/// Input of the planner of one term. Passing a list of thousands of servers takes milliseconds, and the
/// planner is called after each reply of a server, so each list is passed only once.
#[derive(Default)]
pub(super) struct PlannerInput {
    /// View that was last passed to the planner; `None` if the planner has not received any.
    passed_view: Option<Arc<View>>,
}

impl PlannerInput {
    /// Clears the passed view, so that the next call of `update` passes all of it.
    pub(super) fn reset(&mut self) {
        self.passed_view = None;
    }

    /// Passes the target versions of `view`, and its servers that have models, to the planner of the present
    /// term if they have changed since the previous call.
    pub(super) fn update(&mut self, tracker: &mut OrderTracker, now: Duration, view: &Arc<View>) {
        let Some(planner) = tracker.planner() else { return };
        let previous = self.passed_view.replace(Arc::clone(view));
        if previous.as_ref().is_some_and(|previous| Arc::ptr_eq(previous, view)) {
            return;
        }
        for (model, version) in &view.control.target_versions {
            planner.set_target_version(now, model, *version);
        }
        planner.set_in_place_models(in_place_models(view));
        if previous.as_ref().is_none_or(|previous| !Arc::ptr_eq(&previous.servers, &view.servers)) {
            let servers = view.servers.servers.iter().filter(|server| !server.models.is_empty());
            tracker.set_servers(servers.map(|server| rollout_server(server)));
        }
    }
}

fn rollout_server(server: &ServerEntry) -> RolloutServer {
    RolloutServer {
        id: Arc::clone(&server.id),
        address: server.address,
        zone: Arc::clone(&server.zone),
        is_closing: server.condition == ServerCondition::Closing,
        models: server.models.clone(),
    }
}

/// Returns the models of services without a route that requires a single version per response. Running
/// requests to these models may continue under another version.
fn in_place_models(view: &View) -> BTreeSet<ModelName> {
    let Some(configuration) = &view.configuration else { return BTreeSet::new() };
    let single_version_services: BTreeSet<&str> = configuration
        .routes()
        .iter()
        .filter(|route| route.single_version)
        .flat_map(|route| route.targets.iter().map(|target| &*target.service))
        .collect();
    let servers = view.servers.servers.iter();
    let multi_version_servers = servers.filter(|server| !single_version_services.contains(&*server.service));
    multi_version_servers.flat_map(|server| server.models.keys().cloned()).collect()
}
