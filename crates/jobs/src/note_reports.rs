//! The causes and reports that log events carry.

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{RunKey, TaskKey};

/// Why capacity that stops have freed is not held any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// Waiting tasks have used it, and no further one needs it.
    Returned,
    /// No waiting task needed it any more when it became free.
    Unused,
    /// The stopped runs have not ended in time.
    StopTimedOut,
    /// The worker is gone.
    WorkerGone,
}

/// A decision to stop runs for waiting tasks, with its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionReport {
    /// The waiting task.
    pub waiter: TaskKey,
    /// The worker on which capacity is freed.
    pub worker: WorkerId,
    /// The priority of the waiting task.
    pub priority: u32,
    /// The number of tasks like it that wait.
    pub waiting: usize,
    /// How long it has waited, in milliseconds.
    pub waited_ms: Millis,
    /// The number of waiting tasks for which the freed capacity suffices.
    pub served: usize,
    /// The number of stopped runs.
    pub stopped: usize,
    /// The number of stopped runs that belong to standing tasks.
    pub standing: usize,
    /// The work that the stops lose, in core-milliseconds; for standing tasks weighted by the used part of `may_miss`.
    pub lost_work: u64,
    /// The number of unavailable tasks, before the stop, of the stopped standing step that can miss the fewest more.
    pub away: u32,
    /// The number of tasks of that step that may be unavailable at once; 0 if no standing task is stopped.
    pub may_miss: u32,
    /// How long ago the worker was last heard, in milliseconds.
    pub heard_ms: Millis,
}

/// Why a run can't be running any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The lease has run out on the worker's clock.
    LeaseOver,
    /// Another worker listens at the worker's address.
    Replaced,
    /// The worker has restarted under the same id.
    Restarted,
    /// The worker left after it had been draining.
    Left,
    /// The worker reports neither the run nor its end.
    NotThere,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The job of the run was cancelled or has ended.
    JobOver,
    /// Another run of the task is the valid one.
    Superseded,
    /// The worker is draining.
    Draining,
    /// The start order of the run got no answer.
    Unsettled,
    /// The start order of the run got no answer as soon as usual.
    Overdue,
    /// The run was slowed down for long and can run faster on another worker.
    Slowed,
    /// The run makes no progress and can end earlier on another worker.
    Stuck,
    /// Another copy of the task has ended first.
    CopyLost,
    /// A more urgent task needs the capacity.
    Preempted,
    /// The capacity is gathered for a large task.
    Gathered,
    /// The machine of the worker is to have its upkeep.
    Upkeep,
}

/// What a serving task that was over its target had beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillState {
    /// The filling run.
    pub run: RunKey,
    /// The ordered pace, in percent; over 100 if it is not known whether the newest order was
    /// carried out.
    pub pace: u32,
    /// How long ago that pace was sent, in milliseconds; `None` for the pace at the start.
    pub sent_ago_ms: Option<Millis>,
    /// How long ago the worker last answered a pace order since then, in milliseconds; `None` if it has
    /// not. Answers don't name their order, so that a late answer to an earlier one counts as well.
    pub taken_ago_ms: Option<Millis>,
    /// The processors that it used at the newest reading, in thousandths of a core.
    pub used: u64,
    /// Whether it gets paces at all: it is known to run and is not being stopped.
    pub paced: bool,
}

/// A stretch of time in which a serving task was over its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverTargetReport {
    /// The serving run.
    pub key: RunKey,
    /// Its worker.
    pub worker: WorkerId,
    /// Its target, in milliseconds.
    pub target_ms: Millis,
    /// The time from the first reading over the target to the newest, in milliseconds.
    pub lasted_ms: Millis,
    /// Whether it lasts still.
    pub lasts: bool,
    /// The number of readings over the target.
    pub readings: u32,
    /// The number of single readings under the target in between.
    pub dips: u32,
    /// The highest tail latency, in milliseconds.
    pub worst_ms: u64,
    /// The filling tasks on the worker.
    pub fills: Vec<FillState>,
}
