//! What becomes of a worker that is lost: crashes are noted with the runs that may have caused them, and a task that has is given up.

use sandshelf_model::{Millis, WorkerId};

use super::book::{AwaitedCrash, BlamedLife};
use super::record::StartPlace;
use super::{CrashNote, StartCaution};
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::job::TaskStage;
use crate::life::are_others;
use crate::limits::{
    ISOLATE_FROM_CRASHES, MASS_FAILURE_FLEET_DIVISOR, MASS_FAILURE_WINDOW_MS,
    MAX_CRASH_NOTE_WAIT_MS, MAX_WATCHED_UNFOUND_TASKS, MIN_MASS_FAILURE_WORKERS,
};
use crate::note::{JobNote, LossCause};
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;
use crate::worker::WorkerState;

impl JobScheduler {
    /// A worker is lost: notes the crash, gives up its runs, and gives up the task that has brought it down.
    pub(crate) fn lose_crashed(&mut self, now: Millis, worker: &WorkerId, cause: LossCause) {
        let convicted = self.note_loss(now, worker, cause);
        self.lose_runs(now, worker, cause);
        if let Some(task) = convicted {
            self.give_up_task(now, task);
        }
    }

    /// Notes the loss of a worker as a crash, where it may be one; returns the task that has brought it down.
    pub(crate) fn note_loss(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        cause: LossCause,
    ) -> Option<TaskKey> {
        let state = self.workers.get(worker);
        let planned = state.is_none_or(|state| state.entry.draining);
        match cause {
            _ if planned => None,
            LossCause::Replaced | LossCause::Restarted => {
                self.crashes.blamed.remove(worker);
                self.note_crash(now, worker)
            }
            LossCause::LeaseOver => {
                // It may be cut off and sound; then it answers some time.
                self.blame(worker);
                self.note_crash(now, worker)
            }
            LossCause::Left | LossCause::NotThere => None,
        }
    }

    /// Notes a crash with all that may have caused it; returns the task that did, where that is certain.
    pub(crate) fn note_crash(&mut self, now: Millis, worker: &WorkerId) -> Option<TaskKey> {
        let state = self.workers.get(worker)?;
        let address = state.entry.address;
        let suspects = self.crash_suspects(state);
        let unproven = suspects.iter().filter(|suspect| self.is_unproven(suspect));
        let unproven: Vec<RunKey> = unproven.map(|suspect| suspect.key).collect();
        let heard_at = state.last_answer;
        let only = match unproven[..] {
            [run] if !self.goes_with_others(worker, heard_at) => Some(run),
            _ => None,
        };
        if self.is_unexplained(state) {
            self.crashes.note_unexplained(now, heard_at);
        }
        self.crashes.note_place(now, address);
        let mut convicted = None;
        for suspect in suspects {
            let key = suspect.key;
            let note = CrashNote {
                run: key.run,
                heard_ms: suspect.heard_ms,
                alone: only == Some(key),
                sudden: suspect.sudden,
            };
            if self.note_crash_under(now, worker, key.task, note) {
                convicted = Some(key.task);
            }
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.suspects.clear();
        }
        convicted
    }

    /// Whether several other workers go down, or don't answer, since about the same time although no task on them explains it: what has
    /// brought those down may have brought this one down as well, so that nothing can be said to be the only cause.
    fn goes_with_others(&self, worker: &WorkerId, heard_at: Millis) -> bool {
        let failing = self.workers.iter().filter(|(id, other)| {
            let silent = other.failed_holds > 0
                && other.last_answer.abs_diff(heard_at) <= MASS_FAILURE_WINDOW_MS;
            silent && *id != worker && self.is_unexplained(other)
        });
        let unexplained = self.crashes.unexplained_near(heard_at) + failing.count();
        unexplained >= MIN_MASS_FAILURE_WORKERS.max(self.workers.len() / MASS_FAILURE_FLEET_DIVISOR)
    }

    /// Notes a crash with a task; returns whether that convicts it.
    fn note_crash_under(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: TaskKey,
        note: CrashNote,
    ) -> bool {
        if self.state_pending {
            let worker = worker.clone();
            let awaited = AwaitedCrash { worker, key, note };
            self.crashes.awaited.push(awaited);
            return false;
        }
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|job| job.task_mut(&key)) else {
            return false;
        };
        if task.stage == TaskStage::Done || !task.crashes.add(note) {
            return false;
        }
        let convicted = task.crashes.convicts();
        let crashes = task.crashes.count();
        if crashes > 0 {
            // A first note is waited for a while only: while the store is out, sound tasks that were lost with their worker go on.
            task.not_before = match crashes < ISOLATE_FROM_CRASHES {
                true => now + MAX_CRASH_NOTE_WAIT_MS,
                false => Millis::MAX,
            };
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
        convicted
    }

    /// A job was read: notes the crashes under its tasks that became known before.
    pub(crate) fn note_awaited_crashes(&mut self, now: Millis, job: JobNumber) {
        let awaited = self.crashes.awaited.iter();
        let (of_job, others) = awaited.cloned().partition(|crash| crash.key.job == job);
        let of_job: Vec<AwaitedCrash> = of_job;
        self.crashes.awaited = others;
        for crash in of_job {
            if self.note_crash_under(now, &crash.worker, crash.key, crash.note) {
                self.give_up_task(now, crash.key);
            }
        }
    }

    /// Keeps in mind which notes say nothing should the worker answer again.
    fn blame(&mut self, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let suspects = self.crash_suspects(state);
        let runs: Vec<RunKey> = suspects.iter().map(|suspect| suspect.key).collect();
        let life = state.life.name;
        if !runs.is_empty() {
            let blamed = BlamedLife { life, runs };
            self.crashes.blamed.insert(worker.clone(), blamed);
        }
    }

    /// A worker that was taken as crashed answers: where it is the same life it was cut off, and what was noted with its runs says
    /// nothing. One that has started again has crashed.
    pub(crate) fn withdraw_crash(&mut self, worker: &WorkerId, life: Option<WorkerIncarnation>) {
        let Some(blamed) = self.crashes.blamed.remove(worker) else {
            return;
        };
        if are_others(blamed.life, life) {
            return;
        }
        for key in blamed.runs {
            self.withdraw_note(&key);
        }
    }

    /// Takes back what was noted with one run.
    pub(crate) fn withdraw_note(&mut self, key: &RunKey) {
        let job = self.jobs.get_mut(&key.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(&key.task)) else {
            return;
        };
        if !task.crashes.withdraw(key.run) {
            return;
        }
        if task.crashes.is_empty() {
            self.crashes.clear(&key.task);
        }
        self.mark_dirty(key.task.job);
    }

    /// Forgets a worker that is silent, not listed any more and without runs: it has crashed, as far as can be known.
    pub(crate) fn forget_silent(&mut self, now: Millis, id: &WorkerId) {
        self.blame(id);
        let convicted = self.note_crash(now, id);
        self.workers.remove(id);
        self.foreign.forget_work(id);
        self.worker_order = None;
        self.quarantine.forget(id);
        self.roster_changed |= self.roster.remove(id);
        if let Some(task) = convicted {
            self.give_up_task(now, task);
        }
    }

    /// A new owner finds tasks nowhere while workers are lost that an earlier owner gave orders to: what those workers had is noted by
    /// nobody else. A task that was started again with a note has crashed one worker more where that worker is lost; any other
    /// is watched, so that its next start is written down. Without this a task is started by owner after owner
    /// where each dies before it has noted what happened.
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

    /// An earlier owner started a task with a note on a worker: notes one crash more, unless that worker stands and is in the same life.
    fn note_lost_start(&mut self, now: Millis, place: &StartPlace, key: RunKey) {
        let state = self.workers.get(&place.worker);
        let stands = |state: &WorkerState| {
            let life = match state.life.fenced {
                true => state.life.name,
                false => state.entry.incarnation,
            };
            (state.life.fenced || state.listed) && !are_others(place.life, life)
        };
        if state.is_some_and(stands) {
            return;
        }
        let note = CrashNote {
            run: key.run,
            heard_ms: 0,
            alone: self.caution_of(&key.task) == StartCaution::Alone,
            sudden: false,
        };
        if self.note_crash_under(now, &place.worker, key.task, note) {
            self.give_up_task(now, key.task);
        }
    }

    /// Gives up a task under which workers crash, and its job with it.
    pub(crate) fn give_up_task(&mut self, now: Millis, task: TaskKey) {
        let job = self.jobs.get(&task.job);
        let crashes = job.and_then(|job| job.task(&task));
        let crashes = crashes.map_or(0, |state| state.crashes.count());
        self.note(JobNote::TaskGivenUp { task, crashes });
        self.finish_job(now, task.job, JobStage::Failed);
    }
}
