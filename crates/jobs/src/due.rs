//! By when a job should be done, what its end is worth, and how long it needs.

use sandshelf_model::Millis;

/// A job earns something until so many times its objective have passed.
const USEFUL_OBJECTIVES: u64 = 3;

/// By when a job should be done, on the scheduler's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueTimes {
    /// Its objective.
    pub(crate) objective_at: Millis,
    /// From then on its end is of no use to its caller any more.
    pub(crate) useless_at: Millis,
}

impl DueTimes {
    /// Of a job of an age by now; times before the clock's start count as its start.
    pub(crate) fn new(now: Millis, age: Millis, objective_ms: Millis) -> Self {
        let useful_ms = objective_ms * USEFUL_OBJECTIVES;
        Self {
            objective_at: (now + objective_ms).saturating_sub(age),
            useless_at: (now + useful_ms).saturating_sub(age),
        }
    }

    /// Of what has no objective.
    pub(crate) fn never() -> Self {
        Self {
            objective_at: Millis::MAX,
            useless_at: Millis::MAX,
        }
    }

    /// What an end at a time is worth to the caller.
    pub(crate) fn worth_at(&self, end: Millis) -> CompletionValue {
        if end <= self.objective_at {
            CompletionValue::Whole
        } else if end <= self.useless_at {
            CompletionValue::Little
        } else {
            CompletionValue::Nothing
        }
    }
}

/// How long a task and what waits for it are guessed to take, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskChain {
    /// The task itself.
    pub(crate) own_ms: Millis,
    /// The longest chain of steps behind it.
    pub(crate) after_ms: Millis,
}

/// What the end of a job is worth to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CompletionValue {
    /// It meets its objective.
    Whole,
    /// It is late.
    Little,
    /// Nobody waits for it any more.
    Nothing,
}
