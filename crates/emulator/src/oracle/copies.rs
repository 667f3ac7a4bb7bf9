//! Checks when a run may start beside, or after, other runs of its task.

use sandshelf_jobs::{RunKey, StepSpec, TaskKey};
use sandshelf_model::{Millis, WorkerId};

use super::{BrokenRule, PlatformOracle};

/// How many runs of a task may run at one time where its step allows copies.
const MAX_COPIED_RUNS: usize = 2;
/// Where copies are allowed, how long a start may still be on its way after the task's end, the job's end or the last attempt was
/// acknowledged, in milliseconds.
const LATE_COPY_MS: Millis = 1_000;

impl PlatformOracle {
    /// Reports a start beside other runs of the task that its step does not allow.
    pub(super) fn check_concurrent(&mut self, worker: &WorkerId, key: RunKey, step: &StepSpec) {
        let Some(others) = self.running.get(&key.task).filter(|runs| !runs.is_empty()) else {
            return;
        };
        let elsewhere = others.iter().all(|(other, _)| other != worker);
        if step.copies_allowed && elsewhere && others.len() < MAX_COPIED_RUNS {
            self.copies += 1;
            return;
        }
        let what = format!("{key} on {worker} concurrent with {others:?}");
        self.report(self.now, BrokenRule::Twice, what);
    }

    /// Reports a start after an acknowledged end of the task. Copies may start until shortly after it, or until shortly after the
    /// job was shown as completed, and by an owner that is not in touch.
    pub(super) fn check_ended(
        &mut self,
        worker: &WorkerId,
        key: RunKey,
        step: &StepSpec,
        in_touch: bool,
    ) {
        let ended = self.acknowledged.get(&key.task).copied();
        let breaks = match step.copies_allowed {
            false => ended.is_some(),
            true => {
                let shown = self.completed.get(&key.task.job).copied();
                let ended = ended.into_iter().chain(shown).min();
                in_touch && ended.is_some_and(|at| self.now > at + LATE_COPY_MS)
            }
        };
        if breaks {
            let history = self.history.get(&key.task);
            let what = format!("{key} on {worker} after an acknowledged end: {history:?}");
            self.report(self.now, BrokenRule::Twice, what);
        }
    }

    /// Records a start after successful ends of the task that were not acknowledged so far.
    pub(super) fn note_start_after_end(&mut self, key: RunKey) {
        let first = RunKey { run: 0, ..key };
        let last = RunKey {
            run: u64::MAX,
            ..key
        };
        for (_, started) in self.started_since.range_mut(first..=last) {
            started.push(key);
        }
    }

    /// Reports the starts between a successful end of the task and its acknowledgement, unless its step allows copies.
    pub(super) fn check_started_since(&mut self, key: RunKey) {
        let started = self.started_since.remove(&key).unwrap_or_default();
        let allowed = self.step(&key.task).is_none_or(|step| step.copies_allowed);
        if allowed || started.is_empty() {
            return;
        }
        let history = self.history.get(&key.task);
        let what =
            format!("{started:?} started before the end of {key} was acknowledged: {history:?}");
        self.report(self.now, BrokenRule::Twice, what);
    }

    /// Reports a start after the task's attempts were used up. Copies may start until shortly after that, and by an owner that is
    /// not in touch.
    pub(super) fn check_attempts(
        &mut self,
        key: RunKey,
        step: &StepSpec,
        most: u32,
        in_touch: bool,
    ) {
        let failed = self.failed.get(&key.task).map_or(&[][..], Vec::as_slice);
        let used_up = failed.len() >= most as usize;
        if !used_up || step.standing {
            return;
        }
        let last = failed[..most as usize].last();
        let used_up_at = last.map_or(0, |(_, at)| *at);
        let late = in_touch && self.now > used_up_at + LATE_COPY_MS;
        if late || !step.copies_allowed {
            self.report(self.now, BrokenRule::Budget, key.to_string());
        }
    }

    /// Reports a second successful end of a task after the first one was acknowledged, unless its step allows copies.
    pub(super) fn check_second_end(&mut self, key: RunKey) {
        let allowed = self.step(&key.task).is_none_or(|step| step.copies_allowed);
        if !allowed && self.acknowledged.contains_key(&key.task) {
            let history = self.history.get(&key.task);
            let what = format!("{key} is a second successful run: {history:?}");
            self.report(self.now, BrokenRule::Twice, what);
        }
    }

    pub(super) fn step(&self, task: &TaskKey) -> Option<&StepSpec> {
        let spec = self.jobs.get(&task.job)?;
        spec.steps.get(task.step as usize)
    }
}
