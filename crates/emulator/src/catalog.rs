//! All jobs ever submitted, with the properties of their tasks that the scheduler does not know: run times and failing runs.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use sandshelf_jobs::{JobNumber, JobSpec, RunKey, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use crate::deployment::StragglerRule;
use crate::interference::ServingTask;

/// The largest deviation of a task's run time from the run time of its job, up or down, in percent.
const TASK_DEVIATION_PERCENT: u64 = 25;
/// The shortest run time of a task at full pace, in milliseconds.
const MIN_WORK_MS: Millis = 20;
/// Time from the start of a standing task until it is running, in milliseconds.
pub const STANDING_START_MS: Millis = 150;

/// A job with the properties that its caller does not know.
#[derive(Clone, Debug)]
pub struct EmulatedJob {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Mean run time of its tasks at full pace, in milliseconds.
    pub work_ms: Millis,
    /// Number of runs that fail, out of 1,000.
    pub failing: u64,
    /// Its stragglers.
    pub stragglers: StragglerRule,
}

/// What a job asks for, by the true run times of its tasks at full pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobDemand {
    /// Its work in core-milliseconds.
    pub work: u64,
    /// How long it may take: a multiple of its longest chain of tasks, plus a latency, in milliseconds.
    pub objective_ms: Millis,
}

/// The properties of a run that a worker needs to emulate it.
#[derive(Clone, Debug)]
pub struct TaskFacts {
    /// Share of the worker's capacity that the task occupies.
    pub room: ResourceSize,
    /// Processor time that it uses at full pace, in thousandths of a core.
    pub cpu_millis: u64,
    /// Run time at full pace, in milliseconds.
    pub work_ms: Millis,
    /// The number of its image if it is a filling task, which uses only processor time that other tasks leave; else `None`.
    pub fills: Option<usize>,
    /// Whether it runs until it is stopped.
    pub standing: bool,
    /// Whether it writes checkpoints.
    pub checkpoints: bool,
    /// Parameters of its tail latency if it is a serving task.
    pub serving: Option<ServingTask>,
    /// Work after which this run fails, in milliseconds at full pace; `None` if it does not fail.
    pub fails_after_ms: Option<Millis>,
    /// The factor by which this run is slower than others with the same processor time; 1 unless it is a straggler.
    pub slowness: u64,
}

/// All submitted jobs by number.
#[derive(Clone, Debug, Default)]
pub struct JobCatalog {
    seed: u64,
    jobs: HashMap<JobNumber, EmulatedJob>,
    /// Filling images of which every run currently fails.
    pub failing_images: HashSet<usize>,
}

/// Hashes two numbers into one (the finaliser of SplitMix64).
pub fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The number after the last `-` in an image's name; 0 if there is none.
pub fn image_number(image: &str) -> usize {
    let (_, number) = image.rsplit_once('-').unwrap_or_default();
    number.parse().unwrap_or(0)
}

impl JobCatalog {
    /// Creates an empty catalog; `seed` determines the drawn run times and failures.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Adds a job.
    pub fn add(&mut self, number: JobNumber, job: EmulatedJob) {
        self.jobs.insert(number, job);
    }

    /// Returns a job by its number.
    pub fn get(&self, number: JobNumber) -> Option<&EmulatedJob> {
        self.jobs.get(&number)
    }

    /// A pseudo-random number that depends only on the seed, the task and `salt`.
    fn drawn(&self, task: &TaskKey, salt: u64) -> u64 {
        let place = u64::from(task.step) << 32 | u64::from(task.index);
        mix(mix(self.seed ^ salt, task.job.0), place)
    }

    /// The properties of a run; `None` if its job was never submitted.
    pub fn facts(&self, key: &RunKey) -> Option<TaskFacts> {
        let task = &key.task;
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        let image = image_number(&step.image);
        let work_ms = self.work_ms(job, task);
        let drawn = mix(self.drawn(task, 2), key.run);
        let image_fails = step.fills && self.failing_images.contains(&image);
        let fails = image_fails || drawn % 1_000 < job.failing;
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
            slowness: self.slowness(job, key),
        })
    }

    /// What a job asks for; `None` if it was never submitted.
    pub fn demand(&self, number: JobNumber) -> Option<JobDemand> {
        let job = self.jobs.get(&number)?;
        let mut chains: Vec<Millis> = Vec::new();
        let mut work = 0;
        for (index, step) in job.spec.steps.iter().enumerate() {
            let task = |index_in_step| TaskKey {
                job: number,
                time: 0,
                step: index as u32,
                index: index_in_step,
            };
            let times = (0..step.count).map(|place| self.work_ms(job, &task(place)));
            let times: Vec<Millis> = times.collect();
            work += times.iter().sum::<Millis>() * step.size.cpu_millis / 1_000;
            let before = step.after.iter().map(|after| chains[*after]).max();
            let longest = times.into_iter().max();
            chains.push(before.unwrap_or(0) + longest.unwrap_or(0));
        }
        let chain_ms = chains.into_iter().max().unwrap_or(0);
        let rules = &job.spec.rules;
        Some(JobDemand {
            work,
            objective_ms: (chain_ms as f64 * rules.stretch) as Millis + rules.target_latency_ms,
        })
    }

    /// The run time of a task at full pace, in milliseconds.
    fn work_ms(&self, job: &EmulatedJob, task: &TaskKey) -> Millis {
        let percent =
            100 - TASK_DEVIATION_PERCENT + self.drawn(task, 1) % (2 * TASK_DEVIATION_PERCENT + 1);
        (job.work_ms * percent / 100).max(MIN_WORK_MS)
    }

    /// The factor by which a run is slowed; drawn anew for each run.
    fn slowness(&self, job: &EmulatedJob, key: &RunKey) -> u64 {
        let drawn = mix(self.drawn(&key.task, 3), key.run);
        match drawn % 100 < job.stragglers.percent {
            true => job.stragglers.factor.max(1),
            false => 1,
        }
    }
}
