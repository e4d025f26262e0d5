//! The report of a run.

use std::fmt;

use serde::Serialize;

use crate::platform::PlatformCalls;

/// The report of a run; its text and JSON are read by people and scripts.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LocalReport {
    /// Training steps whose required groups were completed.
    pub steps_done: u64,
    /// All other training steps.
    pub steps_failed: u64,
    /// Groups that were completed.
    #[serde(rename = "groups_whole")]
    pub complete_groups: u64,
    /// Results that were read.
    pub results: u64,
    /// Requests of clients.
    pub requests_sent: u64,
    /// Requests of clients that were served.
    pub requests_served: u64,
    /// Changes of the configuration that were acknowledged.
    pub configurations: u64,
    /// The newest version of the weights that the trainer named.
    pub newest_version: u64,
    /// The version of the weights of each engine at the end.
    pub engine_versions: Vec<u64>,
    /// Orders that engines accepted.
    pub orders: u64,
    /// Calls to the platform.
    pub platform_calls: PlatformCalls,
    /// Seconds from the start of the run until all nodes were ready.
    pub start_seconds: f64,
    /// Seconds from the start of the run to its end.
    pub seconds: f64,
    /// Faults that were injected.
    #[serde(rename = "troubles")]
    pub faults: Vec<String>,
    /// The first violations of rules.
    pub violations: Vec<String>,
    /// The number of all violations.
    #[serde(rename = "violations_seen")]
    pub violation_count: usize,
}

impl LocalReport {
    /// Whether every step was done and no rule was broken.
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
