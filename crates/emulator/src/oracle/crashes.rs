//! How often workers crashed under each task, and how often it was started after that.

use std::collections::BTreeMap;

use sandshelf_jobs::{JobNumber, TaskKey};

/// A task may be given up once so many workers have crashed under it.
const MAY_GIVE_UP: usize = 2;
/// After so many it may be started a few times more.
const BOUNDED_FROM: usize = 3;
/// So many starts more, by owners in touch, are too many.
const TOO_MANY_MORE: usize = 3;

/// What was seen of one task.
#[derive(Clone, Copy, Debug, Default)]
struct CrashCount {
    crashes: usize,
    starts: usize,
    /// Starts by owners in touch after three crashes.
    more: usize,
}

/// What was seen of all tasks under which workers crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashCounts {
    tasks: BTreeMap<TaskKey, CrashCount>,
}

impl CrashCounts {
    /// A worker crashed under a task.
    pub(super) fn crash(&mut self, task: TaskKey) {
        let count = self.tasks.entry(task).or_default();
        count.crashes += 1;
        count.starts = count.starts.max(count.crashes);
    }

    /// A task begins; returns whether that is once too often.
    pub(super) fn begin(&mut self, task: &TaskKey, in_touch: bool) -> bool {
        let Some(count) = self.tasks.get_mut(task) else {
            return false;
        };
        count.starts += 1;
        count.more += usize::from(in_touch && count.crashes >= BOUNDED_FROM);
        count.more >= TOO_MANY_MORE
    }

    /// Whether a job has a task that may be given up.
    pub(super) fn may_give_up(&self, job: JobNumber) -> bool {
        let mut tasks = self.tasks.iter().filter(|(task, _)| task.job == job);
        tasks.any(|(_, count)| count.crashes >= MAY_GIVE_UP)
    }

    /// How many tasks may be given up, and how often any was started at most.
    pub(super) fn figures(&self) -> (usize, usize) {
        let many = self
            .tasks
            .values()
            .filter(|count| count.crashes >= MAY_GIVE_UP);
        let most = self.tasks.values().map(|count| count.starts).max();
        (many.count(), most.unwrap_or(0))
    }
}
