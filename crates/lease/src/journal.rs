//! What is written durably: records in groups, one transaction for each group.

use sandshelf_config::JobSpec;
use sandshelf_model::{AttemptId, JobId, Revision, Sequence, ShardId, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::row::{RowVersion, ShardRow};
use crate::state::{RequeueCause, TaskState};

/// One durable fact about batch work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalRecord {
    /// The configuration up to this revision has been taken in.
    Revised {
        /// The revision.
        revision: Revision,
    },
    /// A job has become known, with the tasks that are this shard's.
    JobAdded {
        /// The job as declared.
        job: JobSpec,
        /// This shard's tasks.
        tasks: Vec<u32>,
    },
    /// An attempt may be started on a worker; written before the start is sent.
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
        /// Why.
        cause: RequeueCause,
        /// The checkpoint to resume from, where there is one.
        checkpoint: Option<String>,
    },
    /// An attempt has finished; it alone counts.
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
        /// Why, for the operator.
        reason: String,
    },
    /// Every task of a job that has not finished is cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// No worker could ever hold the task.
    Unplaceable {
        /// The task.
        task: TaskId,
        /// Why, for the operator.
        reason: String,
    },
    /// A waiting task now belongs to another shard; the same transaction puts it into that shard's inbox.
    HandedOff {
        /// The shard that it now belongs to.
        to: ShardId,
        /// The task as the other shard takes it in.
        handoff: Box<TaskHandoff>,
    },
    /// A task that another shard handed off; the same transaction takes it out of the inbox.
    Adopted {
        /// The task as the other shard left it.
        handoff: Box<TaskHandoff>,
    },
    /// An inbox entry of a job that is no longer declared; the same transaction takes it out of the inbox.
    InboxDropped {
        /// The task.
        task: TaskId,
    },
    /// A job that is no longer declared, and of which nothing is left to do, is forgotten.
    JobDropped {
        /// The job.
        job: JobId,
    },
}

/// One transaction: it takes effect whole, and only where the shard's row still has the expected version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The version that the shard's row has to have; 0 where the row must not be there.
    pub expect: RowVersion,
    /// The new row; its token is unique to this request.
    pub row: ShardRow,
    /// The records, stored under the row's sequence; none for a mere renewal.
    pub records: Vec<JournalRecord>,
    /// Journal rows after this sequence,
    pub trim_from: Sequence,
    /// up to and with this one, are covered by the snapshot and are deleted.
    pub trim_to: Sequence,
}

/// A waiting task on its way to another shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskHandoff {
    /// The job as declared.
    pub job: JobSpec,
    /// The task's position within the job.
    pub index: u32,
    /// The task as it was left.
    #[serde(rename = "cell")]
    pub state: TaskState,
    /// The configuration that the sender had taken in; the receiver waits until it has as new a one.
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

/// What is known of a transaction that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It took effect; the row has this version.
    Committed {
        /// The row's new version.
        version: RowVersion,
    },
    /// It did not take effect and never will: the row had another version.
    Conflict,
    /// No answer came; it may have taken effect or may yet.
    Unknown,
}
