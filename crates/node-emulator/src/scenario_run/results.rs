//! The measurements of a run, and how they are assembled at its end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::running_fleet::RunningFleet;
use crate::counters::{DurationHistogram, NodeCounters, Summary};
use crate::steps::TimedStep;
use crate::traffic::TrafficTotals;
use crate::usage::Memory;
use crate::world::ResponseTotals;

/// What was measured in a run, from its begin (when all nodes had a list) to its end.
///
/// The names of the fields in the JSON report are older than those here.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioResults {
    /// Seconds from the start of the nodes until all had their first list.
    pub start_seconds: f64,
    /// Seconds from then to the end of the run.
    pub seconds: f64,
    /// Steps carried out.
    pub steps: usize,
    /// Versions that were published.
    pub versions: u64,
    /// Versions that some node reached or skipped.
    pub versions_reached: usize,
    /// Nodes that were not on the newest version at the end.
    pub nodes_behind_at_end: usize,
    /// From the publication of a version until a node applied it or a later one.
    pub node_lag: Summary,
    /// From the publication of a version until the last of the nodes that reached or skipped it did.
    pub all_nodes_lag: Summary,
    /// Seconds on a version that was not the newest, summed over nodes.
    pub node_seconds_behind: f64,
    /// From the start of a node to its first list, over the restarts in the run.
    pub restart: Summary,
    /// Time in which a node's decisions applied a list.
    #[serde(rename = "take_list")]
    pub apply_list: Summary,
    /// Time in which they decided about a new request.
    #[serde(rename = "take_request")]
    pub decide_request: Summary,
    /// By how much the node threads woke up late: this is contained in all other times.
    #[serde(rename = "late")]
    pub wake_up_delay: Summary,
    /// Responses of discovery, and requests to servers by their state.
    pub answers: ResponseTotals,
    /// Calls to discovery that failed or were not answered, seen by the nodes.
    pub failed_calls: u64,
    /// Restarts of nodes in the run.
    pub node_starts: u64,
    /// Requests that arrived at nodes.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts sent to servers.
    pub sends: u64,
    /// Probes sent to servers.
    pub probes: u64,
    /// Bytes that discovery sent to one node in a second, on average.
    pub control_bytes_per_node_s: f64,
    /// Processor time of the node threads, in percent of a core for each node.
    pub core_percent_per_node: f64,
}

/// The measurements of a run, with its use of resources.
pub struct ScenarioMeasurements {
    /// What was measured.
    pub results: ScenarioResults,
    /// Processor seconds by role of thread, in the run.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes and messages by role, in the run.
    pub traffic: BTreeMap<String, TrafficTotals>,
    /// Memory at the end, while all nodes ran.
    pub memory: Memory,
}

pub(super) fn cpu_seconds_since(
    now: &BTreeMap<String, f64>,
    earlier: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let difference = |(role, seconds): (&String, &f64)| {
        (role.clone(), (seconds - earlier.get(role).copied().unwrap_or(0.0)).max(0.0))
    };
    now.iter().map(difference).collect()
}

pub(super) fn totals_since(now: ResponseTotals, earlier: ResponseTotals) -> ResponseTotals {
    ResponseTotals {
        complete_lists: now.complete_lists - earlier.complete_lists,
        change_answers: now.change_answers - earlier.change_answers,
        unchanged_answers: now.unchanged_answers - earlier.unchanged_answers,
        sends_to_left: now.sends_to_left - earlier.sends_to_left,
        sends_to_draining: now.sends_to_draining - earlier.sends_to_draining,
        sends_to_unresponsive: now.sends_to_unresponsive - earlier.sends_to_unresponsive,
    }
}

impl RunningFleet {
    /// The number of nodes that are not on the newest version, and the sum of the times since they were.
    fn nodes_and_time_behind(&self, first: u64) -> (usize, Duration) {
        let now = Instant::now();
        let catalogue = self.world.catalogue();
        let (mut nodes, mut behind) = (0, Duration::ZERO);
        for version in self.known_versions.versions().filter(|version| *version < catalogue.revision()) {
            nodes += 1;
            let superseded_at = catalogue.published_at(version.max(first) + 1);
            behind += superseded_at
                .map_or(Duration::ZERO, |superseded_at| now.saturating_duration_since(superseded_at));
        }
        (nodes, behind)
    }

    pub(super) fn results(
        &self,
        counters: &NodeCounters,
        first: u64,
        (start_seconds, seconds): (f64, f64),
        steps: &[TimedStep],
        answers: ResponseTotals,
    ) -> ScenarioResults {
        let (nodes_behind_at_end, behind) = self.nodes_and_time_behind(first);
        let newest = self.world.catalogue().revision();
        let mut all_nodes = DurationHistogram::default();
        let reached = counters.propagation.iter().filter(|propagation| propagation.nodes > 0);
        reached.clone().for_each(|propagation| all_nodes.add(propagation.longest));
        ScenarioResults {
            start_seconds,
            seconds,
            steps: steps.len(),
            versions: newest - first,
            versions_reached: reached.count(),
            nodes_behind_at_end,
            node_lag: counters.lag.summary(),
            all_nodes_lag: all_nodes.summary(),
            node_seconds_behind: (counters.behind + behind).as_secs_f64(),
            restart: counters.start.summary(),
            apply_list: counters.endpoint_update.summary(),
            decide_request: counters.request.summary(),
            wake_up_delay: counters.wake_up_delay.summary(),
            answers,
            failed_calls: counters.failed_calls,
            node_starts: counters.starts,
            requests: counters.requests,
            served: counters.served,
            rejected: counters.rejected,
            failed: counters.failed,
            sends: counters.sends,
            probes: counters.probes,
            control_bytes_per_node_s: 0.0,
            core_percent_per_node: 0.0,
        }
    }

    pub(super) fn traffic(&self) -> BTreeMap<String, TrafficTotals> {
        let (discovery, server) = (self.world.discovery.totals(), self.world.servers.totals());
        // All traffic is between nodes and either discovery or servers: that of the nodes is the sum of both, reversed.
        let node = TrafficTotals {
            received_bytes: discovery.sent_bytes + server.sent_bytes,
            sent_bytes: discovery.received_bytes + server.received_bytes,
            messages: discovery.messages + server.messages,
            connections: discovery.connections + server.connections,
        };
        [("discovery", discovery), ("server", server), ("node", node)]
            .map(|(role, totals)| (role.to_owned(), totals))
            .into()
    }
}
