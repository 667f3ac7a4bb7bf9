//! What a scheduler is told and what it asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::{JobNumber, RunKey, TaskKey, WorkerLife};
use crate::press::StrengthRow;
use crate::progress::ProgressRow;
use crate::roster::WorkerRoster;
use crate::silent::SilentWorkers;
use crate::spec::{JobSpec, QueueRules};

/// A worker's own steady clock, in milliseconds.
pub type WorkerClock = u64;

/// One worker as the platform lists it; a restarted worker is another one.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// Which of its lives under that name wrote the entry, where it says so.
    pub life: Option<WorkerLife>,
    /// The service whose tasks it runs.
    pub service: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The hall that it stands in; empty where that is not known.
    pub hall: HallId,
    /// Its rack, where it names one.
    pub rack: Option<String>,
    /// Its labels, the rack among them.
    pub labels: Vec<String>,
    /// All that it has.
    pub capacity: ResourceSize,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It finished its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the rest of its gang.
    Alone,
}

/// One run that a worker reports at work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub key: RunKey,
    /// Its newest checkpoint, where it has one.
    pub checkpoint: Option<String>,
    /// How far it is, or how much of it is at work for a standing task.
    pub percent: u32,
    /// Tail of answer times in milliseconds for a serving task, processor use in thousandths for others.
    pub gauge: Option<u64>,
}

/// One end that a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// Rises with each end on the worker.
    pub number: u64,
    /// The run.
    pub key: RunKey,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Its last checkpoint, where it has one.
    pub checkpoint: Option<String>,
}

/// What a worker answers to a hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldReport {
    /// Which life of the worker answers, where it says so.
    pub life: Option<WorkerLife>,
    /// The worker's clock.
    pub clock: WorkerClock,
    /// What is at work.
    pub running: Vec<RunReport>,
    /// Ends that were not yet acknowledged.
    pub ended: Vec<EndReport>,
    /// By how much longer than the worker was asked to wait the call took at the host that carried it, in milliseconds; 0 for the
    /// owner's own calls, whose lateness tells how far it is behind.
    pub carrier_late_ms: Millis,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It has seen a newer epoch.
    Fenced,
    /// The run was stopped or ended there, or a newer one was.
    Superseded,
    /// The order's deadline had passed.
    Late,
    /// It has no room.
    NoRoom,
    /// The admission ticket is missing or no longer good.
    NoTicket,
    /// A reason that this version does not know.
    Other,
}

/// What became of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It was carried out.
    Done(WorkerClock),
    /// It was refused and nothing was done.
    Refused(WorkerClock, RefusalReason),
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The worker can't make sense of the order and has done nothing.
    Invalid,
    /// Another incarnation listens at the address: the worker that was meant is no more.
    Replaced,
    /// No connection could be made: nothing was done.
    Unreachable,
    /// It was not sent, since it had waited for too long: nothing was done.
    NotSent,
    /// No answer: it may have been done, or may be done later.
    Unknown,
}

/// What became of a hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HoldAnswer {
    /// The worker's state.
    Report(HoldReport),
    /// The worker has seen a newer epoch.
    Fenced,
    /// Anything else, as for orders.
    Failed(OrderAnswer),
}

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
    HoldAnswered(WorkerId, HoldAnswer),
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
pub struct HoldCall {
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
    Hold(HoldCall),
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

/// Why something happened, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum JobNote {
    /// A task was ordered to start.
    Placed {
        /// The run.
        key: RunKey,
        /// Where.
        worker: WorkerId,
        /// The job's queue.
        queue: String,
        /// How long the task had waited.
        waited_ms: Millis,
        /// Free processors there before, in thousandths of a core.
        free_cpu: u64,
        /// Whether it goes on from a checkpoint.
        resumed: bool,
    },
    /// A run ended.
    Ended {
        /// The run.
        key: RunKey,
        /// Where.
        worker: WorkerId,
        /// How.
        outcome: RunOutcome,
    },
    /// A run is given up without an end: it can't be at work any more.
    RunLost {
        /// The run.
        key: RunKey,
        /// Where it was.
        worker: WorkerId,
        /// Why it is certain.
        cause: LossCause,
        /// How long after it began the worker was last heard, by the worker's own clock; none where nothing told that it began.
        heard_ms: Option<Millis>,
    },
    /// A run was ordered to stop.
    Stopped {
        /// The run.
        key: RunKey,
        /// Where.
        worker: WorkerId,
        /// Why.
        cause: StopCause,
    },
    /// A start was not carried out.
    StartRefused {
        /// The run.
        key: RunKey,
        /// Where.
        worker: WorkerId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A job came to its end.
    JobFinished {
        /// The job.
        job: JobNumber,
        /// Its final state.
        state: JobStage,
        /// Its queue.
        queue: String,
        /// How long it took since it was handed in.
        took_ms: Millis,
        /// How long it was to take.
        objective_ms: Millis,
    },
    /// A new owner no longer waits for workers to tell what an earlier one left there.
    TakeoverOver {
        /// How long it waited.
        waited_ms: Millis,
        /// Those that had not answered by then: their leases are over.
        unanswered: Vec<WorkerId>,
        /// How many tasks nobody had reported.
        unfound: usize,
    },
    /// A task was put back into the queue by a new owner, which found it nowhere.
    Unfound(TaskKey),
    /// A worker's lease was taken over: it answered under the new epoch.
    Fenced {
        /// The worker.
        worker: WorkerId,
        /// Which of its lives answered.
        life: Option<WorkerLife>,
    },
    /// A worker has started again under its name: what it held before is lost.
    AnotherLife {
        /// The worker.
        worker: WorkerId,
        /// The life that answered before.
        before: Option<WorkerLife>,
        /// The one that answers now.
        life: Option<WorkerLife>,
        /// The newest reading of the clock before.
        clock_before: Option<WorkerClock>,
        /// The clock now.
        clock: WorkerClock,
        /// The number of the newest end that was taken in before.
        noted: u64,
        /// The number of the newest end that is listed now; 0 where none is.
        listed: u64,
    },
    /// A worker lists an end under a number that was taken in before, of a run that has no end yet.
    EndPassedOver {
        /// The run.
        key: RunKey,
        /// The worker.
        worker: WorkerId,
        /// The end's number.
        number: u64,
        /// The number of the newest end that was taken in before.
        noted: u64,
    },
    /// A worker says that it leaves.
    WorkerDraining {
        /// The worker.
        worker: WorkerId,
        /// How many standing tasks are known to be there.
        standing: usize,
    },
    /// Operators have evacuated a hall: nothing is started there from now on.
    HallEvacuated {
        /// The hall.
        hall: HallId,
        /// How many workers are known there.
        workers: usize,
        /// How many runs are at work there, which stay.
        runs: usize,
        /// How many of them stand.
        standing: usize,
    },
    /// Operators have taken a hall back.
    HallBack {
        /// The hall.
        hall: HallId,
        /// For how long this owner knew it as evacuated.
        lasted_ms: Millis,
    },
    /// The owner can't renew its ownership and may have been followed: it starts nothing and prolongs nothing.
    Unsure,
    /// The owner is sure again that nobody has followed it.
    SureAgain {
        /// For how long it was not.
        lasted_ms: Millis,
    },
    /// A worker does not answer.
    WorkerSilent(WorkerId),
    /// A worker is no more.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// Why it is certain.
        cause: LossCause,
        /// How many runs are lost with it.
        runs: usize,
        /// Those of them that began so short a time before it was last heard that each may have brought it down, or that nothing
        /// told to have begun.
        newest: Vec<RunKey>,
    },
    /// A worker fails what it is given and gets nothing for a while.
    WorkerQuarantined(WorkerId),
    /// A run's pace was changed, in percent.
    Paced(RunKey, WorkerId, u32),
    /// A worker crashed under a run that had begun shortly before.
    CrashNoted {
        /// The run.
        key: RunKey,
        /// The worker.
        worker: WorkerId,
        /// How long after the run began the worker was last heard; 0 where nothing told that it began.
        heard_ms: Millis,
        /// Whether nothing else may have caused it.
        alone: bool,
        /// How many crashes count against the task by now.
        crashes: usize,
    },
    /// A task is given up, and its job with it: it crashes the workers that start it.
    TaskGivenUp {
        /// The task.
        task: TaskKey,
        /// How many crashes count against it.
        crashes: usize,
    },
}

/// Why a run can't be at work any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The lease has run out on the worker's clock.
    LeaseOver,
    /// Another incarnation took the worker's place.
    Replaced,
    /// The worker has started again under its name.
    Restarted,
    /// The worker left after it had announced so.
    Left,
    /// The worker reports neither the run nor its end.
    NotThere,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// Its job was cancelled or has ended.
    JobOver,
    /// Another run of the task counts.
    Superseded,
    /// The worker is about to leave.
    Draining,
    /// The order to start it got no answer.
    Unsettled,
    /// It was slowed down for long and can work faster elsewhere.
    Slowed,
}

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
