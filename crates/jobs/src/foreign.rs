//! Runs and ends that workers report for jobs whose rows have not been read yet.
//!
//! When the store is slow, an earlier owner may learn of a job and start it before its successor
//! has read the job's row.

use std::collections::BTreeMap;

use sandshelf_model::WorkerId;

use crate::ids::{JobNumber, RunKey};
use crate::reports::{EndReport, RunReport, WorkerClock};

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

    /// Removes and returns the reports for a job that has become known.
    pub(crate) fn take_reports_of(&mut self, job: JobNumber) -> Vec<(WorkerId, ForeignReport)> {
        let of_job = |key: &RunKey| key.task.job == job;
        let keys: Vec<RunKey> = self.seen.keys().copied().filter(of_job).collect();
        keys.iter()
            .filter_map(|key| self.seen.remove(key))
            .collect()
    }
}
