//! The budget of hedged requests.

/// Hedged requests that each attempt adds to the budget, so that they stay a small share of all attempts.
const HEDGES_PER_ATTEMPT: f64 = 0.05;
/// The budget does not grow beyond this many hedged requests.
const MAX_BUDGET: f64 = 5.0;

/// Limits hedged requests, which are sent beside an attempt that is slow, to a share of all attempts.
pub(super) struct HedgeBudget {
    /// Hedged requests that may be sent now.
    available: f64,
}

impl HedgeBudget {
    /// Creates a full budget.
    pub(super) fn new() -> Self {
        Self { available: MAX_BUDGET }
    }

    /// Counts an attempt.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + HEDGES_PER_ATTEMPT).min(MAX_BUDGET);
    }

    /// Takes one hedged request; `false` if none is left.
    pub(super) fn withdraw(&mut self) -> bool {
        let is_left = self.available >= 1.0;
        if is_left {
            self.available -= 1.0;
        }
        is_left
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedging.rs"]
mod tests;
