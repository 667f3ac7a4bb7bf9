//! Identifiers of jobs, tasks, runs and worker incarnations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How many hexadecimal digits a job number has in text.
const NUMBER_DIGITS: usize = 16;

/// The error for a text that does not have the form of the expected identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadIdentifier;

impl fmt::Display for BadIdentifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a valid job or task identifier")
    }
}

impl std::error::Error for BadIdentifier {}

/// A job's number, chosen by the caller; written as 16 lower-case hexadecimal digits.
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

/// Identifies one task of a job; written as `job.time.step.index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobNumber,
    /// The repetition of the job, from 0.
    pub time: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// The key of the first task of the same step; used as the key of the step.
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

/// Distinguishes the incarnations of a worker that restarts under the same [`WorkerId`](sandshelf_model::WorkerId). The value is the time
/// at which the incarnation started by the worker's wall clock, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerIncarnation(pub u64);

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Identifies one run of a task; written as `task#run`. The run numbers of a task increase across all owners.
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
