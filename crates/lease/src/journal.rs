//! The journal's records and the transactions that write them, one group of records per transaction.

use sandshelf_config::JobSpec;
use sandshelf_model::{AttemptId, JobId, Revision, Sequence, ShardId, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::row::{RowVersion, ShardRow};
use crate::task_state::{RequeueCause, TaskState};

/// One durable change of a shard's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalRecord {
    /// The configuration of this revision has been applied.
    Revised {
        /// The revision.
        revision: Revision,
    },
    /// A job was declared, or its declaration has changed.
    JobAdded {
        /// The job as declared.
        job: JobSpec,
        /// The positions of the tasks that belong to this shard.
        tasks: Vec<u32>,
    },
    /// An attempt was placed on a worker; committed before the start is sent.
    Placed {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
    },
    /// An attempt has ended without finishing, and the task waits again.
    Requeued {
        /// The attempt.
        attempt: AttemptId,
        /// Why the attempt ended.
        cause: RequeueCause,
        /// The key of the checkpoint to resume from; none where the attempt left no new one.
        checkpoint: Option<String>,
    },
    /// An attempt has finished; no other attempt of its task counts.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// The key of its outputs.
        output: String,
    },
    /// A task has been given up.
    Failed {
        /// The task.
        task: TaskId,
        /// The reason, for the operator.
        reason: String,
    },
    /// Every open task of a job is cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// No worker could ever hold the task.
    Unplaceable {
        /// The task.
        task: TaskId,
        /// The reason, for the operator.
        reason: String,
    },
    /// A waiting task now belongs to another shard; the same transaction adds it to that shard's inbox.
    HandedOff {
        /// The shard that it now belongs to.
        to: ShardId,
        /// The task as the other shard will adopt it.
        handoff: Box<TaskHandoff>,
    },
    /// A task was adopted that another shard handed off; the same transaction removes it from the inbox.
    Adopted {
        /// The task as the other shard handed it off.
        handoff: Box<TaskHandoff>,
    },
    /// An inbox entry is discarded because its job is no longer declared; the same
    /// transaction removes it from the inbox.
    InboxDropped {
        /// The task.
        task: TaskId,
    },
    /// A job is forgotten that is no longer declared and has no open tasks.
    JobDropped {
        /// The job.
        job: JobId,
    },
}

/// One transaction: it takes effect completely or not at all, and only while the shard's row has the expected version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The version that the shard's row must have; 0 where the row must not exist.
    pub expect: RowVersion,
    /// The new row; its token is unique to this request.
    pub row: ShardRow,
    /// The records, stored under the row's sequence; empty for a renewal, claim or release.
    pub records: Vec<JournalRecord>,
    /// Journal rows after this sequence (exclusive) are deleted, because the snapshot covers them.
    pub trim_from: Sequence,
    /// Journal rows up to this sequence (inclusive) are deleted.
    pub trim_to: Sequence,
}

/// A waiting task that is handed off to another shard, as stored in that shard's inbox.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskHandoff {
    /// The job as declared.
    pub job: JobSpec,
    /// The task's position within the job.
    pub index: u32,
    /// The task's state when it was handed off.
    #[serde(rename = "cell")]
    pub state: TaskState,
    /// The configuration revision that the sender had applied; the receiver adopts the task only once it has
    /// applied this revision or a newer one.
    pub revision: Revision,
}

impl TaskHandoff {
    /// The task that is handed off.
    pub fn task(&self) -> TaskId {
        TaskId {
            job: self.job.name.clone(),
            index: self.index,
        }
    }
}

/// The outcome of a transaction that was sent, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It took effect.
    Committed {
        /// The row's new version.
        version: RowVersion,
    },
    /// The row had another version, so this send of the transaction did not take effect and never will.
    Conflict,
    /// No answer arrived; it may have taken effect or may still do so.
    Unknown,
}
