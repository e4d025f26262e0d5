//! The measurements of a run, and their assembly at the end of the run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::running_fleet::RunningFleet;
use crate::counters::{DurationHistogram, NodeCounters, Summary};
use crate::steps::TimedStep;
use crate::traffic::TrafficTotals;
use crate::usage::Memory;
use crate::world::ResponseTotals;

/// The measurements from the start of a run, when all nodes have a list, to its end.
///
/// Some fields have other names in the JSON report, which tools read and which therefore do not change.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioResults {
    /// Seconds from the start of the nodes until all had their first list.
    pub start_seconds: f64,
    /// Duration of the run in seconds, from the moment when all nodes had a list.
    pub seconds: f64,
    /// Number of steps that were executed.
    pub steps: usize,
    /// Number of versions that were published during the run.
    pub versions: u64,
    /// Number of versions that at least one node applied, or skipped by applying a later one.
    pub versions_reached: usize,
    /// Number of nodes that did not have the newest version at the end.
    pub nodes_behind_at_end: usize,
    /// Time from the publication of a version until a node applied it or a later one.
    pub node_lag: Summary,
    /// For each version the longest time from its publication until a node applied it or a later one. Nodes
    /// that did neither are not included.
    pub all_nodes_lag: Summary,
    /// Time in seconds during which nodes had a version that was not the newest, summed over nodes.
    pub node_seconds_behind: f64,
    /// Time from the restart of a node during the run until it applied its first list.
    pub restart: Summary,
    /// Time in which the `Balancer` of a node applied a list.
    #[serde(rename = "take_list")]
    pub apply_list: Summary,
    /// Time in which the `Balancer` of a node decided about a new request.
    #[serde(rename = "take_request")]
    pub decide_request: Summary,
    /// Delay between the due time of a timer and the wake-up of a node thread. All other durations include
    /// such delays.
    #[serde(rename = "late")]
    pub wake_up_delay: Summary,
    /// Responses of discovery by kind, and requests to servers by the state of the server.
    pub answers: ResponseTotals,
    /// Number of calls to discovery that failed or received no response, as counted by the nodes.
    pub failed_calls: u64,
    /// Number of restarts of nodes during the run.
    pub node_starts: u64,
    /// Number of requests that arrived at nodes.
    pub requests: u64,
    /// Number of requests whose client received the response of a server.
    pub served: u64,
    /// Number of requests that were rejected without being executed.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests that failed and may have been executed.
    pub failed: u64,
    /// Number of attempts that were sent to servers.
    pub sends: u64,
    /// Number of load probes that were sent to servers.
    pub probes: u64,
    /// Average rate at which discovery sent to one node, in bytes per second.
    pub control_bytes_per_node_s: f64,
    /// Average processor time of the node threads per node, in percent of a core.
    pub core_percent_per_node: f64,
}

/// The measurements of a run, including its use of resources.
pub struct ScenarioMeasurements {
    /// Measurements of lists and requests.
    pub results: ScenarioResults,
    /// Processor seconds by role of thread, during the run.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes, messages and connections by role, during the run.
    pub traffic: BTreeMap<String, TrafficTotals>,
    /// Memory at the end of the run, while all nodes are still running.
    pub memory: Memory,
}

/// Returns the processor seconds that were used since an earlier reading, by role.
pub(super) fn cpu_seconds_since(
    now: &BTreeMap<String, f64>,
    earlier: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let difference = |(role, seconds): (&String, &f64)| {
        (role.clone(), (seconds - earlier.get(role).copied().unwrap_or(0.0)).max(0.0))
    };
    now.iter().map(difference).collect()
}

/// Returns the difference of the counts to earlier ones.
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
    /// Returns the number of nodes that do not have the newest version, and the sum of the times since their
    /// versions were superseded. `first` is the version at the start of the run; earlier publications do not
    /// count.
    fn nodes_and_time_behind(&self, first: u64) -> (usize, Duration) {
        let now = Instant::now();
        let catalogue = self.world.catalogue();
        let (mut nodes, mut behind) = (0, Duration::ZERO);
        for version in self.node_versions.versions().filter(|version| *version < catalogue.revision()) {
            nodes += 1;
            let superseded_at = catalogue.published_at(version.max(first) + 1);
            behind += superseded_at
                .map_or(Duration::ZERO, |superseded_at| now.saturating_duration_since(superseded_at));
        }
        (nodes, behind)
    }

    /// Assembles the results. Rates per node are 0 and filled in by the caller.
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

    /// Returns the traffic of discovery, servers and nodes since the start of their threads.
    pub(super) fn traffic(&self) -> BTreeMap<String, TrafficTotals> {
        let (discovery, server) = (self.world.discovery.totals(), self.world.servers.totals());
        // All traffic is between nodes and either discovery or servers. The traffic of the nodes is therefore
        // the sum of the other two, with sent and received bytes exchanged.
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
