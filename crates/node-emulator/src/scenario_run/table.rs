//! The table that is printed at the end of a run.

use std::fmt::Write as _;

use super::results::{ScenarioMeasurements, ScenarioResults};
use crate::counters::Summary;
use crate::scenario::Scenario;

/// A text table; each row has a name and a value.
#[derive(Default)]
struct Table(String);

impl Table {
    fn add_row(&mut self, name: &str, value: impl std::fmt::Display) {
        // Writing to a string does not fail.
        let _ = writeln!(self.0, "{name:<28} {value}");
    }
}

/// Formats the measurements of a run as a table with a row for each measurement.
#[must_use]
pub fn table(scenario: &Scenario, measured: &ScenarioMeasurements) -> String {
    let mut table = Table::default();
    add_overview(&mut table, scenario, &measured.results);
    add_requests(&mut table, &measured.results);
    add_resources(&mut table, measured);
    table.0
}

fn format_summary(s: &Summary) -> String {
    format!("p50 {:.1}  p99 {:.1}  max {:.1} ms  ({})", s.p50_ms, s.p99_ms, s.max_ms, s.count)
}

fn add_overview(table: &mut Table, scenario: &Scenario, r: &ScenarioResults) {
    let size = scenario.size;
    table.add_row("scenario", format!("{} (seed {})", scenario.name, scenario.seed));
    table.add_row("nodes, servers, services", format!("{}, {}, {}", size.nodes, size.servers, size.services));
    table.add_row("first lists, run", format!("{:.1} s, {:.1} s", r.start_seconds, r.seconds));
    table.add_row("steps, versions", format!("{}, {} ({} reached)", r.steps, r.versions, r.versions_reached));
    table.add_row("a node has a version after", format_summary(&r.node_lag));
    table.add_row("all nodes have it after", format_summary(&r.all_nodes_lag));
    table.add_row("nodes behind at the end", r.nodes_behind_at_end);
    table.add_row("time on old versions", format!("{:.1} node seconds", r.node_seconds_behind));
    table.add_row("balancer applies a list", format_summary(&r.apply_list));
    table.add_row("balancer decides a request", format_summary(&r.decide_request));
    table.add_row("wake-up delay of threads", format_summary(&r.wake_up_delay));
    let a = &r.answers;
    let (complete, changes, unchanged) = (a.complete_lists, a.change_answers, a.unchanged_answers);
    table.add_row(
        "responses of discovery",
        format!("{complete} complete lists, {changes} with changes, {unchanged} without changes"),
    );
    table.add_row("failed calls to discovery", r.failed_calls);
    if r.node_starts > 0 {
        table
            .add_row("node starts, first list", format!("{}, {}", r.node_starts, format_summary(&r.restart)));
    }
}

fn add_requests(table: &mut Table, r: &ScenarioResults) {
    table.add_row(
        "requests",
        format!("{}: {} served, {} rejected, {} failed", r.requests, r.served, r.rejected, r.failed),
    );
    let a = &r.answers;
    let (left, draining, unresponsive) = (a.sends_to_left, a.sends_to_draining, a.sends_to_unresponsive);
    table.add_row(
        "attempts",
        format!(
            "{}: {left} to ended, {draining} to draining, {unresponsive} to unresponsive servers",
            r.sends
        ),
    );
}

fn add_resources(table: &mut Table, measured: &ScenarioMeasurements) {
    for (role, totals) in &measured.traffic {
        let (received, sent) = (totals.received_bytes, totals.sent_bytes);
        let (messages, connections) = (totals.messages, totals.connections);
        table.add_row(
            &format!("{role}: bytes in, out"),
            format!("{received}, {sent}; {messages} messages, {connections} new connections"),
        );
    }
    for (role, seconds) in &measured.cpu_seconds {
        table.add_row(&format!("{role}: processor time"), format!("{seconds:.2} s"));
    }
    let r = &measured.results;
    let (bytes, core) = (r.control_bytes_per_node_s, r.core_percent_per_node);
    table.add_row("average of a node", format!("{bytes:.0} bytes/s from discovery, {core:.3}% of a core"));
    let mib = |bytes: u64| bytes >> 20;
    table.add_row(
        "memory",
        format!("{} MiB, {} at the peak", mib(measured.memory.resident), mib(measured.memory.peak)),
    );
}
