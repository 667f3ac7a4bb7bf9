//! Computes the free capacity of workers, including what ended jobs still use there and while no list of workers arrives.

use std::collections::HashMap;

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::ids::{JobNumber, TaskKey};
use crate::limits::{
    FOREIGN_RUN_RETENTION_MS, LISTED_CAPACITY_FRESH_MS, LIST_RECOVERY_MS, STALE_CAPACITY_PERCENT,
};
use crate::scheduler::JobScheduler;
use crate::spec::JobSpec;
use crate::worker::WorkerState;

/// The task sizes of jobs that ended soon after a takeover, by step; a worker may report runs of these jobs later.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedJobSizes {
    by_job: HashMap<JobNumber, Vec<ResourceSize>>,
}

impl EndedJobSizes {
    /// The size of a task of an ended job, if known.
    pub(crate) fn of(&self, task: &TaskKey) -> Option<ResourceSize> {
        let steps = self.by_job.get(&task.job)?;
        steps.get(task.step as usize).copied()
    }
}

impl JobScheduler {
    /// Keeps the task sizes of an ended job while workers may still report its runs to a new owner. Without them such a run counted as
    /// taking nothing until it had stopped, and its worker was given more than its capacity.
    pub(crate) fn keep_ended_sizes(&mut self, now: Millis, number: JobNumber, spec: &JobSpec) {
        if now < self.claimed_at + FOREIGN_RUN_RETENTION_MS {
            let sizes = spec.steps.iter().map(|step| step.room()).collect();
            self.ended_job_sizes.by_job.insert(number, sizes);
        }
    }

    /// Drops the sizes of ended jobs, and what became known of jobs that never arrived, once all runs that an earlier owner started have
    /// been reported.
    pub(crate) fn forget_ended_sizes(&mut self, now: Millis) {
        if now >= self.claimed_at + FOREIGN_RUN_RETENTION_MS {
            self.ended_job_sizes.by_job.clear();
            self.crashes.forget_pending();
        }
    }

    /// The capacity that a worker has free for a task, as far as it is known; nothing where it can't be known.
    ///
    /// A guarded worker refuses tasks that don't fit, so its last known free capacity may be tried. An unguarded worker starts every
    /// task it is sent. If it runs tasks of unknown size, it has no free capacity. If no list of workers has arrived for long, or if
    /// the store may have just returned and the worker has not reported since, its capacity may have shrunk, so only a part counts.
    pub(crate) fn free_capacity(
        &self,
        now: Millis,
        id: &WorkerId,
        worker: &WorkerState,
        guarded: bool,
    ) -> ResourceSize {
        if guarded {
            return worker.free();
        }
        if worker.has_unsized_runs() || self.foreign.has_reports_of(id) {
            return ResourceSize::default();
        }
        let fresh = now <= self.last_list + LISTED_CAPACITY_FRESH_MS;
        match fresh && now >= self.lists_since + LIST_RECOVERY_MS {
            true => worker.free(),
            false => worker.free_at_percent(STALE_CAPACITY_PERCENT),
        }
    }
}
