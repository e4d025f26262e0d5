//! A token bucket.

use std::time::{Duration, Instant};

/// A token bucket that holds the calls of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    last_refill: Option<Instant>,
}

impl RateLimit {
    /// A full bucket of `per_second` calls.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second, last_refill: None }
    }

    /// Takes a token if there is one; returns whether the call is allowed.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = self.last_refill.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_refill = Some(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
