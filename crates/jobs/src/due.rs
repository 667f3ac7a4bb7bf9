//! When a job should be done, the value of its end, and how long its tasks take.

use sandshelf_model::Millis;

/// A job has value until this multiple of its objective has passed.
const USEFUL_OBJECTIVE_FACTOR: u64 = 3;

/// The times by which a job should be done, on the scheduler's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueTimes {
    /// The latest time at which an end meets the job's objective.
    pub(crate) objective_at: Millis,
    /// From then on the job's end has no value to its caller.
    pub(crate) useless_at: Millis,
}

impl DueTimes {
    /// The due times of a job of this age; times before the start of the scheduler's clock count as its start.
    pub(crate) fn new(now: Millis, age: Millis, objective_ms: Millis) -> Self {
        let useful_ms = objective_ms * USEFUL_OBJECTIVE_FACTOR;
        Self {
            objective_at: (now + objective_ms).saturating_sub(age),
            useless_at: (now + useful_ms).saturating_sub(age),
        }
    }

    /// The due times of something without an objective.
    pub(crate) fn never() -> Self {
        Self {
            objective_at: Millis::MAX,
            useless_at: Millis::MAX,
        }
    }

    /// The value of an end at this time.
    pub(crate) fn value_at(&self, end: Millis) -> CompletionValue {
        if end <= self.objective_at {
            CompletionValue::Full
        } else if end <= self.useless_at {
            CompletionValue::Reduced
        } else {
            CompletionValue::Zero
        }
    }
}

/// Estimated durations of a task and of the steps that wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskChain {
    /// The estimated duration of the task itself.
    pub(crate) own_ms: Millis,
    /// The estimated duration of the longest chain of steps that wait for the task.
    pub(crate) after_ms: Millis,
}

/// The value of a job's end to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CompletionValue {
    /// The job meets its objective.
    Full,
    /// The job is late.
    Reduced,
    /// The caller no longer waits for the job.
    Zero,
}
