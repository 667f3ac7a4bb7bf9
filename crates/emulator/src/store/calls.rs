//! What hosts ask the store for, and what it answers.

use std::sync::Arc;

use sandshelf_jobs::{CommitBatch, JobNumber, JobSpec, ProgressRow, WorkerListing};
use sandshelf_lease::{RowVersion, ShardRow, StoredRow};
use sandshelf_model::Millis;

use super::ShardState;
use crate::sizes;

/// A row of the table of jobs.
#[derive(Clone, Debug)]
pub enum JobRow {
    /// A job as handed in.
    Job(JobNumber, Arc<JobSpec>),
    /// The mark of a cancelled one.
    Cancelled(JobNumber),
}

/// One write of an owner.
#[derive(Clone, Debug)]
pub struct OwnerWrite {
    /// The version that the owner's row must have.
    pub version: RowVersion,
    /// The owner's row as it is to be.
    pub row: ShardRow,
    /// What else is written.
    pub batch: CommitBatch,
}

/// What a host asks the store for.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// The owner's row.
    ReadOwner,
    /// The owner's row, after a write without an answer.
    CheckWrite,
    /// A write of the owner.
    Write(Box<OwnerWrite>),
    /// A page of progress behind a job.
    ReadProgress(Option<JobNumber>),
    /// What the owner publishes.
    ReadShard,
    /// A part of the jobs.
    ReadJobs(u32),
    /// New jobs and cancellations after a version, as soon as there are any.
    FollowJobs(RowVersion),
    /// The list of workers.
    ListWorkers,
    /// The configuration.
    ReadConfig,
    /// A newer configuration, as soon as there is one.
    FollowConfig(RowVersion),
    /// Hands a job in for a request.
    PutJob(usize, JobNumber, Arc<JobSpec>),
    /// Marks a job as cancelled for a request.
    PutCancel(usize, JobNumber),
    /// A job's state for a request.
    ReadJob(usize, JobNumber),
}

impl StoreCall {
    /// Whether it waits at the store.
    pub fn is_parked(&self) -> bool {
        matches!(self, StoreCall::FollowJobs(_) | StoreCall::FollowConfig(_))
    }

    /// Whether rows that feeds follow may change by it.
    pub fn changes_rows(&self) -> bool {
        matches!(self, StoreCall::PutJob(..) | StoreCall::PutCancel(..))
    }

    /// How many bytes it has.
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
    /// Its version; 0 before the first.
    pub version: u64,
    /// How many routes it has.
    pub routes: usize,
}

/// What the store answers.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// The owner's row.
    Owner(StoredRow),
    /// A write took effect as a version.
    Written(RowVersion),
    /// The owner's row had another version.
    Conflict(StoredRow),
    /// A page of progress, and the job to go on behind.
    Progress(Vec<(JobNumber, ProgressRow)>, Option<JobNumber>),
    /// What the owner publishes, with the store's clock.
    Shard(Box<ShardState>, Millis),
    /// Rows of jobs with their versions, and the version as of which they are.
    Jobs(Vec<(RowVersion, JobRow)>, RowVersion),
    /// The list of workers with the store's clock.
    Workers(Vec<WorkerListing>, Millis),
    /// The configuration and the version to go on from.
    Config(ConfigRow, RowVersion),
    /// Anything that shows no row.
    Done,
    /// Nothing was done.
    Rejected,
}

impl JobRow {
    pub(super) fn number(&self) -> JobNumber {
        match self {
            JobRow::Job(number, _) | JobRow::Cancelled(number) => *number,
        }
    }
}
