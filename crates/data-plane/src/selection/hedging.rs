//! The budget that limits the number of hedged requests.

/// The number of hedged requests that each attempt adds to the budget. It keeps hedged requests a small share
/// (5 %) of all attempts.
const HEDGES_PER_ATTEMPT: f64 = 0.05;
/// The maximum number of hedged requests in the budget, which limits bursts of hedged requests.
const MAX_BUDGET: f64 = 5.0;

/// Limits hedged requests, which are sent in addition to a slow attempt, to a share of all attempts.
pub(super) struct HedgeBudget {
    /// The number of hedged requests that may be sent now, from 0 to [`MAX_BUDGET`]. It may be fractional.
    available: f64,
}

impl HedgeBudget {
    /// Creates a full budget.
    pub(super) fn new() -> Self {
        Self { available: MAX_BUDGET }
    }

    /// Adds the share of one attempt to the budget.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + HEDGES_PER_ATTEMPT).min(MAX_BUDGET);
    }

    /// Withdraws one hedged request. Returns `false` if the budget doesn't allow any.
    pub(super) fn withdraw(&mut self) -> bool {
        let is_allowed = self.available >= 1.0;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedging.rs"]
mod tests;
