//! The report of a run.

use std::fmt;

use serde::Serialize;

use crate::platform::PlatformCalls;

/// The report of a run. Scripts read its JSON and its text form, so neither may change.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LocalReport {
    /// Number of training steps whose required groups were completed.
    pub steps_done: u64,
    /// Number of all other training steps.
    pub steps_failed: u64,
    /// Number of groups that were completed, in all steps together.
    #[serde(rename = "groups_whole")]
    pub complete_groups: u64,
    /// Number of results that the trainer read.
    pub results: u64,
    /// Number of requests that clients sent.
    pub requests_sent: u64,
    /// Number of client requests that got a response with a 2xx status within their time limit.
    pub requests_served: u64,
    /// Number of configurations that were acknowledged, including the initial one.
    pub configurations: u64,
    /// Newest version of the weights that the trainer named for roll-out.
    pub newest_version: u64,
    /// Version of the weights of each engine at the end of the run.
    pub engine_versions: Vec<u64>,
    /// Number of valid orders that arrived at engines.
    pub orders: u64,
    /// Numbers of calls to the platform.
    pub platform_calls: PlatformCalls,
    /// Seconds from the start of the run until all nodes were ready.
    pub start_seconds: f64,
    /// Seconds from the start of the run to its end.
    pub seconds: f64,
    /// Faults that were injected, in their text form.
    #[serde(rename = "troubles")]
    pub faults: Vec<String>,
    /// Descriptions of the first violations of rules, at most 200.
    pub violations: Vec<String>,
    /// Number of all violations.
    #[serde(rename = "violations_seen")]
    pub violation_count: usize,
}

impl LocalReport {
    /// Returns whether no step failed and no rule was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.steps_failed == 0 && self.violation_count == 0
    }
}

impl fmt::Display for LocalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = self.steps_done + self.steps_failed;
        writeln!(
            f,
            "steps     {} of {steps} done, {} whole groups, {} results",
            self.steps_done, self.complete_groups, self.results
        )?;
        writeln!(f, "requests  {} of {} served", self.requests_served, self.requests_sent)?;
        let PlatformCalls { total: calls, rejected } = self.platform_calls;
        writeln!(
            f,
            "versions  {} named, engines at {:?}, {} orders",
            self.newest_version, self.engine_versions, self.orders
        )?;
        writeln!(
            f,
            "control   {} configurations taken, {calls} calls to the platform ({rejected} over its rate)",
            self.configurations
        )?;
        writeln!(f, "time      ready after {:.1} s, {:.1} s in all", self.start_seconds, self.seconds)?;
        for fault in &self.faults {
            writeln!(f, "trouble   {fault}")?;
        }
        writeln!(f, "rules     {} broken", self.violation_count)?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}
