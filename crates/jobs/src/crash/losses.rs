//! Handles lost workers: records crashes under the runs that may have caused them, and gives up a
//! task that is blamed.

use std::collections::BTreeMap;

use sandshelf_model::{Millis, WorkerId};

use super::record::StartPlace;
use super::tracker::{FailureSign, PendingCrash, PresumedCrash, WorkerFailure};
use super::{CrashNote, CrashSuspect, StartCaution};
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::incarnation::certainly_differ;
use crate::job::TaskStage;
use crate::limits::{
    ISOLATE_FROM_CRASHES, MASS_FAILURE_FLEET_DIVISOR, MASS_FAILURE_MAJORITY_DIVISOR,
    MASS_FAILURE_WINDOW_MS, MAX_CRASH_NOTE_WAIT_MS, MAX_WATCHED_UNFOUND_TASKS,
    MIN_MASS_FAILURE_WORKERS, VERDICT_WAIT_MS,
};
use crate::note::{JobNote, LossCause};
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;
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

    /// Whether several other workers have gone down or stopped answering at about the same time
    /// without a task on them that explains it, or most of the fleet. This mass failure may have
    /// brought this worker down as well, so no task can be called the only cause.
    fn is_mass_failure(&self, failure: &WorkerFailure) -> bool {
        let others = self.simultaneous_failures(failure);
        let unexplained = others.iter();
        let unexplained = unexplained.filter(|sign| **sign == FailureSign::Unexplained);
        unexplained.count() >= self.mass_failure_workers()
            || self.is_fleet_failure(failure, &others)
    }

    /// How many unexplained failures at the same moment are a mass failure.
    fn mass_failure_workers(&self) -> usize {
        MIN_MASS_FAILURE_WORKERS.max(self.workers.len() / MASS_FAILURE_FLEET_DIVISOR)
    }

    /// Whether a worker went down with most of the fleet, whatever runs there: right after a failure
    /// of the fleet the lost tasks have just begun on all workers. Where many tasks that crash their
    /// workers begin at one moment, most of the workers go down right with a start.
    fn is_fleet_failure(&self, failure: &WorkerFailure, others: &[FailureSign]) -> bool {
        let sudden = others.iter();
        let sudden = sudden.filter(|sign| **sign == FailureSign::SuddenStart);
        let mostly_sudden = sudden.count() * 2 > others.len();
        let by_start = failure.sign == FailureSign::SuddenStart && mostly_sudden;
        let most = self.fleet_size() / MASS_FAILURE_MAJORITY_DIVISOR;
        others.len() >= most.max(self.mass_failure_workers()) && !by_start
    }

    /// The number of workers, with those that went down recently and are not listed any more.
    fn fleet_size(&self) -> usize {
        let known = self.workers.len();
        known
            + self
                .crashes
                .count_gone(|worker| !self.workers.contains_key(worker))
    }

    /// The other workers that went down or stopped answering at about the same time as a worker
    /// that went down.
    fn simultaneous_failures(&self, failure: &WorkerFailure) -> Vec<FailureSign> {
        let heard_at = failure.heard_at;
        let failing = self.workers.iter().filter(|(_, other)| {
            let near = other.last_answer.abs_diff(heard_at) <= MASS_FAILURE_WINDOW_MS;
            other.failed_renewals > 0 && near
        });
        let failing = failing.map(|(id, other)| (id, self.failure_sign(other)));
        let down = self.crashes.failures_near(heard_at);
        let down = down.map(|known| (&known.worker, known.sign));
        let mut others: BTreeMap<&WorkerId, FailureSign> = failing.chain(down).collect();
        others.remove(&failure.worker);
        others.into_values().collect()
    }

    /// What the runs on a worker tell of the cause if it has gone down.
    fn failure_sign(&self, worker: &WorkerState) -> FailureSign {
        let suspects = self.begun_suspects(worker);
        let uncleared = suspects.iter().filter(|suspect| self.is_uncleared(suspect));
        let sudden = uncleared.map(|suspect| suspect.sudden);
        match sudden.max() {
            None => FailureSign::Unexplained,
            Some(false) => FailureSign::RecentStart,
            Some(true) => FailureSign::SuddenStart,
        }
    }

    /// Takes the certainty from recorded crashes that turn out to be part of a mass failure: the
    /// first workers of it that are known to be down look as if they had failed alone. Only a
    /// failure of the fleet counts here, since where workers keep crashing by themselves, a few
    /// others turn out in time to have failed at about any moment.
    fn revise_certain_crashes(&mut self) {
        for failure in self.crashes.certain_failures() {
            let Some(run) = failure.sole_suspect else {
                continue;
            };
            let others = self.simultaneous_failures(&failure);
            if !self.is_fleet_failure(&failure, &others) {
                continue;
            }
            self.crashes.clear_sole_suspect(&run);
            let job = self.jobs.get_mut(&run.task.job);
            let task = job.and_then(|job| job.task_mut(&run.task));
            if task.is_some_and(|task| task.crashes.make_uncertain(run.run)) {
                self.mark_dirty(run.task.job);
            }
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
        self.mark_dirty(key.job);
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

    /// Gives up the tasks that are still blamed some time after their newest crash was recorded.
    ///
    /// A verdict is final. What was learned since may have taken the crash back, or its certainty:
    /// the answer to an order that was under way, or the failures of other workers at that moment.
    pub(crate) fn settle_verdicts(&mut self, now: Millis) {
        for task in self.crashes.take_due_verdicts(now) {
            let job = self.jobs.get(&task.job);
            let state = job.and_then(|job| job.task(&task));
            if state.is_some_and(|state| state.crashes.is_blamed()) {
                self.give_up_task(now, task);
            } else if !self.crashes.unwritten.contains(&task) {
                self.hold_back(now, &task, now);
            }
        }
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
        self.mark_dirty(key.task.job);
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
            self.mark_dirty(key.task.job);
        }
    }

    /// Removes a worker that is silent, not listed any more and without runs. It is presumed to
    /// have crashed.
    pub(crate) fn forget_silent(&mut self, now: Millis, id: &WorkerId) {
        self.remember_presumed_crash(id);
        self.note_crash(now, id);
        self.workers.remove(id);
        self.foreign.forget_running(id);
        self.worker_order = None;
        self.quarantine.forget(id);
        self.roster_changed |= self.roster.remove(id);
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
                    self.mark_dirty(task.job);
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

    /// Gives up a task under which workers crash, and its job with it.
    fn give_up_task(&mut self, now: Millis, task: TaskKey) {
        let job = self.jobs.get(&task.job);
        let crashes = job.and_then(|job| job.task(&task));
        let crashes = crashes.map_or(0, |state| state.crashes.count());
        self.note(JobNote::TaskGivenUp { task, crashes });
        self.finish_job(now, task.job, JobStage::Failed);
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
