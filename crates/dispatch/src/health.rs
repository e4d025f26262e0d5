//! Avoiding servers that fail.

use std::time::Duration;

/// A server is avoided for this long after a single failure.
const BACK_OFF_FIRST: Duration = Duration::from_millis(50);
/// It is never avoided for longer than this.
const BACK_OFF_MOST: Duration = Duration::from_secs(4);
/// A server that said that it is full is avoided for this long.
const FULL_FOR: Duration = Duration::from_millis(60);
/// What remains of the suspicion after a success.
const FORGIVEN: f64 = 0.7;
/// Suspicion does not rise beyond this.
const SUSPICION_MOST: f64 = 7.0;
/// An answer that is an error weighs this much of a failure.
const ERROR_WEIGHT: f64 = 0.4;

/// What is known of a server's health.
///
/// Suspicion rises with each failure and fades with each success, so that a server that fails only part of its
/// requests stays under suspicion as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    suspicion: f64,
    avoided_until: Duration,
}

impl Health {
    /// Whether the server should be avoided.
    pub(crate) fn is_avoided(&self, now: Duration) -> bool {
        now < self.avoided_until
    }

    /// It served a request.
    pub(crate) fn served(&mut self) {
        self.suspicion *= FORGIVEN;
        if self.suspicion < 0.5 {
            self.avoided_until = Duration::ZERO;
        }
    }

    /// It could not be reached, stayed silent, broke off or sent what is no answer.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.suspect(now, 1.0);
    }

    /// It answered with an error of its own.
    pub(crate) fn erred(&mut self, now: Duration) {
        self.suspect(now, ERROR_WEIGHT);
    }

    /// It refused a request because it has no place.
    pub(crate) fn full(&mut self, now: Duration) {
        self.avoided_until = self.avoided_until.max(now + FULL_FOR);
    }

    fn suspect(&mut self, now: Duration, weight: f64) {
        self.suspicion = (self.suspicion + weight).min(SUSPICION_MOST);
        let back_off = BACK_OFF_FIRST.mul_f64(2_f64.powf(self.suspicion - 1.0)).min(BACK_OFF_MOST);
        self.avoided_until = self.avoided_until.max(now + back_off);
    }
}
