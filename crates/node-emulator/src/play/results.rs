//! What a play measured, and how it is put together at the end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::running_fleet::RunningFleet;
use crate::counters::{NodeCounters, Summary, Times};
use crate::steps::Timed;
use crate::traffic::Sums;
use crate::usage::Memory;
use crate::world::CountSums;

/// What a play measured, from its start (when all nodes had a list) to its end.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Seconds until all nodes had their first list.
    pub start_seconds: f64,
    /// Seconds from then to the end.
    pub seconds: f64,
    /// Steps done.
    pub steps: usize,
    /// Versions that came to be.
    pub versions: u64,
    /// Versions that some node held, or went past, in the play.
    pub versions_reached: usize,
    /// Nodes that were not on the newest version at the end.
    pub nodes_behind_at_end: usize,
    /// From a version's coming to be until one node held it or a later one.
    pub node_lag: Summary,
    /// From a version's coming to be until the last node that went to it or past it held it.
    pub all_nodes_lag: Summary,
    /// Seconds, added up over nodes, on a version that was not the newest.
    pub node_seconds_behind: f64,
    /// From a node's start to its first list, over the starts in the play.
    pub restart: Summary,
    /// What a node's decisions took to take a list in.
    pub take_list: Summary,
    /// What they took for a request.
    pub take_request: Summary,
    /// How much later than asked for the node threads woke up: what they add to all other times.
    pub late: Summary,
    /// What discovery and the servers did.
    pub answers: CountSums,
    /// Calls to discovery that failed or were not answered, seen by the nodes.
    pub failed_calls: u64,
    /// Node starts.
    pub node_starts: u64,
    /// Requests that came to nodes.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts.
    pub sends: u64,
    /// Probes.
    pub probes: u64,
    /// Bytes that discovery sent to one node in a second, on average.
    pub control_bytes_per_node_s: f64,
    /// Processor time of the node threads, in percent of a core for each node.
    pub core_percent_per_node: f64,
}

/// Everything that a report of a play has.
pub struct Played {
    /// What was measured.
    pub results: Results,
    /// Processor seconds by role, in the play.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes and messages by role, in the play.
    pub traffic: BTreeMap<String, Sums>,
    /// Memory at the end, while all nodes ran.
    pub memory: Memory,
}

pub(super) fn since(now: &BTreeMap<String, f64>, earlier: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let less = |(role, seconds): (&String, &f64)| {
        (role.clone(), (seconds - earlier.get(role).copied().unwrap_or(0.0)).max(0.0))
    };
    now.iter().map(less).collect()
}

pub(super) fn count_since(now: CountSums, earlier: CountSums) -> CountSums {
    CountSums {
        complete_lists: now.complete_lists - earlier.complete_lists,
        change_answers: now.change_answers - earlier.change_answers,
        no_news_answers: now.no_news_answers - earlier.no_news_answers,
        sends_to_left: now.sends_to_left - earlier.sends_to_left,
        sends_to_draining: now.sends_to_draining - earlier.sends_to_draining,
        sends_to_silent: now.sends_to_silent - earlier.sends_to_silent,
    }
}

impl RunningFleet {
    /// Nodes that are not on the newest version, and how long they have not been, added up over nodes.
    fn still_behind(&self, first: u64) -> (usize, Duration) {
        let now = Instant::now();
        let catalogue = self.world.catalogue();
        let (mut nodes, mut behind) = (0, Duration::ZERO);
        for version in self.known_versions.versions().filter(|version| *version < catalogue.revision()) {
            nodes += 1;
            let since = catalogue.published(version.max(first) + 1);
            behind += since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        }
        (nodes, behind)
    }

    pub(super) fn results(
        &self,
        counters: &NodeCounters,
        first: u64,
        (start_seconds, seconds): (f64, f64),
        steps: &[Timed],
        answers: CountSums,
    ) -> Results {
        let (nodes_behind_at_end, behind) = self.still_behind(first);
        let newest = self.world.catalogue().revision();
        let mut all_nodes = Times::default();
        let reached = counters.spread.iter().filter(|spread| spread.nodes > 0);
        reached.clone().for_each(|spread| all_nodes.add(spread.longest));
        Results {
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
            take_list: counters.endpoint_update.summary(),
            take_request: counters.request.summary(),
            late: counters.late.summary(),
            answers,
            failed_calls: counters.failed_calls,
            node_starts: counters.starts,
            requests: counters.requests,
            served: counters.served,
            refused: counters.refused,
            failed: counters.failed,
            sends: counters.sends,
            probes: counters.probes,
            control_bytes_per_node_s: 0.0,
            core_percent_per_node: 0.0,
        }
    }

    pub(super) fn traffic(&self) -> BTreeMap<String, Sums> {
        let (discovery, server) = (self.world.discovery.sums(), self.world.servers.sums());
        // What nodes exchange is what the two others do, seen from the other side.
        let node = Sums {
            received_bytes: discovery.sent_bytes + server.sent_bytes,
            sent_bytes: discovery.received_bytes + server.received_bytes,
            messages: discovery.messages + server.messages,
            connections: discovery.connections + server.connections,
        };
        [("discovery", discovery), ("server", server), ("node", node)]
            .map(|(role, sums)| (role.to_owned(), sums))
            .into()
    }
}
