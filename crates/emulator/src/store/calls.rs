//! Calls of hosts to the store, and the store's answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use sandshelf_jobs::{
    CommitBatch, JobNumber, JobSpec, StoredProgress, WorkerChanges, WorkerListing,
};
use sandshelf_lease::{RowVersion, ShardRow, StoredRow};
use sandshelf_model::{Millis, WorkerId};

use super::ShardState;
use crate::sizes;

/// A row of the table of jobs.
#[derive(Clone, Debug)]
pub enum JobRow {
    /// A job as submitted.
    Job(JobNumber, Arc<JobSpec>),
    /// The cancellation of a job.
    Cancelled(JobNumber),
}

/// One write of a shard owner.
#[derive(Clone, Debug)]
pub struct OwnerWrite {
    /// The version that the owner's row must have for the write to take effect.
    pub version: RowVersion,
    /// The new content of the owner's row.
    pub row: ShardRow,
    /// The other rows to write.
    pub batch: CommitBatch,
}

/// A call of a host to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads the owner's row.
    ReadOwner,
    /// Reads the owner's row to learn whether an unanswered write took effect.
    CheckWrite,
    /// Writes as the shard owner.
    Write(Box<OwnerWrite>),
    /// Reads the page of progress rows after a job; the first page for `None`.
    ReadProgress(Option<JobNumber>),
    /// Reads the state that the owner publishes.
    ReadShard,
    /// Reads one part of the table of jobs.
    ReadJobs(u32),
    /// Waits for jobs and cancellations newer than a version.
    FollowJobs(RowVersion),
    /// Reads the list of workers.
    ListWorkers,
    /// Reads what has changed in the list of workers since the caller knew it so.
    FollowWorkers(Arc<BTreeMap<WorkerId, WorkerListing>>),
    /// Reads the configuration.
    ReadConfig,
    /// Waits for a configuration newer than a version.
    FollowConfig(RowVersion),
    /// Stores a job for a request, given by its number.
    PutJob(usize, JobNumber, Arc<JobSpec>),
    /// Stores the cancellation of a job for a request, given by its number.
    PutCancel(usize, JobNumber),
    /// Reads a job's state for a request, given by its number.
    ReadJob(usize, JobNumber),
    /// Reads whether a job has a row, for a request, given by its number, that is to be refused with this wait in milliseconds.
    CheckJob(usize, JobNumber, Millis),
}

impl StoreCall {
    /// Whether the store holds the call until there are changes (long poll).
    pub fn is_parked(&self) -> bool {
        matches!(self, StoreCall::FollowJobs(_) | StoreCall::FollowConfig(_))
    }

    /// Whether it may change rows that feeds follow.
    pub fn changes_rows(&self) -> bool {
        matches!(self, StoreCall::PutJob(..) | StoreCall::PutCancel(..))
    }

    /// Its size in bytes.
    pub fn bytes(&self) -> u64 {
        match self {
            StoreCall::Write(write) => sizes::owner_write(&write.batch),
            StoreCall::PutJob(_, _, spec) => sizes::STORE_CALL_BYTES + sizes::job_row(spec),
            _ => sizes::STORE_CALL_BYTES,
        }
    }
}

/// A configuration as the operator wrote it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigRow {
    /// Its version; 0 before the first configuration.
    pub version: u64,
    /// Its number of routes.
    pub routes: usize,
}

/// An answer of the store.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// The owner's row.
    Owner(StoredRow),
    /// A write took effect and created this version.
    Written(RowVersion),
    /// A write had no effect, because the owner's row had another version; this is the current row.
    Conflict(StoredRow),
    /// A page of progress rows, and the job after which the next page begins; `None` for the last page.
    Progress(StoredProgress, Option<JobNumber>),
    /// The state that the owner publishes, and the store's clock in milliseconds.
    Shard(Box<ShardState>, Millis),
    /// Rows of jobs with their versions, and the store version at which they were read.
    Jobs(Vec<(RowVersion, JobRow)>, RowVersion),
    /// The list of workers, and the store's clock in milliseconds.
    Workers(Vec<WorkerListing>, Millis),
    /// The changes of the list of workers, and the store's clock in milliseconds.
    WorkerChanges(WorkerChanges, Millis),
    /// The configuration, and the store version to follow it from.
    Config(ConfigRow, RowVersion),
    /// Whether a job has a row.
    Known(bool),
    /// Success, for calls whose answer contains no row.
    Done,
    /// The call was refused and had no effect.
    Rejected,
}

impl JobRow {
    pub(super) fn number(&self) -> JobNumber {
        match self {
            JobRow::Job(number, _) | JobRow::Cancelled(number) => *number,
        }
    }
}
