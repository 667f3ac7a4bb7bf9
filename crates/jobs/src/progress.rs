//! The durable form of a job's progress.

use serde::{Deserialize, Serialize};

use crate::crash::CrashRecord;
use crate::stage::JobStage;

/// What is kept of a job beside its specification; all else is learnt from the workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// The state as shown.
    pub stage: JobStage,
    /// The queue, so that a caller of another queue is not shown the job.
    pub queue: String,
    /// How many repetitions are done, from the first on; their tasks are not listed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub times_done: u32,
    /// What is known of single tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// What is kept of one task that is not as new.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Which repetition.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub time: u32,
    /// The step.
    #[serde(rename = "s")]
    pub step: u32,
    /// The task within the step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Whether it is done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// The runs of it that have failed; an end that is listed again is known by them.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// Its newest checkpoint that was read at an end.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// The crashes of its workers that it may have caused.
    #[serde(rename = "x", default, skip_serializing_if = "CrashRecord::is_empty")]
    pub crashes: CrashRecord,
}
