//! Which tasks have crashes noted, and which workers are kept for their next start.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{Millis, WorkerId};

use super::CrashNote;
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::limits::{
    AVOID_AFTER_CRASH_MS, MASS_FAILURE_WINDOW_MS, UNEXPLAINED_FAILURE_RETENTION_MS,
};

/// A life of a worker that is taken as crashed.
#[derive(Clone, Debug)]
pub(super) struct BlamedLife {
    pub(super) life: Option<WorkerIncarnation>,
    /// The runs that this was noted with.
    pub(super) runs: Vec<RunKey>,
}

/// A crash under a task whose job has yet to be read.
#[derive(Clone, Debug)]
pub(super) struct AwaitedCrash {
    pub(super) worker: WorkerId,
    pub(super) key: TaskKey,
    pub(super) note: CrashNote,
}

/// Tasks under which workers crashed, and workers that are kept for their next start.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashBook {
    /// Tasks with a crash that is noted.
    pub(super) noted: BTreeSet<TaskKey>,
    /// Those of them whose newest note is not durable yet.
    pub(super) unwritten: BTreeSet<TaskKey>,
    /// Workers on which nothing but one task may be started, until when that is so while the task waits.
    pub(super) kept: BTreeMap<WorkerId, (TaskKey, Millis)>,
    /// Probes to be sent, and when.
    pub(super) probes: BTreeSet<(Millis, WorkerId, RunKey)>,
    /// Runs noted with workers that fell silent and are not known to have crashed: the same life may yet answer.
    pub(super) blamed: BTreeMap<WorkerId, BlamedLife>,
    /// Crashes that became known before the jobs were read.
    pub(super) awaited: Vec<AwaitedCrash>,
    /// Where workers crashed lately, and when.
    crashed_at: BTreeMap<SocketAddr, Millis>,
    /// When workers were last heard that went down with nothing unproven on them.
    unexplained: Vec<Millis>,
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

    /// Forgets crashes under tasks whose jobs were not among those that were read.
    pub(crate) fn forget_awaited(&mut self) {
        self.awaited.clear();
    }

    /// Forgets a job that has come to its end.
    pub(crate) fn forget_job(&mut self, job: JobNumber) {
        self.noted.retain(|task| task.job != job);
        self.unwritten.retain(|task| task.job != job);
        self.kept.retain(|_, (task, _)| task.job != job);
        self.blamed.retain(|_, blamed| {
            blamed.runs.retain(|run| run.task.job != job);
            !blamed.runs.is_empty()
        });
    }

    /// Whether a worker crashed lately at an address.
    pub(crate) fn crashed_lately(&self, now: Millis, address: &SocketAddr) -> bool {
        let at = self.crashed_at.get(address);
        at.is_some_and(|at| now < at + AVOID_AFTER_CRASH_MS)
    }

    /// Notes that a worker went down which was last heard then, and on which nothing was unproven.
    pub(super) fn note_unexplained(&mut self, now: Millis, heard_at: Millis) {
        self.unexplained
            .retain(|at| now < at + UNEXPLAINED_FAILURE_RETENTION_MS);
        self.unexplained.push(heard_at);
    }

    /// How many such workers were last heard at about a time.
    pub(super) fn unexplained_near(&self, heard_at: Millis) -> usize {
        let near = self.unexplained.iter();
        near.filter(|at| at.abs_diff(heard_at) <= MASS_FAILURE_WINDOW_MS)
            .count()
    }

    /// Forgets a task that is proven, or whose notes were withdrawn.
    pub(super) fn clear(&mut self, task: &TaskKey) {
        self.noted.remove(task);
        self.unwritten.remove(task);
        self.kept.retain(|_, (kept_for, _)| kept_for != task);
    }

    /// Notes that a worker crashed at an address.
    pub(super) fn note_place(&mut self, now: Millis, address: SocketAddr) {
        self.crashed_at
            .retain(|_, at| now < *at + AVOID_AFTER_CRASH_MS);
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
