//! The specification of a job, as a caller submits it.

use std::fmt;

use sandshelf_model::{Millis, ResourceSize};
use serde::{Deserialize, Serialize};

/// The maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;
/// The maximum number of tasks of a step.
pub const MAX_TASKS: u32 = 10_000;
/// The maximum length of the payload that tasks receive, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The maximum number of repetitions of a job.
pub const MAX_REPETITIONS: u32 = 100_000;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A submitted job, with the rules of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue to which the job was submitted.
    pub queue: String,
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
    /// The payload is too long; its length in bytes.
    PayloadSize(usize),
    /// There are too many repetitions.
    Repetitions(u32),
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
            SpecFault::PayloadSize(bytes) => {
                write!(
                    formatter,
                    "a text of {bytes} bytes; {MAX_PAYLOAD_BYTES} at most"
                )
            }
            SpecFault::Repetitions(count) => {
                write!(formatter, "{count} repetitions; {MAX_REPETITIONS} at most")
            }
        }
    }
}

impl std::error::Error for SpecFault {}

impl JobSpec {
    /// Checks the sizes and the order of the steps.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), SpecFault> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecFault::StepCount(self.steps.len()));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecFault::PayloadSize(self.payload.len()));
        }
        if let Some(repeat) = &self.repeat {
            if repeat.count > MAX_REPETITIONS {
                return Err(SpecFault::Repetitions(repeat.count));
            }
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.count == 0 || spec.count > MAX_TASKS {
                let count = spec.count;
                return Err(SpecFault::TaskCount { step, count });
            }
            if let Some(after) = spec.after.iter().find(|after| **after >= step) {
                let after = *after;
                return Err(SpecFault::StepOrder { step, after });
            }
        }
        Ok(())
    }
}
