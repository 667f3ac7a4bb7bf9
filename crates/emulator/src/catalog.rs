//! All jobs ever handed in, and what is true of their tasks but not said: how long they work and which runs fail.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use sandshelf_jobs::{JobNumber, JobSpec, RunKey, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use crate::interference::ServingTask;

/// By how much the work of single tasks differs from their job's, in percent, either way.
const UNEVEN_PERCENT: u64 = 25;
/// How long a start takes until a standing task is at work.
pub const STANDING_START_MS: Millis = 150;

/// A job with what its caller doesn't know of it.
#[derive(Clone, Debug)]
pub struct EmulatedJob {
    /// The job as handed in.
    pub spec: Arc<JobSpec>,
    /// How long its tasks work at full pace.
    pub work_ms: Millis,
    /// How many of a thousand runs fail.
    pub failing: u64,
}

/// What a worker has to know of a task that it starts.
#[derive(Clone, Debug)]
pub struct TaskFacts {
    /// What it takes of the worker's room.
    pub room: ResourceSize,
    /// The processors it works on, in thousandths of a core.
    pub cpu_millis: u64,
    /// How long it works at full pace.
    pub work_ms: Millis,
    /// Whether it takes only what others leave, and the number of its image.
    pub fills: Option<usize>,
    /// Whether it works until it is stopped.
    pub standing: bool,
    /// Whether it writes checkpoints.
    pub checkpoints: bool,
    /// What its tail depends on, where it serves.
    pub serving: Option<ServingTask>,
    /// After how much of its work this run fails; none where it doesn't.
    pub fails_after_ms: Option<Millis>,
}

/// All jobs by number.
#[derive(Clone, Debug, Default)]
pub struct JobCatalog {
    seed: u64,
    jobs: HashMap<JobNumber, EmulatedJob>,
    /// Filling images whose runs all fail for now.
    pub failing_images: HashSet<usize>,
}

/// A well-mixed number of two (the finaliser of SplitMix64).
pub fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The number at the end of an image's name.
pub fn image_number(image: &str) -> usize {
    let (_, number) = image.rsplit_once('-').unwrap_or_default();
    number.parse().unwrap_or(0)
}

impl JobCatalog {
    /// A book without jobs.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Writes a job down.
    pub fn add(&mut self, number: JobNumber, job: EmulatedJob) {
        self.jobs.insert(number, job);
    }

    /// Finds a job.
    pub fn get(&self, number: JobNumber) -> Option<&EmulatedJob> {
        self.jobs.get(&number)
    }

    fn drawn(&self, task: &TaskKey, salt: u64) -> u64 {
        let place = u64::from(task.step) << 32 | u64::from(task.index);
        mix(mix(self.seed ^ salt, task.job.0), place)
    }

    /// What is true of a run of a task; none where nobody handed the job in.
    pub fn facts(&self, key: &RunKey) -> Option<TaskFacts> {
        let task = &key.task;
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        let image = image_number(&step.image);
        let percent = 100 - UNEVEN_PERCENT + self.drawn(task, 1) % (2 * UNEVEN_PERCENT + 1);
        let work_ms = (job.work_ms * percent / 100).max(20);
        let drawn = mix(self.drawn(task, 2), key.run);
        let grey = step.fills && self.failing_images.contains(&image);
        let fails = grey || drawn % 1_000 < job.failing;
        let serving = ServingTask {
            job: task.job.0,
            image,
            target_ms: step.target_ms,
        };
        Some(TaskFacts {
            room: step.room(),
            cpu_millis: step.size.cpu_millis,
            work_ms,
            fills: step.fills.then_some(image),
            standing: step.standing,
            checkpoints: step.checkpoints,
            serving: (step.target_ms > 0).then_some(serving),
            fails_after_ms: fails.then_some(work_ms * (drawn / 1_000 % 90) / 100 + 10),
        })
    }
}
