//! What came of a run.

use std::fmt;

use serde::Serialize;

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Training steps that were done: all wanted groups came.
    pub steps_done: u64,
    /// Training steps that were not.
    pub steps_failed: u64,
    /// Whole groups.
    pub groups_whole: u64,
    /// Results that were listed.
    pub results: u64,
    /// Requests of clients.
    pub requests_sent: u64,
    /// Requests of clients that were served.
    pub requests_served: u64,
    /// Changes of the configuration that were acknowledged.
    pub configurations: u64,
    /// The newest version of the weights that was named.
    pub newest_version: u64,
    /// Versions of the weights that the engines ended with.
    pub engine_versions: Vec<u64>,
    /// Orders that engines took.
    pub orders: u64,
    /// Calls to the platform, and those of them over its rate.
    pub platform_calls: (u64, u64),
    /// From the start of the processes until all nodes were ready.
    pub start_seconds: f64,
    /// All of the run.
    pub seconds: f64,
    /// Troubles that were made.
    pub troubles: Vec<String>,
    /// Broken rules, the first ones of them.
    pub violations: Vec<String>,
    /// All broken rules.
    pub violations_seen: usize,
}

impl Report {
    /// Whether every step was done and no rule was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.steps_failed == 0 && self.violations_seen == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = self.steps_done + self.steps_failed;
        writeln!(
            f,
            "steps     {} of {steps} done, {} whole groups, {} results",
            self.steps_done, self.groups_whole, self.results
        )?;
        writeln!(f, "requests  {} of {} served", self.requests_served, self.requests_sent)?;
        let (calls, over) = self.platform_calls;
        writeln!(
            f,
            "versions  {} named, engines at {:?}, {} orders",
            self.newest_version, self.engine_versions, self.orders
        )?;
        writeln!(
            f,
            "control   {} configurations taken, {calls} calls to the platform ({over} over its rate)",
            self.configurations
        )?;
        writeln!(f, "time      ready after {:.1} s, {:.1} s in all", self.start_seconds, self.seconds)?;
        for trouble in &self.troubles {
            writeln!(f, "trouble   {trouble}")?;
        }
        writeln!(f, "rules     {} broken", self.violations_seen)?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}
