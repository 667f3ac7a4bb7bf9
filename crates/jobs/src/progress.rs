//! The stored progress of a job.

use serde::{Deserialize, Serialize};

use crate::crash::CrashRecord;
use crate::ids::{JobNumber, TaskKey};
use crate::progress_page::PageKey;
use crate::stage::JobStage;

/// The stored progress of a job, besides its specification; everything else is learned from the workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// The state of the job, as shown to its caller.
    pub stage: JobStage,
    /// The name that the job's queue has; hosts of earlier versions show the job at a queue of this name only.
    pub queue: String,
    /// The number of finished repetitions, counted from the first; their tasks are not listed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub times_done: u32,
    /// The tasks that differ from a new one; those of a large job are in its [`ProgressPage`]s.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl TaskProgress {
    /// The page that holds the task in the progress of a large job.
    pub(crate) fn page_of(&self, job: JobNumber) -> PageKey {
        PageKey::of(&TaskKey {
            job,
            time: self.time,
            step: self.step,
            index: self.index,
        })
    }

    /// Whether the task is done and nothing else is kept of it.
    pub(crate) fn is_only_done(&self) -> bool {
        let unfailed = self.earlier_failures == 0 && self.failed_runs.is_empty();
        self.done && unfailed && self.checkpoint.is_none() && self.crashes.is_empty()
    }
}

/// The stored progress of one task that differs from a new one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The number of the repetition; the first one is 0.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub time: u32,
    /// The index of the step.
    #[serde(rename = "s")]
    pub step: u32,
    /// The index of the task within the step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Whether the task is done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// The number of its failed runs before those in `failed_runs`.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub earlier_failures: u32,
    /// The numbers of its newest failed runs; by them an end that is reported again is recognised.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// The newest checkpoint reported with the end of a run.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// The crashes of its workers that it may have caused.
    #[serde(rename = "x", default, skip_serializing_if = "CrashRecord::is_empty")]
    pub crashes: CrashRecord,
}
