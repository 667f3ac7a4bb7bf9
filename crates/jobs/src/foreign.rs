//! Runs and ends that workers report of jobs whose rows have yet to be read.
//!
//! Where the store is slow, an earlier owner may learn of a job, and start it, before its successor reads the job's row.

use std::collections::BTreeMap;

use sandshelf_model::WorkerId;

use crate::ids::{JobNumber, RunKey};
use crate::reports::{EndReport, RunReport, WorkerClock};

/// What was seen of one run.
#[derive(Clone, Debug)]
pub(crate) enum ForeignSight {
    /// It is at work, by a report of this time of the worker's clock.
    AtWork(WorkerClock, RunReport),
    /// It has ended.
    Ended(EndReport),
}

/// Everything seen of unknown jobs, by run.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForeignRuns {
    seen: BTreeMap<RunKey, (WorkerId, ForeignSight)>,
}

impl ForeignRuns {
    pub(crate) fn note_run(&mut self, worker: &WorkerId, clock: WorkerClock, run: RunReport) {
        let sight = ForeignSight::AtWork(clock, run.clone());
        self.seen.insert(run.key, (worker.clone(), sight));
    }

    pub(crate) fn note_end(&mut self, worker: &WorkerId, end: EndReport) {
        let sight = ForeignSight::Ended(end.clone());
        self.seen.insert(end.key, (worker.clone(), sight));
    }

    /// A worker, or its life, is no more: what was at work there is gone. Ends that it listed have come about.
    pub(crate) fn forget_work(&mut self, worker: &WorkerId) {
        let gone = |known: &WorkerId, sight: &ForeignSight| {
            known == worker && matches!(sight, ForeignSight::AtWork(..))
        };
        self.seen.retain(|_, (known, sight)| !gone(known, sight));
    }

    /// Whether anything was seen on a worker.
    pub(crate) fn names(&self, worker: &WorkerId) -> bool {
        self.seen.values().any(|(known, _)| known == worker)
    }

    /// Takes out what was seen of a job that has become known.
    pub(crate) fn take(&mut self, job: JobNumber) -> Vec<(WorkerId, ForeignSight)> {
        let of_job = |key: &RunKey| key.task.job == job;
        let keys: Vec<RunKey> = self.seen.keys().copied().filter(of_job).collect();
        keys.iter()
            .filter_map(|key| self.seen.remove(key))
            .collect()
    }
}
