//! Handles lost workers: records crashes under the runs that may have caused them.

use sandshelf_model::{Millis, WorkerId};

use super::record::StartPlace;
use super::tracker::{FailureSign, PendingCrash, PresumedCrash, WorkerFailure};
use super::{CrashNote, CrashSuspect, StartCaution};
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::incarnation::certainly_differ;
use crate::job::TaskStage;
use crate::limits::{
    ISOLATE_FROM_CRASHES, MAX_CRASH_NOTE_WAIT_MS, MAX_WATCHED_UNFOUND_TASKS, VERDICT_WAIT_MS,
};
use crate::note::{JobNote, LossCause};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

impl JobScheduler {
    /// Handles the loss of a worker: records the crash and gives up the worker's runs.
    pub(crate) fn handle_worker_loss(&mut self, now: Millis, worker: &WorkerId, cause: LossCause) {
        self.note_worker_loss(now, worker, cause);
        self.lose_runs(now, worker, cause);
    }

    /// Records the loss of a worker as a crash if it may be one.
    pub(crate) fn note_worker_loss(&mut self, now: Millis, worker: &WorkerId, cause: LossCause) {
        let state = self.workers.get(worker);
        if state.is_none_or(|state| state.entry.draining) {
            return;
        }
        match cause {
            LossCause::Replaced | LossCause::Restarted => {
                self.crashes.presumed.remove(worker);
                self.note_crash(now, worker);
            }
            LossCause::LeaseOver => {
                // The worker may be healthy but cut off. Then it answers later.
                self.remember_presumed_crash(worker);
                self.note_crash(now, worker);
            }
            LossCause::Left | LossCause::NotThere => {}
        }
    }

    /// Records a crash under all runs that may have caused it.
    fn note_crash(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let address = state.entry.address;
        let suspects = self.crash_suspects(state);
        let uncleared = suspects.iter().filter(|suspect| self.is_uncleared(suspect));
        let uncleared: Vec<&CrashSuspect> = uncleared.collect();
        let mut failure = WorkerFailure {
            worker: worker.clone(),
            heard_at: state.last_answer,
            sign: self.failure_sign(state),
            sole_suspect: None,
        };
        failure.sole_suspect = match uncleared[..] {
            [suspect] if !self.is_mass_failure(&failure) => Some(suspect.key),
            _ => None,
        };
        let sole_suspect = failure.sole_suspect;
        self.crashes.note_failure(now, failure);
        self.crashes.note_crash_address(now, address);
        self.revise_certain_crashes();
        for suspect in suspects {
            let key = suspect.key;
            let note = CrashNote {
                run: key.run,
                heard_ms: suspect.heard_ms,
                alone: sole_suspect == Some(key),
                sudden: suspect.sudden,
            };
            self.record_crash_under(now, worker, key.task, note);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.suspects.clear();
        }
    }

    /// Records a crash under a task, and schedules a verdict if the task is now blamed.
    fn record_crash_under(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: TaskKey,
        note: CrashNote,
    ) {
        if self.state_pending {
            let worker = worker.clone();
            let pending = PendingCrash { worker, key, note };
            self.crashes.pending.push(pending);
            return;
        }
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|job| job.task_mut(&key)) else {
            return;
        };
        if task.stage == TaskStage::Done || !task.crashes.add(note) {
            return;
        }
        if task.crashes.is_blamed() {
            self.crashes.verdicts.insert(key, now + VERDICT_WAIT_MS);
        }
        let crashes = task.crashes.count();
        if crashes > 0 {
            task.not_before = latest_start(now, crashes);
            self.crashes.unwritten.insert(key);
            self.urgent = true;
        }
        self.crashes.noted.insert(key);
        self.mark_task_dirty(&key);
        self.note(JobNote::CrashNoted {
            key: RunKey {
                task: key,
                run: note.run,
            },
            worker: worker.clone(),
            heard_ms: note.heard_ms,
            alone: note.alone,
            crashes,
        });
    }

    /// Records the crashes under the tasks of a job that were found before the job was read.
    pub(crate) fn note_pending_crashes(&mut self, now: Millis, job: JobNumber) {
        let pending = self.crashes.pending.iter();
        let (of_job, others) = pending.cloned().partition(|crash| crash.key.job == job);
        let of_job: Vec<PendingCrash> = of_job;
        self.crashes.pending = others;
        for crash in of_job {
            self.record_crash_under(now, &crash.worker, crash.key, crash.note);
        }
    }

    /// Remembers which crash notes to withdraw if the worker answers again.
    fn remember_presumed_crash(&mut self, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let suspects = self.crash_suspects(state);
        let runs: Vec<RunKey> = suspects.iter().map(|suspect| suspect.key).collect();
        let incarnation = state.incarnation.id;
        if !runs.is_empty() {
            let crash = PresumedCrash { incarnation, runs };
            self.crashes.presumed.insert(worker.clone(), crash);
        }
    }

    /// Handles an answer of a worker that was presumed to have crashed. If it is the same
    /// incarnation, it was only cut off, and the crash notes under its runs are withdrawn. A worker
    /// that has restarted did crash.
    pub(crate) fn withdraw_crash(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        incarnation: Option<WorkerIncarnation>,
    ) {
        let Some(crash) = self.crashes.presumed.remove(worker) else {
            return;
        };
        if certainly_differ(crash.incarnation, incarnation) {
            return;
        }
        for key in crash.runs {
            self.withdraw_note(now, &key);
        }
    }

    /// Withdraws the crash note under one run. The task waits for the write of its notes no longer
    /// than the notes that are left demand.
    pub(crate) fn withdraw_note(&mut self, now: Millis, key: &RunKey) {
        let job = self.jobs.get_mut(&key.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(&key.task)) else {
            return;
        };
        if !task.crashes.withdraw(key.run) {
            return;
        }
        let crashes = task.crashes.count();
        let not_before = latest_start(now, crashes).min(task.not_before);
        if task.crashes.is_empty() {
            self.crashes.forget_task(&key.task);
        }
        self.mark_task_dirty(&key.task);
        self.hold_back(now, &key.task, not_before);
        self.note(JobNote::CrashWithdrawn { key: *key, crashes });
    }

    /// Handles a start order that was certainly not carried out: the run has crashed no worker, and
    /// a successor need not look for it.
    pub(crate) fn withdraw_start(&mut self, now: Millis, key: &RunKey) {
        self.withdraw_note(now, key);
        let job = self.jobs.get_mut(&key.task.job);
        let task = job.and_then(|job| job.task_mut(&key.task));
        if task.is_some_and(|task| task.crashes.forget_start(key.run)) {
            self.mark_task_dirty(&key.task);
        }
    }

    /// Removes a worker that is silent, not listed any more, and without runs and leases. It is
    /// presumed to have crashed.
    pub(crate) fn forget_silent(&mut self, now: Millis, id: &WorkerId) {
        self.remember_presumed_crash(id);
        self.note_crash(now, id);
        self.workers.remove(id);
        self.foreign.forget_running(id);
        self.worker_order = None;
        self.quarantine.forget(id);
        self.roster.remove(id);
    }

    /// Handles the tasks that a new owner finds nowhere, when workers were lost that an earlier
    /// owner had sent orders to: nobody else records what those workers ran. If a task was started
    /// again with crash notes and the worker of that start is lost, another crash is recorded. Any
    /// other task is watched, so that its next start is written. Otherwise each owner in a row
    /// would start such a task again if each dies before it has recorded the crash.
    pub(crate) fn note_unfound_suspects(&mut self, now: Millis, unfound: &[TaskKey]) {
        let few = unfound.len() <= MAX_WATCHED_UNFOUND_TASKS;
        for task in unfound {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let Some(state) = job.task_mut(task) else {
                continue;
            };
            match state.crashes.started() {
                Some((place, run)) => {
                    self.note_lost_start(now, &place, RunKey { task: *task, run })
                }
                None if few && state.crashes.is_empty() => {
                    state.crashes.watch();
                    self.crashes.noted.insert(*task);
                    self.mark_task_dirty(task);
                }
                None => {}
            }
        }
    }

    /// Records another crash under a task with crash notes that an earlier owner started, unless
    /// the worker of that start exists in the same incarnation.
    fn note_lost_start(&mut self, now: Millis, place: &StartPlace, key: RunKey) {
        let state = self.workers.get(&place.worker);
        let is_alive = |state: &WorkerState| {
            let incarnation = match state.incarnation.fenced {
                true => state.incarnation.id,
                false => state.entry.incarnation,
            };
            (state.incarnation.fenced || state.listed)
                && !certainly_differ(place.incarnation, incarnation)
        };
        if state.is_some_and(is_alive) {
            return;
        }
        let failure = WorkerFailure {
            worker: place.worker.clone(),
            heard_at: self.claimed_at,
            sign: FailureSign::RecentStart,
            sole_suspect: None,
        };
        let ordered_alone = self.caution_of(&key.task) == StartCaution::Alone;
        let note = CrashNote {
            run: key.run,
            heard_ms: 0,
            alone: ordered_alone && !self.is_mass_failure(&failure),
            sudden: false,
        };
        self.record_crash_under(now, &place.worker, key.task, note);
    }
}

/// When a task with this many crashes may be started at the latest although its newest crash note
/// is not durable yet.
///
/// For its first note it waits for a limited time only: while the store is out, healthy tasks that
/// were lost with their worker must continue.
fn latest_start(now: Millis, crashes: usize) -> Millis {
    match crashes {
        0 => now,
        crashes if crashes < ISOLATE_FROM_CRASHES => now + MAX_CRASH_NOTE_WAIT_MS,
        _ => Millis::MAX,
    }
}
