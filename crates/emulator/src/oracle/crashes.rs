//! Counts worker crashes for each task, and the starts of the task after them.

use std::collections::BTreeMap;

use sandshelf_jobs::{JobNumber, TaskKey};

/// A task may be given up after at least this number of worker crashes while it ran.
const GIVE_UP_MIN_CRASHES: usize = 2;
/// From this number of crashes on, the number of further starts is bounded.
const BOUND_MIN_CRASHES: usize = 3;
/// This number of further starts, ordered by owners in touch, breaks the rule.
const EXCESS_STARTS: usize = 3;

/// The crashes and starts of one task.
#[derive(Clone, Copy, Debug, Default)]
struct CrashCount {
    crashes: usize,
    starts: usize,
    /// Starts ordered by owners in touch after three crashes.
    starts_after_bound: usize,
}

/// The counts of all tasks that ran on a worker when it crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashCounts {
    tasks: BTreeMap<TaskKey, CrashCount>,
}

impl CrashCounts {
    /// Counts a crash of a worker that ran a task.
    pub(super) fn crash(&mut self, task: TaskKey) {
        let count = self.tasks.entry(task).or_default();
        count.crashes += 1;
        count.starts = count.starts.max(count.crashes);
    }

    /// Counts a start of a task; returns whether the task has been started too often after its crashes.
    pub(super) fn begin(&mut self, task: &TaskKey, in_touch: bool) -> bool {
        let Some(count) = self.tasks.get_mut(task) else {
            return false;
        };
        count.starts += 1;
        count.starts_after_bound += usize::from(in_touch && count.crashes >= BOUND_MIN_CRASHES);
        count.starts_after_bound >= EXCESS_STARTS
    }

    /// Whether a job has a task that may be given up.
    pub(super) fn may_give_up(&self, job: JobNumber) -> bool {
        let mut tasks = self.tasks.iter().filter(|(task, _)| task.job == job);
        tasks.any(|(_, count)| count.crashes >= GIVE_UP_MIN_CRASHES)
    }

    /// How many tasks may be given up, and the highest number of starts of a task.
    pub(super) fn stats(&self) -> (usize, usize) {
        let many = self
            .tasks
            .values()
            .filter(|count| count.crashes >= GIVE_UP_MIN_CRASHES);
        let most = self.tasks.values().map(|count| count.starts).max();
        (many.count(), most.unwrap_or(0))
    }
}
