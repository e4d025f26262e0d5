//! Scenario files: what a fleet is made of and what happens to it. README.md lists the keys.

mod check;
mod event;
mod file;

use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;

use self::check::{check_scenario, line_of, toml_fault};
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
    #[error("{path}:{line}: `{key}`: {why}")]
    Bad {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key at fault.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

/// What is played.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Its name, for the report.
    pub name: String,
    /// All random numbers follow from it.
    pub seed: u64,
    /// How long it takes once all nodes hold a list, in seconds.
    pub duration_s: f64,
    /// How long it goes on after that, in seconds, at the most: until all nodes hold the newest version.
    pub settle_s: f64,
    /// How many there are of each.
    pub size: Size,
    /// What comes in, and the settings of the nodes.
    pub load: Load,
    /// What happens, in the file's order.
    pub events: Vec<Event>,
}

/// What comes in, and the settings of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Requests in a second, over all nodes.
    pub requests_per_s: f64,
    /// What a server takes to answer, in milliseconds.
    pub service_ms: f64,
    /// Answers within this time have their full value, in milliseconds.
    pub aim_ms: f64,
    /// What a client waits, in milliseconds.
    pub deadline_ms: f64,
    /// How long requests may go to a server that is announced to drain, in milliseconds.
    pub drain_grace_ms: f64,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Changes that discovery's log holds.
    pub log_entries: usize,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// When, in seconds from the start of the play.
    pub at_s: f64,
    /// What.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What can happen. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// Machines fail, servers restart and the configuration changes as often as on a usual day.
    OrdinaryDay {
        /// For how long.
        for_s: f64,
        /// How many times as often.
        speed: f64,
    },
    /// Servers are replaced, one batch after the other.
    RollingReplacement {
        /// The part of all servers.
        part: f64,
        /// How many batches.
        batches: usize,
        /// The batches begin evenly over this time.
        over_s: f64,
        /// How long a server drains.
        drain_s: f64,
    },
    /// The machines of a rack vanish.
    RackLost {
        /// Which.
        rack: usize,
        /// Discovery takes its servers off the list after this time.
        noticed_s: f64,
        /// They come back warming up after this time.
        for_s: f64,
    },
    /// The machines of a zone vanish.
    ZoneLost {
        /// Which.
        zone: usize,
        /// Discovery takes its servers off the list after this time.
        noticed_s: f64,
        /// They come back warming up after this time.
        for_s: f64,
    },
    /// A region is cut off from the others: its nodes receive no updates, and no request crosses its border.
    RegionCut {
        /// Which.
        region: usize,
        /// For how long.
        for_s: f64,
    },
    /// All nodes of a region are restarted.
    RestartNodes {
        /// Which.
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
    /// Discovery says nothing in any region.
    DiscoverySilent {
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
        let raw = toml::from_str(text).map_err(|error| toml_fault(text, &error));
        raw.and_then(check_scenario).map_err(|fault| ScenarioError::Bad {
            path: path.to_owned(),
            line: line_of(text, fault.at.start),
            key: fault.key,
            why: fault.why,
        })
    }
}
