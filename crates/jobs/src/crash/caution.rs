//! How tasks with crash notes are started, and how a run of them is cleared.

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
    /// The caution with which a task is started.
    pub(crate) fn caution_of(&self, task: &TaskKey) -> StartCaution {
        let noted = self.noted_task(task);
        noted.map_or(StartCaution::Usual, |noted| noted.crashes.caution())
    }

    /// How long after the start of a task's run its worker has to be heard from for the run to be
    /// cleared, in milliseconds.
    pub(super) fn clearance_ms(&self, task: &TaskKey) -> Millis {
        let noted = self.noted_task(task);
        noted.map_or(CLEARED_AFTER_MS, |noted| noted.crashes.clearance_ms())
    }

    /// The state of a task if it has crash notes.
    fn noted_task(&self, task: &TaskKey) -> Option<&TaskState> {
        if !self.crashes.noted.contains(task) {
            return None;
        }
        self.jobs.get(&task.job)?.task(task)
    }

    /// The runs that began shortly enough before their worker was last heard from to be related to
    /// its crash, and the suspects inherited with the worker.
    ///
    /// An order without an answer may have been carried out. If another run there is uncleared,
    /// that run explains the silence. Otherwise only the unanswered order that was sent first
    /// counts: it is the last one that the worker can have carried out.
    pub(crate) fn crash_suspects(&self, worker: &WorkerState) -> Vec<CrashSuspect> {
        let mut suspects = self.begun_suspects(worker);
        if !suspects.iter().any(|suspect| self.is_uncleared(suspect)) {
            suspects.extend(worker.first_unanswered());
        }
        suspects
    }

    /// The suspects that the worker is known to have started. Orders without an answer are not among
    /// them: they are sent to a worker that is down until that is noticed.
    pub(super) fn begun_suspects(&self, worker: &WorkerState) -> Vec<CrashSuspect> {
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

    /// Whether a run is not cleared: it may have brought its worker down, or may do so yet.
    pub(super) fn is_uncleared(&self, suspect: &CrashSuspect) -> bool {
        suspect.heard_ms < self.clearance_ms(&suspect.key.task)
    }

    /// The runs on a worker that are not cleared.
    pub(crate) fn uncleared_runs(&self, worker: &WorkerState) -> Vec<RunKey> {
        let suspects = self.crash_suspects(worker).into_iter();
        let uncleared = suspects.filter(|suspect| self.is_uncleared(suspect));
        uncleared.map(|suspect| suspect.key).collect()
    }

    /// Whether a worker runs a task that has crash notes and is not cleared since.
    pub(crate) fn runs_suspect(&self, worker: &WorkerState) -> bool {
        let uncleared = self.uncleared_runs(worker);
        let mut cautions = uncleared.iter().map(|run| self.caution_of(&run.task));
        cautions.any(|caution| caution != StartCaution::Usual)
    }

    /// Handles a run that its worker reports as running. It was not lost in a crash, so its crash
    /// note is withdrawn. If the run is cleared, the task did not cause the other recorded crashes
    /// either.
    pub(crate) fn clear_if_survived(&mut self, now: Millis, worker: &WorkerId, run: &RunKey) {
        if !self.crashes.noted.contains(&run.task) {
            return;
        }
        self.withdraw_note(now, run);
        let state = self.workers.get(worker);
        let heard = state.and_then(|state| state.heard_after(state.runs.get(run)?));
        if heard.is_none_or(|heard| heard < self.clearance_ms(&run.task)) {
            return;
        }
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&run.task)) {
            task.crashes = CrashRecord::default();
        }
        self.crashes.forget_task(&run.task);
        self.hold_back(now, &run.task, now);
        self.mark_task_dirty(&run.task);
    }

    /// Records where a task with crash notes is started. This is written at once, so that a
    /// successor knows whether the task has crashed another worker.
    pub(crate) fn note_restart(&mut self, key: &RunKey, worker: &WorkerId) {
        if !self.crashes.noted.contains(&key.task) {
            return;
        }
        let place = StartPlace {
            worker: worker.clone(),
            incarnation: self
                .workers
                .get(worker)
                .and_then(|state| state.incarnation.id),
        };
        let job = self.jobs.get_mut(&key.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&key.task)) {
            task.crashes.note_start(place, key.run);
            self.mark_task_dirty(&key.task);
            self.urgent = true;
        }
    }

    /// Releases tasks whose crash notes are durable, unless they are blamed: they may be started.
    pub(crate) fn release_noted(&mut self, now: Millis, tasks: Vec<TaskKey>) {
        for key in tasks {
            // Another crash may have been recorded after that write was requested.
            let undecided = self.crashes.verdicts.contains_key(&key);
            if !undecided && !self.crashes.unwritten.contains(&key) {
                self.hold_back(now, &key, now);
            }
        }
    }

    /// Sets the time before which a task must not be started.
    pub(super) fn hold_back(&mut self, now: Millis, key: &TaskKey, not_before: Millis) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let queued = job.queued_as(key);
        let Some(task) = job.task_mut(key) else {
            return;
        };
        let was_held = task.not_before > now;
        task.not_before = not_before;
        if was_held && task.stage == TaskStage::Waiting {
            self.delayed.retain(|(_, task)| *task != queued);
            self.enqueue(now, *key);
        }
    }

    /// Reserves a worker for a task that has to be alone on it: nothing else is started there until
    /// the task's run is cleared.
    pub(crate) fn reserve_worker(&mut self, now: Millis, worker: WorkerId, task: TaskKey) {
        self.crashes
            .reserved
            .insert(worker, (task, now + WORKER_RESERVATION_MS));
    }

    /// Whether another worker may be reserved for a task that has to start alone.
    pub(crate) fn may_reserve_for(&self, task: &TaskKey) -> bool {
        let reserved = &self.crashes.reserved;
        let most = MIN_RESERVABLE_WORKERS.max(self.workers.len() / RESERVED_FLEET_DIVISOR);
        reserved.len() < most
            && reserved
                .values()
                .all(|(reserved_for, _)| reserved_for != task)
    }

    /// Releases reserved workers whose task is running elsewhere or has not been started there in
    /// time.
    pub(crate) fn release_reserved(&mut self, now: Millis) {
        if self.crashes.reserved.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        let workers = &self.workers;
        self.crashes.reserved.retain(|id, (task, until)| {
            let stage = jobs.get(&task.job).and_then(|job| job.task(task));
            let still_needed = match stage.map(|task| &task.stage) {
                Some(TaskStage::Live { worker, .. }) => worker == id,
                Some(TaskStage::Waiting) => now < *until,
                _ => false,
            };
            still_needed && workers.contains_key(id)
        });
        self.room_changed = true;
    }
}
