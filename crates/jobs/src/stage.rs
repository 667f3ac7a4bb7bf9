//! The stage of a job.

use serde::{Deserialize, Serialize};

/// The stage of a job, as shown to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too many times.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobStage {
    /// Whether the stage never changes again.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobStage::Completed | JobStage::Failed | JobStage::Cancelled
        )
    }
}
