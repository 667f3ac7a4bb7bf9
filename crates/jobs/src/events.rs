//! What a scheduler is told and what it asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::{JobNumber, RunKey};
use crate::note::JobNote;
use crate::press::StrengthRow;
use crate::progress::ProgressRow;
use crate::reports::{OrderAnswer, RenewalAnswer, WorkerClock, WorkerListing};
use crate::roster::WorkerRoster;
use crate::silent::SilentWorkers;
use crate::spec::{JobSpec, QueueRules};

/// What a scheduler is told.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// A job's row was read.
    JobListed {
        /// The job.
        number: JobNumber,
        /// The row's version, to tell jobs that an earlier owner may know.
        version: u64,
        /// The job.
        spec: Box<JobSpec>,
    },
    /// What is durable of jobs was read by a new owner; their rows come next.
    StateRead {
        /// The progress of jobs.
        progress: BTreeMap<JobNumber, ProgressRow>,
        /// The version as of which jobs were read; those up to it may be known to an earlier owner.
        claim_version: u64,
    },
    /// A caller cancelled a job.
    CancelAsked(JobNumber),
    /// Workers whose entries can't be read, in the list that comes next: another writer may have been there.
    WorkersUnreadable(Vec<WorkerId>),
    /// The list of workers was read.
    WorkersListed(Vec<WorkerListing>),
    /// What the store's clock showed at most when an answer came, in milliseconds.
    StoreClock {
        /// When the answer came, on the scheduler's clock: it may be taken in much later.
        at: Millis,
        /// The store's clock then.
        at_most_ms: u64,
    },
    /// The configuration changed.
    QueuesChanged(BTreeMap<String, QueueRules>),
    /// A worker answered an order to start, or did not.
    StartAnswered(WorkerId, RunKey, OrderAnswer),
    /// A worker answered an order to stop, or did not.
    StopAnswered(WorkerId, RunKey, OrderAnswer),
    /// A worker answered an order to change a run's pace, or did not.
    PaceAnswered(WorkerId, RunKey, OrderAnswer),
    /// A worker answered a hold, or did not.
    RenewalAnswered(WorkerId, RenewalAnswer),
    /// The halls that operators have evacuated, all of them: nothing is to be started there.
    HallsEvacuated(BTreeSet<HallId>),
    /// A durable write took effect.
    Committed(u64),
    /// Until when nobody can have followed this owner to any effect, on the scheduler's clock; see [`crate::OwnerTenure`].
    SureUntil(Millis),
    /// Time passes; also carries the time of day, in milliseconds since 1970.
    Tick {
        /// The time of day.
        wall_ms: u64,
    },
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartCall {
    /// The run.
    pub key: RunKey,
    /// The text for the task.
    pub payload: String,
    /// Until when on the worker's clock the order may be carried out.
    pub deadline: WorkerClock,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
}

/// A call that prolongs the lease and reads a worker's state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalCall {
    /// The lease's end on the worker's clock; none before that clock is known.
    pub deadline: Option<WorkerClock>,
    /// Ends up to this number are acknowledged.
    pub last_seen: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait_ms: Millis,
}

/// An order for a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerCall {
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(RunKey),
    /// Change the share at which a run works, in percent.
    Pace(RunKey, u32),
    /// Prolong the lease and report.
    Renew(RenewalCall),
}

/// What is to be written durably, all or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Comes back with [`JobEvent::Committed`].
    pub id: u64,
    /// Progress of jobs.
    pub progress: Vec<(JobNumber, ProgressRow)>,
    /// How many jobs of each queue wait, where that changed.
    pub pending: Option<BTreeMap<String, u64>>,
    /// What is learnt of images, from time to time.
    pub strengths: Option<StrengthRow>,
    /// Jobs whose rows are no longer needed.
    pub forget: Vec<JobNumber>,
    /// The workers that may hold tasks, where that changed.
    pub roster: Option<WorkerRoster>,
    /// The marks of silent workers, where they changed.
    pub silent: Option<SilentWorkers>,
}

/// What a scheduler asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Send an order to a worker.
    Call {
        /// The worker's incarnation.
        worker: WorkerId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        call: WorkerCall,
    },
    /// Write durably; only one write is under way at a time.
    Commit(CommitBatch),
    /// A worker has seen a newer epoch: this owner is no longer the owner.
    Deposed,
    /// Log what happened.
    Note(JobNote),
}
