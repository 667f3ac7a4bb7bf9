//! The durable state of one task.

use sandshelf_model::{ShardId, WorkerId};
use serde::{Deserialize, Serialize};

/// Why an attempt ended without finishing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequeueCause {
    /// The attempt was never started.
    NotRun,
    /// The attempt was evicted.
    Evicted,
    /// The attempt was cut off, because its worker was lost, its lease expired or its worker was quarantined.
    WorkerLost,
    /// The attempt failed by itself.
    Failed,
    /// The attempt belongs to a watch job, which never finishes, and ended.
    WatchEnded,
}

/// The stage that a task has reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskStage {
    /// It waits to be placed on a worker.
    #[default]
    Waiting,
    /// Its newest attempt was placed on this worker, and may be running there.
    Placed(WorkerId),
    /// Its newest attempt finished; its outputs are stored under this key.
    Finished(String),
    /// It was given up, for this reason.
    Failed(String),
    /// It was cancelled.
    Cancelled,
    /// No worker could ever hold it, for this reason.
    Unplaceable(String),
    /// It was handed off to this shard.
    HandedOff(ShardId),
}

impl TaskStage {
    /// Whether the stage is final in this shard.
    pub fn is_over(&self) -> bool {
        !matches!(self, TaskStage::Waiting | TaskStage::Placed(_))
    }

    /// The stage's name in logs and in printed tables.
    pub fn label(&self) -> &'static str {
        match self {
            TaskStage::Waiting => "waiting",
            TaskStage::Placed(_) => "placed",
            TaskStage::Finished(_) => "finished",
            TaskStage::Failed(_) => "failed",
            TaskStage::Cancelled => "cancelled",
            TaskStage::Unplaceable(_) => "unplaceable",
            TaskStage::HandedOff(_) => "handed-off",
        }
    }
}

/// One task's durable state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// The stage that the task has reached.
    pub stage: TaskStage,
    /// The number of its newest attempt; 0 before the first.
    pub attempts: u32,
    /// How many of its attempts failed by themselves.
    pub failures: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// How often it was handed off to another shard.
    pub hops: u32,
    /// The key of its newest confirmed checkpoint.
    pub checkpoint: Option<String>,
}
