//! The two runs that a task may have at one time.

use sandshelf_model::{Millis, WorkerId};

use super::gain::RestartTrial;
use crate::ids::{RunKey, TaskKey};
use crate::job::{JobState, TaskStage, TaskState};
use crate::note::StopCause;
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;

/// The most durations of done tasks that are kept for each step; a median needs no more.
const MAX_DONE_TIMES: usize = 32;

/// A second run of a task beside the first one. There is one only while the task is [`TaskStage::Live`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CopyRun {
    pub(crate) worker: WorkerId,
    pub(crate) run: u64,
}

/// The restarts of a task whose run was stuck.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RestartHistory {
    /// The number of runs that were stopped because they were stuck.
    pub(crate) count: u32,
    /// The restart whose outcome is not known yet.
    pub(crate) trial: Option<RestartTrial>,
}

/// The durations of the newest done tasks of a step, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct DoneTimes {
    times_ms: Vec<Millis>,
    next: usize,
}

impl DoneTimes {
    /// Adds the duration of a task; the oldest is dropped beyond [`MAX_DONE_TIMES`].
    pub(crate) fn add(&mut self, took_ms: Millis) {
        match self.times_ms.get_mut(self.next) {
            Some(oldest) => *oldest = took_ms,
            None => self.times_ms.push(took_ms),
        }
        self.next = (self.next + 1) % MAX_DONE_TIMES;
    }

    /// The durations, in no order.
    pub(crate) fn times_ms(&self) -> &[Millis] {
        &self.times_ms
    }
}

impl TaskState {
    /// Removes an ended run from the task and returns the runs that go on. A copy takes the place of a first run that has ended.
    pub(crate) fn remaining_after(&mut self, ended: u64) -> Vec<(WorkerId, u64)> {
        let TaskStage::Live { worker, run } = &mut self.stage else {
            self.copy = None;
            return Vec::new();
        };
        if *run == ended {
            let Some(copy) = self.copy.take() else {
                return Vec::new();
            };
            (*worker, *run) = (copy.worker, copy.run);
        }
        self.copy.take_if(|copy| copy.run == ended);
        let first = std::iter::once((worker.clone(), *run));
        let copy = self.copy.iter().map(|copy| (copy.worker.clone(), copy.run));
        first.chain(copy).collect()
    }

    /// Whether the end of this run was processed. Unlike in steps without copies, a run may go on after a later run has ended.
    fn has_ended_run(&self, run: u64) -> bool {
        run == self.last_ended || self.failed_runs.contains(&run)
    }

    /// Whether an end decides what becomes of the task: it is the end of its newest run or, in steps with copies, of its only one.
    pub(crate) fn is_current_end(&self, run: u64, copies: bool) -> bool {
        run > self.last_ended || copies && self.stage.is_run(run)
    }
}

impl JobState {
    /// The runs of its tasks that may be running.
    pub(crate) fn live_runs(&self) -> Vec<(WorkerId, RunKey)> {
        let mut runs = Vec::new();
        for task in self.live_tasks() {
            let Some(state) = self.task(&task) else {
                continue;
            };
            if let TaskStage::Live { worker, run } = &state.stage {
                runs.push((worker.clone(), RunKey { task, run: *run }));
            }
            let copy = state.copy.iter();
            runs.extend(copy.map(|copy| {
                let run = RunKey {
                    task,
                    run: copy.run,
                };
                (copy.worker.clone(), run)
            }));
        }
        runs
    }
}

impl JobScheduler {
    /// Whether two runs of this task may run at one time.
    pub(crate) fn allows_copies(&self, key: &TaskKey) -> bool {
        if !self.limits.policies.copies {
            return false;
        }
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step_spec(key));
        step.is_some_and(|step| step.copies_allowed && !step.gang && !step.standing && !step.fills)
    }

    /// Whether a reported run has ended, by what was processed so far.
    pub(crate) fn has_ended(&self, key: &RunKey) -> bool {
        let copies = self.allows_copies(&key.task);
        let job = self.jobs.get(&key.task.job);
        let task = job.and_then(|job| job.task(&key.task));
        task.is_some_and(|task| match copies {
            true => task.has_ended_run(key.run),
            false => key.run <= task.last_ended,
        })
    }

    /// Adopts a reported run beside the known run of its task, if the step allows copies and the task has no copy. The later run is
    /// the copy. Returns whether the run was adopted.
    pub(crate) fn adopt_copy(
        &mut self,
        worker: &WorkerId,
        key: &RunKey,
        record: &mut RunRecord,
    ) -> bool {
        if !self.allows_copies(&key.task) || self.has_ended(key) {
            return false;
        }
        let job = self.jobs.get_mut(&key.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(&key.task)) else {
            return false;
        };
        let TaskStage::Live { worker: first, run } = &mut task.stage else {
            return false;
        };
        if task.copy.is_some() {
            return false;
        }
        task.given_up.retain(|given_up| *given_up != key.run);
        let mut copy = CopyRun {
            worker: worker.clone(),
            run: key.run,
        };
        record.copy = true;
        if key.run < *run {
            std::mem::swap(first, &mut copy.worker);
            std::mem::swap(run, &mut copy.run);
            record.copy = false;
        }
        task.copy = Some(copy.clone());
        let copy_key = RunKey {
            task: key.task,
            run: copy.run,
        };
        if let Some(other) = self.record_mut(&copy.worker, &copy_key) {
            other.copy = true;
        }
        true
    }

    /// Stops the other runs of a task that is done.
    pub(crate) fn stop_others(
        &mut self,
        now: Millis,
        task: &TaskKey,
        others: &[(WorkerId, u64)],
        copies: bool,
    ) {
        let cause = match copies {
            true => StopCause::CopyLost,
            false => StopCause::Superseded,
        };
        for (worker, run) in others {
            let key = RunKey {
                task: *task,
                run: *run,
            };
            self.stop_run(now, worker, key, cause);
        }
    }
}
