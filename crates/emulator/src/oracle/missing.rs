//! Checks that stops make no more standing tasks of a step unavailable than the step may miss.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use sandshelf_jobs::{JobNumber, RunKey, TaskKey};
use sandshelf_model::Millis;

use super::{BrokenRule, PlatformOracle};

/// From this time without being at work on, a standing task certainly counts as unavailable, in milliseconds. The platform notices
/// after 4.5 to 5.5 s.
const UNAVAILABLE_AFTER_MS: Millis = 5_500;

/// The standing tasks that are not at work.
#[derive(Clone, Debug, Default)]
pub(super) struct MissingTasks {
    /// How long each has not been at work, in milliseconds.
    times: BTreeMap<TaskKey, Millis>,
    /// Those whose last run was ended by an order.
    stopped: BTreeSet<TaskKey>,
}

impl MissingTasks {
    fn note(&mut self, task: TaskKey, at_work: bool, elapsed: Millis) {
        if at_work {
            self.times.remove(&task);
            self.stopped.remove(&task);
        } else {
            *self.times.entry(task).or_default() += elapsed;
        }
    }

    fn is_unavailable(&self, task: &TaskKey) -> bool {
        let missing = self.times.get(task);
        self.stopped.contains(task) || missing.is_some_and(|time| *time >= UNAVAILABLE_AFTER_MS)
    }

    /// Drops the tasks of a cancelled job.
    pub(super) fn forget(&mut self, job: JobNumber) {
        self.times.retain(|task, _| task.job != job);
        self.stopped.retain(|task| task.job != job);
    }
}

impl PlatformOracle {
    /// Records which standing tasks are at work; `elapsed` is the time since the last call in milliseconds.
    pub fn note_at_work(&mut self, elapsed: Millis, at_work: &HashSet<TaskKey>) {
        for (task, _) in self.standing.values().flatten() {
            self.missing.note(*task, at_work.contains(task), elapsed);
        }
    }

    /// Records that an order ended a run of a standing task. `at_work` says whether the run was at work on a healthy worker that is
    /// not draining.
    pub fn standing_stopped(&mut self, key: RunKey, at_work: bool) {
        let task = key.task;
        if !self.standing.contains_key(&task.job) {
            return;
        }
        let runs = self.running.get(&task);
        let runs_elsewhere = runs.is_some_and(|runs| runs.iter().any(|(_, run)| *run != key.run));
        if runs_elsewhere {
            return;
        }
        if at_work {
            self.check_may_miss(key);
        }
        self.missing.stopped.insert(task);
    }

    fn check_may_miss(&mut self, key: RunKey) {
        let Some(step) = self.step(&key.task) else {
            return;
        };
        let Some(may_miss) = step.may_miss else {
            return;
        };
        let others = (0..step.count).filter(|index| *index != key.task.index);
        let others = others.map(|index| TaskKey { index, ..key.task });
        let missing: Vec<u32> = others
            .filter(|other| self.missing.is_unavailable(other))
            .map(|other| other.index)
            .collect();
        if missing.len() >= may_miss as usize {
            let what = format!("{key} is stopped while {missing:?} of its step are unavailable");
            self.report(self.now, BrokenRule::Missing, what);
        }
    }
}
