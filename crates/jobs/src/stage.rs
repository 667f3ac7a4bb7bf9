//! How far a job has come.

use serde::{Deserialize, Serialize};

/// The state of a job as shown to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// No task has begun.
    #[default]
    Queued,
    /// Some task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobStage {
    /// Whether it never changes again.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobStage::Completed | JobStage::Failed | JobStage::Cancelled
        )
    }
}
