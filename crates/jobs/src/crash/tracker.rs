//! The tasks with recorded crashes, and the workers that are reserved for their next start.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{Millis, WorkerId};

use super::CrashNote;
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::limits::{AVOID_AFTER_CRASH_MS, MASS_FAILURE_WINDOW_MS, WORKER_FAILURE_RETENTION_MS};

/// An incarnation of a worker that is presumed to have crashed.
#[derive(Clone, Debug)]
pub(super) struct PresumedCrash {
    pub(super) incarnation: Option<WorkerIncarnation>,
    /// The runs under which the crash was recorded.
    pub(super) runs: Vec<RunKey>,
}

/// A crash under a task whose job has not been read yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCrash {
    pub(super) worker: WorkerId,
    pub(super) key: TaskKey,
    pub(super) note: CrashNote,
}

/// What the runs on a worker that went down tell of the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureSign {
    /// No run that had begun there was uncleared.
    Unexplained,
    /// A run that had begun there was uncleared.
    RecentStart,
    /// The worker went down right with the start of such a run.
    SuddenStart,
}

/// A worker that went down.
#[derive(Clone, Debug)]
pub(super) struct WorkerFailure {
    pub(super) worker: WorkerId,
    /// When the worker was last heard from.
    pub(super) heard_at: Millis,
    pub(super) sign: FailureSign,
    /// The run that was recorded as the only one that may have caused it.
    pub(super) sole_suspect: Option<RunKey>,
}

/// The tasks under which workers crashed, and the workers that are reserved for their next start.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTracker {
    /// The tasks with a recorded crash.
    pub(super) noted: BTreeSet<TaskKey>,
    /// The tasks whose newest crash note is not durable yet.
    pub(super) unwritten: BTreeSet<TaskKey>,
    /// When to decide on the tasks that are blamed.
    pub(super) verdicts: BTreeMap<TaskKey, Millis>,
    /// Workers on which only one task may be started, with the task and the time at which the
    /// reservation lapses if the task is still waiting.
    pub(super) reserved: BTreeMap<WorkerId, (TaskKey, Millis)>,
    /// Probes to be sent, by time.
    pub(super) probes: BTreeSet<(Millis, WorkerId, RunKey)>,
    /// Crashes recorded for workers that became silent and are not known to have crashed: the same
    /// incarnation may still answer.
    pub(super) presumed: BTreeMap<WorkerId, PresumedCrash>,
    /// Crashes that were found before the jobs were read.
    pub(super) pending: Vec<PendingCrash>,
    /// Where and when workers crashed recently.
    crashed_at: BTreeMap<SocketAddr, Millis>,
    /// The workers that went down recently.
    failures: Vec<WorkerFailure>,
}

impl CrashTracker {
    /// Whether a task may be started on a worker: the worker is not reserved for another task.
    pub(crate) fn allows_start(&self, worker: &WorkerId, task: &TaskKey) -> bool {
        self.reserved
            .get(worker)
            .is_none_or(|(reserved_for, _)| reserved_for == task)
    }

    /// Records that a task was restored with crash notes.
    pub(crate) fn note_restored(&mut self, task: TaskKey) {
        self.noted.insert(task);
    }

    /// Discards crashes under tasks whose jobs were not among those that were read.
    pub(crate) fn forget_pending(&mut self) {
        self.pending.clear();
    }

    /// Discards the data of a job that has ended.
    pub(crate) fn forget_job(&mut self, job: JobNumber) {
        self.noted.retain(|task| task.job != job);
        self.unwritten.retain(|task| task.job != job);
        self.verdicts.retain(|task, _| task.job != job);
        self.reserved.retain(|_, (task, _)| task.job != job);
        self.presumed.retain(|_, crash| {
            crash.runs.retain(|run| run.task.job != job);
            !crash.runs.is_empty()
        });
    }

    /// Whether a worker at this address crashed recently.
    pub(crate) fn crashed_lately(&self, now: Millis, address: &SocketAddr) -> bool {
        let at = self.crashed_at.get(address);
        at.is_some_and(|at| now < at + AVOID_AFTER_CRASH_MS)
    }

    /// Records that a worker went down.
    pub(super) fn note_failure(&mut self, now: Millis, failure: WorkerFailure) {
        self.failures
            .retain(|known| now < known.heard_at + WORKER_FAILURE_RETENTION_MS);
        self.failures.push(failure);
    }

    /// The workers that went down and were last heard from at about this time.
    pub(super) fn failures_near(&self, heard_at: Millis) -> impl Iterator<Item = &WorkerFailure> {
        let near = self.failures.iter();
        near.filter(move |known| known.heard_at.abs_diff(heard_at) <= MASS_FAILURE_WINDOW_MS)
    }

    /// How many of the workers that went down recently are gone.
    pub(super) fn count_gone(&self, is_gone: impl Fn(&WorkerId) -> bool) -> usize {
        let gone = self.failures.iter().map(|known| &known.worker);
        let gone: BTreeSet<&WorkerId> = gone.filter(|worker| is_gone(worker)).collect();
        gone.len()
    }

    /// The recent failures for which one run alone was recorded as the cause.
    pub(super) fn certain_failures(&self) -> Vec<WorkerFailure> {
        let certain = self.failures.iter();
        let certain = certain.filter(|known| known.sole_suspect.is_some());
        certain.cloned().collect()
    }

    /// Records that a run need not have caused the failure of its worker.
    pub(super) fn clear_sole_suspect(&mut self, run: &RunKey) {
        for known in &mut self.failures {
            known.sole_suspect.take_if(|suspect| suspect == run);
        }
    }

    /// Discards a task that is cleared or whose crash notes were withdrawn.
    pub(super) fn forget_task(&mut self, task: &TaskKey) {
        self.noted.remove(task);
        self.unwritten.remove(task);
        self.verdicts.remove(task);
        self.reserved
            .retain(|_, (reserved_for, _)| reserved_for != task);
    }

    /// Records that a worker at this address crashed.
    pub(super) fn note_crash_address(&mut self, now: Millis, address: SocketAddr) {
        self.crashed_at
            .retain(|_, at| now < *at + AVOID_AFTER_CRASH_MS);
        self.crashed_at.insert(address, now);
    }

    /// Removes and returns the tasks on which to decide now.
    pub(super) fn take_due_verdicts(&mut self, now: Millis) -> Vec<TaskKey> {
        let due = self.verdicts.extract_if(.., |_, at| *at <= now);
        due.map(|(task, _)| task).collect()
    }

    /// Whether crash notes wait to be written.
    pub(crate) fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Removes and returns the tasks whose crash notes are about to be written.
    pub(crate) fn take_unwritten(&mut self, is_written: impl Fn(&TaskKey) -> bool) -> Vec<TaskKey> {
        let written = self.unwritten.extract_if(.., |task| is_written(task));
        written.collect()
    }
}
