//! How tasks with crashes are started, and how a run of theirs is proven.

use sandshelf_model::{Millis, WorkerId};

use super::record::StartPlace;
use super::{CrashRecord, CrashSuspect, StartCaution};
use crate::ids::{RunKey, TaskKey};
use crate::job::{TaskStage, TaskState};
use crate::limits::{
    CLEARED_AFTER_MS, MAX_RUN_AGE_AT_CRASH_MS, MIN_RESERVABLE_WORKERS, RESERVED_FLEET_DIVISOR,
    WORKER_RESERVATION_MS,
};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

impl JobScheduler {
    /// With how much caution a task is started.
    pub(crate) fn caution_of(&self, task: &TaskKey) -> StartCaution {
        let noted = self.noted_task(task);
        noted.map_or(StartCaution::Usual, |noted| noted.crashes.caution())
    }

    /// How long after the start of a task's run its worker has to be heard for the run to be proven.
    pub(super) fn proof_ms(&self, task: &TaskKey) -> Millis {
        let noted = self.noted_task(task);
        noted.map_or(CLEARED_AFTER_MS, |noted| noted.crashes.proof_ms())
    }

    /// A task with crashes that are noted.
    fn noted_task(&self, task: &TaskKey) -> Option<&TaskState> {
        if !self.crashes.noted.contains(task) {
            return None;
        }
        self.jobs.get(&task.job)?.task(task)
    }

    /// The runs that began so short a time before their worker was last heard that its crash may have to do with them, and those lost
    /// with it before.
    ///
    /// An order without an answer may have been carried out. But where another run there is unproven, that one explains why nothing was
    /// heard any more; and of several the first was the last that the worker can have begun.
    pub(crate) fn crash_suspects(&self, worker: &WorkerState) -> Vec<CrashSuspect> {
        let mut suspects = self.begun_suspects(worker);
        if !suspects.iter().any(|suspect| self.is_unproven(suspect)) {
            suspects.extend(worker.first_unanswered());
        }
        suspects
    }

    /// Whether nothing that had begun on a worker can have brought it down. Orders without an answer say nothing here: they go to a worker that is
    /// down until that is noticed.
    pub(super) fn is_unexplained(&self, worker: &WorkerState) -> bool {
        let suspects = self.begun_suspects(worker);
        !suspects.iter().any(|suspect| self.is_unproven(suspect))
    }

    /// Those of the suspects that the worker is known to have begun.
    fn begun_suspects(&self, worker: &WorkerState) -> Vec<CrashSuspect> {
        let began = worker.runs.iter().filter_map(|(key, record)| {
            let heard_ms = worker.heard_after(record)?;
            Some(CrashSuspect {
                key: *key,
                heard_ms,
                sudden: record.is_sudden(heard_ms),
            })
        });
        let began = began.chain(worker.suspects.iter().copied());
        let late = began.filter(|suspect| suspect.heard_ms <= MAX_RUN_AGE_AT_CRASH_MS);
        late.collect()
    }

    /// Whether a run has not been proven: its worker may have gone down by its doing, or may yet.
    pub(super) fn is_unproven(&self, suspect: &CrashSuspect) -> bool {
        suspect.heard_ms < self.proof_ms(&suspect.key.task)
    }

    /// The runs on a worker that are not proven.
    pub(crate) fn unproven_runs(&self, worker: &WorkerState) -> Vec<RunKey> {
        let suspects = self.crash_suspects(worker).into_iter();
        let unproven = suspects.filter(|suspect| self.is_unproven(suspect));
        unproven.map(|suspect| suspect.key).collect()
    }

    /// Whether a task under which a worker crashed, and that is not proven since, is at work on a worker.
    pub(crate) fn has_suspect(&self, worker: &WorkerState) -> bool {
        let unproven = self.unproven_runs(worker);
        let mut cautions = unproven.iter().map(|run| self.caution_of(&run.task));
        cautions.any(|caution| caution != StartCaution::Usual)
    }

    /// A worker reports a run at work: it was not lost with a crash. Where it is proven, the crashes that were noted with its task were
    /// others' doing.
    pub(crate) fn clear_proven(&mut self, worker: &WorkerId, run: &RunKey) {
        if !self.crashes.noted.contains(&run.task) {
            return;
        }
        self.withdraw_note(run);
        let state = self.workers.get(worker);
        let heard = state.and_then(|state| state.heard_after(state.runs.get(run)?));
        if heard.is_none_or(|heard| heard < self.proof_ms(&run.task)) {
            return;
        }
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&run.task)) {
            task.crashes = CrashRecord::default();
        }
        self.crashes.clear(&run.task);
        self.mark_dirty(run.task.job);
    }

    /// A task with notes is started: where is written down at once, so that a successor knows whether it has crashed one worker more.
    pub(crate) fn note_restart(&mut self, key: &RunKey, worker: &WorkerId) {
        if !self.crashes.noted.contains(&key.task) {
            return;
        }
        let place = StartPlace {
            worker: worker.clone(),
            life: self.workers.get(worker).and_then(|state| state.life.name),
        };
        let job = self.jobs.get_mut(&key.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&key.task)) {
            task.crashes.note_start(place, key.run);
            self.mark_dirty(key.task.job);
            self.urgent = true;
        }
    }

    /// The notes of these tasks are durable: they may be started.
    pub(crate) fn release_noted(&mut self, now: Millis, tasks: Vec<TaskKey>) {
        for key in tasks {
            // Another crash may have been noted since that write was asked for.
            if self.crashes.unwritten.contains(&key) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let queued = job.queued_as(&key);
            let Some(task) = job.task_mut(&key) else {
                continue;
            };
            task.not_before = 0;
            if task.stage == TaskStage::Waiting {
                self.delayed.retain(|(_, task)| *task != queued);
                self.enqueue(now, key);
            }
        }
    }

    /// Keeps a worker free of new starts for a task that is to be alone on it, from its choice until the task's run is proven.
    pub(crate) fn keep_worker(&mut self, now: Millis, worker: WorkerId, task: TaskKey) {
        self.crashes
            .kept
            .insert(worker, (task, now + WORKER_RESERVATION_MS));
    }

    /// Whether one more worker may be kept for a task that waits to be alone.
    pub(crate) fn may_keep_for(&self, task: &TaskKey) -> bool {
        let kept = &self.crashes.kept;
        let most = MIN_RESERVABLE_WORKERS.max(self.workers.len() / RESERVED_FLEET_DIVISOR);
        kept.len() < most && kept.values().all(|(kept_for, _)| kept_for != task)
    }

    /// Frees workers that need not be kept any more: the task is at work elsewhere, or has not come to them in time.
    pub(crate) fn free_kept(&mut self, now: Millis) {
        if self.crashes.kept.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        let workers = &self.workers;
        self.crashes.kept.retain(|id, (task, until)| {
            let stage = jobs.get(&task.job).and_then(|job| job.task(task));
            let keeps = match stage.map(|task| &task.stage) {
                Some(TaskStage::Live { worker, .. }) => worker == id,
                Some(TaskStage::Waiting) => now < *until,
                _ => false,
            };
            keeps && workers.contains_key(id)
        });
        self.room_changed = true;
    }
}
