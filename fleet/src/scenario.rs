//! Scenario files: what a fleet is made of and what happens to it. README.md lists the keys.

use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use toml::Spanned;

use crate::catalogue::Size;

/// A play is no longer than a day, in seconds.
const LONGEST_S: f64 = 86_400.0;
/// Nodes have so long to come to the newest version after the play, where the scenario says nothing.
const SETTLE_S: f64 = 30.0;
/// No size is larger.
const SIZE_MOST: usize = 1_000_000;
/// Each region has an address of its own.
const REGIONS_MOST: usize = 250;

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
    /// Answers within this time have their full worth, in milliseconds.
    pub aim_ms: f64,
    /// What a client waits, in milliseconds.
    pub deadline_ms: f64,
    /// How long requests may go to a server that is told to drain, in milliseconds.
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
        /// They come back cold after this time.
        for_s: f64,
    },
    /// The machines of a zone vanish.
    ZoneLost {
        /// Which.
        zone: usize,
        /// Discovery takes its servers off the list after this time.
        noticed_s: f64,
        /// They come back cold after this time.
        for_s: f64,
    },
    /// A region is cut off from the others: its nodes hear no news, and no request crosses its border.
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawScenario {
    name: Spanned<String>,
    seed: u64,
    duration_s: Spanned<f64>,
    settle_s: Option<Spanned<f64>>,
    size: RawSize,
    #[serde(default)]
    load: RawLoad,
    #[serde(default)]
    event: Vec<Spanned<RawEvent>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSize {
    regions: Spanned<usize>,
    zones: Spanned<usize>,
    racks: Spanned<usize>,
    services: Spanned<usize>,
    servers: Spanned<usize>,
    nodes: Spanned<usize>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLoad {
    requests_per_s: Option<Spanned<f64>>,
    service_ms: Option<Spanned<f64>>,
    aim_ms: Option<Spanned<f64>>,
    deadline_ms: Option<Spanned<f64>>,
    drain_grace_ms: Option<Spanned<f64>>,
    max_attempts: Option<Spanned<usize>>,
    log_entries: Option<Spanned<usize>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEvent {
    kind: Option<Spanned<String>>,
    at_s: Option<Spanned<f64>>,
    for_s: Option<Spanned<f64>>,
    over_s: Option<Spanned<f64>>,
    noticed_s: Option<Spanned<f64>>,
    drain_s: Option<Spanned<f64>>,
    speed: Option<Spanned<f64>>,
    part: Option<Spanned<f64>>,
    batches: Option<Spanned<usize>>,
    changes: Option<Spanned<usize>>,
    rack: Option<Spanned<usize>>,
    zone: Option<Spanned<usize>>,
    region: Option<Spanned<usize>>,
}

/// A fault at a place of the text.
struct Fault {
    at: Range<usize>,
    key: String,
    why: String,
}

fn fault<T>(at: Range<usize>, key: &str, why: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { at, key: key.into(), why: why.into() })
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
        raw.and_then(check).map_err(|fault| ScenarioError::Bad {
            path: path.to_owned(),
            line: line_of(text, fault.at.start),
            key: fault.key,
            why: fault.why,
        })
    }
}

fn line_of(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|byte| *byte == b'\n').count()
}

/// What the TOML reader has to say. It names a key only where that is missing or unknown; otherwise the key is the
/// one of the line.
fn toml_fault(text: &str, error: &toml::de::Error) -> Fault {
    let at = error.span().unwrap_or(0..0);
    let why = error.message().to_owned();
    let named = ["missing field `", "unknown field `", "duplicate key `"].iter();
    let mut named = named.filter_map(|before| why.split_once(before)?.1.split_once('`')).map(|(key, _)| key);
    let line = text.lines().nth(line_of(text, at.start) - 1).unwrap_or_default();
    let of_line = line.split_once('=').map_or(line, |(key, _)| key).trim();
    let key = named.next_back().unwrap_or(of_line).to_owned();
    Fault { at, key, why }
}

fn check(raw: RawScenario) -> Result<Scenario, Fault> {
    let name = raw.name.get_ref();
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
        return fault(raw.name.span(), "name", "must be 1 to 64 letters, digits, `-` or `_`");
    }
    let duration_s = within(&raw.duration_s, "duration_s", 0.1, LONGEST_S)?;
    let settle_s = raw.settle_s.as_ref();
    let settle_s = settle_s.map_or(Ok(SETTLE_S), |value| within(value, "settle_s", 0.0, LONGEST_S))?;
    let size = check_size(&raw.size)?;
    let load = check_load(&raw.load)?;
    let events = raw.event.into_iter().map(|event| check_event(event, size, duration_s));
    Ok(Scenario {
        name: raw.name.into_inner(),
        seed: raw.seed,
        duration_s,
        settle_s,
        size,
        load,
        events: events.collect::<Result<_, _>>()?,
    })
}

fn check_size(raw: &RawSize) -> Result<Size, Fault> {
    let count = |value: &Spanned<usize>, key, least: usize, why: &str, most: usize| match *value.get_ref() {
        n if n < least || n == 0 => fault(value.span(), key, format!("must be at least {why}")),
        n if n > most => fault(value.span(), key, format!("must be {most} at most")),
        n => Ok(n),
    };
    let regions = count(&raw.regions, "size.regions", 1, "1", REGIONS_MOST)?;
    let zones = count(&raw.zones, "size.zones", regions, "the number of regions", SIZE_MOST)?;
    let racks = count(&raw.racks, "size.racks", zones, "the number of zones", 1 << 16)?;
    let services = count(&raw.services, "size.services", 1, "1", SIZE_MOST)?;
    let least = racks.max(services);
    let servers =
        count(&raw.servers, "size.servers", least, "the number of racks and of services", SIZE_MOST)?;
    let nodes = count(&raw.nodes, "size.nodes", 1, "1", SIZE_MOST)?;
    Ok(Size { regions, zones, racks, services, servers, nodes })
}

fn check_load(raw: &RawLoad) -> Result<Load, Fault> {
    let figure = |value: &Option<Spanned<f64>>, key, usual: f64, least, most| {
        value.as_ref().map_or(Ok(usual), |value| within(value, key, least, most))
    };
    let whole = |value: &Option<Spanned<usize>>, key, usual: usize| match value {
        Some(value) if *value.get_ref() == 0 || *value.get_ref() > SIZE_MOST => {
            fault(value.span(), key, format!("must be 1 to {SIZE_MOST}"))
        }
        value => Ok(value.as_ref().map_or(usual, |value| *value.get_ref())),
    };
    Ok(Load {
        requests_per_s: figure(&raw.requests_per_s, "load.requests_per_s", 0.0, 0.0, 1e6)?,
        service_ms: figure(&raw.service_ms, "load.service_ms", 5.0, 0.0, 60_000.0)?,
        aim_ms: figure(&raw.aim_ms, "load.aim_ms", 80.0, 1.0, 60_000.0)?,
        deadline_ms: figure(&raw.deadline_ms, "load.deadline_ms", 400.0, 1.0, 60_000.0)?,
        drain_grace_ms: figure(&raw.drain_grace_ms, "load.drain_grace_ms", 2_000.0, 0.0, 60_000.0)?,
        max_attempts: whole(&raw.max_attempts, "load.max_attempts", 3)?,
        log_entries: whole(&raw.log_entries, "load.log_entries", 65_536)?,
    })
}

fn within(value: &Spanned<f64>, key: &str, least: f64, most: f64) -> Result<f64, Fault> {
    let figure = *value.get_ref();
    if figure.is_finite() && (least..=most).contains(&figure) {
        return Ok(figure);
    }
    fault(value.span(), key, format!("must be {least} to {most}"))
}

/// Takes the keys of an event one by one; what is left over does not belong to its kind.
struct Keys {
    raw: RawEvent,
    span: Range<usize>,
    duration_s: f64,
}

impl Keys {
    fn need<T>(&self, value: Option<T>, key: &str) -> Result<T, Fault> {
        value.map_or_else(|| fault(self.span.clone(), key, "is missing"), Ok)
    }

    /// A time within the play, in seconds.
    fn time(&self, value: Option<Spanned<f64>>, key: &str) -> Result<f64, Fault> {
        within(&self.need(value, key)?, key, 0.0, self.duration_s)
    }

    fn index(&self, value: Option<Spanned<usize>>, key: &str, count: usize) -> Result<usize, Fault> {
        let value = self.need(value, key)?;
        if *value.get_ref() < count {
            return Ok(value.into_inner());
        }
        fault(value.span(), key, format!("there are {count}, numbered from 0"))
    }

    fn for_s(&mut self) -> Result<f64, Fault> {
        let value = self.raw.for_s.take();
        self.time(value, "for_s")
    }

    fn over_s(&mut self) -> Result<f64, Fault> {
        let value = self.raw.over_s.take();
        self.time(value, "over_s")
    }

    fn noticed_s(&mut self) -> Result<f64, Fault> {
        let value = self.raw.noticed_s.take();
        self.time(value, "noticed_s")
    }

    fn region(&mut self, size: Size) -> Result<usize, Fault> {
        let value = self.raw.region.take();
        self.index(value, "region", size.regions)
    }

    fn nothing_left(&self) -> Result<(), Fault> {
        let raw = &self.raw;
        let span = |value: &Option<Spanned<f64>>| value.as_ref().map(Spanned::span);
        let whole = |value: &Option<Spanned<usize>>| value.as_ref().map(Spanned::span);
        let left = [
            ("for_s", span(&raw.for_s)),
            ("over_s", span(&raw.over_s)),
            ("noticed_s", span(&raw.noticed_s)),
            ("drain_s", span(&raw.drain_s)),
            ("speed", span(&raw.speed)),
            ("part", span(&raw.part)),
            ("batches", whole(&raw.batches)),
            ("changes", whole(&raw.changes)),
            ("rack", whole(&raw.rack)),
            ("zone", whole(&raw.zone)),
            ("region", whole(&raw.region)),
        ];
        match left.into_iter().find_map(|(key, span)| Some((key, span?))) {
            Some((key, span)) => fault(span, key, "does not belong to an event of this kind"),
            None => Ok(()),
        }
    }
}

fn check_event(event: Spanned<RawEvent>, size: Size, duration_s: f64) -> Result<Event, Fault> {
    let mut keys = Keys { span: event.span(), raw: event.into_inner(), duration_s };
    let kind = keys.raw.kind.take();
    let kind = keys.need(kind, "kind")?;
    let at = keys.raw.at_s.take();
    let at_span = at.as_ref().map_or(keys.span.clone(), Spanned::span);
    let at_s = keys.time(at, "at_s")?;
    let some = |value: Spanned<usize>, key| match *value.get_ref() {
        n if (1..=SIZE_MOST).contains(&n) => Ok(n),
        _ => fault(value.span(), key, format!("must be 1 to {SIZE_MOST}")),
    };
    let (kind, lasts_s) = match kind.get_ref().as_str() {
        "ordinary-day" => {
            let speed = keys.raw.speed.take();
            let speed = speed.map_or(Ok(1.0), |speed| within(&speed, "speed", 0.001, 100_000.0))?;
            let for_s = keys.for_s()?;
            (Kind::OrdinaryDay { for_s, speed }, for_s)
        }
        "rolling-replacement" => {
            let part = keys.raw.part.take();
            let part = within(&keys.need(part, "part")?, "part", 0.0, 1.0)?;
            let batches = keys.raw.batches.take();
            let batches = some(keys.need(batches, "batches")?, "batches")?;
            let drain = keys.raw.drain_s.take();
            let (over_s, drain_s) = (keys.over_s()?, keys.time(drain, "drain_s")?);
            (Kind::RollingReplacement { part, batches, over_s, drain_s }, over_s + drain_s)
        }
        "rack-lost" => {
            let rack = keys.raw.rack.take();
            let rack = keys.index(rack, "rack", size.racks)?;
            let (noticed_s, for_s) = (keys.noticed_s()?, keys.for_s()?);
            (Kind::RackLost { rack, noticed_s, for_s }, for_s)
        }
        "zone-lost" => {
            let zone = keys.raw.zone.take();
            let zone = keys.index(zone, "zone", size.zones)?;
            let (noticed_s, for_s) = (keys.noticed_s()?, keys.for_s()?);
            (Kind::ZoneLost { zone, noticed_s, for_s }, for_s)
        }
        "region-cut" => {
            let (region, for_s) = (keys.region(size)?, keys.for_s()?);
            (Kind::RegionCut { region, for_s }, for_s)
        }
        "restart-nodes" => {
            let (region, over_s) = (keys.region(size)?, keys.over_s()?);
            (Kind::RestartNodes { region, over_s }, over_s)
        }
        "configuration-storm" => {
            let changes = keys.raw.changes.take();
            let changes = some(keys.need(changes, "changes")?, "changes")?;
            let over_s = keys.over_s()?;
            (Kind::ConfigurationStorm { changes, over_s }, over_s)
        }
        "discovery-silent" => {
            let for_s = keys.for_s()?;
            (Kind::DiscoverySilent { for_s }, for_s)
        }
        other => return fault(kind.span(), "kind", format!("there is no event `{other}`")),
    };
    keys.nothing_left()?;
    if at_s + lasts_s > duration_s {
        let why = format!("the event ends {} s after the start, and the play {duration_s} s", at_s + lasts_s);
        return fault(at_span, "at_s", why);
    }
    Ok(Event { at_s, kind })
}
