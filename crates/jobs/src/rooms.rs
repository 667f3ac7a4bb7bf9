//! What is known of the room on workers: of runs whose job has ended, and while no list of workers comes.

use std::collections::HashMap;

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::ids::{JobNumber, TaskKey};
use crate::limits::{
    FOREIGN_RUN_RETENTION_MS, LISTED_CAPACITY_FRESH_MS, LIST_RECOVERY_MS, STALE_CAPACITY_PERCENT,
};
use crate::scheduler::JobScheduler;
use crate::spec::JobSpec;
use crate::worker::WorkerState;

/// What the tasks of jobs take that ended soon after a takeover, step by step: a worker may report their runs later.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedRooms {
    by_job: HashMap<JobNumber, Vec<ResourceSize>>,
}

impl EndedRooms {
    /// What a task of a job that has ended takes.
    pub(crate) fn of(&self, task: &TaskKey) -> Option<ResourceSize> {
        let steps = self.by_job.get(&task.job)?;
        steps.get(task.step as usize).copied()
    }
}

impl JobScheduler {
    /// Keeps what the tasks of a job take that has ended, as long as workers may yet report its runs to a new owner. Without it such a run
    /// counted as nothing until it had stopped, and its worker was given more than it had.
    pub(crate) fn keep_rooms(&mut self, now: Millis, number: JobNumber, spec: &JobSpec) {
        if now < self.claimed_at + FOREIGN_RUN_RETENTION_MS {
            let rooms = spec.steps.iter().map(|step| step.room()).collect();
            self.ended_rooms.by_job.insert(number, rooms);
        }
    }

    /// Forgets what ended jobs take, and what became known of jobs that never came, once all that an earlier owner started has been
    /// reported.
    pub(crate) fn forget_rooms(&mut self, now: Millis) {
        if now >= self.claimed_at + FOREIGN_RUN_RETENTION_MS {
            self.ended_rooms.by_job.clear();
            self.crashes.forget_awaited();
        }
    }

    /// What a worker has left for a task, as far as it is known; nothing where it can't be.
    ///
    /// A worker that refuses what doesn't fit may be asked. Of one that starts whatever it is told nothing is assumed: where it runs what nobody
    /// knows the size of, it gets nothing; and where no list has come for long, or the store may just be back and the worker has not reported
    /// since, its room may have shrunk, so that only a part of it counts.
    pub(crate) fn room_left(
        &self,
        now: Millis,
        id: &WorkerId,
        worker: &WorkerState,
        guarded: bool,
    ) -> ResourceSize {
        if guarded {
            return worker.free();
        }
        if worker.has_unsized() || self.foreign.names(id) {
            return ResourceSize::default();
        }
        let fresh = now <= self.last_list + LISTED_CAPACITY_FRESH_MS;
        match fresh && now >= self.lists_since + LIST_RECOVERY_MS {
            true => worker.free(),
            false => worker.free_of(STALE_CAPACITY_PERCENT),
        }
    }
}
