//! The events that a scheduler handles and the actions that it returns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::admission::LoadView;
use crate::ids::{JobNumber, RunKey};
use crate::interference::InterferenceRow;
use crate::note::JobNote;
use crate::progress::ProgressRow;
use crate::progress_page::{PageKey, ProgressPage, StoredProgress};
use crate::queues::{QueueAddress, QueueDirectory};
use crate::reports::{OrderAnswer, RenewalAnswer, WorkerClock, WorkerListing};
use crate::roster::RosterChange;
use crate::silent::SilenceChange;
use crate::spec::JobSpec;

/// An event that a scheduler handles.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// A job's row was read.
    JobListed {
        /// The job.
        number: JobNumber,
        /// The row's version; shows whether an earlier owner may know the job.
        version: u64,
        /// The job's specification.
        spec: Box<JobSpec>,
    },
    /// A new owner has read the durable progress of all jobs; the job rows follow as [`JobEvent::JobListed`].
    StateRead {
        /// The progress of the jobs.
        progress: StoredProgress,
        /// The table version at which the jobs were read. An earlier owner may know jobs up to this version.
        claim_version: u64,
    },
    /// A caller cancelled a job.
    CancelAsked(JobNumber),
    /// The workers whose entries in the next worker list are unreadable; another program may have overwritten them.
    WorkersUnreadable(Vec<WorkerId>),
    /// The list of workers was read.
    WorkersListed(Vec<WorkerListing>),
    /// What has changed in the list of workers since it was read, or that nothing has.
    WorkersChanged(WorkerChanges),
    /// An upper bound on the store's clock, taken from an answer of the store.
    StoreClock {
        /// When the answer arrived, on the scheduler's clock; the event may be handled much later.
        at: Millis,
        /// The latest time that the store's clock can have shown then, in milliseconds.
        at_most_ms: u64,
    },
    /// The queue configuration changed; contains all queues.
    QueuesChanged(QueueDirectory),
    /// The result of an order to start a run.
    StartAnswered(WorkerId, RunKey, OrderAnswer),
    /// The result of an order to stop a run.
    StopAnswered(WorkerId, RunKey, OrderAnswer),
    /// The result of an order to change a run's pace.
    PaceAnswered(WorkerId, RunKey, OrderAnswer),
    /// The result of a lease renewal.
    RenewalAnswered(WorkerId, RenewalAnswer),
    /// The complete set of halls that operators have evacuated. No task is started there.
    HallsEvacuated(BTreeSet<HallId>),
    /// The commit with this id took effect.
    Committed(u64),
    /// The time on the scheduler's clock until which no other owner can have taken effect; see [`crate::OwnerTenure`].
    SureUntil(Millis),
    /// Whether this owner can't renew its ownership at present, as in an outage of the store.
    OwnershipOverdue(bool),
    /// The control loop ticks.
    Tick {
        /// The wall-clock time, in milliseconds since 1970.
        wall_ms: u64,
    },
}

/// Changes of the list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerChanges {
    /// The new and changed entries.
    pub listed: Vec<WorkerListing>,
    /// The workers whose entries were removed.
    pub removed: Vec<WorkerId>,
    /// All workers whose entries can't be read at present, also those that were named before.
    pub unreadable: Vec<WorkerId>,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartCall {
    /// The run.
    pub key: RunKey,
    /// The payload that the worker passes to the task.
    pub payload: String,
    /// The last time on the worker's clock at which the order may be carried out.
    pub deadline: WorkerClock,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<String>,
}

/// A lease renewal: prolongs the worker's lease and requests a [`crate::RenewalReport`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalCall {
    /// The new end of the lease on the worker's clock; none if that clock is not known yet or the lease is not to be prolonged.
    pub deadline: Option<WorkerClock>,
    /// Acknowledges the ends up to this number.
    pub last_seen: u64,
    /// How long the worker may wait for a run to end before it answers, in milliseconds.
    pub wait_ms: Millis,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerCall {
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(RunKey),
    /// Set the pace of a run, in percent of its full speed.
    Pace(RunKey, u32),
    /// Renew the lease and report.
    Renew(RenewalCall),
}

/// A set of changes that is written durably and atomically. However much changes at once, it is within what the store takes
/// in one write; the rest follows with later batches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Identifies the batch in [`JobEvent::Committed`].
    pub id: u64,
    /// The progress of changed jobs.
    pub progress: Vec<(JobNumber, ProgressRow)>,
    /// The changed pages of the progress of large jobs.
    pub pages: Vec<(PageKey, ProgressPage)>,
    /// Pages of progress that count no more and are to be removed.
    pub obsolete_pages: Vec<PageKey>,
    /// The number of waiting jobs by queue; none if unchanged.
    pub pending: Option<BTreeMap<QueueAddress, u64>>,
    /// The load of the queues, written with the number of waiting jobs; none while no job is refused.
    pub load: Option<LoadView>,
    /// The learnt interference between images; none unless its periodic write is due.
    pub interference: Option<InterferenceRow>,
    /// Finished jobs whose rows are to be removed.
    pub forget: Vec<JobNumber>,
    /// What changes in the roster of the workers that may run tasks.
    pub roster: RosterChange,
    /// What changes in the records of silent workers.
    pub silent: SilenceChange,
}

impl CommitBatch {
    /// Whether there is nothing to write. What was learnt about images alone is no reason for a write.
    pub(crate) fn is_empty(&self) -> bool {
        let progress = self.progress.is_empty() && self.pages.is_empty();
        let removals = self.forget.is_empty() && self.obsolete_pages.is_empty();
        let workers = self.roster.is_empty() && self.silent.is_empty();
        progress && removals && workers && self.pending.is_none()
    }
}

/// An action that a scheduler requests.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Call a worker.
    Call {
        /// The worker.
        worker: WorkerId,
        /// The address at which it listens.
        address: SocketAddr,
        /// The call.
        call: WorkerCall,
    },
    /// Write a batch durably. No other commit is requested before it has taken effect.
    Commit(CommitBatch),
    /// Give up the ownership: a worker has seen a newer epoch, or this owner was paused for too long.
    Deposed,
    /// Log an event.
    Note(JobNote),
}
