//! Scenario files: the sizes of a fleet, its load, and the events that happen to it. `README.md` of this
//! crate lists the keys.

mod check;
mod event;
mod file;

use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;

use self::check::{check_scenario, from_toml_error, line_number};
use crate::catalogue::Size;

/// Error of a scenario file that cannot be read or is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read the scenario {path}: {source}")]
    Unreadable {
        /// Path of the scenario file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// A key is missing, unknown or out of range.
    #[error("{path}:{line}: `{key}`: {reason}")]
    Invalid {
        /// Path of the scenario file.
        path: PathBuf,
        /// Number of the line, counted from 1.
        line: usize,
        /// Name of the invalid key.
        key: String,
        /// Reason for which the key or its value is invalid.
        reason: String,
    },
}

/// A scenario: a fleet, its load and the events that happen to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Name of the scenario. The default path of the report contains it.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of the run, in seconds. It begins when all nodes have a list.
    pub duration_s: f64,
    /// Maximum time after the duration, in seconds, in which the run waits until all nodes have the newest
    /// version.
    #[serde(rename = "settle_s")]
    pub max_catch_up_s: f64,
    /// The sizes of the fleet.
    pub size: Size,
    /// The requests of clients, and the settings of nodes and discovery.
    pub load: Load,
    /// The events in the order of the file.
    pub events: Vec<Event>,
}

/// The requests of clients, and the settings of nodes and discovery.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Rate of requests per second, summed over all nodes.
    pub requests_per_s: f64,
    /// Time that a server takes to respond, in milliseconds.
    pub service_ms: f64,
    /// Latency target in milliseconds. Responses within this time have their full value.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// Time in milliseconds after which a client stops waiting for a response.
    pub deadline_ms: f64,
    /// Time in milliseconds during which requests may still be sent to a server after it is listed as
    /// draining.
    pub drain_grace_ms: f64,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Maximum number of changes in the log of discovery. To a client with a version that the log does not
    /// reach back to, discovery sends the complete list.
    pub log_entries: usize,
}

/// An event of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Time at which the event begins, in seconds from the start of the run.
    pub at_s: f64,
    /// Kind of the event with its parameters.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The kinds of events. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// Machines fail, servers restart and the configuration changes at the rates of an ordinary day,
    /// multiplied by `speed`.
    OrdinaryDay {
        /// Duration of the event.
        for_s: f64,
        /// Factor by which the rates of an ordinary day are multiplied.
        speed: f64,
    },
    /// Servers are replaced, one batch after the other.
    RollingReplacement {
        /// Fraction of all servers that are replaced, 0 to 1.
        part: f64,
        /// Number of batches.
        batches: usize,
        /// Time over which the starts of the batches are evenly distributed.
        over_s: f64,
        /// Time for which a replaced server drains before it ends.
        drain_s: f64,
    },
    /// All machines of a rack fail at the same time.
    RackLost {
        /// Index of the rack.
        rack: usize,
        /// Time after which discovery removes the servers from the list, unless they are back before.
        noticed_s: f64,
        /// Time after which the servers are back; they have restarted and warm up.
        for_s: f64,
    },
    /// All machines of a zone fail at the same time.
    ZoneLost {
        /// Index of the zone.
        zone: usize,
        /// Time after which discovery removes the servers from the list, unless they are back before.
        noticed_s: f64,
        /// Time after which the servers are back; they have restarted and warm up.
        for_s: f64,
    },
    /// A region is partitioned from all others: its nodes receive no updates of the list, and no request
    /// enters or leaves the region.
    #[serde(rename = "region-cut")]
    RegionPartitioned {
        /// Index of the region.
        region: usize,
        /// Duration of the partition.
        for_s: f64,
    },
    /// All nodes of a region are restarted, one after the other.
    RestartNodes {
        /// Index of the region.
        region: usize,
        /// Time over which the restarts are evenly distributed.
        over_s: f64,
    },
    /// The configuration of randomly selected services changes.
    ConfigurationStorm {
        /// Number of changes.
        changes: usize,
        /// Time over which the changes are evenly distributed.
        over_s: f64,
    },
    /// The discovery agents of all regions are unresponsive.
    #[serde(rename = "discovery-silent")]
    DiscoveryUnresponsive {
        /// Duration of the outage.
        for_s: f64,
    },
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or names the first invalid key and its line.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let unreadable = |source| ScenarioError::Unreadable { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Self::parse(path, &text)
    }

    /// Parses the text of a scenario file. `path` is used only in errors.
    ///
    /// # Errors
    ///
    /// Names the first invalid key and its line.
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
