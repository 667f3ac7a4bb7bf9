//! The specification of a job, as a caller submits it.

use std::fmt;

use sandshelf_model::{Millis, ResourceSize};
use serde::{Deserialize, Serialize};

use crate::queues::QueueAddress;

/// The maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;
/// The maximum number of tasks of a step.
pub const MAX_TASKS: u32 = 10_000;
/// The maximum number of tasks in the steps of a job. An owner keeps some 400 bytes of each, and it may be a host with 160 MB.
pub const MAX_JOB_TASKS: u64 = 200_000;
/// The maximum length of the payload that tasks receive, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The maximum number of repetitions of a job.
pub const MAX_REPETITIONS: u32 = 100_000;
/// The largest size of a task, far beyond the largest machines. With the limits on counts, sums over all tasks stay far below 2^64.
const MAX_TASK_SIZE: ResourceSize = ResourceSize::new(1 << 30, 1 << 30, 1 << 30);
/// The longest estimate, target or interval of a job, in milliseconds: a year.
pub const MAX_DURATION_MS: Millis = 365 * 24 * 3_600 * 1_000;
/// The latest time at which the first repetition of a job may be due, in milliseconds since 1970: the largest integer that every writer
/// of JSON represents exactly.
const MAX_FIRST_DUE_MS: u64 = (1 << 53) - 1;
/// The largest multiple of its estimated time that a job may take.
pub const MAX_STRETCH: f64 = 1_000.0;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A submitted job, with the rules of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The name of the queue to which the job was submitted. An owner replaces it by the queue's current name.
    pub queue: String,
    /// The address of that queue; none for a job that a host of an earlier version accepted.
    #[serde(default, skip_serializing_if = "is_default")]
    pub address: Option<QueueAddress>,
    /// The queue's rules when the job was accepted; rules of a later configuration take precedence.
    pub rules: QueueRules,
    /// A text that is passed to each task.
    pub payload: String,
    /// The steps, in an order in which each step only waits for earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the job was submitted, in milliseconds since 1970 by the accepting host's clock; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub handed_in_ms: u64,
    /// When the steps are repeated, for a job that runs at set times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<RepeatRule>,
}

/// One step of a job: a number of tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task asks for.
    pub size: ResourceSize,
    /// A rough estimate of a task's run time, in milliseconds.
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
    /// The indices of earlier steps that have to be done before this one starts.
    #[serde(default, skip_serializing_if = "is_default")]
    pub after: Vec<usize>,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks only work all together (a gang).
    #[serde(default, skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether a gang is slower when spread over several racks.
    #[serde(default, skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(default, skip_serializing_if = "is_default")]
    pub label: Option<String>,
    /// The rack that holds the data.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rack: Option<String>,
    /// The maximum number of tasks of the step on one worker; 0 for no limit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub most_per_worker: u32,
    /// Whether several copies of a task may run at one time.
    #[serde(default, skip_serializing_if = "is_default")]
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_default")]
    pub standing: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    #[serde(default, skip_serializing_if = "is_default")]
    pub image: String,
    /// The target for the tail latency of a standing task, in milliseconds; 0 for no target.
    #[serde(default, skip_serializing_if = "is_default")]
    pub target_ms: Millis,
    /// Whether the tasks only use processor time that other tasks leave unused.
    #[serde(default, skip_serializing_if = "is_default")]
    pub fills: bool,
    /// The maximum number of tasks of the step that may be prevented from running at one time; `None` for no limit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// The capacity that a task takes on a worker: a filling task takes no processors.
    pub fn room(&self) -> ResourceSize {
        let cpu_millis = if self.fills { 0 } else { self.size.cpu_millis };
        ResourceSize {
            cpu_millis,
            ..self.size
        }
    }
}

/// The times at which a job's steps are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatRule {
    /// The number of repetitions.
    pub count: u32,
    /// When the first repetition is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The interval between repetitions, in milliseconds.
    pub interval_ms: u64,
}

impl RepeatRule {
    /// When a repetition is due, in milliseconds since 1970; the first one has number 0.
    pub fn due_ms(&self, time: u32) -> u64 {
        self.first_due_ms + u64::from(time) * self.interval_ms
    }
}

/// The configured rules of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueRules {
    /// The service whose workers run the queue's tasks.
    pub service: String,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// How long a job may take, as a multiple of the estimated time of its longest chain of steps.
    pub stretch: f64,
    /// How long a job may take in addition, in milliseconds.
    pub target_latency_ms: Millis,
    /// Whether the service's workers refuse tasks that don't fit. Other workers start every task they are sent, so the scheduler must
    /// not rely on a refusal.
    #[serde(default)]
    pub guarded: bool,
}

/// An error in a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpecFault {
    /// The job has no steps or too many of them.
    StepCount(usize),
    /// A step has no tasks or too many of them.
    TaskCount {
        /// The index of the step.
        step: usize,
        /// The number of its tasks.
        count: u32,
    },
    /// A step waits for itself, for a later step or for a step that doesn't exist.
    StepOrder {
        /// The index of the step.
        step: usize,
        /// The index of the step for which it waits.
        after: usize,
    },
    /// The steps have too many tasks together.
    JobTasks(u64),
    /// The payload is too long; its length in bytes.
    PayloadSize(usize),
    /// There are too many repetitions.
    Repetitions(u32),
    /// The repetitions are too far in the future or too far apart.
    RepeatTimes,
    /// The tasks of a step are too large.
    TaskSize {
        /// The index of the step.
        step: usize,
    },
    /// The estimated time or the latency target of a step is too long.
    StepTimes {
        /// The index of the step.
        step: usize,
    },
    /// The times in the rules of the queue are out of range.
    QueueTimes,
}

impl fmt::Display for SpecFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SpecFault::StepCount(count) => {
                write!(formatter, "{count} steps; 1 to {MAX_STEPS} are taken")
            }
            SpecFault::TaskCount { step, count } => {
                write!(
                    formatter,
                    "step {step} has {count} tasks; 1 to {MAX_TASKS} are taken"
                )
            }
            SpecFault::StepOrder { step, after } => {
                write!(
                    formatter,
                    "step {step} waits for step {after}; name an earlier step"
                )
            }
            SpecFault::JobTasks(count) => {
                write!(
                    formatter,
                    "{count} tasks in all steps; {MAX_JOB_TASKS} at most"
                )
            }
            SpecFault::PayloadSize(bytes) => {
                write!(
                    formatter,
                    "a text of {bytes} bytes; {MAX_PAYLOAD_BYTES} at most"
                )
            }
            SpecFault::Repetitions(count) => {
                write!(formatter, "{count} repetitions; {MAX_REPETITIONS} at most")
            }
            SpecFault::RepeatTimes => {
                formatter.write_str("repetitions too far in the future or too far apart")
            }
            SpecFault::TaskSize { step } => {
                write!(formatter, "the tasks of step {step} are too large")
            }
            SpecFault::StepTimes { step } => write!(
                formatter,
                "step {step} has an estimate or a target of more than {MAX_DURATION_MS} ms"
            ),
            SpecFault::QueueTimes => formatter.write_str("the queue's times are out of range"),
        }
    }
}

impl std::error::Error for SpecFault {}

impl JobSpec {
    /// The number of tasks in one repetition of the steps.
    pub(crate) fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// The number of tasks in all repetitions of the steps.
    pub(crate) fn task_count_over_all_times(&self) -> u64 {
        let times = self.repeat.map_or(1, |repeat| repeat.count.max(1));
        self.task_count().saturating_mul(u64::from(times))
    }

    /// Checks the order of the steps, and that all numbers are in ranges whose sums the scheduler can hold.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), SpecFault> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecFault::StepCount(self.steps.len()));
        }
        if self.task_count() > MAX_JOB_TASKS {
            return Err(SpecFault::JobTasks(self.task_count()));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecFault::PayloadSize(self.payload.len()));
        }
        if let Some(repeat) = &self.repeat {
            repeat.check()?;
        }
        if !self.rules.are_in_range() {
            return Err(SpecFault::QueueTimes);
        }
        let mut steps = self.steps.iter().enumerate();
        steps.try_for_each(|(step, spec)| spec.check(step))
    }
}

impl RepeatRule {
    fn check(&self) -> Result<(), SpecFault> {
        if self.count > MAX_REPETITIONS {
            return Err(SpecFault::Repetitions(self.count));
        }
        match self.first_due_ms <= MAX_FIRST_DUE_MS && self.interval_ms <= MAX_DURATION_MS {
            true => Ok(()),
            false => Err(SpecFault::RepeatTimes),
        }
    }
}

impl QueueRules {
    fn are_in_range(&self) -> bool {
        (0.0..=MAX_STRETCH).contains(&self.stretch) && self.target_latency_ms <= MAX_DURATION_MS
    }
}

impl StepSpec {
    /// Checks the step with this index.
    fn check(&self, step: usize) -> Result<(), SpecFault> {
        let count = self.count;
        if count == 0 || count > MAX_TASKS {
            return Err(SpecFault::TaskCount { step, count });
        }
        if let Some(after) = self.after.iter().find(|after| **after >= step) {
            let after = *after;
            return Err(SpecFault::StepOrder { step, after });
        }
        if !self.size.fits_in(&MAX_TASK_SIZE) {
            return Err(SpecFault::TaskSize { step });
        }
        match self.estimate_ms.max(self.target_ms) <= MAX_DURATION_MS {
            true => Ok(()),
            false => Err(SpecFault::StepTimes { step }),
        }
    }
}
