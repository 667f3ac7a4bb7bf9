//! Judges the runs of steps with new readings, and orders copies and stops.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{JobId, Millis, WorkerId};

use super::gain::RestartTrial;
use super::slow::{slow_runs, StepProgress, SCARCE_FACTOR};
use super::stuck::{judge_run, stalled_ms, RestartCost, StuckRun};
use super::track::RunProgress;
use crate::due::CompletionValue;
use crate::ids::{RunKey, TaskKey};
use crate::job::TaskStage;
use crate::limits::CLEARED_AFTER_MS;
use crate::note::{JobNote, StopCause};
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;

/// The interval of the checks. Readings arrive every 0.25 s or later, so that a shorter one would gain little.
const CHECK_INTERVAL_MS: Millis = 50;
/// A check of this many runs is followed by a pause of a millisecond: judging a run takes some 0.2 us, and a step may have 10,000.
const RUNS_PER_PAUSE_MS: Millis = 20;
/// From this number of stalled runs on, their worker gets no new tasks.
const MIN_STALLED_RUNS: usize = 2;
/// For how long such a worker gets no new tasks. It is longer than the interval of its readings, and short enough that a worker which
/// goes on is soon used again.
pub(super) const STALLED_WORKER_PAUSE_MS: Millis = 1_500;
/// The most restarts of one task.
pub(super) const MAX_RESTARTS: u32 = 2;
/// The least pace, in percent, at which a run that is ordered to work slowly shows progress soon enough to be judged.
const MIN_JUDGED_PACE_PERCENT: u32 = 50;

/// The runs of a step with new readings.
pub(super) struct StepRuns {
    pub(super) key: TaskKey,
    pub(super) progress: StepProgress,
    /// The run of each task in `progress`, with its worker.
    pub(super) runs: BTreeMap<u32, (WorkerId, RunKey)>,
}

impl JobScheduler {
    /// Looks for slow and stuck runs in the steps with new readings.
    pub(crate) fn check_slow_runs(&mut self, now: Millis) {
        if !self.watches_runs() || now < self.slow_runs.check_due_at {
            return;
        }
        self.mark_silent_workers(now);
        let marked = std::mem::take(&mut self.slow_runs.marked);
        let steps = marked.iter();
        let steps: Vec<StepRuns> = steps.filter_map(|key| self.step_runs(now, key)).collect();
        let judged = steps.iter().map(|step| step.runs.len()).sum::<usize>();
        let pause = CHECK_INTERVAL_MS.max(judged as Millis / RUNS_PER_PAUSE_MS);
        self.slow_runs.check_due_at = now + self.backlog.stretched_pause_ms(pause);
        self.pause_stalled_workers(now, &steps);
        for step in &steps {
            if self.allows_copies(&step.key) {
                self.start_copies(now, step);
            } else if self.limits.policies.stuck_runs {
                self.stop_stuck_runs(now, step);
            }
        }
        self.stop_stuck_standing(now);
    }

    /// Marks the steps of the runs on silent workers, which bring no readings.
    fn mark_silent_workers(&mut self, now: Millis) {
        let silent = self.workers.values().filter(|worker| worker.is_silent(now));
        let runs = silent.flat_map(|worker| worker.runs.iter());
        let ordinary = runs.filter(|(_, record)| !record.standing);
        let steps = ordinary.map(|(key, _)| key.task.first_of_step());
        self.slow_runs.marked.extend(steps);
    }

    /// The progress of a step's runs; none for standing steps and for gangs, which are stopped as a whole or not at all.
    fn step_runs(&self, now: Millis, key: &TaskKey) -> Option<StepRuns> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.step_spec(key)?;
        let step = job.step(key)?;
        if spec.gang || spec.standing {
            return None;
        }
        let mut found = Vec::new();
        let mut runs = BTreeMap::new();
        for (index, task) in (0u32..).zip(&step.tasks) {
            let TaskStage::Live { worker, run } = &task.stage else {
                continue;
            };
            let task = TaskKey { index, ..*key };
            let run = RunKey { task, run: *run };
            if let Some(progress) = self.run_progress(now, worker, &run) {
                found.push((index, progress));
                runs.insert(index, (worker.clone(), run));
            }
        }
        let done_ms = step.done_times.times_ms();
        Some(StepRuns {
            key: *key,
            progress: StepProgress::new(found, done_ms, step.tasks.len()),
            runs,
        })
    }

    /// The progress of a run that is known to run; none if it can't be judged.
    fn run_progress(&self, now: Millis, worker: &WorkerId, run: &RunKey) -> Option<RunProgress> {
        let state = self.workers.get(worker)?;
        let record = state.runs.get(run)?;
        if !matches!(record.phase, RunPhase::Running(_)) {
            return None;
        }
        let mut progress = record.progress.progress(now, state.is_silent(now))?;
        let uncleared = state.heard_after(record) < Some(CLEARED_AFTER_MS);
        if progress.silent && uncleared {
            // The run may have crashed its worker, and a copy of it would crash another one.
            return None;
        }
        if let Some(paced_at) = record.pace_sent_at {
            progress.paced = true;
            progress.stalled_ms = match record.pace >= MIN_JUDGED_PACE_PERCENT {
                true => progress.stalled_ms.min(now.saturating_sub(paced_at)),
                false => 0,
            };
        }
        Some(progress)
    }

    /// Gives no new tasks to workers with several stalled runs.
    fn pause_stalled_workers(&mut self, now: Millis, steps: &[StepRuns]) {
        if !self.limits.policies.stuck_runs {
            return;
        }
        let mut stalled: BTreeMap<WorkerId, Vec<RunKey>> = BTreeMap::new();
        for step in steps {
            for (index, run) in &step.progress.runs {
                let stalls = !run.silent && stalled_ms(run, &step.progress) > 0;
                if let Some((worker, key)) = step.runs.get(index).filter(|_| stalls) {
                    stalled.entry(worker.clone()).or_default().push(*key);
                }
            }
        }
        for (worker, runs) in stalled {
            self.count_stalled_runs(now, &worker, &runs);
            if runs.len() < MIN_STALLED_RUNS {
                continue;
            }
            let state = self.workers.get(&worker);
            if state.is_some_and(|state| state.paused_until <= now) {
                self.note(JobNote::WorkerStalled {
                    worker: worker.clone(),
                    runs: runs.len(),
                });
            }
            self.pause_worker(&worker, now + STALLED_WORKER_PAUSE_MS);
        }
    }

    /// Counts stalled runs as failures of their worker for its quarantine, each once. Unlike the pause, the quarantine lasts
    /// until a run is done there: a worker from which all runs were moved would get new tasks although it cannot run them.
    pub(super) fn count_stalled_runs(&mut self, now: Millis, worker: &WorkerId, runs: &[RunKey]) {
        for key in runs {
            let Some(record) = self.record_mut(worker, key) else {
                continue;
            };
            if std::mem::replace(&mut record.counted_stalled, true) {
                continue;
            }
            let job = JobId::from(key.task.job.to_string());
            if self.quarantine.note_failure(worker, &job, now) {
                self.note(JobNote::WorkerQuarantined(worker.clone()));
            }
        }
    }

    /// Starts copies of the slow runs of a step, of the one that ends last first.
    fn start_copies(&mut self, now: Millis, step: &StepRuns) {
        let mut slow = slow_runs(&step.progress, false);
        if slow.is_empty() {
            return;
        }
        let claims = self.waiting_claims(&step.key);
        if !claims.is_empty() {
            slow = slow_runs(&step.progress, true);
            if self.limits.policies.stuck_runs {
                // A restart takes no capacity from the tasks that wait.
                self.stop_stuck_runs(now, step);
            }
        }
        let suspected = slow.iter().filter_map(|run| step.runs.get(&run.index));
        let suspected: BTreeSet<&WorkerId> = suspected.map(|(worker, _)| worker).collect();
        for run in &slow {
            let started = self.unanswered_starts < self.backlog.max_unanswered_starts();
            if !started || !self.slow_runs.budget.allows_copy() {
                return;
            }
            let Some((worker, key)) = step.runs.get(&run.index) else {
                continue;
            };
            if !self.may_copy(now, &key.task) {
                continue;
            }
            let Some(place) = self.choose_other_worker(now, &key.task, worker, &suspected, &claims)
            else {
                continue;
            };
            self.start_copy(now, key, worker, place, run);
        }
    }

    /// Whether a task may get a copy: it has none, and its failed runs leave attempts for both runs. A task that may have crashed
    /// workers gets none, and a job whose end has no value any more neither.
    fn may_copy(&self, now: Millis, key: &TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let most = self.rules(&job.spec).max_attempts as usize;
        let task = job.task(key);
        let single = task.is_some_and(|task| {
            task.copy.is_none() && task.crashes.is_empty() && task.failed_runs.len() + 2 <= most
        });
        single && job.due.value_at(now) != CompletionValue::Zero
    }

    /// Stops the runs of a step whose restart is expected to end well before them.
    fn stop_stuck_runs(&mut self, now: Millis, step: &StepRuns) {
        let Some(job) = self.jobs.get(&step.key.job) else {
            return;
        };
        let queue = job.spec.queue.clone();
        let useful = job.due.value_at(now) != CompletionValue::Zero;
        for (index, run) in step.progress.runs.iter().filter(|_| useful) {
            let gain = self.slow_runs.gains.entry(queue.clone()).or_default();
            let (allowed, rerun_percent) = (gain.allows_restart(now), gain.rerun_percent());
            let Some((worker, key)) = step.runs.get(index).filter(|_| allowed) else {
                continue;
            };
            let record = self.record_mut(worker, key);
            let Some(kept_percent) = record.map(|record| kept_percent(record)) else {
                continue;
            };
            let cost = RestartCost {
                stop_ms: self.limits.stop_timeout_ms,
                restore_ms: self.limits.restore_ms,
                kept_percent,
                rerun_percent,
            };
            let Some(stuck) = judge_run(run, &step.progress, &cost) else {
                continue;
            };
            if self.may_restart(now, &key.task, worker, Some(&stuck)) {
                self.restart_run(now, worker, *key, run, &stuck);
            }
        }
    }

    /// Whether a task may be restarted: not too often, and only if another worker has room for it. While others wait for capacity, a
    /// run is stopped as well if the restart gives back more capacity than it takes.
    pub(super) fn may_restart(
        &self,
        now: Millis,
        key: &TaskKey,
        worker: &WorkerId,
        stuck: Option<&StuckRun>,
    ) -> bool {
        let job = self.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key));
        let few = task.is_some_and(|task| {
            task.restarts.count < MAX_RESTARTS && task.copy.is_none() && task.crashes.is_empty()
        });
        if !few {
            return false;
        }
        let claims = self.waiting_claims(key);
        let saves = |stuck: &StuckRun| stuck.remaining_ms >= stuck.restart_ms * SCARCE_FACTOR;
        if !claims.is_empty() && stuck.is_some_and(saves) {
            return true;
        }
        let nowhere = BTreeSet::new();
        let place = self.choose_other_worker(now, key, worker, &nowhere, &claims);
        place.is_some()
    }

    /// Stops a run; its task starts again once the run's end is listed.
    fn restart_run(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        run: &RunProgress,
        stuck: &StuckRun,
    ) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        let gain = self.slow_runs.gains.entry(job.spec.queue.clone());
        let gain = gain.or_default();
        let Some(task) = job.task_mut(&key.task) else {
            return;
        };
        let trial = RestartTrial {
            stopped_at: now,
            remaining_ms: stuck.remaining_ms,
            typical_ms: stuck.typical_ms,
        };
        task.restarts.count += 1;
        if let Some(earlier) = task.restarts.trial.replace(trial) {
            let took_ms = run.whole.took_ms + stuck.remaining_ms;
            gain.note_outcome(now + stuck.remaining_ms, &earlier, took_ms);
        }
        gain.note_restart(now);
        self.note(JobNote::RunStuck {
            key,
            worker: worker.clone(),
            percent: run.percent,
            stalled_ms: stuck.stalled_ms,
            remaining_ms: stuck.remaining_ms,
            restart_ms: stuck.restart_ms,
            reading_age_ms: run.age_ms,
        });
        self.stop_run(now, worker, key, StopCause::Stuck);
    }
}

/// The progress that a new run would keep, in percent.
fn kept_percent(record: &RunRecord) -> u32 {
    match record.checkpoint {
        Some(_) => record.progress.checkpoint_percent,
        None => 0,
    }
}
