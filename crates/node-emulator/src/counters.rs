//! What the hollow nodes of one thread saw.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// A histogram of times, in microseconds up to an hour, to three digits.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

const HOUR_US: u64 = 3_600_000_000;

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, HOUR_US, 3).expect("sound bounds"))
    }
}

impl Times {
    /// Adds a time; one over an hour counts as an hour.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_micros()).unwrap_or(HOUR_US).max(1));
    }

    /// Adds all times of another.
    ///
    /// # Panics
    ///
    /// Never: all histograms of this type have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("the same bounds");
    }

    /// The usual figures.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let ms = |us: u64| us as f64 / 1000.0;
        let at = |quantile| if self.0.is_empty() { 0.0 } else { ms(self.0.value_at_quantile(quantile)) };
        Summary { count: self.0.len(), p50_ms: at(0.5), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// Figures of a histogram of times, in milliseconds; 0 where it holds none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Times recorded.
    pub count: u64,
    /// Half were no longer.
    pub p50_ms: f64,
    /// 99 in 100 were no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// How a version reached the nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Nodes that went from an older version to it, or past it.
    pub nodes: u64,
    /// The longest that one of them took.
    pub longest: Duration,
}

/// Counts and times of some nodes.
#[derive(Clone, Debug, Default)]
pub struct NodeCounters {
    /// From a version's coming to be until a node held it or a later one.
    pub lag: Times,
    /// From a node's start until it held a list.
    pub start: Times,
    /// What a node's decisions took to take a list in.
    pub endpoint_update: Times,
    /// What they took for a request.
    pub request: Times,
    /// How much later than asked for the thread's event loop woke up: what it adds to all other times.
    pub late: Times,
    /// By version, from the first one of the play.
    pub spread: Vec<Spread>,
    /// Seconds, added up over nodes, on a version that was not the newest.
    pub behind: Duration,
    /// Answers of discovery that were read.
    pub lists: u64,
    /// Complete lists among them.
    pub complete_lists: u64,
    /// Calls to discovery that failed or were not answered.
    pub failed_calls: u64,
    /// Node starts.
    pub starts: u64,
    /// Requests that came.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused: trying again is harmless.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts sent to servers.
    pub sends: u64,
    /// Probes sent to servers.
    pub probes: u64,
}

impl NodeCounters {
    /// A node has gone from one version to a newer one. `published` tells when a version came to be.
    pub fn advanced(&mut self, now: Instant, from: u64, to: u64, published: impl Fn(u64) -> Option<Instant>) {
        let since = |version| published(version).map(|at| now.saturating_duration_since(at));
        self.behind += since(from + 1).unwrap_or_default();
        for version in from + 1..=to {
            let Some(lag) = since(version) else { continue };
            self.lag.add(lag);
            let at = usize::try_from(version).unwrap_or(0);
            if self.spread.len() <= at {
                self.spread.resize(at + 1, Spread::default());
            }
            self.spread[at].nodes += 1;
            self.spread[at].longest = self.spread[at].longest.max(lag);
        }
    }

    /// Adds what other nodes saw.
    pub fn merge(&mut self, other: &Self) {
        self.lag.merge(&other.lag);
        self.start.merge(&other.start);
        self.endpoint_update.merge(&other.endpoint_update);
        self.request.merge(&other.request);
        self.late.merge(&other.late);
        self.spread.resize(self.spread.len().max(other.spread.len()), Spread::default());
        for (mine, other) in self.spread.iter_mut().zip(&other.spread) {
            mine.nodes += other.nodes;
            mine.longest = mine.longest.max(other.longest);
        }
        self.behind += other.behind;
        self.lists += other.lists;
        self.complete_lists += other.complete_lists;
        self.failed_calls += other.failed_calls;
        self.starts += other.starts;
        self.requests += other.requests;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.sends += other.sends;
        self.probes += other.probes;
    }
}
