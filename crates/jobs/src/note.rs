//! What a scheduler tells the log.

use sandshelf_model::{HallId, Millis, WorkerId};

use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::reports::{OrderAnswer, RunOutcome, WorkerClock};
use crate::stage::JobStage;

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
        incarnation: Option<WorkerIncarnation>,
    },
    /// A worker has started again under its name: what it held before is lost.
    WorkerRestarted {
        /// The worker.
        worker: WorkerId,
        /// The life that answered before.
        before: Option<WorkerIncarnation>,
        /// The one that answers now.
        incarnation: Option<WorkerIncarnation>,
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
