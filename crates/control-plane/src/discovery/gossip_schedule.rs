//! Schedule of acceptor gossip: when the addresses of the acceptors are sent to which seed.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Pause before a message that a seed did not acknowledge is sent again. It doubles with each attempt, up to
/// [`MAX_RETRY_PAUSE`].
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause before a message that a seed did not acknowledge is sent again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Schedule of the messages to seeds: retries with backoff to seeds that have not acknowledged the addresses,
/// and repetitions in round-robin order to seeds that have.
pub(super) struct GossipSchedule {
    /// Seeds that have not acknowledged the latest message.
    pending: BTreeMap<String, PendingRetry>,
    /// Seeds that have acknowledged the latest message, in round-robin order; the next one is first.
    acknowledged: Vec<String>,
    repeat_interval: Duration,
    /// Time at which the next acknowledged seed is sent the addresses again; `None` before the first check.
    next_repeat: Option<Instant>,
}

struct PendingRetry {
    next_attempt: Instant,
    pause: Duration,
}

impl GossipSchedule {
    /// Creates a schedule in which messages to all of these seeds are due now, except to this process itself
    /// if it is a seed.
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

    /// Returns the seeds to which the addresses of the acceptors are to be sent now: all seeds whose retry is
    /// due, and the next acknowledged seed if a repetition is due. The caller must record the outcome of each
    /// message with [`GossipSchedule::record`].
    pub(super) fn due(&mut self) -> Vec<String> {
        let now = Instant::now();
        let retries = self.pending.iter().filter(|(_, retry)| retry.next_attempt <= now);
        let mut due: Vec<String> = retries.map(|(seed, _)| seed.clone()).collect();
        if self.next_repeat.is_none_or(|at| at <= now) {
            if self.next_repeat.is_some() && !self.acknowledged.is_empty() {
                self.acknowledged.rotate_left(1);
                due.extend(self.acknowledged.last().cloned());
            }
            // The time to the next repetition is uniformly distributed between 0.75 and 1.25 times the
            // interval.
            let jitter = 0.75 + fastrand::f64() / 2.0;
            self.next_repeat = Some(now + self.repeat_interval.mul_f64(jitter));
        }
        due
    }

    /// Records whether a seed has acknowledged a message.
    pub(super) fn record(&mut self, seed: &str, is_acknowledged: bool) {
        let previous_retry = self.pending.remove(seed);
        if is_acknowledged {
            if !self.acknowledged.iter().any(|known| known == seed) {
                self.acknowledged.push(seed.to_owned());
            }
            return;
        }
        self.acknowledged.retain(|known| known != seed);
        let pause =
            previous_retry.map_or(INITIAL_RETRY_PAUSE, |retry| (retry.pause * 2).min(MAX_RETRY_PAUSE));
        let retry = PendingRetry { next_attempt: Instant::now() + pause, pause };
        self.pending.insert(seed.to_owned(), retry);
    }
}
