//! Outlier detection: ejects servers that fail, for a time that grows with their failure score.

use std::time::Duration;

/// Duration of the ejection at a failure score of 1. It doubles with each further point of the score.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum duration of an ejection.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Duration of the ejection after a rejection for lack of capacity.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);
/// Factor by which a success multiplies the failure score.
const SUCCESS_DECAY: f64 = 0.7;
/// Failure score below which a success ends the ejection. The score is compared after the success has decayed
/// it.
const REINSTATEMENT_SCORE: f64 = 0.5;
/// Maximum failure score.
const MAX_FAILURE_SCORE: f64 = 7.0;
/// Points that a failure adds to the failure score.
const FAILURE_WEIGHT: f64 = 1.0;
/// Points that an error response adds to the failure score.
const ERROR_RESPONSE_WEIGHT: f64 = 0.4;

/// Decides whether one server is ejected. An ejected server is selected only if each eligible server that
/// lists the model is ejected too, or an earlier attempt of the request was sent to it.
///
/// The failure score rises with each failure and decays with each success, so that a server that fails only
/// some of its requests is ejected as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Score between 0 and [`MAX_FAILURE_SCORE`], which rises with failures and decays with successes.
    failure_score: f64,
    /// End of the ejection; in the past if the server is not ejected.
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

    /// Records that the server was unreachable, timed out, or sent a truncated or invalid response.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.add_failure(now, FAILURE_WEIGHT);
    }

    /// Records a complete response that reports an error of the server.
    pub(crate) fn record_error_response(&mut self, now: Duration) {
        self.add_failure(now, ERROR_RESPONSE_WEIGHT);
    }

    /// Records a rejection for lack of capacity. It ejects the server briefly, but is not a failure and
    /// leaves the failure score unchanged.
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
