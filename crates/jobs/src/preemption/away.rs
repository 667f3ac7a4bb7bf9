//! Counts the tasks of standing steps that are unavailable, and how many more may become so.
//!
//! The platform counts a task as unavailable if an order ended it, or if it has not been at work for `notice_ms`. Here a task counts as
//! unavailable as soon as it is not known to be at work: a stop takes effect later, when the platform may count it.

/// What a standing step may still miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StepAllowance {
    /// The number of tasks that may be unavailable at once.
    may_miss: u32,
    /// The number of tasks that are unavailable, or will be by orders that were given.
    away: u32,
}

impl StepAllowance {
    /// The allowance of a step with this number of tasks, of which `at_work` are known to be at work. A step without `may_miss` has none:
    /// its caller has not said that any of its tasks may be stopped.
    pub(crate) fn new(count: u32, at_work: u32, may_miss: Option<u32>) -> Self {
        Self {
            may_miss: may_miss.unwrap_or(0),
            away: count.saturating_sub(at_work),
        }
    }

    /// How many more tasks may be stopped.
    pub(crate) fn spare(&self) -> usize {
        self.may_miss.saturating_sub(self.away) as usize
    }

    /// Counts one more task as unavailable.
    pub(crate) fn take(&mut self) {
        self.away += 1;
    }

    /// The part of the allowance that is used once one more task is stopped, in percent.
    pub(crate) fn used_percent_after_stop(&self) -> u64 {
        u64::from(self.away + 1) * 100 / u64::from(self.may_miss.max(1))
    }

    /// The number of unavailable tasks.
    pub(crate) fn away(&self) -> u32 {
        self.away
    }

    /// The number of tasks that may be unavailable at once.
    pub(crate) fn may_miss(&self) -> u32 {
        self.may_miss
    }
}
