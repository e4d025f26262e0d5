//! When the acceptors are sent to which seed.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// The pause before a message to a seed that was not acknowledged is sent again; doubles with each attempt ...
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// ... up to this one.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Retries with backoff to seeds that have not acknowledged; repetition in turn to those that have.
pub(super) struct GossipSchedule {
    /// Seeds that have not acknowledged the latest message.
    pending: BTreeMap<String, PendingRetry>,
    /// Seeds that have, the one whose turn is next first.
    acknowledged: Vec<String>,
    repeat_interval: Duration,
    /// When the next acknowledged seed is sent the acceptors again.
    next_repeat: Option<Instant>,
}

struct PendingRetry {
    next_attempt: Instant,
    pause: Duration,
}

impl GossipSchedule {
    /// All of these seeds but this process itself are due now.
    pub(super) fn new(seeds: &[String], own_address: &str, repeat_interval: Duration) -> Self {
        let now = Instant::now();
        let others = seeds.iter().filter(|seed| *seed != own_address);
        let retry = || PendingRetry { next_attempt: now, pause: INITIAL_RETRY_PAUSE };
        Self {
            pending: others.map(|seed| (seed.clone(), retry())).collect(),
            acknowledged: Vec::new(),
            repeat_interval,
            next_repeat: None,
        }
    }

    /// The seeds to which the acceptors are to be sent now: all whose retry is due, and the next acknowledged one if the
    /// time for a repetition has come. The caller records the outcome of each by [`GossipSchedule::record`].
    pub(super) fn due(&mut self) -> Vec<String> {
        let now = Instant::now();
        let retries = self.pending.iter().filter(|(_, retry)| retry.next_attempt <= now);
        let mut due: Vec<String> = retries.map(|(seed, _)| seed.clone()).collect();
        if self.next_repeat.is_none_or(|at| at <= now) {
            if self.next_repeat.is_some() && !self.acknowledged.is_empty() {
                self.acknowledged.rotate_left(1);
                due.extend(self.acknowledged.last().cloned());
            }
            // Evenly distributed from three to five quarters of the interval.
            let jitter = 0.75 + fastrand::f64() / 2.0;
            self.next_repeat = Some(now + self.repeat_interval.mul_f64(jitter));
        }
        due
    }

    /// Records whether a seed has acknowledged a message.
    pub(super) fn record(&mut self, seed: &str, is_acknowledged: bool) {
        let earlier = self.pending.remove(seed);
        if is_acknowledged {
            if !self.acknowledged.iter().any(|known| known == seed) {
                self.acknowledged.push(seed.to_owned());
            }
            return;
        }
        self.acknowledged.retain(|known| known != seed);
        let pause = earlier.map_or(INITIAL_RETRY_PAUSE, |retry| (retry.pause * 2).min(MAX_RETRY_PAUSE));
        let retry = PendingRetry { next_attempt: Instant::now() + pause, pause };
        self.pending.insert(seed.to_owned(), retry);
    }
}
