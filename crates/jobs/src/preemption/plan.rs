//! Chooses the runs to stop where tasks wait for capacity that less urgent runs hold.
//!
//! Handles the load in which priority 0 finds no capacity: runs of lower priorities hold memory, or standing tasks of the same
//! priority hold all processors while short tasks wait. A pure function of views, without network or clock.

use sandshelf_model::ResourceSize;
use smallvec::SmallVec;

use super::away::StepAllowance;
use crate::ids::RunKey;

/// The most runs that one plan stops. Each stop order costs a weak host up to 1.3 ms, and the next plan follows soon.
pub(crate) const MAX_STOPS_PER_PLAN: usize = 32;
/// The scale of shares of a run for each task served.
const SHARE_SCALE: u64 = 1_000;

/// The tasks that may use a room: those of this priority or a more urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoomScope {
    pub(crate) priority: u32,
    /// Whether standing tasks may use it.
    pub(crate) standing: bool,
}

impl RoomScope {
    /// Whether tasks of `wanted` may use a room of this scope.
    pub(crate) fn admits(&self, wanted: &RoomScope) -> bool {
        wanted.priority <= self.priority && (self.standing || !wanted.standing)
    }
}

/// Waiting tasks that are alike.
#[derive(Clone, Debug)]
pub(crate) struct DemandView {
    pub(crate) room: ResourceSize,
    /// The number of waiting tasks.
    pub(crate) count: usize,
    pub(crate) scope: RoomScope,
    /// Whether the tasks end soon, so that standing tasks of the same priority may be stopped for them.
    pub(crate) short: bool,
    /// The most tasks that one worker may be given.
    pub(crate) most_per_worker: usize,
    /// The indices of the workers on which the tasks may run, apart from capacity.
    pub(crate) workers: Vec<usize>,
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
}

/// The runs to stop on a worker for waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionChoice {
    /// The index of the demand.
    pub(crate) demand: usize,
    /// The index of the worker on which the tasks are to start.
    pub(crate) worker: usize,
    /// The runs to stop, each by the index of its worker and of the run there. Members of gangs may run on other workers.
    pub(crate) stops: Vec<(usize, usize)>,
    /// The number of waiting tasks that fit afterwards.
    pub(crate) served: usize,
    /// The work that the stops lose, in core-milliseconds.
    pub(crate) lost_work: u64,
}

/// The indices of a worker's runs that make room when stopped together.
type RunSet = SmallVec<[usize; 4]>;

/// The cheapest way to make room on one worker.
#[derive(Clone, Debug)]
struct SetChoice {
    worker: usize,
    runs: RunSet,
    served: usize,
    lost_work: u64,
    order: SetOrder,
}

/// The order of choices; the smallest is taken first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SetOrder {
    /// Standing runs stopped for each task served, in thousandths.
    standing: u64,
    /// Work lost for each task served, in core-milliseconds.
    lost_work: u64,
    worker: usize,
}

/// A plan in the making.
struct PlanState {
    views: PlanViews,
    /// What stays in use on each worker, with the tasks that are expected to start there.
    used: Vec<ResourceSize>,
    stops: usize,
}

/// Chooses the runs to stop for these demands, the most urgent demand first.
pub(crate) fn plan_preemptions(views: PlanViews, demands: &[DemandView]) -> Vec<PreemptionChoice> {
    let mut state = PlanState::new(views);
    let mut choices = Vec::new();
    for (index, demand) in demands.iter().enumerate() {
        let missing = state.deduct_available(demand);
        state.plan_demand(index, demand, missing, &mut choices);
    }
    choices
}

impl PlanState {
    fn new(views: PlanViews) -> Self {
        let used = views.workers.iter().map(|worker| {
            let staying = worker.runs.iter();
            let staying = staying.filter(|run| run.outlook != RunOutlook::Leaves);
            staying.fold(ResourceSize::default(), |sum, run| sum_of(&sum, &run.room))
        });
        let used = used.collect();
        Self {
            views,
            used,
            stops: 0,
        }
    }

    /// Gives waiting tasks the capacity that is free or becomes free without a stop. Returns how many find none.
    fn deduct_available(&mut self, demand: &DemandView) -> usize {
        let mut missing = demand.count;
        for worker in &demand.workers {
            if missing == 0 {
                break;
            }
            let fitting = self.fitting(demand, *worker, &ResourceSize::default(), missing);
            self.take_room(demand, *worker, fitting);
            missing -= fitting;
        }
        missing
    }

    /// How many of at most `wanted` tasks fit on a worker once `freed` is free as well.
    fn fitting(
        &self,
        demand: &DemandView,
        worker: usize,
        freed: &ResourceSize,
        wanted: usize,
    ) -> usize {
        let view = &self.views.workers[worker];
        let used = self.used[worker].saturating_minus(freed);
        let held = view.held.iter();
        let held = held.filter(|(scope, _)| !scope.admits(&demand.scope));
        let used = held.fold(used, |sum, (_, room)| sum_of(&sum, room));
        let free = view.capacity.saturating_minus(&used);
        let most = wanted.min(demand.most_per_worker);
        times_in(&demand.room, &free).min(most)
    }

    fn take_room(&mut self, demand: &DemandView, worker: usize, tasks: usize) {
        for _ in 0..tasks {
            self.used[worker] = sum_of(&self.used[worker], &demand.room);
        }
    }

    fn plan_demand(
        &mut self,
        index: usize,
        demand: &DemandView,
        mut missing: usize,
        choices: &mut Vec<PreemptionChoice>,
    ) {
        if missing == 0 {
            return;
        }
        let sets = demand.workers.iter();
        let sets = sets.filter_map(|worker| self.cheapest_set(demand, *worker, missing));
        let mut sets: Vec<SetChoice> = sets.collect();
        while missing > 0 && self.stops < MAX_STOPS_PER_PLAN {
            let best = (0..sets.len()).min_by_key(|place| sets[*place].order);
            let Some(best) = best else {
                return;
            };
            // Earlier choices may have used up the allowance of a step, or stopped a gang on several workers.
            let worker = sets[best].worker;
            match self.cheapest_set(demand, worker, missing) {
                None => {
                    sets.swap_remove(best);
                }
                Some(set) if set.order > sets[best].order => sets[best] = set,
                Some(set) => {
                    missing -= set.served;
                    choices.extend(self.carry_out(index, demand, set));
                    match self.cheapest_set(demand, worker, missing.max(1)) {
                        Some(next) => sets[best] = next,
                        None => drop(sets.swap_remove(best)),
                    }
                }
            }
        }
    }

    /// Marks the runs of a set as leaving; none if no run has to be stopped.
    fn carry_out(
        &mut self,
        index: usize,
        demand: &DemandView,
        set: SetChoice,
    ) -> Option<PreemptionChoice> {
        let mut stops = Vec::new();
        for run in &set.runs {
            match self.views.workers[set.worker].runs[*run].kind {
                RunKind::Member(gang) => stops.extend(&self.views.gangs[gang].members),
                RunKind::Ending | RunKind::Standing(_) => stops.push((set.worker, *run)),
            }
        }
        for (worker, run) in &stops {
            let view = &mut self.views.workers[*worker].runs[*run];
            view.outlook = RunOutlook::Leaves;
            self.used[*worker] = self.used[*worker].saturating_minus(&view.room);
            if let RunKind::Standing(step) = view.kind {
                self.views.allowances[step].take();
            }
        }
        self.take_room(demand, set.worker, set.served);
        self.stops += stops.len();
        (!stops.is_empty()).then_some(PreemptionChoice {
            demand: index,
            worker: set.worker,
            stops,
            served: set.served,
            lost_work: set.lost_work,
        })
    }

    /// The cheapest set of runs on a worker that makes room for a task when stopped.
    fn cheapest_set(
        &self,
        demand: &DemandView,
        worker: usize,
        missing: usize,
    ) -> Option<SetChoice> {
        let mut set = RunSet::new();
        let mut freed = ResourceSize::default();
        if self.fitting(demand, worker, &freed, 1) == 0 {
            let candidates = self.candidates(demand, worker);
            let runs = &self.views.workers[worker].runs;
            let single = candidates
                .iter()
                .find(|(_, _, run)| self.fitting(demand, worker, &runs[*run].room, 1) > 0);
            match single {
                Some((_, _, run)) => set.push(*run),
                None => set = self.several_runs(demand, worker, &candidates)?,
            }
            freed = rooms_of(runs, &set);
        }
        let served = self.fitting(demand, worker, &freed, missing);
        if served == 0 {
            return None;
        }
        Some(self.set_choice(worker, set, served))
    }

    fn set_choice(&self, worker: usize, runs: RunSet, served: usize) -> SetChoice {
        let views = &self.views.workers[worker].runs;
        let stopped = runs.iter().map(|run| &views[*run]);
        let standing = stopped.clone().filter(|run| is_standing(run)).count() as u64;
        let lost_work: u64 = stopped.map(|run| self.cost(run)).sum();
        let order = SetOrder {
            standing: standing * SHARE_SCALE / served as u64,
            lost_work: lost_work / served as u64,
            worker,
        };
        SetChoice {
            worker,
            runs,
            served,
            lost_work,
            order,
        }
    }

    /// Several runs that make room together: the cheapest ones until the task fits, without those that turn out not to be needed.
    fn several_runs(
        &self,
        demand: &DemandView,
        worker: usize,
        candidates: &[(bool, u64, usize)],
    ) -> Option<RunSet> {
        let runs = &self.views.workers[worker].runs;
        let mut set = RunSet::new();
        let mut steps: SmallVec<[usize; 4]> = SmallVec::new();
        for (_, _, run) in candidates {
            if let RunKind::Standing(step) = runs[*run].kind {
                let taken = steps.iter().filter(|other| **other == step).count();
                if taken >= self.views.allowances[step].spare() {
                    continue;
                }
                steps.push(step);
            }
            set.push(*run);
            if self.fitting(demand, worker, &rooms_of(runs, &set), 1) > 0 {
                return Some(self.without_needless(demand, worker, set));
            }
        }
        None
    }

    /// Leaves out runs without which the task fits as well, the dearest first.
    fn without_needless(&self, demand: &DemandView, worker: usize, mut set: RunSet) -> RunSet {
        let runs = &self.views.workers[worker].runs;
        for place in (0..set.len()).rev() {
            let mut fewer = set.clone();
            fewer.remove(place);
            if self.fitting(demand, worker, &rooms_of(runs, &fewer), 1) > 0 {
                set = fewer;
            }
        }
        set
    }

    /// The runs on a worker that may be stopped for a demand, lower priorities and cheap ones first: whether each belongs to a standing
    /// task, its cost and its index. Of a gang's members on the worker only the first is listed.
    fn candidates(&self, demand: &DemandView, worker: usize) -> SmallVec<[(bool, u64, usize); 16]> {
        let mut candidates: SmallVec<[(bool, u64, usize); 16]> = SmallVec::new();
        let runs = &self.views.workers[worker].runs;
        for (index, run) in runs.iter().enumerate() {
            if self.may_stop(demand, run) {
                candidates.push((is_standing(run), self.cost(run), index));
            }
        }
        candidates.sort_unstable();
        candidates
    }

    fn may_stop(&self, demand: &DemandView, run: &RunView) -> bool {
        if run.outlook != RunOutlook::Stoppable {
            return false;
        }
        let lower = run.priority > demand.scope.priority;
        match run.kind {
            RunKind::Ending | RunKind::Member(_) => lower,
            RunKind::Standing(step) => {
                let equal = run.priority == demand.scope.priority;
                (lower || equal && demand.short) && self.views.allowances[step].spare() > 0
            }
        }
    }

    /// The cost of a stop. That of a standing run rises with the part of its step's allowance that is used.
    fn cost(&self, run: &RunView) -> u64 {
        match run.kind {
            RunKind::Standing(step) => {
                run.lost_work * self.views.allowances[step].used_percent_after_stop() / 100
            }
            RunKind::Ending | RunKind::Member(_) => run.lost_work,
        }
    }
}

fn is_standing(run: &RunView) -> bool {
    matches!(run.kind, RunKind::Standing(_))
}

fn rooms_of(runs: &[RunView], set: &[usize]) -> ResourceSize {
    set.iter().fold(ResourceSize::default(), |sum, run| {
        sum_of(&sum, &runs[*run].room)
    })
}

pub(crate) fn sum_of(one: &ResourceSize, other: &ResourceSize) -> ResourceSize {
    ResourceSize {
        cpu_millis: one.cpu_millis + other.cpu_millis,
        memory_mib: one.memory_mib + other.memory_mib,
        accelerators: one.accelerators + other.accelerators,
    }
}

/// How often a room fits into the free capacity.
fn times_in(room: &ResourceSize, free: &ResourceSize) -> usize {
    let times = |needed: u64, free: u64| free.checked_div(needed).unwrap_or(u64::MAX);
    let fewest = times(room.cpu_millis, free.cpu_millis)
        .min(times(room.memory_mib, free.memory_mib))
        .min(times(room.accelerators, free.accelerators));
    usize::try_from(fewest).unwrap_or(usize::MAX)
}
