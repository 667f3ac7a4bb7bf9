//! Looks for jobs of which nothing is at work though a task's turn has come and there is room for it.

use sandshelf_jobs::{JobNumber, JobSpec, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use super::{BrokenRule, PlatformOracle, UsableCapacity};

/// How long that may be.
const IDLE_MS: Millis = 3_000;

/// A job that ends and has not come to its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenJob {
    /// How many of its runs are at work.
    live: usize,
    /// How many of its tasks are not done.
    left: usize,
    /// For how long nothing of it has been at work while there was room.
    idle: Millis,
    told: bool,
}

impl OpenJob {
    /// A job as it is handed in; none where its tasks stand or run at given times.
    pub(super) fn new(spec: &JobSpec) -> Option<Self> {
        let stands = spec.steps.iter().any(|step| step.standing);
        let left = spec.steps.iter().map(|step| step.count as usize);
        (!stands && spec.repeat.is_none()).then(|| Self {
            live: 0,
            left: left.sum(),
            idle: 0,
            told: false,
        })
    }

    pub(super) fn begin(&mut self) {
        self.live += 1;
        self.idle = 0;
    }

    /// A run is over; whether its task is done by it.
    pub(super) fn end(&mut self, done: bool) {
        self.live = self.live.saturating_sub(1);
        self.left = self.left.saturating_sub(usize::from(done));
    }
}

impl PlatformOracle {
    /// Looks, some milliseconds after the last look, for jobs of which nothing is at work for too long.
    ///
    /// That counts while less than half of the room is in use.
    pub fn check_idle_jobs(&mut self, now: Millis, passed: Millis, room: &UsableCapacity) {
        let counts = room.under_half;
        let mut late = Vec::new();
        for (number, job) in &mut self.open {
            if job.live > 0 || job.left == 0 {
                job.idle = 0;
                continue;
            }
            job.idle += passed;
            if job.idle <= passed {
                continue;
            }
            let next = next_room(*number, &self.jobs[number], &self.done);
            if !next.is_some_and(|next| room.has_twice(&next)) {
                job.idle = 0;
                continue;
            }
            if counts {
                self.longest_idle = self.longest_idle.max(job.idle);
            }
            if counts && job.idle > IDLE_MS && !job.told {
                job.told = true;
                late.push((*number, job.idle));
            }
        }
        for (number, idle) in late {
            let what = format!("nothing of {number} is at work for {idle} ms");
            self.report(now, BrokenRule::Idle, what);
        }
    }
}

/// What the first task takes up that is not done; all before it are done, since nothing is at work.
fn next_room(
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
