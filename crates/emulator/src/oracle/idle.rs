//! Checks that a job with a task that is ready to run does not stay idle while workers have free capacity for it.

use sandshelf_jobs::{JobNumber, JobSpec, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use super::{BrokenRule, PlatformOracle, UsableCapacity};

/// How long a job with a ready task may be without a run while there is free capacity.
const MAX_IDLE_MS: Millis = 3_000;

/// A job with a bounded amount of work that has not finished.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenJob {
    /// The number of its runs that are in progress.
    running: usize,
    /// How many of its tasks are not done.
    unfinished: usize,
    /// How long it has had no run although there was free capacity, in milliseconds.
    idle: Millis,
    reported: bool,
}

impl OpenJob {
    /// A newly submitted job; `None` where it has standing tasks or is repeated.
    pub(super) fn new(spec: &JobSpec) -> Option<Self> {
        let has_standing_tasks = spec.steps.iter().any(|step| step.standing);
        let unfinished = spec.steps.iter().map(|step| step.count as usize);
        (!has_standing_tasks && spec.repeat.is_none()).then(|| Self {
            running: 0,
            unfinished: unfinished.sum(),
            idle: 0,
            reported: false,
        })
    }

    pub(super) fn begin(&mut self) {
        self.running += 1;
        self.idle = 0;
    }

    /// Counts the end of a run; `done` says whether it completed its task.
    pub(super) fn end(&mut self, done: bool) {
        self.running = self.running.saturating_sub(1);
        self.unfinished = self.unfinished.saturating_sub(usize::from(done));
    }
}

impl PlatformOracle {
    /// Reports jobs that have been idle for too long, counted while less than half of all processor capacity is in use.
    ///
    /// `elapsed` is the time since the last check in milliseconds.
    pub fn check_idle_jobs(&mut self, now: Millis, elapsed: Millis, room: &UsableCapacity) {
        let counts = room.under_half;
        let mut late = Vec::new();
        for (number, job) in &mut self.open {
            if job.running > 0 || job.unfinished == 0 {
                job.idle = 0;
                continue;
            }
            job.idle += elapsed;
            if job.idle <= elapsed {
                continue;
            }
            let next = next_task_size(*number, &self.jobs[number], &self.done);
            if !next.is_some_and(|next| room.has_twice(&next)) {
                job.idle = 0;
                continue;
            }
            if counts {
                self.longest_idle = self.longest_idle.max(job.idle);
            }
            if counts && job.idle > MAX_IDLE_MS && !job.reported {
                job.reported = true;
                late.push((*number, job.idle));
            }
        }
        for (number, idle) in late {
            let what = format!("no task of {number} has run for {idle} ms");
            self.report(now, BrokenRule::Idle, what);
        }
    }
}

/// The size of the first task that is not done; the steps before its own are done, since no task of the job is running.
fn next_task_size(
    number: JobNumber,
    spec: &JobSpec,
    done: &std::collections::BTreeSet<TaskKey>,
) -> Option<ResourceSize> {
    let steps = spec.steps.iter().enumerate();
    let mut steps = steps.filter(|(step, spec)| {
        (0..spec.count).any(|index| {
            let key = TaskKey {
                job: number,
                time: 0,
                step: *step as u32,
                index,
            };
            !done.contains(&key)
        })
    });
    steps.next().map(|(_, spec)| spec.room())
}
