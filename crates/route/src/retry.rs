//! A retry budget, which prevents retries from multiplying the load.

use sandshelf_model::Millis;

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Number of retries that each second adds to the budget, independent of requests.
const RETRIES_PER_SECOND: f64 = 1.0;
/// Upper bound on the retries that the budget accumulates.
const MAX_SAVED_RETRIES: f64 = 50.0;

/// The number of retries that are allowed now; it starts at a fifth of its upper bound.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
    refilled_at: Millis,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: MAX_SAVED_RETRIES / 5.0,
            refilled_at: 0,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a request that arrived.
    pub fn note_request(&mut self) {
        self.add(RETRIES_PER_REQUEST);
    }

    /// Takes one retry from the budget; returns false, and takes nothing, if less than one is left.
    pub fn take(&mut self, now: Millis) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.refilled_at = now;
        self.add(elapsed_s * RETRIES_PER_SECOND);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    fn add(&mut self, amount: f64) {
        self.available = (self.available + amount).min(MAX_SAVED_RETRIES);
    }
}
