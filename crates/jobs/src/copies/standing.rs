//! Restarts standing tasks that were at work and are not any more, within what their step may miss.

use sandshelf_model::{Millis, WorkerId};

use super::check::{MAX_RESTARTS, STALLED_WORKER_PAUSE_MS};
use super::stuck::is_standing_stuck;
use super::task_runs::RestartHistory;
use crate::ids::{RunKey, TaskKey};
use crate::job::{TaskStage, TaskState};
use crate::note::{JobNote, StopCause};
use crate::run::RunPhase;
use crate::scheduler::JobScheduler;

/// The reading of a standing task that is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;
/// A standing task that is at work this long after its start may be restarted [`MAX_RESTARTS`] times again.
const SETTLED_AFTER_MS: Millis = 30_000;

impl JobScheduler {
    /// Records a reading of a standing task: the percent before, if any, and now.
    pub(super) fn note_presence(
        &mut self,
        now: Millis,
        key: RunKey,
        (before, percent): (Option<u32>, u32),
        ordered_at: Millis,
    ) {
        if !self.limits.policies.stuck_runs {
            return;
        }
        if percent < AT_WORK_PERCENT {
            if before.is_some_and(|before| before >= AT_WORK_PERCENT) {
                self.slow_runs.away_since.insert(key, now);
            }
            return;
        }
        self.slow_runs.away_since.remove(&key);
        let settled = now >= ordered_at + SETTLED_AFTER_MS;
        let job = self.jobs.get_mut(&key.task.job).filter(|_| settled);
        if let Some(task) = job.and_then(|job| job.task_mut(&key.task)) {
            task.restarts = RestartHistory::default();
        }
    }

    /// Stops standing tasks that are not at work any more.
    pub(super) fn stop_stuck_standing(&mut self, now: Millis) {
        if !self.limits.policies.stuck_runs || self.slow_runs.away_since.is_empty() {
            return;
        }
        let away = std::mem::take(&mut self.slow_runs.away_since);
        for (key, since) in away {
            let Some(worker) = self.worker_of(&key) else {
                continue;
            };
            self.slow_runs.away_since.insert(key, since);
            let stuck = is_standing_stuck(now.saturating_sub(since), self.limits.stop_timeout_ms);
            if stuck && self.may_stop_standing(now, &key, &worker) {
                self.stop_standing(now, worker, key, since);
            }
        }
    }

    /// The worker on which a run is known to run.
    fn worker_of(&self, key: &RunKey) -> Option<WorkerId> {
        let task = self.jobs.get(&key.task.job)?.task(&key.task)?;
        let TaskStage::Live { worker, run } = &task.stage else {
            return None;
        };
        let record = self.workers.get(worker)?.runs.get(key)?;
        let running = *run == key.run && matches!(record.phase, RunPhase::Running(_));
        running.then(|| worker.clone())
    }

    /// Whether a standing task may be stopped: the worker answers, the step may miss the task and those that are away already, and
    /// another worker has room for it.
    fn may_stop_standing(&self, now: Millis, key: &RunKey, worker: &WorkerId) -> bool {
        let silent = self.workers.get(worker);
        if silent.is_none_or(|state| state.is_silent(now)) {
            return false;
        }
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let (Some(spec), Some(step)) = (job.step_spec(&key.task), job.step(&key.task)) else {
            return false;
        };
        let others = (0u32..).zip(&step.tasks);
        let others = others.filter(|(index, _)| *index != key.task.index);
        let away = others.filter(|(index, task)| {
            let task_key = TaskKey {
                index: *index,
                ..key.task
            };
            !self.is_at_work(now, &task_key, task)
        });
        let missed = away.count() + 1;
        let allowed = !spec.gang && spec.may_miss.is_none_or(|most| missed <= most as usize);
        allowed && self.may_restart(now, &key.task, worker, None)
    }

    /// Whether a standing task is at work by its newest reading.
    pub(crate) fn is_at_work(&self, now: Millis, key: &TaskKey, task: &TaskState) -> bool {
        let TaskStage::Live { worker, run } = &task.stage else {
            return false;
        };
        let run = RunKey {
            task: *key,
            run: *run,
        };
        let state = self.workers.get(worker);
        let state = state.filter(|state| !state.is_silent(now));
        let record = state.and_then(|state| state.runs.get(&run));
        record.is_some_and(|record| {
            matches!(record.phase, RunPhase::Running(_)) && record.percent >= AT_WORK_PERCENT
        })
    }

    fn stop_standing(&mut self, now: Millis, worker: WorkerId, key: RunKey, since: Millis) {
        self.slow_runs.away_since.remove(&key);
        let job = self.jobs.get_mut(&key.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&key.task)) {
            task.restarts.count = (task.restarts.count + 1).min(MAX_RESTARTS);
        }
        let percent = self.record_mut(&worker, &key);
        let percent = percent.map_or(0, |record| record.percent);
        let stalled_ms = now.saturating_sub(since);
        self.note(JobNote::RunStuck {
            key,
            worker: worker.clone(),
            percent,
            stalled_ms,
            remaining_ms: stalled_ms,
            restart_ms: self.limits.stop_timeout_ms,
            reading_age_ms: 0,
        });
        // The worker may be unable to run anything: the task would only be lost there again.
        self.count_stalled_runs(now, &worker, &[key]);
        self.pause_worker(&worker, now + STALLED_WORKER_PAUSE_MS);
        self.stop_run(now, &worker, key, StopCause::Stuck);
    }
}
