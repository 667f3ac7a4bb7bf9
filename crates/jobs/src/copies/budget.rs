//! Limits copies to a small share of all runs.

/// The copies that each ordinary start allows, in thousandths of a copy. Some 3 tasks in 100 are stragglers; LATE allows a tenth of all
/// slots for copies.
const CREDIT_PER_START: u64 = 80;
/// What one copy takes, in thousandths.
const COST_PER_COPY: u64 = 1_000;
/// The most unused credit: a step of 10,000 tasks, all of which start at once, has some 300 stragglers.
const MAX_CREDIT: u64 = 400 * COST_PER_COPY;
/// The credit of a new owner. It does not know how many copies its predecessor started.
const FIRST_CREDIT: u64 = 8 * COST_PER_COPY;

/// How many copies may be started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CopyBudget {
    credit: u64,
}

impl Default for CopyBudget {
    fn default() -> Self {
        Self {
            credit: FIRST_CREDIT,
        }
    }
}

impl CopyBudget {
    /// Records an ordinary start.
    pub(crate) fn note_start(&mut self) {
        self.credit = (self.credit + CREDIT_PER_START).min(MAX_CREDIT);
    }

    /// Whether a copy may be started.
    pub(crate) fn allows_copy(&self) -> bool {
        self.credit >= COST_PER_COPY
    }

    /// Records the start of a copy.
    pub(crate) fn note_copy(&mut self) {
        self.credit = self.credit.saturating_sub(COST_PER_COPY);
    }
}
