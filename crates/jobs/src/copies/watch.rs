//! What the checks for slow runs keep between them, and the readings that they are fed with.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Millis, WorkerId};

use super::budget::CopyBudget;
use super::gain::RestartGain;
use crate::backlog::BacklogMonitor;
use crate::ids::{RunKey, TaskKey};
use crate::note::JobNote;
use crate::reports::{EndReport, RunOutcome, WorkerClock};
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// For how long after the start of a run its worker is read often. A copy saves a step of short tasks only if
/// a straggler is known within some tenths of a second; for longer tasks the usual interval suffices.
const CLOSE_READING_MS: Millis = 1_500;
/// How long a worker with a young run whose step allows copies may wait before it answers a lease renewal.
const COPY_READING_WAIT_MS: Millis = 250;
/// How long a worker with another young run may wait.
const STUCK_READING_WAIT_MS: Millis = 500;

/// The state of the checks for slow and stuck runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowRunWatch {
    /// The steps with new readings, by their first task.
    pub(super) marked: BTreeSet<TaskKey>,
    /// When the next check is due.
    pub(super) check_due_at: Millis,
    pub(super) budget: CopyBudget,
    /// The outcomes of restarts, by queue.
    pub(super) gains: BTreeMap<String, RestartGain>,
    /// Since when standing tasks that were at work have not been.
    pub(super) away_since: BTreeMap<RunKey, Millis>,
}

impl WorkerState {
    /// How long the worker may wait before it answers a renewal, in milliseconds, given the wait that it would have otherwise.
    pub(crate) fn reading_wait_ms(
        &self,
        now: Millis,
        wait_ms: Millis,
        backlog: &BacklogMonitor,
    ) -> Millis {
        let mut wait_ms = wait_ms;
        if now < self.watched_until {
            wait_ms = wait_ms.min(backlog.renewal_wait_ms(STUCK_READING_WAIT_MS));
        }
        if now < self.read_closely_until {
            wait_ms = wait_ms.min(backlog.renewal_wait_ms(COPY_READING_WAIT_MS));
        }
        wait_ms
    }
}

impl RunRecord {
    /// Whether this owner ordered the run and it began at 0 %, so that its duration is that of the whole work.
    fn is_whole(&self) -> bool {
        self.ordered_at > 0 && !self.resumed
    }
}

impl JobScheduler {
    /// Whether slow runs are looked for at all.
    pub(super) fn watches_runs(&self) -> bool {
        self.limits.policies.copies || self.limits.policies.stuck_runs
    }

    /// Records that a run of a task is ordered to start on a worker.
    pub(crate) fn note_ordered_start(&mut self, now: Millis, worker: &WorkerId, key: &TaskKey) {
        self.slow_runs.budget.note_start();
        let copies = self.allows_copies(key);
        let watched = copies || self.limits.policies.stuck_runs;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if copies {
            state.read_closely_until = now + CLOSE_READING_MS;
        }
        if watched {
            state.watched_until = now + CLOSE_READING_MS;
        }
    }

    /// Records a reading of a run's progress.
    pub(crate) fn note_progress(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: &RunKey,
        clock: WorkerClock,
    ) {
        if !self.watches_runs() {
            return;
        }
        let Some(record) = self.record_mut(worker, key) else {
            return;
        };
        // A resumed run does not start at 0 %, and the start of a run of an earlier owner is not known.
        let began = record.began.filter(|_| record.is_whole());
        let percent = record.percent;
        let before = record.progress.newest_percent();
        let ordered_at = record.ordered_at;
        record.progress.note(now, clock, percent, began);
        let checkpoint = record.checkpoint.as_ref();
        record.progress.note_checkpoint(checkpoint, percent);
        if record.standing {
            self.note_presence(now, *key, (before, percent), ordered_at);
            return;
        }
        self.slow_runs.marked.insert(key.task.first_of_step());
    }

    /// Records how a run of a task ended, before its task is settled. `record` is the run's former record, if it was known.
    pub(crate) fn note_run_end(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        end: &EndReport,
        record: Option<&RunRecord>,
    ) {
        if !self.watches_runs() {
            return;
        }
        let state = self.workers.get(worker);
        let took_ms = record.and_then(|record| {
            let took_ms = state?.heard_after(record);
            took_ms.filter(|_| record.is_whole())
        });
        self.slow_runs.away_since.remove(&end.key);
        if end.outcome != RunOutcome::Done {
            return;
        }
        let Some(job) = self.jobs.get_mut(&end.key.task.job) else {
            return;
        };
        let queue = job.spec.queue.clone();
        let trial = job.task_mut(&end.key.task);
        let trial = trial.and_then(|task| task.restarts.trial.take());
        if let (Some(step), Some(took_ms)) = (job.step_mut(&end.key.task), took_ms) {
            step.done_times.add(took_ms);
        }
        self.slow_runs.marked.insert(end.key.task.first_of_step());
        let Some(trial) = trial else {
            return;
        };
        let gain = self.slow_runs.gains.entry(queue).or_default();
        let took_ms = took_ms.unwrap_or(trial.typical_ms);
        let helped = gain.note_outcome(now, &trial, took_ms);
        self.note(JobNote::RestartJudged {
            key: end.key,
            helped,
            took_ms: now.saturating_sub(trial.stopped_at),
            expected_ms: trial.remaining_ms,
        });
    }
}
