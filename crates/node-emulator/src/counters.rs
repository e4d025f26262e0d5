//! Counters and histograms that the emulated nodes of one thread update.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// A histogram of durations from a microsecond to an hour, with three significant digits.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

/// Longest recorded duration, in microseconds.
const HOUR_US: u64 = 3_600_000_000;

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, HOUR_US, 3).expect("the bounds are valid"))
    }
}

impl DurationHistogram {
    /// Records a duration. Durations over an hour count as an hour, those below a microsecond as a
    /// microsecond.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_micros()).unwrap_or(HOUR_US).max(1));
    }

    /// Adds all durations of another histogram.
    ///
    /// # Panics
    ///
    /// Never: all histograms of this type have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("both histograms have the same bounds");
    }

    /// Returns the count, median, 99th percentile and maximum of the recorded durations.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let ms = |us: u64| us as f64 / 1000.0;
        let at = |quantile| if self.0.is_empty() { 0.0 } else { ms(self.0.value_at_quantile(quantile)) };
        Summary { count: self.0.len(), p50_ms: at(0.5), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// Summary of a [`DurationHistogram`]. All values are 0 if the histogram is empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of recorded durations.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

/// Propagation of a version of the server list to the nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionPropagation {
    /// Number of nodes that went from an older version to this one or a newer one.
    pub nodes: u64,
    /// The longest time from the publication of the version until one of these nodes applied it or a newer
    /// one.
    pub longest: Duration,
}

/// Counters and histograms of a group of nodes.
#[derive(Clone, Debug, Default)]
pub struct NodeCounters {
    /// Time from the publication of a version until a node applied it or a later one.
    pub lag: DurationHistogram,
    /// Time from the start of a node until it applied its first list.
    pub start: DurationHistogram,
    /// Time in which the `Balancer` of a node applied a list.
    pub endpoint_update: DurationHistogram,
    /// Time in which the `Balancer` of a node decided about a new request.
    pub request: DurationHistogram,
    /// Delay between the due time of a timer and the wake-up of the thread's event loop. All other durations
    /// include such delays.
    pub wake_up_delay: DurationHistogram,
    /// The propagation of each version, indexed by version.
    pub propagation: Vec<VersionPropagation>,
    /// Time during which nodes had a version that was not the newest, summed over nodes. It is added when a
    /// node applies a newer version.
    pub behind: Duration,
    /// Number of lists from discovery that were applied, complete or not.
    pub list_responses: u64,
    /// Number of complete lists from discovery that were applied.
    pub complete_lists: u64,
    /// Number of calls to discovery that failed or received no response.
    pub failed_calls: u64,
    /// Number of starts of nodes, including restarts.
    pub starts: u64,
    /// Number of requests that arrived from clients.
    pub requests: u64,
    /// Number of requests whose client received the response of a server.
    pub served: u64,
    /// Number of requests that were rejected. They were not executed, so a client may safely retry them.
    pub rejected: u64,
    /// Number of requests that failed and may have been executed.
    pub failed: u64,
    /// Number of attempts that were sent to servers.
    pub sends: u64,
    /// Number of load probes that were sent to servers.
    pub probes: u64,
}

impl NodeCounters {
    /// Records that a node went from version `from` to the newer version `to` at `now`. `published` returns
    /// the time of publication of a version.
    pub fn record_advance(
        &mut self,
        now: Instant,
        from: u64,
        to: u64,
        published: impl Fn(u64) -> Option<Instant>,
    ) {
        let elapsed_since = |version| published(version).map(|at| now.saturating_duration_since(at));
        self.behind += elapsed_since(from + 1).unwrap_or_default();
        for version in from + 1..=to {
            let Some(lag) = elapsed_since(version) else { continue };
            self.lag.add(lag);
            let index = usize::try_from(version).unwrap_or(0);
            if self.propagation.len() <= index {
                self.propagation.resize(index + 1, VersionPropagation::default());
            }
            self.propagation[index].nodes += 1;
            self.propagation[index].longest = self.propagation[index].longest.max(lag);
        }
    }

    /// Adds the counters and histograms of other nodes.
    pub fn merge(&mut self, other: &Self) {
        self.lag.merge(&other.lag);
        self.start.merge(&other.start);
        self.endpoint_update.merge(&other.endpoint_update);
        self.request.merge(&other.request);
        self.wake_up_delay.merge(&other.wake_up_delay);
        self.propagation
            .resize(self.propagation.len().max(other.propagation.len()), VersionPropagation::default());
        for (propagation, other) in self.propagation.iter_mut().zip(&other.propagation) {
            propagation.nodes += other.nodes;
            propagation.longest = propagation.longest.max(other.longest);
        }
        self.behind += other.behind;
        self.list_responses += other.list_responses;
        self.complete_lists += other.complete_lists;
        self.failed_calls += other.failed_calls;
        self.starts += other.starts;
        self.requests += other.requests;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.sends += other.sends;
        self.probes += other.probes;
    }
}
