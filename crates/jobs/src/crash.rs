//! Tasks that crash their workers: which they are, how they are told from what merely ran beside them, and when they are given up.
//!
//! A worker that crashes lists no end of the runs that it had, so that the task which brought it down is started again on the next one, and so
//! on. What is known of a crash is how long after each run began the worker was last heard. A run whose worker was heard long enough after it
//! is proven: it did not bring that worker down. All others are suspects, and a crash is noted with each of them.
//!
//! | crashes noted | the next start |
//! |---|---|
//! | none | as usual |
//! | one | apart from other suspects where that can be had, on a worker with few runs |
//! | two or more | alone: nothing else there is unproven, and nothing else is started there until this run is proven |
//!
//! A third crash under a task that was the only suspect convicts it, and its job is given up. A task that merely ran beside others has been
//! proven before: for a wrong verdict sound workers have to go down by themselves three times in a row, each time within half a second
//! after the task began, the last time with nothing else new on it. With two crashes instead of three one worker less goes down for each
//! such task, but one chance less has to come together.
//!
//! The platform allows five starts: two more after three workers have crashed. So two crashes may go unnoted, where owners die before
//! they have written down what happened. Notes are in the job's progress; a task is not started again before its note is durable, and
//! what was unproven on a worker that fell silent is written down with the mark of its silence.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::events::{JobNote, JobStage, LossCause};
use crate::ids::{JobNumber, RunKey, TaskKey};
use crate::job::TaskStage;
use crate::limits::{
    ALONE_FROM_CRASHES, CONVICTING_CRASHES, CRASH_KEPT_MS, CRASH_WAIT_MS, FEWEST_KEPT_WORKERS,
    KEPT_OF_WORKERS, LATEST_CRASH_MS, LIST_GAP_MS, PROVEN_AFTER_MS, PROVEN_BY_TIMES,
    SOUND_AGAIN_MS, UNFOUND_NOTED_AT_MOST, UNSEEN_CONVICTING_CRASHES,
};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// A crash of a worker that a run was at work on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The run's number.
    #[serde(rename = "r")]
    pub run: u64,
    /// How long after the run began the worker was last heard, in milliseconds; 0 where nothing told that it began.
    #[serde(rename = "h")]
    pub heard_ms: Millis,
}

/// The crashes that a task may have caused, in their order; empty again once a run of it is proven.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    #[serde(rename = "n")]
    notes: Vec<CrashNote>,
    /// Whether the task was started again since the newest of them.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    restarted: bool,
}

/// With how much caution a task is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartCaution {
    /// Nothing speaks against it.
    Usual,
    /// A worker went down under it: apart from other suspects, where little is lost.
    Apart,
    /// Several did: with nothing else unproven on its worker, so that another crash tells.
    Alone,
}

impl CrashRecord {
    /// Whether no crash is noted.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// How long after the start of a run its worker has to be heard for the run to be proven. A task that brings its workers down
    /// later than usual is proven later, too.
    pub(crate) fn proof_ms(&self) -> Millis {
        let longest = self.notes.iter().map(|note| note.heard_ms).max();
        PROVEN_AFTER_MS.max(longest.unwrap_or(0) * PROVEN_BY_TIMES)
    }

    /// How many of the crashes came before the run was proven.
    pub(crate) fn count(&self) -> usize {
        let mut proof_ms = PROVEN_AFTER_MS;
        let mut count = 0;
        for note in &self.notes {
            count += usize::from(note.heard_ms < proof_ms);
            proof_ms = proof_ms.max(note.heard_ms * PROVEN_BY_TIMES);
        }
        count
    }

    pub(crate) fn caution(&self) -> StartCaution {
        match self.count() {
            0 => StartCaution::Usual,
            count if count < ALONE_FROM_CRASHES => StartCaution::Apart,
            _ => StartCaution::Alone,
        }
    }

    /// Notes a crash; one of a run that is noted already changes nothing.
    fn add(&mut self, note: CrashNote) -> bool {
        let known = self.notes.iter().any(|known| known.run == note.run);
        if !known {
            self.notes.push(note);
            self.restarted = false;
        }
        !known
    }

    /// Takes back what was noted with a run.
    fn withdraw(&mut self, run: u64) {
        self.notes.retain(|note| note.run != run);
    }
}

/// Tasks under which workers crashed, and workers that are kept for their next start.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashBook {
    /// Tasks with a crash that is noted.
    noted: BTreeSet<TaskKey>,
    /// Those of them whose newest note is not durable yet.
    unwritten: BTreeSet<TaskKey>,
    /// Workers on which nothing but one task may be started, until when that is so while the task waits.
    kept: BTreeMap<WorkerId, (TaskKey, Millis)>,
    /// Runs noted with workers that fell silent and are not known to have crashed: they may yet answer.
    blamed: BTreeMap<WorkerId, Vec<RunKey>>,
    /// Where workers crashed lately, and when.
    crashed_at: BTreeMap<SocketAddr, Millis>,
}

impl CrashBook {
    /// Whether a task may be started on a worker, as far as another is not to be alone there.
    pub(crate) fn lets_start(&self, worker: &WorkerId, task: &TaskKey) -> bool {
        self.kept
            .get(worker)
            .is_none_or(|(kept_for, _)| kept_for == task)
    }

    /// Notes that a task was restored with crashes.
    pub(crate) fn note_restored(&mut self, task: TaskKey) {
        self.noted.insert(task);
    }

    /// Forgets a job that has come to its end.
    pub(crate) fn forget_job(&mut self, job: JobNumber) {
        self.noted.retain(|task| task.job != job);
        self.unwritten.retain(|task| task.job != job);
        self.kept.retain(|_, (task, _)| task.job != job);
        self.blamed.retain(|_, runs| {
            runs.retain(|run| run.task.job != job);
            !runs.is_empty()
        });
    }

    /// Whether a worker crashed lately at an address.
    pub(crate) fn crashed_lately(&self, now: Millis, address: &SocketAddr) -> bool {
        let at = self.crashed_at.get(address);
        at.is_some_and(|at| now < at + SOUND_AGAIN_MS)
    }

    fn note_place(&mut self, now: Millis, address: SocketAddr) {
        self.crashed_at.retain(|_, at| now < *at + SOUND_AGAIN_MS);
        self.crashed_at.insert(address, now);
    }

    /// Takes out the tasks of these jobs whose notes are about to be written.
    pub(crate) fn take_unwritten(&mut self, jobs: &[JobNumber]) -> Vec<TaskKey> {
        if self.unwritten.is_empty() {
            return Vec::new();
        }
        let written = self
            .unwritten
            .extract_if(.., |task| jobs.contains(&task.job));
        written.collect()
    }
}

impl JobScheduler {
    /// With how much caution a task is started.
    pub(crate) fn caution_of(&self, task: &TaskKey) -> StartCaution {
        if !self.crashes.noted.contains(task) {
            return StartCaution::Usual;
        }
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        state.map_or(StartCaution::Usual, |state| state.crashes.caution())
    }

    /// The runs on a worker that may have brought it down, or may yet.
    pub(crate) fn unproven_runs(&self, worker: &WorkerState) -> Vec<RunKey> {
        let unproven = |key: &&RunKey| {
            let record = worker.runs.get(*key);
            let heard = record.and_then(|record| worker.heard_after(record));
            heard.is_none_or(|heard| heard < self.proof_ms(&key.task))
        };
        worker.runs.keys().filter(unproven).copied().collect()
    }

    fn proof_ms(&self, task: &TaskKey) -> Millis {
        if !self.crashes.noted.contains(task) {
            return PROVEN_AFTER_MS;
        }
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        state.map_or(PROVEN_AFTER_MS, |state| state.crashes.proof_ms())
    }

    /// Whether a task under which a worker crashed, and that is not proven yet, is at work on a worker.
    pub(crate) fn has_suspect(&self, worker: &WorkerState) -> bool {
        let unproven = self.unproven_runs(worker);
        let mut suspects = unproven.iter().map(|run| self.caution_of(&run.task));
        suspects.any(|caution| caution != StartCaution::Usual)
    }

    /// Notes a crash with all that may have caused it; returns the task that did, where that is certain.
    pub(crate) fn note_crash(&mut self, now: Millis, worker: &WorkerId) -> Option<TaskKey> {
        let state = self.workers.get(worker)?;
        let mut suspects = self.unproven_runs(state);
        suspects.extend(state.suspects.iter().copied());
        let alone = suspects.len() == 1;
        let at_work = state.runs.iter().map(|(key, record)| {
            let heard_ms = state.heard_after(record).unwrap_or(0);
            (*key, heard_ms)
        });
        let earlier = state.suspects.iter().map(|key| (*key, 0));
        let seen = at_work.chain(earlier);
        let seen: Vec<(RunKey, Millis)> = seen
            .filter(|(_, heard_ms)| *heard_ms <= LATEST_CRASH_MS)
            .collect();
        self.crashes.note_place(now, state.entry.address);
        let mut convicted = None;
        for (key, heard_ms) in seen {
            let crashes = self.note_crash_under(now, worker, key, heard_ms);
            let enough = crashes.is_some_and(|crashes| crashes >= CONVICTING_CRASHES);
            if enough && alone && suspects[0] == key {
                convicted = Some(key.task);
            }
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.suspects.clear();
        }
        convicted
    }

    /// Notes a crash with a task; returns how many count against it by now, unless that run's crash is noted already.
    fn note_crash_under(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        heard_ms: Millis,
    ) -> Option<usize> {
        let job = self.jobs.get_mut(&key.task.job);
        let task = job.and_then(|job| job.task_mut(&key.task))?;
        let run = key.run;
        if task.stage == TaskStage::Done || !task.crashes.add(CrashNote { run, heard_ms }) {
            return None;
        }
        let crashes = task.crashes.count();
        if crashes > 0 {
            // A first note is waited for a while only: while the store is out, sound tasks that were lost with their worker go on.
            task.not_before = match crashes < ALONE_FROM_CRASHES {
                true => now + CRASH_WAIT_MS,
                false => Millis::MAX,
            };
            self.crashes.unwritten.insert(key.task);
            self.urgent = true;
        }
        self.crashes.noted.insert(key.task);
        self.mark_dirty(key.task.job);
        self.note(JobNote::CrashNoted {
            key,
            worker: worker.clone(),
            heard_ms,
            crashes,
        });
        Some(crashes)
    }

    /// A worker that was taken as crashed answers: it was cut off, and what was noted with its runs says nothing.
    pub(crate) fn withdraw_crash(&mut self, worker: &WorkerId) {
        let Some(runs) = self.crashes.blamed.remove(worker) else {
            return;
        };
        for key in runs {
            let job = self.jobs.get_mut(&key.task.job);
            let Some(task) = job.and_then(|job| job.task_mut(&key.task)) else {
                continue;
            };
            task.crashes.withdraw(key.run);
            if task.crashes.is_empty() {
                self.crashes.noted.remove(&key.task);
            }
            self.mark_dirty(key.task.job);
        }
    }

    /// Notes what was lost with a worker whose lease has run out: a crash where lists go without the worker. Where it is listed it may be
    /// cut off and sound, and what may have brought it down waits a little for the lists that come to tell.
    pub(crate) fn suspect_crash(&mut self, now: Millis, worker: &WorkerId) -> Option<TaskKey> {
        let state = self.workers.get(worker)?;
        let suspects = self.unproven_runs(state);
        if state.missing {
            self.crashes.blamed.insert(worker.clone(), suspects);
            return self.note_crash(now, worker);
        }
        if now <= self.last_list + LIST_GAP_MS {
            for key in &suspects {
                self.delay_task(&key.task, now + CRASH_WAIT_MS);
            }
        }
        let state = self.workers.get_mut(worker)?;
        state.suspects.extend(suspects);
        None
    }

    /// Gives up a task under which workers crash, and its job with it.
    pub(crate) fn give_up_task(&mut self, now: Millis, task: TaskKey) {
        let job = self.jobs.get(&task.job);
        let crashes = job.and_then(|job| job.task(&task));
        let crashes = crashes.map_or(0, |state| state.crashes.count());
        self.note(JobNote::TaskGivenUp { task, crashes });
        self.finish_job(now, task.job, JobStage::Failed);
    }

    /// The notes of these tasks are durable: they may be started.
    pub(crate) fn release_noted(&mut self, now: Millis, tasks: Vec<TaskKey>) {
        for key in tasks {
            let job = self.jobs.get_mut(&key.job);
            let Some(task) = job.and_then(|job| job.task_mut(&key)) else {
                continue;
            };
            // Another crash may have been noted since that write was asked for.
            if self.crashes.unwritten.contains(&key) {
                continue;
            }
            task.not_before = 0;
            let waits = task.stage == TaskStage::Waiting;
            let queued = self.jobs.get(&key.job).map(|job| job.queued_as(&key));
            self.delayed.retain(|(_, task)| Some(*task) != queued);
            if waits {
                self.enqueue(now, key);
            }
        }
    }

    /// A worker reports a run at work: where it is proven, the crashes that were noted with its task were others' doing.
    pub(crate) fn clear_proven(&mut self, worker: &WorkerId, run: &RunKey) {
        if !self.crashes.noted.contains(&run.task) {
            return;
        }
        let proof_ms = self.proof_ms(&run.task);
        let state = self.workers.get(worker);
        let heard = state.and_then(|state| state.heard_after(state.runs.get(run)?));
        if heard.is_none_or(|heard| heard < proof_ms) {
            return;
        }
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&run.task)) {
            task.crashes = CrashRecord::default();
        }
        self.crashes.unwritten.remove(&run.task);
        self.crashes.noted.remove(&run.task);
        self.crashes.kept.retain(|_, (task, _)| *task != run.task);
        self.mark_dirty(run.task.job);
    }

    /// Keeps a worker free of new starts for a task that is to be alone on it, from its choice until the task's run is proven.
    pub(crate) fn keep_worker(&mut self, now: Millis, worker: WorkerId, task: TaskKey) {
        self.crashes
            .kept
            .insert(worker, (task, now + CRASH_KEPT_MS));
    }

    /// Whether one more worker may be kept for a task that waits to be alone.
    pub(crate) fn may_keep_for(&self, task: &TaskKey) -> bool {
        let kept = &self.crashes.kept;
        let most = FEWEST_KEPT_WORKERS.max(self.workers.len() / KEPT_OF_WORKERS);
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

    /// A task with notes is started: written down at once, so that a successor knows that it may have crashed one worker more.
    pub(crate) fn note_restart(&mut self, key: &TaskKey) {
        if !self.crashes.noted.contains(key) {
            return;
        }
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.crashes.restarted = true;
            self.mark_dirty(key.job);
            self.urgent = true;
        }
    }

    /// A new owner finds tasks nowhere while workers are lost that an earlier owner gave orders to: each that may have been started
    /// there may have crashed one, which nobody else notes. Without this a task is started by owner after owner where each dies before
    /// it has noted what happened.
    pub(crate) fn note_unfound_suspects(&mut self, now: Millis, unfound: &[TaskKey]) {
        let few = unfound.len() <= UNFOUND_NOTED_AT_MOST;
        let unknown = WorkerId::from(UNKNOWN_WORKER);
        // No run of this owner has that number.
        let run = self.run_number(0) - 1;
        for task in unfound {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let begun = job.stage == JobStage::Running;
            let Some(state) = job.task(task) else {
                continue;
            };
            let first = state.crashes.is_empty();
            if !(state.crashes.restarted || first && few && begun) {
                continue;
            }
            let key = RunKey { task: *task, run };
            let crashes = self.note_crash_under(now, &unknown, key, 0);
            if first {
                // It is a guess that holds nobody up.
                self.delay_task(task, 0);
            }
            if crashes.is_some_and(|crashes| crashes >= UNSEEN_CONVICTING_CRASHES) {
                self.give_up_task(now, *task);
            }
        }
    }

    /// A worker is lost: notes the crash, gives up its runs, and gives up the task that has brought it down.
    pub(crate) fn lose_crashed(&mut self, now: Millis, worker: &WorkerId, cause: LossCause) {
        let state = self.workers.get(worker);
        let planned = state.is_none_or(|state| state.entry.draining);
        let convicted = match cause {
            _ if planned => None,
            LossCause::Replaced => {
                self.crashes.blamed.remove(worker);
                self.note_crash(now, worker)
            }
            LossCause::LeaseOver => self.suspect_crash(now, worker),
            LossCause::Left | LossCause::NotThere => None,
        };
        self.lose_runs(now, worker, cause);
        if let Some(task) = convicted {
            self.give_up_task(now, task);
        }
    }
}

/// Stands in the log for a worker that a new owner doesn't know.
const UNKNOWN_WORKER: &str = "unknown";
