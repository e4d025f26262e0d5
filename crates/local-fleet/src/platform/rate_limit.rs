//! The rate limit of the platform's API.

use std::time::{Duration, Instant};

/// A token bucket whose capacity is the number of calls allowed in one second.
#[derive(Debug)]
pub struct RateLimit {
    /// Tokens added in a second, and the capacity.
    per_second: f64,
    tokens: f64,
    /// `None` before the first call.
    last_refill: Option<Instant>,
}

impl RateLimit {
    /// Returns a full bucket that allows `per_second` calls a second.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second, last_refill: None }
    }

    /// Refills the bucket and takes a token if there is one; returns whether the call is allowed.
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
