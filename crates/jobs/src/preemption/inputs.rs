//! The views on which a plan of preemptions depends.

use std::rc::Rc;

use sandshelf_model::ResourceSize;

use super::away::StepAllowance;
use crate::ids::RunKey;

/// How long tasks of a step use capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TaskLength {
    /// They end so soon that a standing task whose capacity they use is back before it counts as unavailable.
    Short,
    /// They end by themselves.
    Long,
    /// They run until their job is cancelled.
    Standing,
}

/// What decides which rooms a task may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskScope {
    pub(crate) priority: u32,
    pub(crate) length: TaskLength,
}

/// The tasks that may use a room: those of this priority or a more urgent one, with a length in these bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoomScope {
    pub(crate) priority: u32,
    pub(crate) shortest: TaskLength,
    pub(crate) longest: TaskLength,
}

impl TaskScope {
    /// The rooms that are freed for such a task: more urgent and shorter ones may use them as well.
    pub(crate) fn room_scope(&self) -> RoomScope {
        RoomScope {
            priority: self.priority,
            shortest: TaskLength::Short,
            longest: self.length,
        }
    }
}

impl RoomScope {
    /// Whether tasks of `wanted` may use a room of this scope.
    pub(crate) fn admits(&self, wanted: &TaskScope) -> bool {
        let lengths = self.shortest..=self.longest;
        wanted.priority <= self.priority && lengths.contains(&wanted.length)
    }
}

/// Waiting tasks that are alike.
#[derive(Clone, Debug)]
pub(crate) struct DemandView {
    pub(crate) room: ResourceSize,
    /// The number of waiting tasks.
    pub(crate) count: usize,
    pub(crate) scope: TaskScope,
    /// The most tasks that one worker may be given.
    pub(crate) most_per_worker: usize,
    /// The indices of the workers on which the tasks may run, apart from capacity.
    pub(crate) workers: Rc<[usize]>,
}

/// What a plan may do with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutlook {
    /// It is being stopped, or ends before a stop would: its capacity becomes free without a further order.
    Leaves,
    /// It may be stopped.
    Stoppable,
    /// It must not be stopped.
    Stays,
}

/// The kind of a run, as far as a stop depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunKind {
    /// It ends by itself.
    Ending,
    /// It belongs to a standing step with this index in [`PlanViews::allowances`].
    Standing(usize),
    /// It belongs to a gang with this index in [`PlanViews::gangs`].
    Member(usize),
}

/// A run that may be running on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunView {
    pub(crate) key: RunKey,
    pub(crate) room: ResourceSize,
    pub(crate) priority: u32,
    pub(crate) kind: RunKind,
    pub(crate) outlook: RunOutlook,
    /// The work that a stop loses, in core-milliseconds; for a member of a gang the loss of the whole gang.
    pub(crate) lost_work: u64,
}

/// A worker with its runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerView {
    pub(crate) capacity: ResourceSize,
    pub(crate) runs: Vec<RunView>,
    /// The unused rooms that are held here for other tasks.
    pub(crate) held: Vec<(RoomScope, ResourceSize)>,
    /// Whether standing runs were stopped here for short tasks that still use the capacity.
    pub(crate) lends: bool,
}

/// The members of a gang that runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct GangView {
    /// The index of each member's worker, and of its run there.
    pub(crate) members: Vec<(usize, usize)>,
}

/// Everything that a plan depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlanViews {
    pub(crate) workers: Vec<WorkerView>,
    pub(crate) gangs: Vec<GangView>,
    pub(crate) allowances: Vec<StepAllowance>,
    /// On how many further workers standing runs may be stopped.
    pub(crate) spare_lenders: usize,
}
