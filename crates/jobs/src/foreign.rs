//! Runs and ends that workers report for jobs whose rows have not been read yet.
//!
//! When the store is slow, an earlier owner may learn of a job and start it before its successor
//! has read the job's row.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{JobNumber, RunKey};
use crate::limits::FOREIGN_RUN_RETENTION_MS;
use crate::reports::{EndReport, RunReport, WorkerClock};
use crate::scheduler::JobScheduler;

/// What a worker reported about one run.
#[derive(Clone, Debug)]
pub(crate) enum ForeignReport {
    /// The run is running, by a report at this time of the worker's clock.
    Running(WorkerClock, RunReport),
    /// The run has ended.
    Ended(EndReport),
}

/// Everything reported for unknown jobs, by run.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForeignRuns {
    seen: BTreeMap<RunKey, (WorkerId, ForeignReport)>,
    /// Unknown jobs of which runs were stopped because their rows had not been read in time.
    stopped: BTreeSet<JobNumber>,
}

impl ForeignRuns {
    pub(crate) fn note_run(&mut self, worker: &WorkerId, clock: WorkerClock, run: RunReport) {
        let report = ForeignReport::Running(clock, run.clone());
        self.seen.insert(run.key, (worker.clone(), report));
    }

    pub(crate) fn note_end(&mut self, worker: &WorkerId, end: EndReport) {
        let report = ForeignReport::Ended(end.clone());
        self.seen.insert(end.key, (worker.clone(), report));
    }

    /// Discards the running runs of a worker that is gone or has restarted. Ends that it listed
    /// have happened and are kept.
    pub(crate) fn forget_running(&mut self, worker: &WorkerId) {
        let gone = |known: &WorkerId, report: &ForeignReport| {
            known == worker && matches!(report, ForeignReport::Running(..))
        };
        self.seen.retain(|_, (known, report)| !gone(known, report));
    }

    /// Whether anything was reported by a worker.
    pub(crate) fn has_reports_of(&self, worker: &WorkerId) -> bool {
        self.seen.values().any(|(known, _)| known == worker)
    }

    /// Records that a run of an unknown job is being stopped.
    pub(crate) fn note_stopped(&mut self, job: JobNumber) {
        self.stopped.insert(job);
    }

    /// Whether runs of a job that has become known were stopped before; forgets it.
    pub(crate) fn take_stopped(&mut self, job: JobNumber) -> bool {
        self.stopped.remove(&job)
    }

    /// Removes and returns the reports for a job that has become known.
    pub(crate) fn take_reports_of(&mut self, job: JobNumber) -> Vec<(WorkerId, ForeignReport)> {
        let of_job = |key: &RunKey| key.task.job == job;
        let keys: Vec<RunKey> = self.seen.keys().copied().filter(of_job).collect();
        keys.iter()
            .filter_map(|key| self.seen.remove(key))
            .collect()
    }
}

impl JobScheduler {
    /// Whether a run belongs to a job that is not known yet but may exist: an earlier owner may
    /// have started it shortly before this one took over.
    pub(crate) fn is_foreign(&self, now: Millis, key: &RunKey) -> bool {
        let retained = self.state_pending || now < self.claimed_at + FOREIGN_RUN_RETENTION_MS;
        self.is_unknown(&key.task.job) && retained
    }

    /// Whether neither the row of a job nor its end is known.
    pub(crate) fn is_unknown(&self, job: &JobNumber) -> bool {
        !self.jobs.contains_key(job) && !self.finished.contains(job)
    }

    /// Adopts the runs of a job that were stopped before its row was read. Their tasks are started
    /// elsewhere only after these runs have ended.
    pub(crate) fn adopt_stopped_runs(&mut self, job: JobNumber) {
        if !self.foreign.take_stopped(job) {
            return;
        }
        let of_job = |key: &RunKey| key.task.job == job;
        let mut held = Vec::new();
        for (id, worker) in &self.workers {
            let keys = worker.runs.keys().copied().filter(of_job);
            held.extend(keys.map(|key| (id.clone(), key)));
        }
        for (worker, key) in held {
            if self.may_adopt(&key) && !self.has_ended(&key) {
                self.adopt(&worker, &key);
            }
        }
    }
}
