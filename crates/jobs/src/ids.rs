//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How many hexadecimal digits a job's number is written with.
const NUMBER_DIGITS: usize = 16;

/// Says that a text is no identifier of the expected form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadIdentifier;

impl fmt::Display for BadIdentifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the text is no identifier of a job or task")
    }
}

impl std::error::Error for BadIdentifier {}

/// A job's number, chosen by the caller; written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobNumber(pub u64);

impl fmt::Display for JobNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobNumber {
    type Err = BadIdentifier;

    fn from_str(text: &str) -> Result<Self, BadIdentifier> {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != NUMBER_DIGITS || !text.bytes().all(lower_hex) {
            return Err(BadIdentifier);
        }
        u64::from_str_radix(text, 16)
            .map(JobNumber)
            .map_err(|_| BadIdentifier)
    }
}

/// Names one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobNumber,
    /// Which of the job's repetitions, from 0.
    pub time: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// The first task of its step, which stands for the step.
    pub(crate) fn first_of_step(&self) -> Self {
        Self { index: 0, ..*self }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskKey {
            job,
            time,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{time}.{step}.{index}")
    }
}

impl FromStr for TaskKey {
    type Err = BadIdentifier;

    fn from_str(text: &str) -> Result<Self, BadIdentifier> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(BadIdentifier)?.parse()?;
        let mut number = || {
            let part = parts.next().ok_or(BadIdentifier)?;
            part.parse::<u32>().map_err(|_| BadIdentifier)
        };
        let key = TaskKey {
            job,
            time: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(key),
            Some(_) => Err(BadIdentifier),
        }
    }
}

/// Tells apart the lives of a worker that starts again under the name that it had: when a life began, by the worker's time of day, in
/// milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerIncarnation(pub u64);

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Names one run of a task; runs of a task are numbered upwards across all owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// The run's number.
    pub run: u64,
}

impl fmt::Display for RunKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.run)
    }
}
