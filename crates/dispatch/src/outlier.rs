//! Outlier detection: servers that fail are ejected for a backoff that grows with their failures.

use std::time::Duration;

/// Ejection after a single failure; it doubles with each point of the failure score.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// No ejection lasts longer.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Ejection of a server that rejected a request for want of capacity.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);
/// A success multiplies the failure score by this.
const SUCCESS_DECAY: f64 = 0.7;
/// A success below this failure score ends the ejection.
const REINSTATEMENT_SCORE: f64 = 0.5;
/// The failure score does not rise beyond this.
const MAX_FAILURE_SCORE: f64 = 7.0;
/// What a failure adds to the failure score.
const FAILURE_WEIGHT: f64 = 1.0;
/// What an error response adds to the failure score.
const ERROR_RESPONSE_WEIGHT: f64 = 0.4;

/// Decides whether one server is ejected. An ejected server is still selected when no other is left.
///
/// The failure score rises with each failure and decays with each success, so that a server which fails only part of
/// its requests is ejected as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    failure_score: f64,
    ejected_until: Duration,
}

impl OutlierDetector {
    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_score *= SUCCESS_DECAY;
        if self.failure_score < REINSTATEMENT_SCORE {
            self.ejected_until = Duration::ZERO;
        }
    }

    /// Records that the server was unreachable, timed out, truncated its response or sent bytes that are no response.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.add_failure(now, FAILURE_WEIGHT);
    }

    /// Records a complete response with an error of the server.
    pub(crate) fn record_error_response(&mut self, now: Duration) {
        self.add_failure(now, ERROR_RESPONSE_WEIGHT);
    }

    /// Records a rejection for want of capacity, which is no failure.
    pub(crate) fn record_overload(&mut self, now: Duration) {
        self.eject(now + OVERLOAD_BACKOFF);
    }

    fn add_failure(&mut self, now: Duration, weight: f64) {
        self.failure_score = (self.failure_score + weight).min(MAX_FAILURE_SCORE);
        let backoff = INITIAL_BACKOFF.mul_f64(2_f64.powf(self.failure_score - 1.0)).min(MAX_BACKOFF);
        self.eject(now + backoff);
    }

    fn eject(&mut self, until: Duration) {
        self.ejected_until = self.ejected_until.max(until);
    }
}
