//! Scenario files: the sizes of a fleet, its load, and the events that happen to it. README.md lists the keys.

mod check;
mod event;
mod file;

use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;

use self::check::{check_scenario, from_toml_error, line_number};
use crate::catalogue::Size;

/// A scenario file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It cannot be read.
    #[error("cannot read the scenario {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A key is missing, unknown or out of range.
    #[error("{path}:{line}: `{key}`: {reason}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key at fault.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A scenario: a fleet, its load and the events that happen to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Its name, for the report.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration once all nodes have a list, in seconds.
    pub duration_s: f64,
    /// Longest wait after that, in seconds, until all nodes have the newest version.
    #[serde(rename = "settle_s")]
    pub max_catch_up_s: f64,
    /// The sizes of the fleet.
    pub size: Size,
    /// The load, and the settings of the nodes.
    pub load: Load,
    /// The events, in the file's order.
    pub events: Vec<Event>,
}

/// The requests of clients, and the settings of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Requests in a second, over all nodes.
    pub requests_per_s: f64,
    /// Time in which a server responds, in milliseconds.
    pub service_ms: f64,
    /// Responses within this time have their full value, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// Time that a client waits for a response, in milliseconds.
    pub deadline_ms: f64,
    /// How long requests may be sent to a server that is listed as draining, in milliseconds.
    pub drain_grace_ms: f64,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Changes that the log of discovery retains.
    pub log_entries: usize,
}

/// An event of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// When it begins, in seconds from the begin of the run.
    pub at_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The kinds of events. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// Machines fail, servers restart and the configuration changes as often as on an ordinary day.
    OrdinaryDay {
        /// For how long.
        for_s: f64,
        /// How many times as often.
        speed: f64,
    },
    /// Servers are replaced, one batch after the other.
    RollingReplacement {
        /// The fraction of all servers, 0 to 1.
        part: f64,
        /// How many batches.
        batches: usize,
        /// The batches begin evenly over this time.
        over_s: f64,
        /// How long a server drains.
        drain_s: f64,
    },
    /// The machines of a rack fail.
    RackLost {
        /// The rack.
        rack: usize,
        /// Discovery takes its servers off the list after this time, if they are not back before.
        noticed_s: f64,
        /// They come back warming up after this time.
        for_s: f64,
    },
    /// The machines of a zone fail.
    ZoneLost {
        /// The zone.
        zone: usize,
        /// Discovery takes its servers off the list after this time, if they are not back before.
        noticed_s: f64,
        /// They come back warming up after this time.
        for_s: f64,
    },
    /// A region is partitioned from the others: its nodes receive no updates, and no request crosses its border.
    #[serde(rename = "region-cut")]
    RegionPartitioned {
        /// The region.
        region: usize,
        /// For how long.
        for_s: f64,
    },
    /// All nodes of a region are restarted.
    RestartNodes {
        /// The region.
        region: usize,
        /// Evenly over this time.
        over_s: f64,
    },
    /// The configuration of one service after another changes.
    ConfigurationStorm {
        /// How many changes.
        changes: usize,
        /// Evenly over this time.
        over_s: f64,
    },
    /// Discovery is unresponsive in all regions.
    #[serde(rename = "discovery-silent")]
    DiscoveryUnresponsive {
        /// For how long.
        for_s: f64,
    },
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Where it cannot be read, or with the key and line at fault.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let unreadable = |source| ScenarioError::Unreadable { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Self::parse(path, &text)
    }

    /// Reads the text of a scenario; `path` is only named in the error.
    ///
    /// # Errors
    ///
    /// Names the key and line at fault.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ScenarioError> {
        let raw = toml::from_str(text).map_err(|error| from_toml_error(text, &error));
        raw.and_then(check_scenario).map_err(|invalid| ScenarioError::Invalid {
            path: path.to_owned(),
            line: line_number(text, invalid.span.start),
            key: invalid.key,
            reason: invalid.reason,
        })
    }
}
